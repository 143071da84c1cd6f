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
using proxy_test::event_stream;
using proxy_test::response;
using proxy_test::scripted_upstream;

SCENARIO(
    "a request gets the response of an upstream, or a refusal that says why",
    "[proxy]")
{
    entry_on_loopback entry;

    SECTION("without a configuration the request is refused")
    {
        const auto answer = entry.ask();
        CHECK(answer.starts_with("HTTP/1.1 503"));
        CHECK(answer.find("Retry-After") != std::string::npos);
    }
    GIVEN("a configuration")
    {
        entry.configure_route(cj::request_kind::repeatable);
        SECTION("a path without a route is rejected")
        {
            CHECK(entry.ask("nowhere").starts_with("HTTP/1.1 4"));
        }
        SECTION("a missing or unknown API key is rejected")
        {
            CHECK(entry.ask("/keyed/x").starts_with("HTTP/1.1 401"));
            CHECK(entry.ask("/keyed/x", "Key: z\r\n")
                      .starts_with("HTTP/1.1 401"));
        }
        SECTION(
            "an entry with an outdated configuration responds with 503 instead")
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
        SECTION("without an upstream it is refused, with the time that one "
                "takes to "
                "appear")
        {
            const auto answer = entry.ask();
            CHECK(answer.starts_with("HTTP/1.1 503"));
            CHECK(answer.find("Retry-After: 2000\r\n") != std::string::npos);
        }
        SECTION("without a free slot it is refused, with the time until one is "
                "free")
        {
            scripted_upstream first({scripted_upstream::hang});
            entry.add_upstream("a", first.address);
            entry.running.on_loop(
                [&]
                {
                    // The upstream has four slots; nine attempts are more than
                    // its slots and its queue may hold.
                    for (std::uint64_t attempt = 0; attempt < 9; ++attempt)
                        entry.book.begin_attempt(cj::instance_id("a"), attempt,
                                                 0, cj::event_loop::now());
                });
            const auto answer = entry.ask();
            CHECK(answer.starts_with("HTTP/1.1 503"));
            CHECK(answer.find("Retry-After: 200\r\n") != std::string::npos);
        }
        SECTION("the response of an upstream is forwarded unchanged")
        {
            scripted_upstream first({response("hello")});
            entry.add_upstream("a", first.address);
            CHECK(entry.ask("/x?b=2&a").ends_with("hello"));
            const auto seen = first.arrivals();
            REQUIRE(seen.size() == 1);
            CHECK(seen[0].starts_with("POST /x?b=2&a HTTP/1.1"));
            CHECK(seen[0].ends_with("hi"));
        }
    }
}

SCENARIO("an at-most-once request is not sent again after it may have run",
         "[proxy]")
{
    entry_on_loopback entry;
    entry.configure_route(cj::request_kind::at_most_once);

    SECTION("a connection that breaks after the request gives 502 at once")
    {
        scripted_upstream first({""});
        scripted_upstream second({response("no")});
        entry.add_upstream("a", first.address);
        entry.add_upstream("b", second.address);
        CHECK(entry.ask().starts_with("HTTP/1.1 502"));
        CHECK(first.arrivals().size() == 1);
        CHECK(second.arrivals().empty());
    }
    SECTION("it is sent again if the upstream states that it did not run")
    {
        scripted_upstream first({"HTTP/1.1 503 No\r\nId: 7\r\nNot-Run: 1\r\n"
                                 "Content-Length: 0\r\n\r\n"});
        scripted_upstream second({response("yes")});
        entry.add_upstream("a", first.address);
        entry.add_upstream("b", second.address);
        CHECK(entry.ask().ends_with("yes"));
    }
    SECTION(
        "503 without that statement is not forwarded, since callers would take "
        "it as one")
    {
        scripted_upstream first({response("", "7", "503 No")});
        entry.add_upstream("a", first.address);
        CHECK(entry.ask().starts_with("HTTP/1.1 502"));
    }
    SECTION("the response to another request is not forwarded")
    {
        scripted_upstream first({response("other's", "8")});
        entry.add_upstream("a", first.address);
        const auto answer = entry.ask();
        CHECK(answer.starts_with("HTTP/1.1 502"));
        CHECK(answer.find("other's") == std::string::npos);
    }
    SECTION("a truncated response is not forwarded as a complete one")
    {
        scripted_upstream first(
            {"HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 9\r\n\r\nhalf"});
        entry.add_upstream("a", first.address);
        CHECK(entry.ask().starts_with("HTTP/1.1 502"));
    }
}

