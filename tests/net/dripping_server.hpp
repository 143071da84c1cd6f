/*! @file
 * @brief A server whose answers come in parts, for tests of time limits.
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

/*! @brief Answers each call with a number of bytes, one at a time. */
class dripping_server
{
public:
    /*! @param bytes Of a whole answer.
     * @param pause Between two of them.
     * @param stop_after Bytes after which nothing more comes. */
    dripping_server(int bytes, std::chrono::milliseconds pause, int stop_after)
        : length(bytes), last(stop_after), wait(pause)
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
            return silent.push_back(std::move(reply));
        reply.begin(200, {});
        const auto sent = std::make_shared<int>(0);
        drips.push_back(running.loop.every(wait,
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
    std::chrono::milliseconds wait;
    running_loop running;
    std::vector<coursejunction::timer> drips;
    std::vector<coursejunction::stream_reply> silent;
    std::unique_ptr<coursejunction::stream_server> server;
};

} // namespace loopback

#endif
