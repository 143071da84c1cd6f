#include "coursejunction/route/placement.hpp"

#include <string>

#include <catch2/catch.hpp>

#include "route/placement_fixtures.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;
using namespace placement_test;

// Guards against a burst of requests at an upstream that has just started,
// which looks empty to all entries.
SCENARIO("a cold upstream gets requests only when one is due", "[route]")
{
    cj::upstream_registry registry;
    auto now = cj::time_point{100s};
    const std::string own = "10.0.0.9";
    const cj::placer selector({}, cj::hall_id("north"), own);
    std::uint64_t sequence = 0;
    auto service = llm();
    service.cold_time = 3000ms;
    service.cold_requests_per_second = 4;
    cj::installation rules;
    rules.services[service.name] = service;
    registry.configure(rules);
    const auto listen = [&](std::chrono::milliseconds time)
    {
        for (const auto until = now + time; now < until; now += 100ms)
            registry.assign_cold_shares(own, {{cj::hall_id("north"), own, 1}},
                                        0, now);
        registry.apply_status("10.0.0.1", status(++sequence), now);
        registry.apply_status("10.0.0.2", status(sequence), now);
    };
    auto cold = record("cold", "north", "10.0.0.1:80");
    cold.cold_remaining_ms = 3000;
    cj::placement_failure failure;
    auto request = default_request();
    const auto choose = [&]
    { return selector.choose(registry, service, request, now, failure); };

    listen(2s);
    registry.apply_record(cold, now);
    listen(400ms);
    const auto first = choose();
    REQUIRE(first);
    registry.begin_attempt(first->upstream, 1, 1000, now);
    registry.mark_first_event(first->upstream, 1);

    THEN("the next one is held back, with the time when one is due")
    {
        CHECK_FALSE(choose());
        CHECK(failure.held_back == 1);
        REQUIRE(failure.next_send_at);
        CHECK(*failure.next_send_at > now);
        CHECK(*failure.next_send_at <= now + 264ms);
        listen(300ms);
        CHECK(choose());
    }
    THEN("streams to be resumed are held back too")
    {
        request.bypasses_limits = true;
        CHECK_FALSE(choose());
    }
    THEN("an upstream that failed is not used again before it is due")
    {
        request.excluded = {cold.id};
        request.may_reuse_excluded = true;
        CHECK_FALSE(choose());
    }
    THEN("a warm upstream takes it")
    {
        registry.apply_record(record("warm", "south", "10.0.0.2:80"), now);
        listen(100ms);
        registry.begin_attempt(cold.id, 2, 1000, now);
        const auto found = choose();
        REQUIRE(found);
        CHECK(found->upstream.value() == "warm");
    }
    THEN("without a share the end of the cold start is the time")
    {
        registry.assign_cold_shares("", {}, 0, now);
        CHECK_FALSE(choose());
        CHECK(failure.next_send_at == cj::time_point{105s});
    }
    THEN("after the cold start nothing is held back")
    {
        listen(3s);
        CHECK(choose());
        registry.begin_attempt(cold.id, 2, 1000, now);
        CHECK(choose());
        CHECK(failure.held_back == 0);
    }
}