SCENARIO("a repeatable request is sent to a second upstream", "[proxy]")
{
    entry_on_loopback entry;
    entry.configure_route(cj::request_kind::repeatable);

    SECTION("after a broken connection")
    {
        scripted_upstream first({""});
        scripted_upstream second({response("second")});
        entry.add_upstream("a", first.address);
        entry.add_upstream("b", second.address);
        CHECK(entry.ask().ends_with("second"));
    }
    SECTION("after a server error of the upstream")
    {
        scripted_upstream first({response("", "7", "500 Bad")});
        scripted_upstream second({response("second")});
        entry.add_upstream("a", first.address);
        entry.add_upstream("b", second.address);
        CHECK(entry.ask().ends_with("second"));
    }
    SECTION(
        "without a second one the server error is forwarded, not a statement "
        "that it did not run")
    {
        scripted_upstream first({response("why", "7", "500 Bad"), ""});
        entry.add_upstream("a", first.address);
        const auto answer = entry.ask();
        CHECK(answer.starts_with("HTTP/1.1 500"));
        CHECK(answer.ends_with("why"));
        // The response is sent once and counted as the outcome that the caller
        // saw.
        const auto counted = entry.counters.text();
        CHECK(counted.find("outcome=\"failed\"") != std::string::npos);
        CHECK(counted.find("outcome=\"unknown\"") == std::string::npos);
    }
    SECTION(
        "after a server error also to the same upstream, if it is the only one")
    {
        scripted_upstream first(
            {response("", "7", "500 Bad"), response("second")});
        entry.add_upstream("a", first.address);
        CHECK(entry.ask().ends_with("second"));
    }
    SECTION("but not more often than the route allows")
    {
        scripted_upstream first({""});
        scripted_upstream second({""});
        scripted_upstream third({""});
        entry.add_upstream("a", first.address);
        entry.add_upstream("b", second.address);
        entry.add_upstream("c", third.address);
        CHECK(entry.ask().starts_with("HTTP/1.1 502"));
        CHECK(first.arrivals().size() + second.arrivals().size() +
                  third.arrivals().size() ==
              2);
    }
}

SCENARIO("a request is not left waiting when its upstream restarts", "[proxy]")
{
    entry_on_loopback entry;
    scripted_upstream first({scripted_upstream::hang});
    scripted_upstream second({response("second")});
    const auto ask_during_restart = [&]
    {
        entry.add_upstream("a", first.address);
        entry.add_upstream("b", second.address);
        auto answer =
            std::async(std::launch::async, [&] { return entry.ask(); });
        while (first.arrivals().empty())
            std::this_thread::sleep_for(5ms);
        entry.running.on_loop(
            [&]
            {
                entry.service->upstream_restarted(
                    {first.address, {1}, cj::instance_id("a"), {}});
            });
        return answer.get();
    };

    SECTION("a repeatable request goes to another upstream at once")
    {
        entry.configure_route(cj::request_kind::repeatable);
        CHECK(ask_during_restart().ends_with("second"));
    }
    SECTION("an at-most-once request may have run, and its caller gets 502")
    {
        entry.configure_route(cj::request_kind::at_most_once);
        CHECK(ask_during_restart().starts_with("HTTP/1.1 502"));
        CHECK(second.arrivals().empty());
    }
    SECTION("the lost attempt is not counted against the new incarnation")
    {
        entry.configure_route(cj::request_kind::repeatable);
        ask_during_restart();
        entry.running.on_loop(
            [&]
            {
                const auto* known = entry.book.find(cj::instance_id("a"));
                CHECK(known->attempts.empty());
            });
    }
}

