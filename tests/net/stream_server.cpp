#include "coursejunction/net/stream_server.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include "net/loopback.hpp"
#include "net/running_server.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;
using loopback::raw_connection;

namespace
{

/*! @brief The requests that a server received. */
struct received_requests
{
    void record(const cj::stream_request& request)
    {
        const std::lock_guard guard(mutex);
        seen.push_back(request);
    }

    std::vector<cj::stream_request> requests()
    {
        const std::lock_guard guard(mutex);
        return seen;
    }

private:
    std::mutex mutex;
    std::vector<cj::stream_request> seen;
};

/*! @brief A running server that records its requests and echoes their bodies,
 * unless a handler is given. */
struct recording_server : received_requests, loopback::running_server
{
    explicit recording_server(cj::stream_limits limits = {},
                              cj::stream_server::handler with = {})
        : running_server(with ? std::move(with) : echo(), limits)
    {
    }

    /*! @brief Has a request answered on a connection that stays open. */
    static std::string first_answer(raw_connection& caller)
    {
        caller.send("GET /kept HTTP/1.1\r\nHost: h\r\n\r\n");
        return caller.until("\r\n\r\n");
    }

    /*! @brief Waits up to 5 s for a connection to close.
     * @return The first one that closed, if any. */
    [[nodiscard]] std::optional<cj::closed_connection> first_close() const
    {
        if (!loopback::becomes([&] { return !closed().empty(); }))
            return std::nullopt;
        return closed().front();
    }

private:
    cj::stream_server::handler echo()
    {
        return [this](const cj::stream_request& request, cj::stream_reply reply)
        {
            record(request);
            reply.send(200, {}, request.body);
        };
    }
};

std::string request(const std::string& lines, const std::string& body = {})
{
    return lines + "\r\n\r\n" + body;
}

} // namespace

SCENARIO("a request reaches the handler as it was sent", "[net]")
{
    recording_server fixture;
    raw_connection caller(fixture.port);

    GIVEN("repeated query parameters and repeated headers")
    {
        caller.send(request("GET /a?b=2&a=1&b=3&c HTTP/1.1\r\nHost: h\r\n"
                            "X-B: 1\r\nX-A: 2\r\nX-B: 3\r\n"
                            "Content-Type: foo"));
        REQUIRE(caller.until("\r\n\r\n").starts_with("HTTP/1.1 200"));
        const auto all = fixture.requests();
        REQUIRE(all.size() == 1);
        CHECK(all[0].target == "/a?b=2&a=1&b=3&c");
        CHECK(all[0].headers.size() == 5);
    }
    GIVEN("two pipelined requests")
    {
        caller.send(request("POST /1 HTTP/1.1\r\nHost: h\r\n"
                            "Content-Length: 3",
                            "one") +
                    request("POST /2 HTTP/1.1\r\nHost: h\r\n"
                            "Connection: close\r\nContent-Length: 3",
                            "two"));
        const auto text = caller.drain();
        THEN("both are answered, in order")
        {
            CHECK(text.find("one") < text.find("two"));
            CHECK(text.find("two") != std::string::npos);
        }
    }
    GIVEN("a chunked body with a chunk extension and a trailer")
    {
        caller.send(request("POST /1 HTTP/1.1\r\nHost: h\r\n"
                            "Connection: close\r\n"
                            "Transfer-Encoding: chunked",
                            "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nX-T: 1\r\n\r\n"));
        CHECK(caller.drain().ends_with("abcde"));
    }
}

SCENARIO("input that allows request smuggling is rejected", "[net]")
{
    recording_server fixture;
    raw_connection caller(fixture.port);
    const auto check_rejected =
        [&](const std::string& lines, const std::string& body)
    {
        caller.send(request(lines, body));
        const auto text = caller.drain();
        CHECK(text.starts_with("HTTP/1.1 400"));
        CHECK(text.find("close") != std::string::npos);
        CHECK(fixture.requests().empty());
    };

    SECTION("two different Content-Length values")
    {
        check_rejected("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                       "Content-Length: 5",
                       "abcde");
    }
    SECTION("Content-Length together with Transfer-Encoding")
    {
        check_rejected("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                       "Transfer-Encoding: chunked",
                       "0\r\n\r\n");
    }
    SECTION("a space before the colon of a header")
    {
        check_rejected("POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 4",
                       "abcd");
    }
    SECTION("a negative Content-Length")
    {
        check_rejected("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1", "");
    }
}

