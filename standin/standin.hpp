/*! @file
 * @brief What all stand-ins of outside systems share: a loop, a server, a
 * line that tells the port, and faults that are switched on by request.
 */
#ifndef COURSEJUNCTION_STANDIN_STANDIN_HPP
#define COURSEJUNCTION_STANDIN_STANDIN_HPP

#include <csignal>
#include <cstdint>
#include <functional>
#include <iostream>
#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "coursejunction/core/assert.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/http_server.hpp"

namespace standin
{

using coursejunction::event_loop;
using coursejunction::header_map;
using coursejunction::http_reply;
using coursejunction::http_request;
using nlohmann::json;
using reply_pointer = std::shared_ptr<http_reply>;

/*! @brief Sends JSON. */
inline void send_json(const reply_pointer& to, int status, const json& body)
{
    to->send(status, "application/json", {}, body.dump());
}

/*! @brief Splits a path at its slashes. */
inline std::vector<std::string> split_path(const std::string& path)
{
    std::vector<std::string> parts;
    std::string part;
    for (const char one : path + "/")
    {
        if (one != '/')
        {
            part.push_back(one);
            continue;
        }
        if (!part.empty())
            parts.push_back(std::move(part));
        part.clear();
    }
    return parts;
}

/*! @brief Keeps one-shot timers until they have run. */
class delayer
{
public:
    explicit delayer(event_loop& target) : loop(target) {}

    void after(std::chrono::microseconds delay, std::function<void()> task)
    {
        const auto at = timers.emplace(timers.end());
        *at = loop.after(delay,
                         [this, at, call = std::move(task)]
                         {
                             const auto keep = std::move(*at);
                             timers.erase(at);
                             call();
                         });
    }

private:
    event_loop& loop;
    std::list<coursejunction::timer> timers;
};

/*! @brief Runs a stand-in until it is asked to stop.
 * @tparam Service Has `handle(http_request, reply_pointer)`, called on the
 * loop's thread. */
template <typename Service>
int run(event_loop& loop, Service& service, std::uint16_t port,
        std::size_t threads, std::size_t max_body)
{
    coursejunction::http_options options;
    options.threads = threads;
    options.max_request_bytes = max_body;
    auto server = coursejunction::http_server::create(
        "127.0.0.1", port, options,
        [&](http_request request, reply_pointer reply)
        {
            loop.post([&service, request = std::move(request),
                       reply = std::move(reply)]() mutable
                      { service.handle(std::move(request), reply); });
        });
    if (!server)
    {
        std::cerr << server.error().message << "\n";
        return 1;
    }
    loop.on_signal(SIGTERM, [&] { loop.stop(); });
    loop.on_signal(SIGINT, [&] { loop.stop(); });
    std::cout << json{{"ready", true}, {"http_port", server.value()->port()}}
              << std::endl;
    loop.run();
    return 0;
}

/*! @brief Reads the options every stand-in has. */
inline cxxopts::ParseResult parse(cxxopts::Options& options, int argc,
                                  char** argv)
{
    options.add_options()("port", "port, 0 for any",
                          cxxopts::value<std::uint16_t>()->default_value("0"));
    return options.parse(argc, argv);
}

} // namespace standin

#endif
