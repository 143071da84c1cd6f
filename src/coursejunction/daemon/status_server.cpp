#include "coursejunction/daemon/status_server.hpp"

#include <utility>

#include "coursejunction/daemon/quarantine_api.hpp"

namespace coursejunction
{

namespace
{

/*! @brief Largest request; none needs a body. */
constexpr std::size_t max_request_bytes = 16'384;

} // namespace

result<std::unique_ptr<status_server>>
status_server::create(event_loop& loop, metrics& counters,
                      const std::string& address, std::uint16_t port,
                      std::size_t max_connections)
{
    http_options options;
    options.max_head_bytes = max_request_bytes;
    options.max_request_bytes = max_request_bytes;
    options.max_connections = max_connections;
    auto created = std::make_unique<status_server>();
    if (port == 0)
        return created;
    auto server = http_server::create(
        address, port, options,
        [&loop, &counters, handlers = created->handlers](
            http_request request, std::shared_ptr<http_reply> reply)
        {
            loop.post(
                [&counters, handlers, request = std::move(request),
                 reply = std::move(reply)]
                {
                    const auto& path = request.path;
                    if (path.starts_with(quarantine_path) &&
                        handlers->quarantine)
                        handlers->quarantine(request, *reply);
                    else if (path == "/metrics")
                        reply->send(200, "text/plain", {}, counters.text());
                    else if (path == "/dump" && handlers->dump)
                        reply->send(200, "application/json", {},
                                    handlers->dump());
                    else
                        reply->send(404, "text/plain", {},
                                    "only /metrics and /dump\n");
                });
        });
    if (!server)
        return failure(server.error().kind, server.error().message);
    created->server = std::move(server.value());
    return created;
}

void status_server::set_quarantine_handler(
    std::function<void(const http_request&, http_reply&)> handler)
{
    handlers->quarantine = std::move(handler);
}

void status_server::set_dump_handler(std::function<std::string()> dump)
{
    handlers->dump = std::move(dump);
}

} // namespace coursejunction
