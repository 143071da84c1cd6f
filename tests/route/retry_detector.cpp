#include "coursejunction/route/retry_detector.hpp"

#include <algorithm>

#include <catch2/catch.hpp>

#include "route/load_replay.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;
using load_replay::load_pattern;
using load_replay::simulator;

namespace
{

cj::refusal_record refusal(cj::time_point now)
{
    cj::refusal_record result;
    result.fingerprint = cj::request_fingerprint(7);
    result.first_arrival = now - 300ms;
    result.deadline = now + 5600ms;
    result.refused_at = now;
    result.retry_at = now + 200ms;
    return result;
}

/*! @brief A third more requests than the engines can serve, with several
 * entries per hall; clients retry at another entry. */
load_pattern overload(std::uint64_t seed)
{
    constexpr double load = 1.3;
    constexpr double served_per_engine = 12.15;
    load_pattern pattern;
    pattern.entries = 9;
    pattern.engines = 27;
    pattern.seconds = 12;
    pattern.retries_elsewhere = true;
    pattern.rate = [](double) { return served_per_engine * 27 * load; };
    pattern.seed = seed;
    return pattern;
}

/*! @brief Returns the recognition of the worst of three seeds. */
load_replay::recognition worst_of(const load_pattern& one)
{
    load_replay::recognition worst;
    for (const std::uint64_t seed : {1, 2, 3})
    {
        auto pattern = one;
        pattern.seed = seed;
        const auto known = simulator(pattern).run().retry_recognition;
        REQUIRE(known.retries > 100);
        if (seed == 1 ||
            known.recognised_fraction() < worst.recognised_fraction())
            worst = known;
    }
    return worst;
}

} // namespace

SCENARIO("time since the first request of a client", "[route]")
{
    cj::retry_detector detector;
    const cj::time_point now{100s};

    GIVEN("another entry of the hall reported a refusal")
    {
        const auto refused = refusal(now);
        detector.record_remote_refusal(refused, now);
        THEN("the retry has waited since the first request")
        {
            const auto history = detector.record_arrival(
                "a", refused.fingerprint, 5350ms, now + 250ms);
            CHECK(history.known_by == cj::retry_evidence::refusal);
            CHECK(history.waited == 550ms);
        }
        THEN("an equal request with a different deadline is new")
        {
            const auto history = detector.record_arrival(
                "a", refused.fingerprint, 5900ms, now + 250ms);
            CHECK(history.known_by == cj::retry_evidence::none);
        }
        THEN("an equal request without a deadline is new")
        {
            CHECK(detector
                      .record_arrival("a", refused.fingerprint, std::nullopt,
                                      now + 250ms)
                      .known_by == cj::retry_evidence::none);
        }
    }
    GIVEN("a route whose clients begin with 6 s, while entries refuse some")
    {
        for (std::size_t at = 0; at < cj::deadline_floor::max_samples; ++at)
            (void)detector.record_arrival("a", {}, 6000ms, now);
        detector.note_other_entries_refusals(now);
        THEN("a shorter deadline shows a retry whose refusal is not known here")
        {
            const auto history =
                detector.record_arrival("a", {}, 5000ms, now + 1s);
            CHECK(history.known_by == cj::retry_evidence::deadline);
            CHECK(history.waited == 1000ms);
        }
        THEN("the deadlines of another route do not matter")
        {
            CHECK(detector.record_arrival("b", {}, 1000ms, now).known_by ==
                  cj::retry_evidence::none);
        }
        THEN("a removed route is forgotten")
        {
            detector.retain_routes([](const std::string& name)
                                   { return name != "a"; });
            CHECK(detector.record_arrival("a", {}, 5000ms, now).known_by ==
                  cj::retry_evidence::none);
        }
        WHEN("no refusals have occurred for long")
        {
            THEN("a shorter deadline belongs to a new client")
            {
                CHECK(detector.record_arrival("a", {}, 5000ms, now + 10s)
                          .known_by == cj::retry_evidence::none);
            }
        }
    }
}

// Guards against taking the longest deadline seen on a route for that of every
// new client. Where clients begin with 5,100 to 6,000 ms, three of four new
// ones would count as retries that have waited up to 900 ms and be refused,
// while requests that can no longer meet their target would be served instead.
SCENARIO("client retries are recognised under overload", "[route]")
{
    constexpr double min_recognised = 0.9;
    constexpr double max_mistaken = 0.02;
    auto load = overload(1);
    const auto check_recognition = [&](const load_pattern& one)
    {
        const auto known = worst_of(one);
        CHECK(known.recognised_fraction() > min_recognised);
        CHECK(known.mistaken_fraction() < max_mistaken);
    };

    SECTION("with one deadline for all clients")
    {
        check_recognition(load);
    }
    SECTION("with spread deadlines")
    {
        load.deadline_spread = 0.15;
        check_recognition(load);
    }
    SECTION("without deadlines")
    {
        load.deadlines = false;
        check_recognition(load);
    }
    SECTION("with a quarter of the requests equal to each other")
    {
        load.identical_fraction = 0.25;
        load.deadline_spread = 0.15;
        check_recognition(load);
    }
    SECTION("with clients that retry at once")
    {
        load.impatient_fraction = 0.3;
        load.deadline_spread = 0.15;
        check_recognition(load);
    }
    SECTION("with clients that move to another hall")
    {
        load.moved_fraction = 0.2;
        load.deadline_spread = 0.15;
        const auto known = worst_of(load);
        CHECK(known.mistaken_fraction() < max_mistaken);
    }
    SECTION("without overload no new client counts as a retry")
    {
        load.deadline_spread = 0.15;
        load.rate = [](double) { return 200.0; };
        for (const std::uint64_t seed : {1, 2, 3})
        {
            load.seed = seed;
            CHECK(simulator(load).run().retry_recognition.new_mistaken == 0);
        }
    }
}
