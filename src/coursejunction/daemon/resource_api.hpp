/*! @file
 * @brief Operators' HTTP API: JSON, version 1.
 */
#ifndef COURSEJUNCTION_DAEMON_RESOURCE_API_HPP
#define COURSEJUNCTION_DAEMON_RESOURCE_API_HPP

#include <memory>

#include "coursejunction/net/http_server.hpp"

namespace coursejunction
{

class node;
class report_service;

/*! @brief Creates, reads, lists, replaces, deletes and watches deployments,
 * gives their status, and lists and lifts quarantines. */
class resource_api
{
public:
    resource_api(node& owner, report_service& reports);
    ~resource_api();

    /*! @brief Handles an operator's request; without the operators' token it is
     * refused. */
    void handle_request(const http_request& from,
                        const std::shared_ptr<http_reply>& reply);

    /*! @brief Responds to open watches; called when a configuration comes into
     * force. */
    void configuration_changed();

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace coursejunction

#endif
