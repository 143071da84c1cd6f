#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include <catch2/catch.hpp>

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

namespace
{

const std::string request_text = "POST /x HTTP/1.1\r\nHost: h\r\nId: 7\r\n"
                                 "Content-Length: 0\r\n\r\n";

/*! @brief Time in which a request that was sent on would arrive. */
constexpr auto arrival_time = 200ms;

std::size_t open_requests(entry_on_loopback& entry)
{
    std::size_t open = 0;
    entry.running.on_loop([&] { open = entry.service->size(); });
    return open;
}

/*! @brief An upstream that keeps its connections, so that a request is written
 * to it within the turn in which it is placed. */
struct keeping_upstream
{
    std::atomic<int> arrivals{0};
    loopback::running_server server{
        [this](const cj::stream_request&, cj::stream_reply reply)
        {
            ++arrivals;
            cj::header_list headers;
            headers.push_back("Id", "7");
            reply.send(200, headers, "data: a\n\n");
        }};
};

/*! @brief Sets what is done before each attempt's headers are made. */
class before_attempts
{
public:
    explicit before_attempts(std::function<void()> call)
    {
        test_codec::before_attempt = std::move(call);
    }

    before_attempts(const before_attempts&) = delete;
    before_attempts& operator=(const before_attempts&) = delete;
    ~before_attempts() { test_codec::before_attempt = nullptr; }
};

} // namespace

// An entry without processor time reads a request and the close of its caller
// in one turn of its loop. It sent the request on before it looked for the
// close.
SCENARIO("a request is not sent on after its caller has closed the connection",
         "[proxy]")
{
    keeping_upstream upstream;
    entry_on_loopback entry;
    entry.configure_route(GENERATE(cj::request_kind::stream,
                                   cj::request_kind::repeatable,
                                   cj::request_kind::at_most_once),
                          true);
    const auto add_upstream = [&]
    {
        entry.add_upstream("a", upstream.server.address);
        // Opens the connection that is kept.
        raw_connection first(entry.port);
        first.send(request_text);
        CHECK(first.until("data: a").find("data: a") != std::string::npos);
    };
    auto caller = std::make_unique<raw_connection>(entry.port);

    SECTION("where both are read at once")
    {
        add_upstream();
        SECTION("on a new connection") {}
        SECTION("on a kept connection")
        {
            caller->send("POST /x HTTP/1.1\r\nHost: other\r\nId: 6\r\n"
                         "Content-Length: 0\r\n\r\n");
            CHECK(caller->until("\r\n\r\n").starts_with("HTTP/1.1 404"));
        }
        stalled_loop stalled(entry.running.loop);
        stalled.wait();
        caller->send(request_text);
        caller.reset();
    }
    SECTION("where the request is behind another one on its connection")
    {
        add_upstream();
        stalled_loop stalled(entry.running.loop);
        stalled.wait();
        caller->send("POST /x HTTP/1.1\r\nHost: other\r\nId: 6\r\n"
                     "Content-Length: 0\r\n\r\n" +
                     request_text);
        caller.reset();
    }
    SECTION("where it is behind the rest of a body")
    {
        add_upstream();
        caller->send("POST /x HTTP/1.1\r\nHost: h\r\nId: 7\r\n"
                     "Content-Length: 4\r\n\r\nbo");
        std::this_thread::sleep_for(50ms);
        stalled_loop stalled(entry.running.loop);
        stalled.wait();
        caller->send("dy");
        caller.reset();
    }
    CHECK(becomes([&] { return open_requests(entry) == 0; }));
    std::this_thread::sleep_for(arrival_time);
    CHECK(upstream.arrivals == 1);
}

// A request that had waited was sent when its turn came, though its caller had
// closed the connection before.
SCENARIO("a request that waited is not sent after its caller has left",
         "[proxy]")
{
    entry_on_loopback entry;
    auto caller = std::make_unique<raw_connection>(entry.port);
    scripted_upstream upstream({proxy_test::response("ok")});

    SECTION("for a slot")
    {
        entry.first_event_target = 20'000ms;
        entry.configure_route(cj::request_kind::stream, true, 20'000ms);
        caller->send(request_text);
        REQUIRE(becomes([&] { return open_requests(entry) == 1; }));
        entry.running.on_loop(
            [&]
            {
                // The loop does not look at the connection after the close.
                caller.reset();
                std::this_thread::sleep_for(20ms);
                entry.book.apply_record(entry.record("a", upstream.address));
                entry.service->place_waiting();
            });
    }
    SECTION("for its connection to the upstream")
    {
        entry.configure_route(cj::request_kind::stream, true);
        entry.add_upstream("a", upstream.address);
        std::unique_ptr<stalled_loop> stalled;
        std::atomic<bool> placed{false};
        const before_attempts hook(
            [&]
            {
                stalled = std::make_unique<stalled_loop>(entry.running.loop);
                placed = true;
            });
        caller->send(request_text);
        REQUIRE(becomes([&] { return bool(placed); }));
        stalled->wait();
        caller.reset();
        std::this_thread::sleep_for(20ms);
        stalled->release();
    }
    SECTION("for the response that makes it due for a retry")
    {
        cj::stream_reply failing;
        std::atomic<bool> arrived{false};
        loopback::running_server first(
            [&](const cj::stream_request&, cj::stream_reply reply)
            {
                failing = std::move(reply);
                arrived = true;
            });
        entry.configure_route(cj::request_kind::repeatable);
        entry.add_upstream("a", first.address);
        entry.add_upstream("b", upstream.address);
        caller->send(request_text);
        REQUIRE(becomes([&] { return bool(arrived); }));
        stalled_loop stalled(entry.running.loop);
        stalled.wait();
        first.running.on_loop(
            [&]
            {
                cj::header_list headers;
                headers.push_back("Id", "7");
                failing.send(500, headers, "");
            });
        caller.reset();
        std::this_thread::sleep_for(20ms);
        stalled.release();
        CHECK(becomes([&] { return open_requests(entry) == 0; }));
    }
    CHECK(becomes([&] { return open_requests(entry) == 0; }));
    std::this_thread::sleep_for(arrival_time);
    CHECK(upstream.arrivals().empty());
}
