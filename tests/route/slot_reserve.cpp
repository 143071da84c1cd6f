#include "coursejunction/route/slot_reserve.hpp"

#include <catch2/catch.hpp>

#include "route/hard_load.hpp"
#include "route/load_replay.hpp"

namespace cj = coursejunction;
using load_replay::load_pattern;
using load_replay::simulator;
using namespace std::chrono_literals;

namespace
{

const cj::request_rank most{0, 0};
const cj::request_rank least{0, 1};
const cj::time_point start{100s};

/*! @brief At one engine, 5 urgent requests a second and as many others; some
 * of the latter are refused. */
cj::slot_reserve observed(double refused_fraction)
{
    cj::slot_reserve result;
    double refused = 0;
    for (int number = 0; number < 75; ++number)
    {
        const auto now = start + number * 200ms;
        result.record_arrival(most, now);
        result.record_arrival(least, now);
        refused += refused_fraction;
        if (refused >= 1)
        {
            refused -= 1;
            result.record_refusal(least, now);
        }
    }
    return result;
}

const cj::time_point end = start + 15s;
const cj::service_scale one_engine{1, 1};

} // namespace

SCENARIO("slots that stay free for more urgent requests", "[route]")
{
    const auto engine = load_replay::narrow_engine_profile();
    const auto reserve = observed(0);

    THEN("the less urgent leave as many as are expected to arrive, the most "
         "urgent none")
    {
        const auto reserved = reserve.reserve(engine, least, one_engine, end);
        CHECK(reserved.slots > 1);
        CHECK(reserved.slots < 3);
        CHECK(reserved.urgent_per_second == Approx(5).epsilon(0.2));
        CHECK(reserve.reserve(engine, most, one_engine, end).slots == 0);
    }
    THEN("it follows the arrivals at all entries over all engines")
    {
        const auto one = reserve.reserve(engine, least, one_engine, end).slots;
        CHECK(reserve.reserve(engine, least, {12, 12}, end).slots ==
              Approx(one));
        CHECK(reserve.reserve(engine, least, {12, 24}, end).slots ==
              Approx(one / 2));
    }
    THEN("it is at most half of an engine")
    {
        CHECK(reserve.reserve(engine, least, {100, 1}, end).slots == 6);
    }
    THEN("after the urgent requests end, the slots serve the others")
    {
        CHECK(reserve.reserve(engine, least, one_engine, end + 30s).slots <
              0.01);
    }
    WHEN("the less urgent are served less than half as often as all")
    {
        const auto starved = observed(0.8);
        THEN("they leave nothing free")
        {
            CHECK(starved.reserve(engine, least, one_engine, end).slots == 0);
        }
    }
    WHEN("the only requests have one rank")
    {
        cj::slot_reserve equal;
        equal.record_arrival(least, start);
        equal.record_refusal(least, start);
        auto reserved = equal.reserve(engine, least, one_engine, start);
        THEN("no limit changes")
        {
            CHECK(reserved.slots == 0);
            CHECK(reserved.overtaken == 0);
            reserved.degree = 1;
            cj::admission_limits limits;
            limits.first_event_ms = 460;
            limits.typical_first_event_ms = 400;
            const auto same = equal.restrict(limits, engine, reserved);
            CHECK(same.first_event_ms == 460);
            CHECK(same.typical_first_event_ms == 400);
            CHECK(same.unreserved_in_flight == limits.unreserved_in_flight);
            CHECK(same.share_excess == 0);
            CHECK(same.unowned_fraction == limits.unowned_fraction);
        }
    }
}

SCENARIO("limits of a request that leaves slots free", "[route]")
{
    const auto engine = load_replay::narrow_engine_profile();
    const cj::slot_reserve reserve;
    cj::reserved_slots reserved;
    reserved.slots = 2;
    cj::admission_limits limits;
    limits.first_event_ms = 460;
    limits.typical_first_event_ms = 400;

    THEN("the reserve grows with the degree of overload")
    {
        const auto room = [&](double degree)
        {
            reserved.degree = degree;
            return reserve.restrict(limits, engine, reserved)
                .unreserved_in_flight;
        };
        CHECK(room(0) - room(0.5) == Approx(1));
        CHECK(room(0) - room(1) == Approx(2));
    }
    THEN("a late request gets no slot that a more urgent one needs")
    {
        cj::admission control;
        for (int number = 0; number < 50; ++number)
        {
            control.record_arrival(400ms, start + number * 20ms);
            control.record_refusal(start + number * 20ms);
        }
        reserved.degree = control.overload_degree(start + 1s);
        const auto late = reserve.restrict(
            control.limits(engine, 400ms, 2s, start + 1s, least), engine,
            reserved);
        CHECK(late.max_in_flight <= 12 - 1 - reserved.slots);
    }
}

