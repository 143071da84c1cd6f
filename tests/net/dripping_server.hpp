/*! @file
 * @brief Test server with slow responses, for tests of time limits.
 */
#ifndef COURSEJUNCTION_TESTS_NET_DRIPPING_SERVER_HPP
#define COURSEJUNCTION_TESTS_NET_DRIPPING_SERVER_HPP

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/stream_server.hpp"
#include "net/loopback.hpp"

namespace loopback
{

/*! @brief Sends each response one byte at a time. */
class dripping_server
{
public:
    /*! @param bytes Length of a complete response.
     * @param pause Time between two bytes.
     * @param stop_after Number of bytes after which it stalls; 0 sends not even
     * a head. */
    dripping_server(int bytes, std::chrono::milliseconds pause, int stop_after)
        : length(bytes), last(stop_after), byte_interval(pause)
    {
        running.on_loop(
            [this]
            {
                server =
                    std::move(coursejunction::stream_server::create(
                                  running.loop, "127.0.0.1", 0, {},
                                  [this](const coursejunction::stream_request&,
                                         coursejunction::stream_reply reply)
                                  { begin(std::move(reply)); })
                                  .value());
            });
    }

    dripping_server(const dripping_server&) = delete;
    dripping_server& operator=(const dripping_server&) = delete;
    ~dripping_server() { running.stop(); }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(server->port());
    }

private:
    void begin(coursejunction::stream_reply reply)
    {
        if (last == 0)
            return unanswered.push_back(std::move(reply));
        reply.begin(200, {});
        const auto sent = std::make_shared<int>(0);
        timers.push_back(running.loop.every(byte_interval,
                                            [this, reply, sent]() mutable
                                            {
                                                if (*sent >= last)
                                                    return;
                                                reply.write("x");
                                                if (++*sent == length)
                                                    reply.finish();
                                            }));
    }

    int length;
    int last;
    std::chrono::milliseconds byte_interval;
    running_loop running;
    std::vector<coursejunction::timer> timers;
    std::vector<coursejunction::stream_reply> unanswered;
    std::unique_ptr<coursejunction::stream_server> server;
};

} // namespace loopback

#endif
