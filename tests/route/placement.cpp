#include "coursejunction/route/placement.hpp"

#include <catch2/catch.hpp>

#include "route/placement_fixtures.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;
using namespace placement_test;

SCENARIO("a request goes to the upstream with the best predicted first event",
         "[route]")
{
    cj::upstream_registry registry;
    const cj::time_point now{100s};
    const cj::placer selector({}, cj::hall_id("north"), "10.0.0.9");
    const auto service = llm();
    cj::placement_failure failure;
    registry.apply_record(record("near", "north", "10.0.0.1:80"));
    registry.apply_record(record("far", "south", "10.0.0.2:80"));
    registry.apply_status("10.0.0.1", status(1), now);
    registry.apply_status("10.0.0.2", status(1), now);

    THEN("the entry's own hall is preferred")
    {
        const auto at =
            selector.choose(registry, service, default_request(), now, failure);
        REQUIRE(at);
        CHECK(at->upstream.value() == "near");
        CHECK(at->version == 1);
    }
    GIVEN("the near upstream is full")
    {
        auto reported = status(2);
        reported.running = 12;
        registry.apply_status("10.0.0.1", reported, now);
        const auto at =
            selector.choose(registry, service, default_request(), now, failure);
        REQUIRE(at);
        CHECK(at->upstream.value() == "far");
        AND_GIVEN("the far one is full too")
        {
            registry.apply_status("10.0.0.2", reported, now);
            THEN("no upstream is selected, and the reason has the smallest "
                 "prediction")
            {
                CHECK_FALSE(selector.choose(registry, service,
                                            default_request(), now, failure));
                CHECK(failure.usable == 2);
                CHECK(failure.least_ms > 360);
            }
            THEN("a stream to be resumed is placed nevertheless")
            {
                auto resumed = default_request();
                resumed.bypasses_limits = true;
                CHECK(
                    selector.choose(registry, service, resumed, now, failure));
            }
        }
    }
    GIVEN("the near upstream closes to load other weights, so the far one is "
          "chosen")
    {
        auto reported = status(2);
        reported.open = false;
        registry.apply_status("10.0.0.1", reported, now);
        CHECK(
            selector.choose(registry, service, default_request(), now, failure)
                ->upstream.value() == "far");
    }
    GIVEN("upstreams with weights below the minimum version are not chosen")
    {
        auto newer = default_request();
        newer.min_version = 2;
        CHECK_FALSE(selector.choose(registry, service, newer, now, failure));
        CHECK(failure.usable == 0);
        auto reported = status(2);
        reported.version = 2;
        registry.apply_status("10.0.0.2", reported, now);
        CHECK(
            selector.choose(registry, service, newer, now, failure)->version ==
            2);
    }
    GIVEN("the near upstream is leaving, so the far one is chosen")
    {
        auto leaving = record("near", "north", "10.0.0.1:80");
        leaving.leaving = true;
        registry.apply_record(leaving);
        CHECK(
            selector.choose(registry, service, default_request(), now, failure)
                ->upstream.value() == "far");
    }
    GIVEN("the near upstream answered with an error")
    {
        registry.begin_attempt(cj::instance_id("near"), 1, 1000, now);
        registry.end_attempt(cj::instance_id("near"), 1,
                             cj::attempt_result::answered_failure, now);
        THEN("it is not avoided but used less")
        {
            CHECK(registry.find(cj::instance_id("near"))->avoid_until <= now);
            const auto at = selector.choose(registry, service,
                                            default_request(), now, failure);
            REQUIRE(at);
            CHECK(at->upstream.value() == "far");
        }
        THEN("it is used again for the request if nothing else is usable")
        {
            registry.remove(cj::instance_id("far"), std::nullopt, now);
            auto repeated = default_request();
            repeated.excluded = {cj::instance_id("near")};
            CHECK_FALSE(
                selector.choose(registry, service, repeated, now, failure));
            repeated.may_reuse_excluded = true;
            CHECK(selector.choose(registry, service, repeated, now, failure));
        }
    }
    GIVEN("an attempt at the near upstream failed without a response, so the "
          "far one is chosen")
    {
        registry.begin_attempt(cj::instance_id("near"), 1, 1000, now);
        registry.end_attempt(cj::instance_id("near"), 1,
                             cj::attempt_result::failed, now);
        CHECK(
            selector.choose(registry, service, default_request(), now, failure)
                ->upstream.value() == "far");
    }
    GIVEN("the sidecars are silent")
    {
        const auto later = now + 5s;
        THEN("the record's version and the entry's own attempts decide")
        {
            CHECK(selector.choose(registry, service, default_request(), later,
                                  failure));
        }
    }
}

