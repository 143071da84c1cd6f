#include <atomic>
#include <functional>
#include <memory>
#include <vector>

#include <catch2/catch.hpp>

#include "coursejunction/net/stream_server.hpp"
#include "net/loopback.hpp"
#include "net/running_server.hpp"
#include "net/stalled_loop.hpp"

namespace cj = coursejunction;

// A busy server accepted one connection in each turn of its loop, so that
// clients waited for as many turns as there were connections before theirs.
SCENARIO("connections that wait are accepted together", "[net]")
{
    constexpr int clients = 40;
    constexpr int max_turns = 15;
    std::atomic<int> handled{0};
    loopback::running_server serving(
        [&](const cj::stream_request&, cj::stream_reply reply)
        {
            ++handled;
            reply.send(200, {}, "");
        });
    std::atomic<int> turns{0};
    std::function<void()> count_turn = [&]
    {
        if (handled == clients)
            return;
        ++turns;
        serving.running.loop.post(count_turn);
    };
    std::vector<std::unique_ptr<loopback::raw_connection>> callers;
    {
        loopback::stalled_loop stalled(serving.running.loop);
        stalled.wait();
        for (int made = 0; made < clients; ++made)
        {
            callers.push_back(
                std::make_unique<loopback::raw_connection>(serving.port));
            callers.back()->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        }
        serving.running.loop.post(count_turn);
    }
    CHECK(loopback::becomes([&] { return handled == clients; }));
    CHECK(turns <= max_turns);
    serving.running.on_loop([] {});
}
