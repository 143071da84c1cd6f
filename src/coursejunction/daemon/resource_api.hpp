/*! @file
 * @brief The operators' resource interface: JSON over HTTP, version 1.
 */
#ifndef COURSEJUNCTION_DAEMON_RESOURCE_API_HPP
#define COURSEJUNCTION_DAEMON_RESOURCE_API_HPP

#include <memory>

#include "coursejunction/net/http_server.hpp"

namespace coursejunction
{

class node;
class report_service;

/*! @brief Create, read, list, replace, delete, watch and status of
 * deployments. */
class resource_api
{
public:
    resource_api(node& owner, report_service& reports);
    ~resource_api();

    /*! @brief Takes an operator's request. */
    void request(const http_request& from,
                 const std::shared_ptr<http_reply>& reply);

    /*! @brief Answers watches; called when a configuration comes into
     * force. */
    void configuration_changed();

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace coursejunction

#endif