SCENARIO("requests above the size and time limits are rejected", "[net]")
{
    cj::stream_limits limits;
    limits.head_bytes = 512;
    limits.body_bytes = 64;
    limits.head_time = 50ms;
    recording_server fixture(limits);
    raw_connection caller(fixture.port);

    SECTION("a large head gets 431")
    {
        caller.send(request("GET / HTTP/1.1\r\nHost: h\r\nX-A: " +
                            std::string(1000, 'a')));
        CHECK(caller.drain().starts_with("HTTP/1.1 431"));
    }
    SECTION("a large body gets 413")
    {
        caller.send(request("POST / HTTP/1.1\r\nHost: h\r\n"
                            "Content-Length: 1000",
                            std::string(100, 'a')));
        CHECK(caller.drain().starts_with("HTTP/1.1 413"));
    }
    SECTION("an incomplete head gets 408 after the time limit")
    {
        caller.send("GET / HTTP/1.1\r\n");
        CHECK(caller.drain().starts_with("HTTP/1.1 408"));
    }
}

SCENARIO(
    "a streamed response can be finished, aborted, or abandoned by the client",
    "[net]")
{
    std::atomic<bool> disconnected{false};
    std::mutex mutex;
    std::vector<cj::stream_reply> open_replies;
    recording_server fixture(
        {},
        [&](const cj::stream_request& from, cj::stream_reply reply)
        {
            reply.on_disconnect(
                [&]
                {
                    disconnected = true;
                    disconnected.notify_all();
                });
            reply.begin(200, {});
            reply.write("part");
            if (from.target == "/whole")
                reply.finish();
            if (from.target == "/cut")
                reply.cut();
            const std::lock_guard guard(mutex);
            open_replies.push_back(std::move(reply));
        });

    SECTION("a finished response ends with the last chunk")
    {
        raw_connection caller(fixture.port);
        caller.send(request("GET /whole HTTP/1.1\r\nHost: h"));
        CHECK(caller.until("0\r\n\r\n").ends_with("0\r\n\r\n"));
    }
    SECTION("an aborted response lacks the last chunk")
    {
        raw_connection caller(fixture.port);
        caller.send(request("GET /cut HTTP/1.1\r\nHost: h"));
        CHECK(caller.drain().ends_with("part\r\n"));
    }
    SECTION(
        "a finished response to a client without chunks ends its connection")
    {
        raw_connection caller(fixture.port);
        caller.send("GET /whole HTTP/1.0\r\nHost: h\r\n\r\n");
        CHECK(caller.drain().ends_with("\r\n\r\npart"));
        CHECK_FALSE(caller.was_reset);
    }
    SECTION("an aborted response to a client without chunks is reset")
    {
        raw_connection caller(fixture.port);
        caller.send("GET /cut HTTP/1.0\r\nHost: h\r\n\r\n");
        CHECK(caller.drain().ends_with("\r\n\r\npart"));
        CHECK(caller.was_reset);
    }
    SECTION("a client that disconnects is reported")
    {
        {
            raw_connection caller(fixture.port);
            caller.send(request("GET /wait HTTP/1.1\r\nHost: h"));
            static_cast<void>(caller.until("part"));
        }
        disconnected.wait(false);
        CHECK(disconnected);
    }
}

SCENARIO("the end of a process resets a response that only its connection "
         "delimits",
         "[net]")
{
    auto fixture = std::make_unique<recording_server>(
        cj::stream_limits{},
        [](const cj::stream_request&, cj::stream_reply reply)
        {
            reply.begin(200, {});
            reply.write("part");
        });
    raw_connection caller(fixture->port);
    caller.send("GET /wait HTTP/1.0\r\nHost: h\r\n\r\n");
    static_cast<void>(caller.until("part"));
    fixture.reset();
    static_cast<void>(caller.drain());
    CHECK(caller.was_reset);
}

