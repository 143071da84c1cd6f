#include "coursejunction/proxy/exchange_service.hpp"

#include <future>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "net/resetting_peer.hpp"
#include "proxy/entry_on_loopback.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;
using proxy_test::entry_on_loopback;
using proxy_test::response;

SCENARIO("responses lost on reused connections multiply the requests that "
         "reach upstreams",
         "[proxy]")
{
    entry_on_loopback entry;
    entry.configure_route(cj::request_kind::repeatable);

    SECTION("all arrivals beyond the first keep to the retry budget")
    {
        loopback::resetting_peer first(response("one"), {"ar"});
        loopback::resetting_peer second(response("two"), {"ar"});
        entry.add_upstream("a", first.address());
        entry.add_upstream("b", second.address());
        constexpr std::size_t requests = 100;
        for (std::size_t sent = 0; sent < requests; ++sent)
            static_cast<void>(entry.ask());
        const cj::exchange_options defaults;
        const auto arrivals = first.arrivals() + second.arrivals();
        CHECK(static_cast<double>(arrivals) <=
              requests + requests * defaults.retry_ratio + 10);
    }
    SECTION("a request runs no more often than its route allows")
    {
        loopback::resetting_peer first(response("one"), {"ar", "r"});
        loopback::resetting_peer second(response("two"), {"r"});
        entry.add_upstream("a", first.address());
        CHECK(entry.ask().ends_with("one"));
        entry.add_upstream("b", second.address());
        CHECK(entry.ask().starts_with("HTTP/1.1 502"));
        CHECK(first.arrivals() + second.arrivals() == 3);
    }
    SECTION("a retry does not use up its attempts on a kept connection")
    {
        loopback::resetting_peer first(response("one"), {"r"});
        loopback::resetting_peer second(response("two"), {"ar"});
        entry.add_upstream("b", second.address());
        CHECK(entry.ask().ends_with("two"));
        entry.add_upstream("a", first.address());
        CHECK(entry.ask().ends_with("two"));
        CHECK(first.arrivals() == 1);
        CHECK(second.arrivals() == 2);
    }
    SECTION("a request keeps its admission while all other upstreams are full")
    {
        loopback::resetting_peer first(response("one"), {"ar"});
        loopback::resetting_peer second(response("two"), {"a"});
        entry.add_upstream("a", first.address());
        CHECK(entry.ask().ends_with("one"));
        entry.add_upstream("b", second.address());
        entry.running.on_loop(
            [&]
            {
                // Nine attempts are more than its slots and its queue may hold.
                for (std::uint64_t attempt = 1000; attempt < 1009; ++attempt)
                    entry.book.begin_attempt(cj::instance_id("b"), attempt, 0,
                                             cj::event_loop::now());
            });
        CHECK(entry.ask().ends_with("one"));
        CHECK(first.arrivals() == 3);
    }
    SECTION("a copy for a silent retry does not go to the same upstream")
    {
        entry.max_attempts = 3;
        entry.configure_route(cj::request_kind::stream, true);
        const auto stream = proxy_test::event_stream("id: 1\n\n", true);
        loopback::resetting_peer first(stream, {"ar", "hh"});
        loopback::resetting_peer second(stream, {"a"});
        entry.add_upstream("a", first.address());
        CHECK(entry.ask().ends_with("0\r\n\r\n"));
        auto answer =
            std::async(std::launch::async, [&] { return entry.ask(); });
        while (first.arrivals() < 3)
            std::this_thread::sleep_for(5ms);
        entry.add_upstream("b", second.address());
        CHECK(answer.get().ends_with("0\r\n\r\n"));
        CHECK(first.arrivals() == 3);
        CHECK(second.arrivals() == 1);
    }
    SECTION("a single upstream gets the request again")
    {
        loopback::resetting_peer only(response("one"), {"ar"});
        entry.add_upstream("a", only.address());
        CHECK(entry.ask().ends_with("one"));
        CHECK(entry.ask().ends_with("one"));
        CHECK(only.arrivals() == 3);
        CHECK(entry.counters.text().find("cause=\"failure\"") !=
              std::string::npos);
    }
}
