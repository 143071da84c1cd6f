#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "net/crashing_peer.hpp"
#include "net/pacing_peer.hpp"
#include "net/running_server.hpp"
#include "proxy/entry_on_loopback.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

using loopback::becomes;
using loopback::raw_connection;
using proxy_test::entry_on_loopback;
using proxy_test::event_stream;
using proxy_test::scripted_upstream;

namespace
{

/*! @brief Time after which no upstream may work on the request of a caller that
 * closed its connection. */
constexpr auto limit = 500ms;

const std::string request_text = "POST /x HTTP/1.1\r\nHost: h\r\nId: 7\r\n"
                                 "Content-Length: 0\r\n\r\n";

std::size_t open_requests(entry_on_loopback& entry)
{
    std::size_t open = 0;
    entry.running.on_loop([&] { open = entry.service->size(); });
    return open;
}

std::size_t queued_requests(entry_on_loopback& entry)
{
    std::size_t queued = 0;
    entry.running.on_loop([&] { queued = entry.service->queued_count(); });
    return queued;
}

} // namespace

// An upstream that works on for a caller that has left has no capacity for
// others.
SCENARIO("a caller that closes its connection ends its attempts at once",
         "[proxy]")
{
    entry_on_loopback entry;
    entry.configure_route(cj::request_kind::stream, true, 20'000ms);
    auto caller = std::make_unique<raw_connection>(entry.port);

    SECTION("before the first event")
    {
        scripted_upstream upstream({scripted_upstream::hang});
        entry.add_upstream("a", upstream.address);
        caller->send(request_text);
        CHECK(becomes([&] { return !upstream.arrivals().empty(); }));
        caller.reset();
        CHECK(becomes([&] { return bool(upstream.closed_by_caller); }, limit));
        CHECK(upstream.reset_by_caller);
    }
    SECTION("with bytes of a further request behind the first one")
    {
        scripted_upstream upstream({scripted_upstream::hang});
        entry.add_upstream("a", upstream.address);
        caller->send(request_text + "POST /y HTTP/1.1\r\nHos");
        CHECK(becomes([&] { return !upstream.arrivals().empty(); }));
        caller.reset();
        CHECK(becomes([&] { return bool(upstream.closed_by_caller); }, limit));
    }
    SECTION("with a further request that arrived later")
    {
        scripted_upstream upstream({scripted_upstream::hang});
        entry.add_upstream("a", upstream.address);
        caller->send(request_text);
        CHECK(becomes([&] { return !upstream.arrivals().empty(); }));
        caller->send(request_text);
        std::this_thread::sleep_for(50ms);
        caller.reset();
        CHECK(becomes([&] { return bool(upstream.closed_by_caller); }, limit));
        std::this_thread::sleep_for(limit);
        CHECK(upstream.arrivals().size() == 1);
    }
    SECTION("with more further requests than are read ahead")
    {
        scripted_upstream upstream({scripted_upstream::hang});
        entry.add_upstream("a", upstream.address);
        caller->send(request_text);
        CHECK(becomes([&] { return !upstream.arrivals().empty(); }));
        for (int sent = 0; sent < 1000; ++sent)
            caller->send(request_text);
        std::this_thread::sleep_for(50ms);
        caller.reset();
        CHECK(becomes([&] { return bool(upstream.closed_by_caller); }, limit));
    }
    SECTION("in a stream that another upstream continues")
    {
        loopback::crashing_peer broken(
            {event_stream("id: 1\ndata: a\n\n", false), 0ms});
        scripted_upstream upstream({scripted_upstream::hang});
        entry.add_upstream("a", broken.address);
        entry.add_upstream("b", upstream.address);
        caller->send(request_text);
        CHECK(becomes([&] { return !upstream.arrivals().empty(); }));
        CHECK(caller->until("data: a").find("data: a") != std::string::npos);
        caller.reset();
        CHECK(becomes([&] { return bool(upstream.closed_by_caller); }, limit));
    }
    SECTION("at two upstreams, of which the first is silent")
    {
        scripted_upstream silent({scripted_upstream::hang});
        scripted_upstream other({scripted_upstream::hang});
        entry.add_upstream("a", silent.address);
        entry.add_upstream("b", other.address);
        caller->send(request_text);
        CHECK(becomes([&] { return !other.arrivals().empty(); }));
        caller.reset();
        CHECK(becomes(
            [&] { return silent.closed_by_caller && other.closed_by_caller; },
            limit));
    }
    CHECK(becomes([&] { return open_requests(entry) == 0; }, limit));
}

SCENARIO("a caller that closes its connection loses its place in the queue",
         "[proxy]")
{
    entry_on_loopback entry;
    // Requests wait for a fraction of the target while no upstream is known.
    entry.first_event_target = 20'000ms;
    entry.configure_route(cj::request_kind::stream, true, 20'000ms);
    auto caller = std::make_unique<raw_connection>(entry.port);
    caller->send(request_text);
    REQUIRE(becomes([&] { return queued_requests(entry) == 1; }));
    caller.reset();
    CHECK(becomes([&] { return queued_requests(entry) == 0; }, limit));
    CHECK(open_requests(entry) == 0);
    scripted_upstream upstream({scripted_upstream::hang});
    entry.add_upstream("a", upstream.address);
    std::this_thread::sleep_for(100ms);
    CHECK(upstream.arrivals().empty());
}