SCENARIO("a retiring server announces the close and closes idle connections",
         "[net]")
{
    recording_server fixture;
    raw_connection idle(fixture.port);
    raw_connection busy(fixture.port);
    busy.send(request("GET /1 HTTP/1.1\r\nHost: h"));
    static_cast<void>(busy.until("\r\n\r\n"));
    fixture.running.on_loop([&] { fixture.server->retire(); });
    busy.send(request("GET /2 HTTP/1.1\r\nHost: h"));
    CHECK(busy.drain().find("Connection: close") != std::string::npos);
    fixture.running.on_loop([&] { fixture.server->close_idle(); });
    CHECK(idle.drain().empty());
}

SCENARIO("a response that began before retire keeps its connection open",
         "[net]")
{
    std::mutex mutex;
    std::vector<cj::stream_reply> open_replies;
    recording_server fixture(
        {},
        [&](const cj::stream_request& from, cj::stream_reply reply)
        {
            reply.begin(200, {});
            if (from.target == "/2")
                reply.finish();
            const std::lock_guard guard(mutex);
            open_replies.push_back(std::move(reply));
        });
    raw_connection caller(fixture.port);
    caller.send(request("GET /1 HTTP/1.1\r\nHost: h"));
    static_cast<void>(caller.until("\r\n\r\n"));
    fixture.running.on_loop(
        [&]
        {
            fixture.server->retire();
            const std::lock_guard guard(mutex);
            open_replies.front().finish();
        });
    // Its head did not announce a close, so the next request must be served.
    caller.send(request("GET /2 HTTP/1.1\r\nHost: h"));
    CHECK(caller.drain().find("Connection: close") != std::string::npos);
}

SCENARIO("each close of a connection is reported with its reason", "[net]")
{
    cj::stream_limits limits;
    limits.idle_time = 100ms;
    limits.body_bytes = 64;
    recording_server fixture(limits);
    const auto check_closed = [&](cj::close_reason reason, bool unread)
    {
        const auto closed = fixture.first_close();
        REQUIRE(closed);
        CHECK(cj::close_reason_name(closed->reason) ==
              cj::close_reason_name(reason));
        CHECK((closed->unread_bytes > 0) == unread);
        CHECK(closed->peer.starts_with("127.0.0.1:"));
    };

    SECTION("after the idle time")
    {
        raw_connection caller(fixture.port);
        check_closed(cj::close_reason::idle_time, false);
    }
    SECTION("by the client")
    {
        {
            raw_connection caller(fixture.port);
        }
        check_closed(cj::close_reason::peer, false);
    }
    SECTION("after a last response")
    {
        raw_connection caller(fixture.port);
        caller.send(request("GET /1 HTTP/1.1\r\nHost: h\r\n"
                            "Connection: close"));
        check_closed(cj::close_reason::response, false);
    }
    SECTION("after a last response, with a further request unread")
    {
        raw_connection caller(fixture.port);
        caller.send(request("GET /1 HTTP/1.1\r\nHost: h\r\n"
                            "Connection: close") +
                    request("GET /2 HTTP/1.1\r\nHost: h"));
        check_closed(cj::close_reason::response, true);
    }
    SECTION("since its request is too large")
    {
        raw_connection caller(fixture.port);
        caller.send(request("POST / HTTP/1.1\r\nHost: h\r\n"
                            "Content-Length: 1000",
                            std::string(1000, 'a')));
        check_closed(cj::close_reason::refused, true);
    }
}

SCENARIO("a request that arrives at the moment of an idle close is answered",
         "[net]")
{
    cj::stream_limits limits;
    limits.idle_time = 100ms;
    recording_server fixture(limits);
    raw_connection caller(fixture.port);
    const auto whole = request("GET /1 HTTP/1.1\r\nHost: h\r\n"
                               "Connection: close");

    SECTION("when the idle time is over")
    {
        boost::asio::steady_timer before(*static_cast<boost::asio::io_context*>(
                                             fixture.running.loop.native()),
                                         90ms);
        before.async_wait([&](const boost::system::error_code&)
                          { caller.send(whole); });
        // Both timers expire during the sleep, so the request is sent when the
        // end of the idle time is already queued.
        std::this_thread::sleep_for(20ms);
        fixture.running.on_loop([] { std::this_thread::sleep_for(200ms); });
        CHECK(caller.drain().starts_with("HTTP/1.1 200"));
    }
    SECTION("when the server closes idle connections")
    {
        fixture.running.on_loop(
            [&]
            {
                caller.send(whole);
                fixture.server->close_idle();
            });
        CHECK(caller.drain().starts_with("HTTP/1.1 200"));
    }
}

