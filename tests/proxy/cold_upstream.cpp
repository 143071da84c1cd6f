#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "proxy/entry_on_loopback.hpp"
#include "proxy/entry_process.hpp"
#include "proxy/memory_store.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;
using proxy_test::entry_on_loopback;
using proxy_test::entry_process;
using proxy_test::response;
using proxy_test::scripted_upstream;

namespace
{

/*! @brief Adds a cold upstream; the entry holds the whole of its rate.
 * @param per_second Requests a second that the upstream accepts. */
void add_cold_upstream(entry_on_loopback& entry, const std::string& address,
                       double per_second)
{
    entry.running.on_loop(
        [&]
        {
            const auto now = cj::event_loop::now();
            cj::installation rules;
            cj::service_profile service;
            service.name = cj::service_name("s");
            service.cold_time = 3000ms;
            service.cold_requests_per_second = per_second;
            rules.services[service.name] = service;
            entry.book.configure(rules);
            cj::upstream_record record;
            record.id = cj::instance_id("a");
            record.service = service.name;
            record.address = address;
            record.hall = cj::hall_id("h");
            record.slots = 4;
            record.cold_remaining_ms = 3000;
            entry.book.apply_record(record, now);
            // The entry has heard all others for long enough.
            for (const auto ago : {1600ms, 800ms, 0ms})
                entry.book.assign_cold_shares(
                    "self", {{record.hall, "self", 1}}, 0, now - ago);
        });
}

} // namespace

// Guards against attempts, also repeated ones, beyond the rate that a cold
// upstream accepts.
SCENARIO("a cold upstream gets no more requests than it accepts", "[proxy]")
{
    entry_on_loopback entry;
    entry.configure_route(cj::request_kind::repeatable);

    // Failed requests are sent again, which must count as well.
    const std::string status = GENERATE("200 OK", "500 No");
    scripted_upstream upstream({response("x", "7", status)});
    add_cold_upstream(entry, upstream.address, 5);
    const auto until = std::chrono::steady_clock::now() + 1s;
    std::size_t refused = 0;
    while (std::chrono::steady_clock::now() < until)
    {
        refused += entry.ask().starts_with("HTTP/1.1 503") ? 1 : 0;
        std::this_thread::sleep_for(5ms);
    }
    CHECK(upstream.arrivals().size() >= 3);
    CHECK(upstream.arrivals().size() <= 7);
    if (status == "200 OK")
        CHECK(refused > 0);
}

SCENARIO("an entry learns from the store that an upstream is cold", "[proxy]")
{
    const auto now = [] { return std::chrono::steady_clock::now(); };
    proxy_test::store_content keys;
    keys.write("configuration", "1");
    keys.write("up/a", "1 ready");
    const auto started_at = now();
    entry_process entry(keys, 1);
    REQUIRE(entry.wait_for_upstream("up/a"));
    CHECK_FALSE(entry.cold_share("up/a"));
    const auto wait_until = [&](auto condition)
    {
        const auto give_up_at = now() + 10s;
        while (!condition() && now() < give_up_at)
            std::this_thread::sleep_for(20ms);
        return condition();
    };

    WHEN("its record says so")
    {
        const auto written_at = now();
        entry.on_loop([&] { keys.write("up/a", "2 cold"); });
        REQUIRE(wait_until([&] { return entry.cold_share("up/a"); }));
        THEN("the entry has no share until it can have heard the others, and "
             "the cold start ends")
        {
            REQUIRE(wait_until(
                [&] { return entry.cold_share("up/a").value_or(0) > 0; }));
            CHECK(now() - started_at >= cj::cold_division::settling_time);
            CHECK(entry.cold_share("up/a").value_or(0) == Approx(32 * 0.95));
            REQUIRE(wait_until([&] { return !entry.cold_share("up/a"); }));
            CHECK(now() - written_at >= 4s);
        }
    }
}
