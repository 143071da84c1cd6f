#include "coursejunction/proxy/exchange_service.hpp"

#include <atomic>
#include <charconv>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <thread>

#include <catch2/catch.hpp>

#include "net/loopback.hpp"
#include "net/pacing_peer.hpp"
#include "proxy/entry_on_loopback.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;
using proxy_test::entry_on_loopback;
using proxy_test::scripted_upstream;
using proxy_test::stream;
using proxy_test::whole;

SCENARIO("a request is answered by its upstream", "[proxy]")
{
    entry_on_loopback entry;

    SECTION("nothing is known yet: it has not run")
    {
        const auto answer = entry.ask();
        CHECK(answer.starts_with("HTTP/1.1 503"));
        CHECK(answer.find("Retry-After") != std::string::npos);
    }
    GIVEN("a configuration")
    {
        entry.route(cj::request_kind::repeatable);
        SECTION("a path without a route")
        {
            CHECK(entry.ask("nowhere").starts_with("HTTP/1.1 4"));
        }
        SECTION("a key that nobody has")
        {
            CHECK(entry.ask("/keyed/x").starts_with("HTTP/1.1 401"));
            CHECK(entry.ask("/keyed/x", "Key: z\r\n")
                      .starts_with("HTTP/1.1 401"));
        }
        SECTION("an entry that knows its configuration to be old cannot tell")
        {
            entry.running.on_loop(
                [&] { entry.service->set_configuration_outdated(true); });
            const auto answer = entry.ask("/keyed/x", "Key: z\r\n");
            CHECK(answer.starts_with("HTTP/1.1 503"));
            CHECK(answer.find("Retry-After") != std::string::npos);
            entry.running.on_loop(
                [&] { entry.service->set_configuration_outdated(false); });
            CHECK(entry.ask("/keyed/x", "Key: z\r\n")
                      .starts_with("HTTP/1.1 401"));
        }
        SECTION("no upstream: refused, with the time that one needs to come")
        {
            const auto answer = entry.ask();
            CHECK(answer.starts_with("HTTP/1.1 503"));
            CHECK(answer.find("Retry-After: 2000\r\n") != std::string::npos);
        }
        SECTION("all places taken: refused, with the time until one is free")
        {
            scripted_upstream one({scripted_upstream::hang});
            entry.upstream("a", one.address);
            entry.running.on_loop(
                [&]
                {
                    // Four slots, and what may wait beyond them.
                    for (std::uint64_t at = 0; at < 9; ++at)
                        entry.book.begin(cj::instance_id("a"), at, 0,
                                         cj::event_loop::now());
                });
            const auto answer = entry.ask();
            CHECK(answer.starts_with("HTTP/1.1 503"));
            CHECK(answer.find("Retry-After: 200\r\n") != std::string::npos);
        }
        SECTION("an upstream: its answer, unchanged")
        {
            scripted_upstream one({whole("hello")});
            entry.upstream("a", one.address);
            CHECK(entry.ask("/x?b=2&a").ends_with("hello"));
            const auto seen = one.arrivals();
            REQUIRE(seen.size() == 1);
            CHECK(seen[0].starts_with("POST /x?b=2&a HTTP/1.1"));
            CHECK(seen[0].ends_with("hi"));
        }
    }
}

SCENARIO("what may run once is sent once", "[proxy]")
{
    entry_on_loopback entry;
    entry.route(cj::request_kind::single);

    SECTION("a connection that breaks after the request: unknown, at once")
    {
        scripted_upstream one({""});
        scripted_upstream two({whole("no")});
        entry.upstream("a", one.address);
        entry.upstream("b", two.address);
        CHECK(entry.ask().starts_with("HTTP/1.1 502"));
        CHECK(one.arrivals().size() == 1);
        CHECK(two.arrivals().empty());
    }
    SECTION("an upstream that says that it did not run it")
    {
        scripted_upstream one({"HTTP/1.1 503 No\r\nId: 7\r\nNot-Run: 1\r\n"
                               "Content-Length: 0\r\n\r\n"});
        scripted_upstream two({whole("yes")});
        entry.upstream("a", one.address);
        entry.upstream("b", two.address);
        CHECK(entry.ask().ends_with("yes"));
    }
    SECTION("503 without that proof is not passed on as a promise")
    {
        scripted_upstream one({whole("", "7", "503 No")});
        entry.upstream("a", one.address);
        CHECK(entry.ask().starts_with("HTTP/1.1 502"));
    }
    SECTION("the answer to another request is not passed on")
    {
        scripted_upstream one({whole("other's", "8")});
        entry.upstream("a", one.address);
        const auto answer = entry.ask();
        CHECK(answer.starts_with("HTTP/1.1 502"));
        CHECK(answer.find("other's") == std::string::npos);
    }
    SECTION("an answer that ends early does not look whole")
    {
        scripted_upstream one(
            {"HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 9\r\n\r\nhalf"});
        entry.upstream("a", one.address);
        CHECK(entry.ask().starts_with("HTTP/1.1 502"));
    }
}