SCENARIO("an idle time that changes holds for connections that already wait",
         "[net]")
{
    const auto limits_of = [](cj::milliseconds idle_time)
    {
        cj::stream_limits limits;
        limits.idle_time = idle_time;
        return limits;
    };
    const auto change =
        [&](recording_server& fixture, cj::milliseconds idle_time)
    {
        fixture.running.on_loop(
            [&] { fixture.server->limits(limits_of(idle_time)); });
    };
    const auto check_answered = [](raw_connection& caller)
    {
        caller.send(request("GET /1 HTTP/1.1\r\nHost: h\r\n"
                            "Connection: close"));
        CHECK(caller.drain().find("Connection: close") != std::string::npos);
    };

    SECTION("a longer one keeps a connection that waits under the shorter one")
    {
        recording_server fixture(limits_of(200ms));
        raw_connection caller(fixture.port);
        std::this_thread::sleep_for(100ms);
        change(fixture, 2s);
        std::this_thread::sleep_for(400ms);
        check_answered(caller);
    }
    SECTION("a shorter one keeps connections whose callers know the longer one")
    {
        recording_server fixture(limits_of(2s));
        raw_connection before(fixture.port);
        static_cast<void>(fixture.first_answer(before));
        change(fixture, 100ms);
        raw_connection after(fixture.port);
        static_cast<void>(fixture.first_answer(after));
        std::this_thread::sleep_for(400ms);
        check_answered(before);
        check_answered(after);
    }
    SECTION("a connection that nobody uses still closes")
    {
        recording_server fixture(limits_of(100ms));
        raw_connection caller(fixture.port);
        change(fixture, 300ms);
        CHECK(caller.drain().empty());
        CHECK_FALSE(caller.was_reset);
    }
}

SCENARIO("a response is not lost to bytes that arrive after its request",
         "[net]")
{
    const std::string large(std::size_t{3} << 20U, 'x');
    cj::stream_limits limits;
    limits.body_bytes = 64;

    SECTION("a large last response, with a further request unread")
    {
        std::atomic<raw_connection*> sender{nullptr};
        recording_server fixture(
            {},
            [&](const cj::stream_request&, cj::stream_reply reply)
            {
                sender.load()->send(request("GET /2 HTTP/1.1\r\nHost: h"));
                reply.send(200, {}, large);
            });
        raw_connection caller(fixture.port);
        sender = &caller;
        caller.send(request("GET /1 HTTP/1.1\r\nHost: h\r\n"
                            "Connection: close"));
        std::this_thread::sleep_for(100ms);
        const bool whole = caller.drain().ends_with("\r\n\r\n" + large);
        CHECK(whole);
        CHECK_FALSE(caller.was_reset);
    }
    SECTION("a refusal while the client still sends the body")
    {
        recording_server fixture(limits);
        raw_connection caller(fixture.port);
        caller.send(request("POST / HTTP/1.1\r\nHost: h\r\n"
                            "Content-Length: 100000",
                            std::string(1000, 'a')));
        for (int part = 0; part < 9; ++part)
        {
            std::this_thread::sleep_for(20ms);
            caller.send(std::string(11'000, 'a'));
        }
        CHECK(caller.drain().starts_with("HTTP/1.1 413"));
        CHECK_FALSE(caller.was_reset);
    }
    SECTION("a client that sends on and on is disconnected")
    {
        recording_server fixture(limits);
        raw_connection caller(fixture.port);
        caller.send(request("POST / HTTP/1.1\r\nHost: h\r\n"
                            "Content-Length: 100000",
                            std::string(1000, 'a')));
        for (int part = 0; part < 400 && !caller.was_reset; ++part)
        {
            std::this_thread::sleep_for(20ms);
            caller.send("a");
        }
        CHECK(caller.was_reset);
    }
}