SCENARIO("a broken stream is continued by another upstream", "[proxy]")
{
    entry_on_loopback entry;
    entry.configure_route(cj::request_kind::stream, true);
    scripted_upstream first(
        {event_stream("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", false)});
    scripted_upstream second({event_stream("id: 3\ndata: c\n\n", true, "two")});

    SECTION("after the last complete event, with the first response head")
    {
        entry.add_upstream("a", first.address);
        entry.add_upstream("b", second.address);
        const auto answer = entry.ask();
        CHECK(answer.find("Signed: one") != std::string::npos);
        CHECK(answer.find("Signed: two") == std::string::npos);
        CHECK(answer.find("data: c") != std::string::npos);
        CHECK(answer.find("id: 3\nda\r") == std::string::npos);
        CHECK(answer.ends_with("0\r\n\r\n"));
        const auto seen = second.arrivals();
        REQUIRE(seen.size() == 1);
        CHECK(seen[0].find("Last: 2\r\n") != std::string::npos);
    }
    SECTION("without another upstream it ends without the last chunk")
    {
        entry.add_upstream("a", first.address);
        const auto answer = entry.ask();
        CHECK(answer.find("data: b") != std::string::npos);
        CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
    }
}

SCENARIO("an entry that was suspended does not take that for silence of its "
         "upstream",
         "[proxy]")
{
    entry_on_loopback entry;
    entry.configure_route(cj::request_kind::stream, true);
    loopback::pacing_peer steady(20, 100ms);
    scripted_upstream other({event_stream("id: 1\ndata: y\n\n", true)});
    entry.add_upstream("a", steady.address);
    entry.add_upstream("b", other.address);
    std::string answer;
    std::thread caller([&] { answer = entry.ask(); });
    std::this_thread::sleep_for(300ms);
    // Longer than the silence timeout of a stream; events arrive meanwhile.
    entry.running.on_loop([] { std::this_thread::sleep_for(1200ms); });
    caller.join();
    CHECK(answer.find("id: 20\n") != std::string::npos);
    CHECK(other.arrivals().empty());
}

SCENARIO(
    "a queued attempt is cancelled when its version must not start requests "
    "any more",
    "[proxy]")
{
    entry_on_loopback entry;
    entry.configure_route(cj::request_kind::stream, true);
    scripted_upstream first({scripted_upstream::hang});
    scripted_upstream second({event_stream("id: 1\ndata: a\n\n", true)});
    const auto add_upstream_with_version =
        [&](const char* id, const std::string& address, std::uint64_t version)
    {
        entry.add_upstream(id, address);
        entry.running.on_loop(
            [&]
            {
                auto record = entry.book.find(cj::instance_id(id))->record;
                record.model_versions["m"] = version;
                entry.open_upstream(record, "m");
            });
    };
    add_upstream_with_version("a", first.address, 2);
    add_upstream_with_version("b", second.address, 3);
    const auto publish = [&](cj::milliseconds grace)
    {
        entry.running.on_loop(
            [&]
            {
                entry.service->minimum_versions().add_published(
                    "m", 3, cj::event_loop::now(), grace);
            });
    };

    SECTION("an attempt sent before is sent again to the newer version")
    {
        // The older version may start requests for one more second, and a
        // queued attempt is cancelled 100 ms later. Otherwise the first-event
        // timeout would cancel it after 700 ms plus three times the predicted
        // 250 ms.
        publish(1000ms);
        CHECK(entry.ask("/x", "Model: m\r\n").find("data: a") !=
              std::string::npos);
        CHECK(first.arrivals().size() == 1);
        first.closed_by_caller.wait(false);
    }
    SECTION("no attempt is sent to the older version afterwards")
    {
        publish(0ms);
        CHECK(entry.ask("/x", "Model: m\r\n").find("data: a") !=
              std::string::npos);
        CHECK(first.arrivals().empty());
    }
}

SCENARIO("a deadline or a caller that disconnects ends the attempt", "[proxy]")
{
    entry_on_loopback entry;
    entry.configure_route(cj::request_kind::at_most_once, false, 100ms);
    scripted_upstream first({scripted_upstream::hang});
    entry.add_upstream("a", first.address);

    SECTION("the route's timeout gives the final response")
    {
        CHECK(entry.ask().starts_with("HTTP/1.1 504"));
        first.closed_by_caller.wait(false);
    }
    SECTION("a caller that disconnects cancels the attempt at the upstream")
    {
        entry.configure_route(cj::request_kind::at_most_once, false, 60'000ms);
        {
            loopback::raw_connection caller(entry.port);
            caller.send("GET /x HTTP/1.1\r\nHost: h\r\nId: 7\r\n\r\n");
            while (first.arrivals().empty())
                std::this_thread::sleep_for(1ms);
        }
        first.closed_by_caller.wait(false);
        CHECK(first.closed_by_caller);
    }
}