SCENARIO("what may be repeated goes to a second upstream", "[proxy]")
{
    entry_on_loopback entry;
    entry.route(cj::request_kind::repeatable);

    SECTION("after a broken connection")
    {
        scripted_upstream one({""});
        scripted_upstream two({whole("second")});
        entry.upstream("a", one.address);
        entry.upstream("b", two.address);
        CHECK(entry.ask().ends_with("second"));
    }
    SECTION("after the upstream's own failure")
    {
        scripted_upstream one({whole("", "7", "500 Bad")});
        scripted_upstream two({whole("second")});
        entry.upstream("a", one.address);
        entry.upstream("b", two.address);
        CHECK(entry.ask().ends_with("second"));
    }
    SECTION("and without a second one that failure is passed on, not a "
            "promise that it did not run")
    {
        scripted_upstream one({whole("why", "7", "500 Bad"), ""});
        entry.upstream("a", one.address);
        const auto answer = entry.ask();
        CHECK(answer.starts_with("HTTP/1.1 500"));
        CHECK(answer.ends_with("why"));
        // It is given once, and counted as what the caller got.
        const auto counted = entry.counters.text();
        CHECK(counted.find("outcome=\"failed\"") != std::string::npos);
        CHECK(counted.find("outcome=\"unknown\"") == std::string::npos);
    }
    SECTION("also to the same upstream, when it is the only one and said so "
            "itself")
    {
        scripted_upstream one({whole("", "7", "500 Bad"), whole("second")});
        entry.upstream("a", one.address);
        CHECK(entry.ask().ends_with("second"));
    }
    SECTION("but no further than the route allows")
    {
        scripted_upstream one({""});
        scripted_upstream two({""});
        scripted_upstream three({""});
        entry.upstream("a", one.address);
        entry.upstream("b", two.address);
        entry.upstream("c", three.address);
        CHECK(entry.ask().starts_with("HTTP/1.1 502"));
        CHECK(one.arrivals().size() + two.arrivals().size() +
                  three.arrivals().size() ==
              2);
    }
}

SCENARIO("an upstream starts again while a request is with it", "[proxy]")
{
    entry_on_loopback entry;
    scripted_upstream one({scripted_upstream::hang});
    scripted_upstream two({whole("second")});
    const auto ask_across_restart = [&]
    {
        entry.upstream("a", one.address);
        entry.upstream("b", two.address);
        auto answer =
            std::async(std::launch::async, [&] { return entry.ask(); });
        while (one.arrivals().empty())
            std::this_thread::sleep_for(5ms);
        entry.running.on_loop(
            [&]
            {
                entry.service->upstream_restarted(
                    {one.address, {1}, cj::instance_id("a"), {}});
            });
        return answer.get();
    };

    SECTION("what may be repeated goes to another one at once")
    {
        entry.route(cj::request_kind::repeatable);
        CHECK(ask_across_restart().ends_with("second"));
    }
    SECTION("what may run once may have run, and its caller hears so")
    {
        entry.route(cj::request_kind::single);
        CHECK(ask_across_restart().starts_with("HTTP/1.1 502"));
        CHECK(two.arrivals().empty());
    }
    SECTION("the new life is not blamed for it")
    {
        entry.route(cj::request_kind::repeatable);
        ask_across_restart();
        entry.running.on_loop(
            [&]
            {
                const auto* known = entry.book.find(cj::instance_id("a"));
                CHECK(known->attempts.empty());
            });
    }
}

