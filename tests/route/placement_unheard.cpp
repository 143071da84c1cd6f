#include <cstdint>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "placement_fixtures.hpp"

namespace cj = coursejunction;
using namespace placement_test;

namespace
{

/*! @brief Entries that choose among full engines of one hall, of which the
 * first ones can be suspended. */
struct full_engines
{
    static constexpr std::size_t entry_count = 16;
    static constexpr std::size_t engine_count = 25;
    static constexpr std::size_t suspended_count = 5;

    full_engines()
    {
        for (std::size_t at = 0; at < entry_count; ++at)
        {
            placers.emplace_back(cj::placement_options{}, cj::hall_id("north"),
                                 "10.0.0." + std::to_string(100 + at));
            registries[at].set_entry_count(entry_count);
            for (std::size_t engine = 0; engine < engine_count; ++engine)
                registries[at].apply_record(
                    record("up" + std::to_string(engine), "north",
                           host(engine) + ":80"));
        }
        report_statuses(0);
        for (std::size_t at = 0; at < entry_count; ++at)
            registries[at].assign_engine_shares(
                {static_cast<double>(at) / entry_count,
                 static_cast<double>(at + 1) / entry_count},
                [](const cj::known_upstream&) { return true; });
    }

    static std::string host(std::size_t engine)
    {
        return "10.1.0." + std::to_string(engine + 1);
    }

    void report_statuses(std::size_t first)
    {
        ++sequence;
        auto reported = status(sequence);
        reported.running = 4;
        reported.waiting = 12;
        for (auto& registry : registries)
        {
            for (std::size_t engine = first; engine < engine_count; ++engine)
                registry.apply_status(host(engine), reported, now);
        }
    }

    /*! @brief Lets each entry choose 30 times a second.
     * @param first First engine that still reports. */
    void run(std::chrono::milliseconds time, std::size_t first)
    {
        const auto until = now + time;
        for (std::size_t step = 1; now < until; ++step)
        {
            now += 2083us;
            if (step % 24 == 0)
                report_statuses(first);
            const auto entry = step % entry_count;
            cj::placement_failure failure;
            const auto chosen = placers[entry].choose(
                registries[entry], llm(), default_request(), now, failure);
            if (!chosen)
                continue;
            ++sent;
            registries[entry].begin_attempt(chosen->upstream, ++number, 1000,
                                            now);
        }
    }

    std::vector<cj::upstream_registry> registries{entry_count};
    std::vector<cj::placer> placers;
    cj::time_point now{100s};
    std::uint64_t sequence{0};
    std::uint64_t number{0};
    std::size_t sent{0};
};

} // namespace

// When the last status of a suspended engine expired, all entries took it for
// idle at the same moment and sent it what waited. It ran these requests for
// callers that had left.
SCENARIO("full engines that are not heard any more do not attract requests",
         "[route]")
{
    full_engines engines;
    engines.run(500ms, 0);
    REQUIRE(engines.sent == 0);

    WHEN("five of them are suspended")
    {
        engines.run(4000ms, full_engines::suspended_count);
        THEN("only the entries that share an engine send it one request each")
        {
            constexpr std::size_t max_sharing = 2;
            CHECK(engines.sent <= full_engines::suspended_count * max_sharing);
        }
    }
    WHEN("none of them is heard, so that the entry itself may be cut off")
    {
        engines.run(4000ms, full_engines::engine_count);
        THEN("requests are sent all the same")
        {
            CHECK(engines.sent > full_engines::engine_count);
        }
    }
}

SCENARIO("an engine whose sidecar is not heard gets requests while it responds",
         "[route]")
{
    cj::upstream_registry registry;
    const cj::time_point now{100s};
    const cj::instance_id id("silent");
    const cj::placer selector({}, cj::hall_id("north"), "10.0.0.9");
    registry.apply_record(record("silent", "north", "10.0.0.1:80"));
    registry.apply_record(record("full", "north", "10.0.0.2:80"));
    registry.apply_status("10.0.0.1", status(1), now - 1500ms);
    auto full = status(1);
    full.waiting = 12;
    registry.apply_status("10.0.0.2", full, now);
    registry.begin_attempt(id, 1, 100, now - 1200ms);
    const auto is_chosen = [&]
    {
        cj::placement_failure failure;
        return selector.choose(registry, llm(), default_request(), now, failure)
            .has_value();
    };
    REQUIRE_FALSE(is_chosen());

    WHEN("an event of a stream arrives from it")
    {
        registry.record_response(id, 1, now);
        THEN("it is sent requests again")
        {
            CHECK(is_chosen());
        }
    }
    WHEN("the event belongs to an attempt at an earlier incarnation")
    {
        registry.record_response(id, 2, now);
        THEN("it says nothing of the engine")
        {
            CHECK_FALSE(is_chosen());
        }
    }
}

SCENARIO("an engine that is not heard gets a further request after a second",
         "[route]")
{
    cj::upstream_registry registry;
    cj::time_point now{100s};
    const cj::instance_id id("silent");
    const cj::placer selector({}, cj::hall_id("north"), "10.0.0.9");
    registry.apply_record(record("silent", "north", "10.0.0.1:80"));
    registry.apply_record(record("full", "north", "10.0.0.2:80"));
    registry.apply_status("10.0.0.1", status(1), now);
    registry.assign_engine_shares({0, 1}, [](const cj::known_upstream&)
                                  { return true; });
    const auto sent = [&](std::uint64_t attempt)
    {
        auto full = status(attempt);
        full.waiting = 12;
        registry.apply_status("10.0.0.2", full, now);
        cj::placement_failure failure;
        const auto chosen =
            selector.choose(registry, llm(), default_request(), now, failure);
        if (chosen)
            registry.begin_attempt(id, attempt, 100, now);
        return chosen.has_value();
    };
    now += 1500ms;
    REQUIRE(sent(1));
    CHECK_FALSE(sent(2));
    WHEN("its caller leaves")
    {
        registry.cancel_attempt(id, 1);
        now += 900ms;
        CHECK_FALSE(sent(3));
        now += 200ms;
        CHECK(sent(4));
    }
}

SCENARIO("what a status reported fades when no further one arrives", "[route]")
{
    cj::upstream_registry registry;
    const cj::time_point now{100s};
    const cj::instance_id id("near");
    registry.apply_record(record("near", "north", "10.0.0.1:80"));
    auto reported = status(1);
    reported.running = 4;
    registry.apply_status("10.0.0.1", reported, now);
    const auto running = [&](cj::milliseconds age) {
        return registry.load(*registry.find(id), *llm().engine, now + age)
            .running;
    };
    CHECK(running(1000ms) == Approx(4));
    CHECK(running(2000ms) == Approx(2));
    CHECK(running(3000ms) == Approx(0));
    registry.begin_attempt(id, 1, 1000, now + 500ms);
    CHECK(running(2000ms) == Approx(3));
    CHECK(running(4000ms) == Approx(1));
}