SCENARIO("no kind of request bypasses the terms that an upstream announced",
         "[route]")
{
    cj::upstream_registry registry;
    const cj::time_point now{100s};
    const cj::placer selector({}, cj::hall_id("north"), "10.0.0.9");
    const auto service = llm();
    const cj::instance_id near("near");
    cj::placement_failure failure;
    registry.apply_record(record("near", "north", "10.0.0.1:80"));
    registry.apply_status("10.0.0.1", status(1), now);

    cj::received_notice reported;
    const int kind = GENERATE(0, 1, 2);
    if (kind == 0)
        reported.notice.leaving = true;
    else if (kind == 1)
        reported.notice.retry_after = 3s;
    else
        reported.notice.requests_per_second = 1;
    registry.apply_notice(near, reported, now);
    // Further status reports of the sidecar do not revoke that.
    registry.apply_status("10.0.0.1", status(2), now + 10ms);
    const auto later = now + 100ms;

    auto request = default_request();
    SECTION("not a first attempt") {}
    SECTION("not a stream to be resumed")
    {
        request.bypasses_limits = true;
    }
    SECTION("not another attempt after an error of the same upstream")
    {
        request.may_reuse_excluded = true;
        request.excluded = {near};
    }
    SECTION("not a request that uses the upstream only as a last resort")
    {
        request.avoided = {near};
    }
    CHECK_FALSE(selector.choose(registry, service, request, later, failure));
}

SCENARIO("the time when upstreams in a back-off accept requests again",
         "[route]")
{
    cj::upstream_registry registry;
    const cj::time_point now{100s};
    const cj::placer selector({}, cj::hall_id("north"), "10.0.0.9");
    const auto service = llm();
    cj::placement_failure failure;
    cj::received_notice backoff;
    for (const std::string id : {"1", "2"})
    {
        registry.apply_record(record(id, "north", "10.0.0." + id + ":80"));
        registry.apply_status("10.0.0." + id, status(1), now);
        backoff.notice.retry_after = 1000ms * std::stoi(id);
        registry.apply_notice(cj::instance_id(id), backoff, now);
    }
    CHECK_FALSE(
        selector.choose(registry, service, default_request(), now, failure));
    CHECK(failure.next_send_at == now + 1s);

    SECTION("an excluded upstream does not count")
    {
        auto request = default_request();
        request.excluded = {cj::instance_id("1")};
        CHECK_FALSE(selector.choose(registry, service, request, now, failure));
        CHECK(failure.next_send_at == now + 2s);
    }
    SECTION("one that loads weights may open at any time")
    {
        registry.apply_record(record("3", "north", "10.0.0.3:80"));
        auto loading = status(1);
        loading.open = false;
        registry.apply_status("10.0.0.3", loading, now);
        CHECK_FALSE(selector.choose(registry, service, default_request(), now,
                                    failure));
        CHECK_FALSE(failure.next_send_at);
    }
    SECTION("one that is leaving does not count")
    {
        auto leaves = record("3", "north", "10.0.0.3:80");
        leaves.leaving = true;
        registry.apply_record(leaves);
        CHECK_FALSE(selector.choose(registry, service, default_request(), now,
                                    failure));
        CHECK(failure.next_send_at == now + 1s);
    }
}

