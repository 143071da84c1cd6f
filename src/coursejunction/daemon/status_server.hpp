/*! @file
 * @brief Serves the metrics and the state of a process over HTTP.
 */
#ifndef COURSEJUNCTION_DAEMON_STATUS_SERVER_HPP
#define COURSEJUNCTION_DAEMON_STATUS_SERVER_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "coursejunction/core/result.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/http_server.hpp"
#include "coursejunction/net/metrics.hpp"

namespace coursejunction
{

/*! @brief Serves `GET /metrics`, `GET /dump` and, at an entry, the quarantine
 * list, on a separate port without authorisation. */
class status_server
{
public:
    /*! @brief Creates the server and opens its port.
     * @param port With 0 nothing is served.
     * @param max_connections Bound on its open connections.
     * @return The server, or `unavailable` when the port cannot be opened. */
    [[nodiscard]] static result<std::unique_ptr<status_server>>
    create(event_loop& loop, metrics& counters, const std::string& address,
           std::uint16_t port, std::size_t max_connections);

    /*! @brief Sets the source of the `/dump` response, which is called on the
     * loop's thread. */
    void set_dump_handler(std::function<std::string()> dump);

    /*! @brief Sets the handler for `/v1/quarantine` and the paths below it,
     * which is called on the loop's thread. Anyone who can reach the port can
     * lift a quarantine. */
    void set_quarantine_handler(
        std::function<void(const http_request&, http_reply&)> handler);

private:
    struct handler_set
    {
        std::function<std::string()> dump;
        std::function<void(const http_request&, http_reply&)> quarantine;
    };

    std::shared_ptr<handler_set> handlers{std::make_shared<handler_set>()};
    std::unique_ptr<http_server> server;
};

} // namespace coursejunction

#endif
