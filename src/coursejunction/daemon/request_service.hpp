/*! @file
 * @brief Handles callers' requests at an entry, from arrival to final response.
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

/*! @brief Queues and routes requests, dispatches them to upstreams, tries
 * failed attempts elsewhere, and responds to the callers. */
class request_service
{
public:
    explicit request_service(node& owner);
    ~request_service();

    /*! @brief Handles a caller's request for a model engine or a plain
     * service; the response is sent through `reply`. */
    void handle_request(http_request incoming,
                        const std::shared_ptr<http_reply>& reply);

    /*! @brief Applies a sidecar's report to the routing state. */
    void handle_report(const message::report& report);

    /*! @brief Handles a frame that carries a part or the end of a response, or
     * that belongs to a claim.
     * @return Whether the frame was of one of these types. */
    bool handle_frame(const instance_id& from, frame& received);

    /*! @brief Fails the attempts at a peer whose connection is lost. */
    void peer_lost(const instance_id& peer);

    /*! @brief Expires requests and dispatches queued ones; called every few
     * milliseconds. */
    void tick();

    /*! @brief Returns the number of requests without a final response. */
    [[nodiscard]] std::size_t size() const;

    /*! @brief Returns the state as JSON. */
    [[nodiscard]] std::string dump() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace coursejunction

#endif
