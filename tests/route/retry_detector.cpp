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
    cj::refusal_record made;
    made.fingerprint = cj::request_fingerprint(7);
    made.first_arrival = now - 300ms;
    made.deadline = now + 5600ms;
    made.refused_at = now;
    made.retry_at = now + 200ms;
    return made;
}

/*! @brief More by a third than the engines can end, at entries of which a hall
 * has several; callers come back at another one. */
load_pattern overload(std::uint64_t seed)
{
    constexpr double load = 1.3;
    constexpr double ended_per_engine = 12.15;
    load_pattern made;
    made.entries = 9;
    made.engines = 27;
    made.seconds = 12;
    made.retries_elsewhere = true;
    made.rate = [](double) { return ended_per_engine * 27 * load; };
    made.seed = seed;
    return made;
}

/*! @brief Returns the worst of three seeds. */
load_replay::recognition worst_of(const load_pattern& one)
{
    load_replay::recognition worst;
    for (const std::uint64_t seed : {1, 2, 3})
    {
        auto played = one;
        played.seed = seed;
        const auto known = simulator(played).run().retry_recognition;
        REQUIRE(known.retries > 100);
        if (seed == 1 ||
            known.recognised_fraction() < worst.recognised_fraction())
            worst = known;
    }
    return worst;
}

} // namespace

SCENARIO("how long ago a caller first tried", "[route]")
{
    cj::retry_detector tries;
    const cj::time_point now{100s};

    GIVEN("another entry of the hall sent a caller away")
    {
        const auto one = refusal(now);
        tries.record_remote_refusal(one, now);
        THEN("it has waited since its first try")
        {
            const auto past =
                tries.record_arrival("a", one.fingerprint, 5350ms, now + 250ms);
            CHECK(past.known_by == cj::retry_evidence::refusal);
            CHECK(past.waited == 550ms);
        }
        THEN("one that asks for the same with a deadline of its own is new")
        {
            const auto past =
                tries.record_arrival("a", one.fingerprint, 5900ms, now + 250ms);
            CHECK(past.known_by == cj::retry_evidence::none);
        }
        THEN("one that asks for the same without a deadline is new")
        {
            CHECK(tries
                      .record_arrival("a", one.fingerprint, std::nullopt,
                                      now + 250ms)
                      .known_by == cj::retry_evidence::none);
        }
    }
    GIVEN("callers of a route bring 6 s, and entries refuse some")
    {
        for (std::size_t at = 0; at < cj::deadline_floor::max_samples; ++at)
            (void)tries.record_arrival("a", {}, 6000ms, now);
        tries.note_other_entries_refusals(now);
        THEN("a shorter deadline tells of a try that nobody here heard of")
        {
            const auto past = tries.record_arrival("a", {}, 5000ms, now + 1s);
            CHECK(past.known_by == cj::retry_evidence::deadline);
            CHECK(past.waited == 1000ms);
        }
        THEN("another route's deadline has nothing to do with it")
        {
            CHECK(tries.record_arrival("b", {}, 1000ms, now).known_by ==
                  cj::retry_evidence::none);
        }
        THEN("a route that is gone is forgotten")
        {
            tries.retain_routes([](const std::string& name)
                                { return name != "a"; });
            CHECK(tries.record_arrival("a", {}, 5000ms, now).known_by ==
                  cj::retry_evidence::none);
        }
        WHEN("nobody has been refused for long")
        {
            THEN("a shorter deadline is a new caller's")
            {
                CHECK(
                    tries.record_arrival("a", {}, 5000ms, now + 10s).known_by ==
                    cj::retry_evidence::none);
            }
        }
    }
}

// Entries took the longest deadline of a route for that of every new caller.
// Where callers begin with 5,100 to 6,000 ms, three of four new ones counted as
// back after up to 900 ms, were refused, and late ones were served instead.
SCENARIO("callers that come back are told from new ones under overload",
         "[route]")
{
    constexpr double least_known = 0.9;
    constexpr double most_mistaken = 0.02;
    auto load = overload(1);
    const auto holds = [&](const load_pattern& one)
    {
        const auto known = worst_of(one);
        CHECK(known.recognised_fraction() > least_known);
        CHECK(known.mistaken_fraction() < most_mistaken);
    };

    SECTION("with one deadline for all")
    {
        holds(load);
    }
    SECTION("with spread deadlines")
    {
        load.deadline_spread = 0.15;
        holds(load);
    }
    SECTION("without deadlines")
    {
        load.deadlines = false;
        holds(load);
    }
    SECTION("with a fourth of the requests alike")
    {
        load.identical_fraction = 0.25;
        load.deadline_spread = 0.15;
        holds(load);
    }
    SECTION("with repeaters that come at once")
    {
        load.impatient_fraction = 0.3;
        load.deadline_spread = 0.15;
        holds(load);
    }
    SECTION("with callers that move to another hall")
    {
        load.moved_fraction = 0.2;
        load.deadline_spread = 0.15;
        const auto known = worst_of(load);
        CHECK(known.mistaken_fraction() < most_mistaken);
    }
    SECTION("on a calm day no new caller counts as late")
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
