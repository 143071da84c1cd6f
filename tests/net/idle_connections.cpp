#include <atomic>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "coursejunction/net/stream_client.hpp"
#include "coursejunction/net/stream_server.hpp"
#include "net/running_server.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

// The peer resets connections beyond its bound, so idle ones must not take the
// place of those that calls need.
SCENARIO("idle connections make room for new ones within a bound", "[net]")
{
    std::vector<cj::stream_reply> replies;
    std::atomic<int> arrived{0};
    std::atomic<int> answered{0};
    loopback::running_server serving(
        [&](const cj::stream_request&, cj::stream_reply reply)
        {
            replies.push_back(std::move(reply));
            ++arrived;
        });
    std::unique_ptr<cj::stream_client> client;
    serving.running.on_loop(
        [&] {
            client = std::make_unique<cj::stream_client>(serving.running.loop);
        });
    const auto call = [&](bool repeatable, std::size_t max_connections)
    {
        const int before = arrived;
        serving.running.on_loop(
            [&]
            {
                cj::stream_call made;
                made.address = serving.address;
                made.target = "/";
                made.may_reuse_connection = repeatable;
                made.max_connections = max_connections;
                client->gather(std::move(made),
                               [&](const cj::stream_client::answer& answer)
                               { answered += answer.is(200) ? 1 : 0; });
            });
        while (arrived == before)
            std::this_thread::sleep_for(1ms);
    };
    const auto answer_all = [&]
    {
        serving.running.on_loop(
            [&]
            {
                for (auto& reply : replies)
                    reply.send(200, {}, "");
                replies.clear();
            });
        while (answered != arrived)
            std::this_thread::sleep_for(1ms);
    };
    const auto connections = [&]
    {
        std::size_t open = 0;
        serving.running.on_loop([&] { open = serving.server->size(); });
        return open;
    };
    const auto becomes = [&](std::size_t expected)
    {
        for (int attempt = 0; connections() != expected && attempt < 1000;
             ++attempt)
            std::this_thread::sleep_for(1ms);
        return connections() == expected;
    };
    for (int number = 0; number < 4; ++number)
        call(true, 0);
    answer_all();
    CHECK(connections() == 4);

    SECTION("a call that needs a new one closes as many as necessary")
    {
        call(false, 3);
        CHECK(becomes(3));
        call(false, 3);
        CHECK(becomes(3));
        answer_all();
    }
    SECTION("a call that reuses one closes none")
    {
        call(true, 3);
        CHECK(connections() == 4);
        answer_all();
    }
    SECTION("without a bound none is closed")
    {
        call(false, 0);
        CHECK(connections() == 5);
        answer_all();
    }
    serving.running.on_loop([&] { client.reset(); });
}
