#include "coursejunction/net/datagram_socket.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include <catch2/catch.hpp>

#include "net/loopback.hpp"
#include "net/running_server.hpp"
#include "net/stalled_loop.hpp"

namespace cj = coursejunction;

// A busy process read one datagram in each turn of its loop, so that heartbeats
// waited for many turns and counted as new when they were read.
SCENARIO("datagrams that wait are read together", "[net]")
{
    constexpr int datagrams = 40;
    constexpr int max_turns = 10;
    const auto address = loopback::own_address(1);
    constexpr std::uint16_t port = 7001;
    loopback::running_loop running;
    std::unique_ptr<cj::datagram_socket> receiving;
    std::atomic<int> received{0};
    std::atomic<int> turns{0};
    const std::function<void()> count_turn = [&]
    {
        if (received == datagrams)
            return;
        ++turns;
        running.loop.post(count_turn);
    };
    running.on_loop(
        [&]
        {
            auto made = cj::datagram_socket::create(
                running.loop, address, port,
                [&](const std::string&, std::string_view) { ++received; });
            REQUIRE(made);
            receiving = std::move(made.value());
        });
    {
        loopback::stalled_loop stalled(running.loop);
        stalled.wait();
        cj::event_loop other;
        const auto sending =
            std::move(cj::datagram_socket::create(
                          other, loopback::own_address(2), port,
                          [](const std::string&, std::string_view) {})
                          .value());
        for (int sent = 0; sent < datagrams; ++sent)
            sending->send(address + ":" + std::to_string(port), "heartbeat");
        running.loop.post(count_turn);
    }
    CHECK(loopback::becomes([&] { return received == datagrams; }));
    CHECK(turns <= max_turns);
    running.on_loop([&] { receiving.reset(); });
}