SCENARIO("a stream goes on at another upstream", "[proxy]")
{
    entry_on_loopback entry;
    entry.route(cj::request_kind::stream, true);
    scripted_upstream one(
        {stream("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", false)});
    scripted_upstream two({stream("id: 3\ndata: c\n\n", true, "two")});

    SECTION("after the last whole event, with the first head")
    {
        entry.upstream("a", one.address);
        entry.upstream("b", two.address);
        const auto answer = entry.ask();
        CHECK(answer.find("Signed: one") != std::string::npos);
        CHECK(answer.find("Signed: two") == std::string::npos);
        CHECK(answer.find("data: c") != std::string::npos);
        CHECK(answer.find("id: 3\nda\r") == std::string::npos);
        CHECK(answer.ends_with("0\r\n\r\n"));
        const auto seen = two.arrivals();
        REQUIRE(seen.size() == 1);
        CHECK(seen[0].find("Last: 2\r\n") != std::string::npos);
    }
    SECTION("or is cut visibly when there is none")
    {
        entry.upstream("a", one.address);
        const auto answer = entry.ask();
        CHECK(answer.find("data: b") != std::string::npos);
        CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
    }
}

SCENARIO("an entry that stood still does not take that for its upstream's "
         "silence",
         "[proxy]")
{
    entry_on_loopback entry;
    entry.route(cj::request_kind::stream, true);
    loopback::pacing_peer steady(20, 100ms);
    scripted_upstream other({stream("id: 1\ndata: y\n\n", true)});
    entry.upstream("a", steady.address);
    entry.upstream("b", other.address);
    std::string answer;
    std::thread caller([&] { answer = entry.ask(); });
    std::this_thread::sleep_for(300ms);
    // Longer than a stream may be silent; events arrive meanwhile.
    entry.running.on_loop([] { std::this_thread::sleep_for(1200ms); });
    caller.join();
    CHECK(answer.find("id: 20\n") != std::string::npos);
    CHECK(other.arrivals().empty());
}

SCENARIO("an attempt that waits on weights that grow too old is taken back",
         "[proxy]")
{
    entry_on_loopback entry;
    entry.route(cj::request_kind::stream, true);
    scripted_upstream one({scripted_upstream::hang});
    scripted_upstream two({stream("id: 1\ndata: a\n\n", true)});
    const auto serve =
        [&](const char* id, const std::string& address, std::uint64_t version)
    {
        entry.upstream(id, address);
        entry.running.on_loop(
            [&]
            {
                auto record = entry.book.find(cj::instance_id(id))->record;
                record.weights["m"] = version;
                entry.book.record(record);
            });
    };
    serve("a", one.address, 2);
    serve("b", two.address, 3);
    const auto name = [&](cj::milliseconds allowed)
    {
        entry.running.on_loop(
            [&] {
                entry.service->floors().name("m", 3, cj::event_loop::now(),
                                             allowed);
            });
    };

    SECTION("one that was sent before goes to newer weights")
    {
        // The older weights take requests for a second more, and an attempt
        // that waits there is taken back 100 ms later, before the silence of
        // 700 ms and three predictions of 250 ms would end it.
        name(1000ms);
        CHECK(entry.ask("/x", "Model: m\r\n").find("data: a") !=
              std::string::npos);
        CHECK(one.arrivals().size() == 1);
        one.closed_by_caller.wait(false);
    }
    SECTION("none is sent to them afterwards")
    {
        name(0ms);
        CHECK(entry.ask("/x", "Model: m\r\n").find("data: a") !=
              std::string::npos);
        CHECK(one.arrivals().empty());
    }
}

SCENARIO("time limits and callers that leave end the work", "[proxy]")
{
    entry_on_loopback entry;
    entry.route(cj::request_kind::single, false, 100ms);
    scripted_upstream one({scripted_upstream::hang});
    entry.upstream("a", one.address);

    SECTION("the route's timeout gives the final answer")
    {
        CHECK(entry.ask().starts_with("HTTP/1.1 504"));
        one.closed_by_caller.wait(false);
    }
    SECTION("a caller that leaves cancels at the upstream")
    {
        entry.route(cj::request_kind::single, false, 60'000ms);
        {
            loopback::raw_connection caller(entry.port);
            caller.send("GET /x HTTP/1.1\r\nHost: h\r\nId: 7\r\n\r\n");
            while (one.arrivals().empty())
                std::this_thread::sleep_for(1ms);
        }
        one.closed_by_caller.wait(false);
        CHECK(one.closed_by_caller);
    }
}
