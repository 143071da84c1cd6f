/*! @file
 * @brief Callers' requests, from their arrival at an entry to their outcome.
 */
#ifndef COURSEJUNCTION_DAEMON_REQUEST_SERVICE_HPP
#define COURSEJUNCTION_DAEMON_REQUEST_SERVICE_HPP

#include <cstddef>
#include <memory>
#include <string>

#include "coursejunction/core/types.hpp"
#include "coursejunction/net/http_server.hpp"
#include "coursejunction/wire/codec.hpp"

namespace coursejunction
{

class node;

/*! @brief Queues, routes, dispatches, retries and answers requests. */
class request_service
{
public:
    explicit request_service(node& owner);
    ~request_service();

    /*! @brief Takes a caller's request to a model engine or plain service. */
    void request(http_request from, const std::shared_ptr<http_reply>& reply);

    /*! @brief Takes a side's report. */
    void reported(const message::report& one);

    /*! @brief Takes a frame of an answer.
     * @return Whether it was one. */
    bool received(const instance_id& from, frame& one);

    /*! @brief Notes that a side's connection is gone. */
    void peer_lost(const instance_id& peer);

    /*! @brief Moves on: deadlines and the queue. */
    void tick();

    /*! @brief Returns how many requests are in progress. */
    [[nodiscard]] std::size_t size() const;

    /*! @brief Returns the state as JSON. */
    [[nodiscard]] std::string dump() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace coursejunction

#endif
