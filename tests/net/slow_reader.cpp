#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "coursejunction/net/stream_client.hpp"
#include "coursejunction/net/stream_server.hpp"
#include "net/loopback.hpp"
#include "net/running_server.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;
using loopback::becomes;
using loopback::raw_connection;

namespace
{

constexpr std::size_t part_bytes = 8192;

/*! @brief The responses that a server has begun. */
struct begun_responses
{
    std::vector<cj::stream_reply> replies;
    std::atomic<int> begun{0};
};

/*! @brief A server that begins a response for each request and keeps its reply.
 */
struct streaming_server : begun_responses, loopback::running_server
{
    streaming_server()
        : running_server(
              [this](const cj::stream_request&, cj::stream_reply reply)
              {
                  reply.begin(200, {});
                  replies.push_back(std::move(reply));
                  ++begun;
              })
    {
    }

    /*! @brief Starts a request on a connection and waits for its reply. */
    void ask(raw_connection& caller)
    {
        const int before = begun;
        caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        while (begun == before)
            std::this_thread::sleep_for(1ms);
    }

    /*! @brief Writes to a reply until an amount is queued for its client. */
    void fill(std::size_t number, std::size_t bytes)
    {
        for (std::size_t unsent = 0; unsent < bytes;)
        {
            running.on_loop(
                [&]
                {
                    replies[number].write(std::string(part_bytes, 'x'));
                    unsent = replies[number].unsent();
                });
        }
    }
};

} // namespace

// Without the callback the source of a response is read on without a limit, or
// is never read again.
SCENARIO("the writer of a response learns that the client has read", "[net]")
{
    streaming_server serving;
    raw_connection client(serving.port);
    serving.ask(client);
    constexpr std::size_t much = 400'000;
    serving.fill(0, much);
    std::atomic<int> drained{0};
    std::atomic<std::size_t> unsent_then{0};
    serving.running.on_loop(
        [&]
        {
            serving.replies[0].on_drained(much / 4,
                                          [&]
                                          {
                                              unsent_then =
                                                  serving.replies[0].unsent();
                                              ++drained;
                                              serving.replies[0].finish();
                                          });
        });
    std::this_thread::sleep_for(100ms);
    CHECK(drained == 0);
    CHECK(client.until("0\r\n\r\n").ends_with("0\r\n\r\n"));
    CHECK(drained == 1);
    CHECK(unsent_then < much / 4);
    CHECK(becomes([&] { return serving.server->unsent() == 0; }));
}

SCENARIO("a dropped response resets its connection at once", "[net]")
{
    streaming_server serving;
    raw_connection client(serving.port);
    serving.ask(client);
    serving.fill(0, 400'000);
    std::atomic<bool> called{false};
    serving.running.on_loop(
        [&]
        {
            serving.replies[0].on_disconnect([&] { called = true; });
            serving.replies[0].drop();
            CHECK(serving.server->unsent() == 0);
            CHECK(serving.replies[0].unsent() == 0);
        });
    REQUIRE(serving.closed().size() == 1);
    CHECK(serving.closed()[0].reason == cj::close_reason::unsent);
    CHECK(serving.closed()[0].unsent_bytes >= 400'000);
    const auto received = client.drain();
    CHECK(client.was_reset);
    CHECK_FALSE(received.ends_with("0\r\n\r\n"));
    CHECK_FALSE(called);
}

// Unread responses count towards the memory of the process, which is killed
// beyond its limit and then loses the responses of all its clients.
SCENARIO("beyond the bound for all clients the slowest reader is cut", "[net]")
{
    constexpr std::size_t each = 300'000;
    constexpr std::size_t bound = 1'000'000;
    std::atomic<bool> left[3]{};
    streaming_server serving;
    serving.running.on_loop([&] { serving.server->limit_unsent(bound); });
    std::vector<std::unique_ptr<raw_connection>> clients;
    for (std::size_t number = 0; number < 3; ++number)
    {
        clients.push_back(std::make_unique<raw_connection>(serving.port));
        serving.ask(*clients.back());
        serving.running.on_loop(
            [&]
            {
                serving.replies[number].on_disconnect([gone = &left[number]]
                                                      { *gone = true; });
            });
        serving.fill(number, each / 2);
        serving.running.on_loop([&]
                                { serving.replies[number].write("middle"); });
        serving.fill(number, each);
    }
    CHECK(serving.closed().empty());
    // The first client takes something again, so that the second is slowest.
    CHECK(clients[0]->until("middle").find("middle") != std::string::npos);
    serving.fill(0, each);

    raw_connection reading(serving.port);
    serving.ask(reading);
    serving.running.on_loop(
        [&]
        {
            serving.replies[3].write(std::string(each, 'y'));
            serving.replies[3].finish();
        });
    CHECK(reading.until("0\r\n\r\n").ends_with("0\r\n\r\n"));
    REQUIRE(serving.closed().size() == 1);
    CHECK(serving.closed()[0].reason == cj::close_reason::unsent);
    CHECK(serving.closed()[0].unsent_bytes >= each);
    CHECK(left[1]);
    CHECK_FALSE(left[0]);
    CHECK_FALSE(left[2]);
    std::size_t unsent = 0;
    serving.running.on_loop([&] { unsent = serving.server->unsent(); });
    CHECK(unsent <= bound);
}

SCENARIO("a paused call holds its peer back and is read on when resumed",
         "[net]")
{
    streaming_server serving;
    std::optional<cj::stream_client> calling;
    cj::stream_client::call_id call = 0;
    std::string received;
    std::atomic<std::size_t> size{0};
    std::atomic<int> ends{0};
    std::atomic<cj::stream_end> how{cj::stream_end::not_sent};
    serving.running.on_loop(
        [&]
        {
            calling.emplace(serving.running.loop);
            cj::stream_call to;
            to.address = serving.address;
            to.target = "/";
            to.stall_time = 200ms;
            cj::stream_client::callbacks handlers;
            handlers.head = [&](const cj::stream_head&)
            { calling->pause(call); };
            handlers.data = [&](std::string_view bytes)
            {
                received += bytes;
                size = received.size();
            };
            handlers.ended = [&](cj::stream_end end, const std::string&)
            {
                how = end;
                ++ends;
            };
            call = calling->start(std::move(to), std::move(handlers));
        });
    while (serving.begun == 0)
        std::this_thread::sleep_for(1ms);
    constexpr std::size_t held_back = 200'000;
    serving.fill(0, held_back);
    // A paused call makes no progress, and that is no stall.
    std::this_thread::sleep_for(500ms);
    CHECK(size == 0);
    CHECK(ends == 0);
    CHECK(serving.server->unsent() >= held_back);
    serving.running.on_loop(
        [&]
        {
            serving.replies[0].finish();
            calling->resume(call);
            calling->resume(call);
        });
    CHECK(becomes([&] { return ends == 1; }));
    CHECK(how == cj::stream_end::whole);
    CHECK(size >= held_back);

    serving.running.on_loop(
        [&]
        {
            // The call does not exist any more.
            calling->pause(call);
            calling->resume(call);
            calling.reset();
        });
}
