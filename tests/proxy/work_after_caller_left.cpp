#include <chrono>
#include <string>

#include <catch2/catch.hpp>

#include "net/crashing_peer.hpp"
#include "net/running_server.hpp"
#include "proxy/entry_on_loopback.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

using loopback::becomes;
using proxy_test::entry_on_loopback;
using proxy_test::scripted_upstream;
using steady = std::chrono::steady_clock;

// A suspended upstream runs what it has received when it goes on. Requests were
// held there until their callers left, so that it ran them for nobody.
SCENARIO("a stream is not held at a silent upstream until its caller leaves",
         "[proxy]")
{
    constexpr auto patience = 2400ms;
    constexpr auto deadline = 1500ms;
    entry_on_loopback entry(100ms);
    entry.caller_patience = patience;
    entry.configure_route(cj::request_kind::stream, true, 20'000ms);
    scripted_upstream silent({scripted_upstream::hang});
    scripted_upstream other({scripted_upstream::hang});
    std::string expected = "HTTP/1.1 504";
    std::chrono::milliseconds leaves_after = patience;
    bool to_other = false;

    SECTION("where no other upstream can take it") {}
    SECTION("where the other upstream is silent as well")
    {
        to_other = true;
    }
    SECTION("where it cannot be resumed elsewhere")
    {
        entry.configure_route(cj::request_kind::stream, false, 20'000ms);
    }
    SECTION("where its deadline is earlier")
    {
        entry.configure_route(cj::request_kind::stream, true, deadline);
        leaves_after = deadline;
    }
    SECTION("where the sidecars fell silent, it ends soon")
    {
        to_other = GENERATE(false, true);
        expected = "HTTP/1.1 502";
        leaves_after = to_other ? patience : patience / 2;
    }
    entry.add_upstream("a", silent.address);
    if (to_other)
        entry.add_upstream("b", other.address);
    if (expected == "HTTP/1.1 502")
        entry.running.on_loop(
            [&]
            {
                cj::message::upstream_status status;
                status.side = 1;
                status.sequence = 1;
                entry.book.apply_status("127.0.0.1", status,
                                        cj::event_loop::now() - 5s);
            });
    const auto asked_at = steady::now();
    CHECK(entry.ask().starts_with(expected));
    CHECK(steady::now() - asked_at < leaves_after);
    CHECK(becomes([&] { return bool(silent.reset_by_caller); }));
    CHECK(other.arrivals().size() == (to_other ? 1 : 0));
    CHECK(becomes([&] { return other.reset_by_caller == to_other; }));
}

SCENARIO("a stream that has begun is held until just before its caller leaves",
         "[proxy]")
{
    constexpr auto patience = 2400ms;
    entry_on_loopback entry(100ms);
    entry.caller_patience = patience;
    entry.configure_route(cj::request_kind::stream, true, 20'000ms);
    loopback::crashing_peer silent(
        {proxy_test::event_stream("id: 1\ndata: x\n\n", false), 3000ms});
    entry.add_upstream("a", silent.address);
    const auto asked_at = steady::now();
    const auto answer = entry.ask();
    const auto took = steady::now() - asked_at;
    CHECK(answer.find("data: x") != std::string::npos);
    CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
    CHECK(took > patience - 600ms);
    CHECK(took < patience);
}

// The end of a stream that was sent at its caller's deadline crossed the
// caller's own disconnect, so that its upstreams worked for a caller that had
// left.
SCENARIO("a stream ends before its caller disconnects at its deadline",
         "[proxy]")
{
    constexpr auto deadline = 800ms;
    entry_on_loopback entry;
    entry.configure_route(cj::request_kind::stream, true, 20'000ms);
    const auto ask = [&]
    {
        const auto asked_at = steady::now();
        entry.ask("/x",
                  "Deadline-Ms: " + std::to_string(deadline.count()) + "\r\n");
        return steady::now() - asked_at;
    };
    SECTION("where it has begun")
    {
        loopback::crashing_peer slow(
            {proxy_test::event_stream("id: 1\ndata: x\n\n", false), 3000ms});
        entry.add_upstream("a", slow.address);
        const auto took = ask();
        CHECK(took < deadline);
        CHECK(took > deadline * 3 / 4);
    }
    SECTION("where no event has arrived")
    {
        scripted_upstream silent({scripted_upstream::hang});
        entry.add_upstream("a", silent.address);
        CHECK(ask() < deadline);
        CHECK(becomes([&] { return bool(silent.reset_by_caller); }));
    }
    SECTION("where its response is awaited as a whole, it has all the time")
    {
        entry.configure_route(cj::request_kind::repeatable, true, 20'000ms);
        scripted_upstream silent({scripted_upstream::hang});
        entry.add_upstream("a", silent.address);
        CHECK(ask() >= deadline);
    }
}