SCENARIO("records that disappear in a store outage may return", "[route]")
{
    cj::upstream_registry registry;
    const cj::time_point now{100s};
    const cj::instance_id id("near");
    registry.apply_record(record("near", "north", "10.0.0.1:80"));

    WHEN("a record disappears in an outage")
    {
        registry.remove(id, now + 2s, now);
        registry.expire(now + 1s);
        CHECK(registry.find(id) != nullptr);
        THEN("its upstream is dropped after the grace time")
        {
            registry.expire(now + 2s);
            CHECK(registry.find(id) == nullptr);
        }
        THEN("its upstream is kept when the record returns")
        {
            registry.apply_record(record("near", "north", "10.0.0.1:80"));
            registry.expire(now + 10s);
            CHECK(registry.find(id) != nullptr);
        }
    }
    WHEN("a record disappears while the store is available")
    {
        registry.remove(id, std::nullopt, now);
        THEN("its upstream is dropped at once")
        {
            CHECK(registry.find(id) == nullptr);
        }
    }
}

SCENARIO("requests of other entries not yet reported are estimated", "[route]")
{
    cj::upstream_registry registry;
    const cj::time_point now{100s};
    const cj::instance_id id("near");
    const auto service = llm();
    registry.apply_record(record("near", "north", "10.0.0.1:80"));
    registry.apply_status("10.0.0.1", status(1), now);
    registry.begin_attempt(id, 1, 1000, now + 20ms);
    const auto load = [&]
    { return registry.load(*registry.find(id), *service.engine, now + 20ms); };

    THEN("a single entry counts only its own request")
    {
        CHECK(load().running == Approx(1));
        CHECK(load().unread_tokens == Approx(1000));
    }
    GIVEN("five entries that see the same idle upstream")
    {
        registry.set_entry_count(5);
        THEN("two of the others are assumed to send as often as this one")
        {
            const auto own =
                1 / cj::to_seconds(cj::smoothed_rate::default_window);
            CHECK(registry.other_entries_rate(now + 20ms) == Approx(2 * own));
        }
        CHECK(load().running == Approx(3));
        CHECK(load().unread_tokens == Approx(3000));
        THEN("requests expected beyond this entry's scaled ones are added")
        {
            const auto more = [&](double others)
            {
                return registry.load(*registry.find(id), *service.engine,
                                     now + 50ms, others);
            };
            CHECK(more(40).expected == Approx(2));
            CHECK(more(40).running == Approx(3));
            CHECK(more(100).running == Approx(1 + 5));
        }
        THEN("expected requests count even if this entry has sent none")
        {
            registry.end_attempt(id, 1, cj::attempt_result::succeeded,
                                 now + 20ms);
            CHECK(
                registry
                    .load(*registry.find(id), *service.engine, now + 50ms, 40.0)
                    .running == Approx(2));
        }
        AND_WHEN("a status report includes the request")
        {
            auto reported = status(2);
            reported.running = 1;
            registry.apply_status("10.0.0.1", reported, now + 50ms);
            THEN("it is counted once")
            {
                CHECK(load().running == Approx(1));
            }
        }
    }
}

