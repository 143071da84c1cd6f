#include "coursejunction/net/stream_server.hpp"

#include <atomic>
#include <mutex>
#include <vector>

#include <catch2/catch.hpp>

#include "net/loopback.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;
using loopback::raw_connection;

namespace
{

/*! @brief A server that notes requests and answers as told. */
struct served
{
    explicit served(cj::stream_limits limits = {},
                    cj::stream_server::handler with = {})
    {
        if (!with)
            with = [this](cj::stream_request request, cj::stream_reply reply)
            {
                {
                    const std::lock_guard guard(mutex);
                    seen.push_back(request);
                }
                reply.send(200, {}, request.body);
            };
        running.on_loop(
            [&]
            {
                auto made = cj::stream_server::create(
                    running.loop, "127.0.0.1", 0, limits, std::move(with));
                REQUIRE(made);
                server = std::move(made.value());
                port = server->port();
            });
    }

    ~served()
    {
        running.on_loop([&] { server.reset(); });
        running.stop();
    }

    std::vector<cj::stream_request> requests()
    {
        const std::lock_guard guard(mutex);
        return seen;
    }

    std::mutex mutex;
    std::vector<cj::stream_request> seen;
    loopback::running_loop running;
    std::unique_ptr<cj::stream_server> server;
    std::uint16_t port{0};
};

std::string request(const std::string& lines, const std::string& body = {})
{
    return lines + "\r\n\r\n" + body;
}

} // namespace

SCENARIO("a request is handed on as it came", "[net]")
{
    served here;
    raw_connection caller(here.port);

    GIVEN("an odd query and repeated headers")
    {
        caller.send(request("GET /a?b=2&a=1&b=3&c HTTP/1.1\r\nHost: h\r\n"
                            "X-B: 1\r\nX-A: 2\r\nX-B: 3\r\n"
                            "Content-Type: foo"));
        REQUIRE(caller.until("\r\n\r\n").starts_with("HTTP/1.1 200"));
        const auto all = here.requests();
        REQUIRE(all.size() == 1);
        CHECK(all[0].target == "/a?b=2&a=1&b=3&c");
        CHECK(all[0].headers.size() == 5);
    }
    GIVEN("two requests in one segment")
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
    GIVEN("a body in chunks with an extension and a trailer")
    {
        caller.send(request("POST /1 HTTP/1.1\r\nHost: h\r\n"
                            "Connection: close\r\n"
                            "Transfer-Encoding: chunked",
                            "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nX-T: 1\r\n\r\n"));
        CHECK(caller.drain().ends_with("abcde"));
    }
}

SCENARIO("input that could smuggle a request is refused", "[net]")
{
    served here;
    raw_connection caller(here.port);
    const auto refused = [&](const std::string& lines, const std::string& body)
    {
        caller.send(request(lines, body));
        const auto text = caller.drain();
        CHECK(text.starts_with("HTTP/1.1 400"));
        CHECK(text.find("close") != std::string::npos);
        CHECK(here.requests().empty());
    };

    SECTION("two lengths that differ")
    {
        refused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                "Content-Length: 5",
                "abcde");
    }
    SECTION("a length beside chunks")
    {
        refused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                "Transfer-Encoding: chunked",
                "0\r\n\r\n");
    }
    SECTION("a blank before the colon")
    {
        refused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 4", "abcd");
    }
    SECTION("a length below zero")
    {
        refused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1", "");
    }
}

SCENARIO("a caller's limits end what is too large or too slow", "[net]")
{
    cj::stream_limits limits;
    limits.head_bytes = 512;
    limits.body_bytes = 64;
    limits.head_time = 50ms;
    served here(limits);
    raw_connection caller(here.port);

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
    SECTION("a head that does not come gets 408")
    {
        caller.send("GET / HTTP/1.1\r\n");
        CHECK(caller.drain().starts_with("HTTP/1.1 408"));
    }
}

SCENARIO("answers are streamed, cut visibly, and dropped when the caller left",
         "[net]")
{
    std::atomic<bool> left{false};
    std::mutex mutex;
    std::vector<cj::stream_reply> held;
    served here({},
                [&](const cj::stream_request& from, cj::stream_reply reply)
                {
                    reply.on_left(
                        [&]
                        {
                            left = true;
                            left.notify_all();
                        });
                    reply.begin(200, {});
                    reply.write("part");
                    if (from.target == "/whole")
                        reply.finish();
                    if (from.target == "/cut")
                        reply.cut();
                    const std::lock_guard guard(mutex);
                    held.push_back(std::move(reply));
                });

    SECTION("a whole answer ends with the last chunk")
    {
        raw_connection caller(here.port);
        caller.send(request("GET /whole HTTP/1.1\r\nHost: h"));
        CHECK(caller.until("0\r\n\r\n").ends_with("0\r\n\r\n"));
    }
    SECTION("a cut answer does not")
    {
        raw_connection caller(here.port);
        caller.send(request("GET /cut HTTP/1.1\r\nHost: h"));
        CHECK(caller.drain().ends_with("part\r\n"));
    }
    SECTION("a caller that leaves is noticed")
    {
        {
            raw_connection caller(here.port);
            caller.send(request("GET /wait HTTP/1.1\r\nHost: h"));
            static_cast<void>(caller.until("part"));
        }
        left.wait(false);
        CHECK(left);
    }
}

SCENARIO("a server that retires asks callers to close", "[net]")
{
    served here;
    raw_connection idle(here.port);
    raw_connection busy(here.port);
    busy.send(request("GET /1 HTTP/1.1\r\nHost: h"));
    static_cast<void>(busy.until("\r\n\r\n"));
    here.running.on_loop([&] { here.server->retire(); });
    busy.send(request("GET /2 HTTP/1.1\r\nHost: h"));
    CHECK(busy.drain().find("Connection: close") != std::string::npos);
    here.running.on_loop([&] { here.server->close_idle(); });
    CHECK(idle.drain().empty());
}

SCENARIO("an answer that began before a server retires keeps its word", "[net]")
{
    std::mutex mutex;
    std::vector<cj::stream_reply> held;
    served here({},
                [&](const cj::stream_request& from, cj::stream_reply reply)
                {
                    reply.begin(200, {});
                    if (from.target == "/2")
                        reply.finish();
                    const std::lock_guard guard(mutex);
                    held.push_back(std::move(reply));
                });
    raw_connection caller(here.port);
    caller.send(request("GET /1 HTTP/1.1\r\nHost: h"));
    static_cast<void>(caller.until("\r\n\r\n"));
    here.running.on_loop(
        [&]
        {
            here.server->retire();
            const std::lock_guard guard(mutex);
            held.front().finish();
        });
    // It did not say that its connection closes, so the next request is taken.
    caller.send(request("GET /2 HTTP/1.1\r\nHost: h"));
    CHECK(caller.drain().find("Connection: close") != std::string::npos);
}
