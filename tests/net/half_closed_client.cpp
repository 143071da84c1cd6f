#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "coursejunction/net/stream_server.hpp"
#include "net/loopback.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;
using loopback::raw_connection;

namespace
{

/*! @brief A server that keeps the replies to its requests. */
struct waiting_server
{
    waiting_server()
    {
        running.on_loop(
            [&]
            {
                auto made = cj::stream_server::create(
                    running.loop, "127.0.0.1", 0, {},
                    [this](const cj::stream_request& request,
                           cj::stream_reply reply)
                    {
                        reply.on_disconnect([this] { ++disconnected; });
                        replies.push_back(std::move(reply));
                        targets.push_back(request.target);
                        ++arrived;
                    });
                REQUIRE(made);
                server = std::move(made.value());
                port = server->port();
            });
    }

    ~waiting_server()
    {
        running.on_loop([&] { server.reset(); });
        running.stop();
    }

    void wait_for(int requests) const
    {
        for (int attempt = 0; arrived < requests && attempt < 5000; ++attempt)
            std::this_thread::sleep_for(1ms);
    }

    std::atomic<int> arrived{0};
    std::atomic<int> disconnected{0};
    std::vector<cj::stream_reply> replies;
    std::vector<std::string> targets;
    loopback::running_loop running;
    std::unique_ptr<cj::stream_server> server;
    std::uint16_t port{0};
};

const std::string lines = " HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

// Its end of sending was taken for the close of the connection, and the answer
// was lost.
SCENARIO("a client that only stops sending gets its response", "[net]")
{
    waiting_server serving;
    raw_connection client(serving.port);

    SECTION("with interim responses before a complete one")
    {
        client.send("GET /" + lines);
        serving.wait_for(1);
        client.finish_sending();
        std::this_thread::sleep_for(300ms);
        serving.running.on_loop([&]
                                { serving.replies[0].send(200, {}, "ok"); });
        const auto answer = client.drain();
        CHECK(answer.starts_with("HTTP/1.1 100 Continue\r\n\r\n"));
        CHECK(answer.find("HTTP/1.1 200") != std::string::npos);
        CHECK(answer.ends_with("ok"));
    }
    SECTION("inside a streamed one, where leading zeros stay in the framing")
    {
        client.send("GET /" + lines);
        serving.wait_for(1);
        serving.running.on_loop(
            [&]
            {
                serving.replies[0].begin(200, {});
                serving.replies[0].write("first");
            });
        CHECK(client.until("first\r\n").ends_with("5\r\nfirst\r\n"));
        client.finish_sending();
        std::this_thread::sleep_for(300ms);
        serving.running.on_loop(
            [&]
            {
                serving.replies[0].write("second");
                serving.replies[0].finish();
            });
        CHECK(client.drain().ends_with(
            "5\r\nfirst\r\n006\r\nsecond\r\n0\r\n\r\n"));
    }
    SECTION("and those of the requests that it had sent behind the first one")
    {
        client.send("GET /1" + lines);
        serving.wait_for(1);
        client.send("GET /2" + lines + "GET /3" + lines);
        client.finish_sending();
        for (int number = 0; number < 3; ++number)
        {
            serving.wait_for(number + 1);
            std::this_thread::sleep_for(50ms);
            serving.running.on_loop(
                [&] { serving.replies[number].send(200, {}, "done"); });
        }
        CHECK(client.drain().ends_with("done"));
        CHECK(serving.targets == std::vector<std::string>{"/1", "/2", "/3"});
    }
    CHECK(serving.disconnected == 0);
    CHECK_FALSE(client.was_reset);
}

// Nothing may precede the response of such a client, so that it cannot be told
// from one that has closed.
SCENARIO("a client without chunks that stops sending counts as disconnected",
         "[net]")
{
    waiting_server serving;
    raw_connection client(serving.port);
    client.send("GET / HTTP/1.0\r\n\r\n");
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