namespace
{

/*! @brief The least urgent kind arrives 2.6 times as often as usual. Requests
 * count by kind when the engines are full. */
load_pattern flood_of_the_least_urgent(std::uint64_t seed)
{
    auto pattern = load_replay::three_priorities(seed);
    load_replay::multiply_kind(pattern, "least", 2.6, 0, 10);
    // Clients that are refused in the last second counted retry within 2 s.
    pattern.seconds = 7.5;
    pattern.kinds_from = 2.5;
    pattern.kinds_to = 5.5;
    return pattern;
}

load_pattern without_priorities(load_pattern pattern)
{
    for (auto& kind : pattern.kinds)
        kind.rank = 4;
    return pattern;
}

/*! @brief Returns the counts of all kinds together. */
load_replay::tally sum(const load_replay::result& result)
{
    load_replay::tally all;
    for (const auto& [name, one] : result.kinds)
    {
        all.requests += one.requests;
        all.in_time += one.in_time;
        all.late += one.late;
        all.refused += one.refused;
    }
    return all;
}

/*! @brief Returns the fraction of a kind's requests that were served. */
double served(const load_replay::tally& one)
{
    return (one.in_time + one.late) / one.requests;
}

/*! @brief Replays a pattern.
 * @param seconds Duration of the replay.
 * @param kinds_from From this second to before `kinds_to`, requests count by
 * kind. */
load_replay::result replay(load_pattern pattern, double seconds,
                           double kinds_from, double kinds_to)
{
    pattern.seconds = seconds;
    pattern.kinds_from = kinds_from;
    pattern.kinds_to = kinds_to;
    return simulator(pattern).run();
}

/*! @brief Checks that the more urgent kinds are served more often, and that
 * none starves.
 * @param in_time Fraction of the most urgent requests that must be exceeded by
 * those in time. */
void check_order(const load_replay::result& result, double in_time)
{
    CHECK(result.kinds.at("most").in_time_fraction() > in_time);
    const auto& least_urgent = result.kinds.at("least");
    const auto& middle = result.kinds.at("middle");
    const auto& most_urgent = result.kinds.at("most");
    // Fewer than 5 in 100 do not count as a wrong order.
    CHECK(served(most_urgent) > served(middle));
    CHECK(served(middle) > served(least_urgent) - 0.05);
    const auto all = served(sum(result));
    CHECK(served(least_urgent) > 0.4 * all);
    CHECK(served(middle) > 0.4 * all);
}

} // namespace

// Guards against the least urgent kind displacing the others, as without a
// reserve the kind with the most requests takes most slots.
SCENARIO("the least urgent kind floods the engines", "[route]")
{
    const auto seed = GENERATE(std::uint64_t{1}, 2);
    const auto pattern = flood_of_the_least_urgent(seed);
    const auto result = simulator(pattern).run();

    THEN("the most urgent requests are in time, and none starves")
    {
        check_order(result, 0.93);
        CHECK(sum(result).late < 0.03 * sum(result).requests);
    }
    THEN("about as many requests are in time as without priorities")
    {
        const auto equal = simulator(without_priorities(pattern)).run();
        CHECK(sum(result).in_time_fraction() >
              0.93 * sum(equal).in_time_fraction());
        CHECK(equal.kinds.at("most").in_time_fraction() < 0.7);
    }
}

SCENARIO("the most urgent kind exceeds its usual rate for four seconds",
         "[route]")
{
    auto pattern = load_replay::three_priorities(1);
    load_replay::multiply_kind(pattern, "most", 1.5, 3, 7);
    const auto result = replay(pattern, 8, 3, 7);

    THEN("its requests are in time, the others are not starved")
    {
        check_order(result, 0.9);
    }
}

SCENARIO("all kinds exceed their usual rates", "[route]")
{
    auto pattern = load_replay::three_priorities(1);
    load_replay::use_rates_of_kinds(pattern, 1.35);
    const auto result = replay(pattern, 6, 2, 5);

    THEN("the most urgent are served most often")
    {
        check_order(result, 0.85);
    }
}

// Guards against entries that see few requests each: their own rates by rank
// stand for those of all entries.
SCENARIO("many entries leave slots free for urgent requests", "[route]")
{
    auto pattern = load_replay::three_priorities(1);
    pattern.halls = 5;
    pattern.entries = 53;
    load_replay::multiply_kind(pattern, "least", 2.6, 0, 10);
    const auto result = replay(pattern, 4, 2, 4);

    THEN("the most urgent are served most often")
    {
        check_order(result, 0.7);
    }
}

// Guards against a change of behaviour where the configuration sets no
// different priorities. The counts are those of the code before ranks existed,
// or equal ones where sidecars report before the traffic starts; a single
// different decision changes the random numbers of all later ones. The
// later rules for clients that return are disabled, as they apply to one rank.
SCENARIO("one rank everywhere changes no decision", "[route]")
{
    const auto check = [](const load_replay::tally& one, double requests,
                          double in_time, double late, double refused)
    {
        CHECK(one.requests == requests);
        CHECK(one.in_time == in_time);
        CHECK(one.late == late);
        CHECK(one.refused == refused);
    };
    const auto disable_rules_for_returning = [](load_pattern& pattern)
    {
        pattern.options.admission.returning_fraction =
            pattern.options.admission.late_fraction;
    };
    GIVEN("one priority for all routes")
    {
        auto pattern = without_priorities(load_replay::three_priorities(1));
        disable_rules_for_returning(pattern);
        load_replay::use_rates_of_kinds(pattern, 1.35);
        pattern.seconds = 4;
        const auto result = simulator(pattern).run();
        check(result.kinds.at("least"), 1111, 685, 200, 226);
        check(result.kinds.at("middle"), 741, 500, 99, 142);
        check(result.kinds.at("most"), 1414, 970, 177, 267);
    }
    GIVEN("no priorities, and a burst whose clients retry at once")
    {
        load_pattern pattern;
        pattern.rate = [](double second)
        { return second >= 2 && second < 4 ? 260.0 : 90.0; };
        disable_rules_for_returning(pattern);
        pattern.seconds = 6;
        pattern.impatient_fraction = 0.3;
        pattern.seed = 2;
        const auto result = simulator(pattern).run();
        check(result.kinds.at("long"), 343, 235, 58, 50);
        check(result.kinds.at("middle"), 264, 200, 30, 34);
        check(result.kinds.at("short"), 295, 224, 34, 37);
    }
}
