/*! @file
 * @brief Serves a process's metrics and its state to whoever asks.
 */
#ifndef COURSEJUNCTION_DAEMON_STATUS_SERVER_HPP
#define COURSEJUNCTION_DAEMON_STATUS_SERVER_HPP

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

/*! @brief `GET /metrics`, `GET /dump` and, of an entry, the list of quarantined
 * requests on a port of its own. */
class status_server
{
public:
    /*! @brief Listens.
     * @param port 0 serves nothing.
     * @return The page, or `unavailable`. */
    [[nodiscard]] static result<std::unique_ptr<status_server>>
    create(event_loop& loop, metrics& counters, const std::string& address,
           std::uint16_t port);

    /*! @brief Sets what `/dump` answers; called on the loop's thread. */
    void set_dump_handler(std::function<std::string()> dump);

    /*! @brief Sets what answers below `/v1/quarantine`; called on the loop's
     * thread. Whoever reaches the port may lift a quarantine. */
    void set_quarantine_handler(
        std::function<void(const http_request&, http_reply&)> call);

private:
    struct described
    {
        std::function<std::string()> dump;
        std::function<void(const http_request&, http_reply&)> quarantine;
    };

    std::shared_ptr<described> state{std::make_shared<described>()};
    std::unique_ptr<http_server> server;
};

} // namespace coursejunction

#endif