SCENARIO("entries do not all choose an upstream that has just opened",
         "[route]")
{
    constexpr std::size_t entry_count = 16;
    constexpr std::size_t upstream_count = 25;
    const auto service = llm();
    cj::time_point now{100s};
    std::vector<cj::upstream_registry> registries(entry_count);
    std::vector<cj::placer> placers;
    for (std::size_t at = 0; at < entry_count; ++at)
        placers.emplace_back(cj::placement_options{}, cj::hall_id("north"),
                             "10.0.0." + std::to_string(100 + at));
    const auto report_status = [&](std::uint64_t sequence)
    {
        for (auto& registry : registries)
        {
            registry.set_entry_count(entry_count);
            for (std::size_t at = 0; at < upstream_count; ++at)
            {
                const auto host = "10.1.0." + std::to_string(at + 1);
                auto reported = status(sequence);
                reported.running = at == 0 ? 0 : 2;
                registry.apply_record(
                    record("up" + std::to_string(at), "north", host + ":80"));
                registry.apply_status(host, reported, now);
            }
        }
    };
    std::uint64_t number = 0;
    std::size_t chosen = 0;
    const auto send = [&](std::size_t entry)
    {
        cj::placement_failure failure;
        auto& registry = registries[entry];
        const auto at = placers[entry].choose(registry, service,
                                              default_request(), now, failure);
        if (!at)
            return;
        chosen += at->upstream.value() == "up0" ? 1 : 0;
        registry.begin_attempt(at->upstream, ++number, 1000, now);
        registry.end_attempt(at->upstream, number,
                             cj::attempt_result::succeeded, now);
    };

    // Each entry sends 30 requests a second, in turn; status reports arrive
    // every 50 ms until one is late.
    report_status(1);
    for (int step = 0; step < 480; ++step)
    {
        now += 2083us;
        if (step % 24 == 0)
            report_status(static_cast<std::uint64_t>(step) + 2);
        send(static_cast<std::size_t>(step) % entry_count);
    }
    chosen = 0;
    for (int step = 0; step < 48; ++step)
    {
        now += 2083us;
        send(static_cast<std::size_t>(step) % entry_count);
    }
    THEN("in the 100 ms after its last status it gets a few requests, not one "
         "per entry")
    {
        CHECK(chosen >= 1);
        CHECK(chosen <= entry_count / 2);
    }
}

SCENARIO("late first events correct the prediction", "[route]")
{
    cj::upstream_registry registry;
    const cj::time_point now{100s};
    const cj::placer selector({}, cj::hall_id("north"), "10.0.0.9");
    registry.apply_record(record("near", "north", "10.0.0.1:80"));
    registry.apply_record(record("far", "south", "10.0.0.2:80"));
    registry.apply_status("10.0.0.1", status(1), now);
    registry.apply_status("10.0.0.2", status(1), now);
    cj::placement_failure failure;
    const auto before =
        selector.choose(registry, llm(), default_request(), now, failure)
            ->predicted_ms;

    WHEN("first events at one upstream take three times as long as predicted")
    {
        for (int at = 0; at < 200; ++at)
            registry.record_first_event_time(cj::instance_id("far"), 100, 300);
        THEN("all predictions rise, as unseen load of other entries affects "
             "them all")
        {
            const auto after =
                selector
                    .choose(registry, llm(), default_request(), now, failure)
                    ->predicted_ms;
            CHECK(after == Approx(3 * before).epsilon(0.05));
        }
    }
    WHEN("first events are faster than predicted")
    {
        for (int at = 0; at < 200; ++at)
            registry.record_first_event_time(cj::instance_id("far"), 100, 60);
        THEN("the prediction is not lowered")
        {
            CHECK(selector
                      .choose(registry, llm(), default_request(), now, failure)
                      ->predicted_ms == Approx(before));
        }
    }
}

SCENARIO("an upstream with a silent sidecar is the last choice", "[route]")
{
    cj::upstream_registry registry;
    cj::time_point now{100s};
    const cj::placer selector({}, cj::hall_id("north"), "10.0.0.9");
    const auto service = llm();
    cj::placement_failure failure;
    registry.apply_record(record("suspended", "north", "10.0.0.1:80"));
    registry.apply_record(record("far", "south", "10.0.0.2:80"));
    registry.apply_status("10.0.0.1", status(1), now);
    now += 2s;
    registry.apply_status("10.0.0.2", status(1), now);

    THEN("an upstream of another hall is preferred")
    {
        const auto found =
            selector.choose(registry, service, default_request(), now, failure);
        REQUIRE(found);
        CHECK(found->upstream == cj::instance_id("far"));
    }
    WHEN("an attempt there fails")
    {
        const cj::instance_id suspended("suspended");
        registry.begin_attempt(suspended, 1, 1000, now);
        registry.end_attempt(suspended, 1, cj::attempt_result::failed, now);
        THEN("it is avoided for a long time")
        {
            CHECK(registry.find(suspended)->avoid_until >= now + 5s);
        }
        THEN("that ends when its sidecar reports again")
        {
            now += 1s;
            registry.apply_status("10.0.0.1", status(2), now);
            CHECK(registry.find(suspended)->avoid_until <= now + 1s);
        }
    }
}
