#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "coursejunction/core/input_clock.hpp"
#include "net/running_server.hpp"
#include "net/stalled_loop.hpp"
#include "proxy/entry_on_loopback.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

using loopback::becomes;
using loopback::raw_connection;
using loopback::stalled_loop;
using proxy_test::entry_on_loopback;
using proxy_test::scripted_upstream;
using proxy_test::test_codec;
using steady = std::chrono::steady_clock;

namespace
{

constexpr auto stall = 800ms;

/*! @brief Time by which an age may be taken for too short. */
constexpr auto unknown_age = 3 * cj::input_clock::interval;

std::string request_text(std::chrono::milliseconds deadline)
{
    return "POST /x HTTP/1.1\r\nHost: h\r\nId: 7\r\nDeadline-Ms: " +
           std::to_string(deadline.count()) + "\r\nContent-Length: 0\r\n\r\n";
}

/*! @brief Returns the time limit that an upstream received with a request. */
std::chrono::milliseconds received_limit(scripted_upstream& upstream)
{
    REQUIRE(becomes([&] { return !upstream.arrivals().empty(); }));
    const auto request = upstream.arrivals().front();
    const auto at = request.find("Left: ");
    REQUIRE(at != std::string::npos);
    return std::chrono::milliseconds(std::stoi(request.substr(at + 6)));
}

} // namespace

// A caller states its time limit relative to its sending. It began anew when a
// busy entry read the request, so that upstreams worked beyond it.
SCENARIO("the time in which a request waits unread counts towards its limit",
         "[proxy]")
{
    constexpr auto deadline = 2000ms;
    scripted_upstream upstream({proxy_test::response("ok")});
    entry_on_loopback entry;
    entry.configure_route(cj::request_kind::repeatable);
    entry.add_upstream("a", upstream.address);
    entry.running.on_loop([&] { entry.running.loop.track_input_age(); });
    raw_connection caller(entry.port);
    std::this_thread::sleep_for(100ms);

    SECTION("on a connection that waits to be accepted")
    {
        stalled_loop stalled(entry.running.loop);
        stalled.wait();
        raw_connection other(entry.port);
        other.send(request_text(deadline));
        std::this_thread::sleep_for(stall);
        stalled.release();
        CHECK(received_limit(upstream) <= deadline - stall + unknown_age);
        CHECK(other.until("ok").starts_with("HTTP/1.1 200"));
    }
    SECTION("on a kept connection")
    {
        stalled_loop stalled(entry.running.loop);
        stalled.wait();
        caller.send(request_text(deadline));
        std::this_thread::sleep_for(stall);
        stalled.release();
        CHECK(received_limit(upstream) <= deadline - stall + unknown_age);
        CHECK(caller.until("ok").starts_with("HTTP/1.1 200"));
    }
    SECTION("where its body ends late")
    {
        caller.send("POST /x HTTP/1.1\r\nHost: h\r\nId: 7\r\nDeadline-Ms: "
                    "2000\r\nContent-Length: 4\r\n\r\nbo");
        std::this_thread::sleep_for(stall);
        caller.send("dy");
        CHECK(received_limit(upstream) <= deadline - stall + unknown_age);
    }
    SECTION("where the connection to its upstream comes up late")
    {
        std::unique_ptr<stalled_loop> stalled;
        test_codec::before_attempt = [&]
        { stalled = std::make_unique<stalled_loop>(entry.running.loop); };
        caller.send(request_text(deadline));
        std::this_thread::sleep_for(stall);
        test_codec::before_attempt = nullptr;
        REQUIRE(stalled);
        stalled->release();
        CHECK(received_limit(upstream) <= deadline - stall + unknown_age);
    }
    SECTION("where nothing delays it, its upstream gets all of it")
    {
        caller.send(request_text(deadline));
        CHECK(received_limit(upstream) >= deadline - 2 * unknown_age);
    }
    SECTION("one whose time has passed is refused at once")
    {
        stalled_loop stalled(entry.running.loop);
        stalled.wait();
        caller.send(request_text(stall / 2));
        std::this_thread::sleep_for(stall);
        const auto released_at = steady::now();
        stalled.release();
        CHECK(caller.until("\r\n\r\n").starts_with("HTTP/1.1 503"));
        CHECK(steady::now() - released_at < stall / 2);
        CHECK(upstream.arrivals().empty());
    }
}
