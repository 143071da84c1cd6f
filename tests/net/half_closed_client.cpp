#include <atomic>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "coursejunction/net/stream_server.hpp"
#include "net/loopback.hpp"
#include "net/running_server.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;
using loopback::raw_connection;

namespace
{

/*! @brief The requests that a server received and has not answered. */
struct waiting_requests
{
    std::atomic<int> arrived{0};
    std::atomic<int> disconnected{0};
    std::vector<cj::stream_reply> replies;
};

/*! @brief A server that keeps the replies to its requests. */
struct waiting_server : waiting_requests, loopback::running_server
{
    waiting_server()
        : running_server(
              [this](const cj::stream_request&, cj::stream_reply reply)
              {
                  reply.on_disconnect([this] { ++disconnected; });
                  replies.push_back(std::move(reply));
                  ++arrived;
              })
    {
    }

    void wait_for(int requests) const
    {
        for (int attempt = 0; arrived < requests && attempt < 5000; ++attempt)
            std::this_thread::sleep_for(1ms);
    }
};

const std::string lines = " HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

// Guards against work that goes on for a client that has closed its connection:
// the end of its sending is all that the server sees of that.
SCENARIO("a client that stops sending counts as disconnected", "[net]")
{
    waiting_server serving;
    raw_connection client(serving.port);
    SECTION("of HTTP/1.1")
    {
        client.send("GET /" + lines);
    }
    SECTION("of HTTP/1.0")
    {
        client.send("GET / HTTP/1.0\r\n\r\n");
    }
    serving.wait_for(1);
    client.finish_sending();
    CHECK(client.drain().empty());
    serving.running.on_loop([] {});
    CHECK(serving.disconnected == 1);
}

SCENARIO("a close is noticed behind requests that were not handled yet",
         "[net]")
{
    waiting_server serving;
    {
        raw_connection client(serving.port);
        client.send("GET /1" + lines);
        serving.wait_for(1);
        client.send("GET /2" + lines);
        std::this_thread::sleep_for(50ms);
        client.send("GET /3" + lines);
    }
    for (int attempt = 0; serving.disconnected == 0 && attempt < 500; ++attempt)
        std::this_thread::sleep_for(1ms);
    CHECK(serving.disconnected == 1);
    CHECK(serving.arrived == 1);
}
