/*! @file
 * @brief A stream server with an event loop of its own, and waiting for a
 * condition.
 */
#ifndef COURSEJUNCTION_TESTS_NET_RUNNING_SERVER_HPP
#define COURSEJUNCTION_TESTS_NET_RUNNING_SERVER_HPP

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "coursejunction/net/stream_server.hpp"
#include "net/loopback.hpp"

namespace loopback
{

/*! @brief Waits until a condition is true.
 * @return Whether it was true in time. */
template <typename Condition>
bool becomes(Condition condition,
             std::chrono::milliseconds within = std::chrono::seconds(5))
{
    const auto until = std::chrono::steady_clock::now() + within;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > until)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
}

/*! @brief A stream server on a free port of 127.0.0.1, which records the
 * connections that close. What its handler uses must be destroyed later: it is
 * declared earlier, or in an earlier base of a class that derives from this. */
class running_server
{
public:
    explicit running_server(coursejunction::stream_server::handler handler,
                            coursejunction::stream_limits limits = {})
    {
        running.on_loop(
            [&]
            {
                auto made = coursejunction::stream_server::create(
                    running.loop, "127.0.0.1", 0, limits, std::move(handler));
                REQUIRE(made);
                server = std::move(made.value());
                port = server->port();
                address = "127.0.0.1:" + std::to_string(port);
                server->on_close(
                    [this](const coursejunction::closed_connection& one)
                    {
                        const std::lock_guard guard(closes_mutex);
                        closes.push_back(one);
                    });
            });
    }

    running_server(const running_server&) = delete;
    running_server& operator=(const running_server&) = delete;

    ~running_server()
    {
        running.on_loop([&] { server.reset(); });
        running.stop();
    }

    /*! @brief Returns the connections that closed so far, in order. */
    [[nodiscard]] std::vector<coursejunction::closed_connection> closed() const
    {
        const std::lock_guard guard(closes_mutex);
        return closes;
    }

private:
    mutable std::mutex closes_mutex;
    std::vector<coursejunction::closed_connection> closes;

public:
    running_loop running;
    std::unique_ptr<coursejunction::stream_server> server;
    std::uint16_t port{0};
    std::string address; /*!< `IP:port`. */
};

} // namespace loopback

#endif
