#include "coursejunction/route/dispatcher.hpp"

#include <algorithm>
#include <limits>

#include <catch2/catch.hpp>

#include "route/load_replay.hpp"

using load_replay::load_pattern;
using load_replay::simulator;

namespace
{

/*! @brief More by a third than the engines can end, which is some 146 a
 * second. */
load_pattern sustained_overload(std::uint64_t seed)
{
    load_pattern made;
    made.rate = [](double) { return 190.0; };
    made.seed = seed;
    return made;
}

/*! @brief Two thirds of what the engines can end, and nearly twice of it from
 * the 6th to the 9th second, with callers of which a part doesn't wait before
 * it comes back. */
load_pattern short_burst(std::uint64_t seed)
{
    load_pattern made;
    made.seconds = 20;
    made.rate = [](double second)
    { return second >= 6 && second < 9 ? 260.0 : 90.0; };
    made.impatient_fraction = 0.3;
    made.seed = seed;
    return made;
}

/*! @brief Admission that tells no late callers from new ones. */
coursejunction::dispatch_options late_like_new()
{
    coursejunction::dispatch_options made;
    made.admission.late_fraction = std::numeric_limits<double>::infinity();
    return made;
}

/*! @brief Admission by each kind's own target alone. */
coursejunction::dispatch_options own_targets_only()
{
    coursejunction::dispatch_options made;
    made.admission.full_refusal_ratio = std::numeric_limits<double>::infinity();
    return made;
}

} // namespace

SCENARIO("more is asked for, without end, than the engines can do", "[route]")
{
    const auto seed = GENERATE(std::uint64_t{1}, 2, 3);
    const auto played = simulator(sustained_overload(seed)).run();

    THEN("most callers are in time")
    {
        CHECK(played.all.in_time_fraction() > 0.68);
    }
    THEN("the kind with the tighter target isn't left behind")
    {
        CHECK(played.kinds.at("short").in_time_fraction() >
              played.kinds.at("long").in_time_fraction() - 0.05);
    }
    THEN("long prompts aren't left behind either")
    {
        CHECK(played.kinds.at("long").in_time_fraction() >
              0.85 * played.kinds.at("middle").in_time_fraction());
    }
    THEN("no entry's callers starve")
    {
        for (const auto& [entry, one] : played.entries)
            CHECK(one.in_time_fraction() > 0.5);
    }
    WHEN("callers that come back late are taken for new ones")
    {
        auto same = sustained_overload(seed);
        same.options = late_like_new();
        THEN("they crowd out those that could be in time")
        {
            CHECK(simulator(same).run().all.in_time_fraction() <
                  0.6 * played.all.in_time_fraction());
        }
    }
    WHEN("only each kind's own target counts")
    {
        auto same = sustained_overload(seed);
        same.options = own_targets_only();
        THEN("the kind with the tighter target pays")
        {
            const auto other = simulator(same).run();
            CHECK(other.kinds.at("short").in_time_fraction() <
                  played.kinds.at("short").in_time_fraction());
        }
    }
}

SCENARIO("a burst passes", "[route]")
{
    const auto seed = GENERATE(std::uint64_t{1}, 2, 3);
    const auto played = simulator(short_burst(seed)).run();

    THEN("three seconds later nearly everybody is in time again")
    {
        CHECK(played.between(12, 20).in_time_fraction() > 0.95);
    }
    THEN("many of those that were refused are answered when they come back")
    {
        const auto burst = played.between(6, 9);
        CHECK(burst.late > 0.2 * (burst.late + burst.refused));
    }
}

namespace
{

/*! @brief More by a third than the engines can end, at many entries of uneven
 * load before one set of engines. */
load_pattern overload_at_size(std::uint64_t seed)
{
    constexpr double ended = 4.8;
    load_pattern made;
    made.halls = 5;
    made.entries = 53;
    made.engines = 120;
    made.seconds = 12;
    made.seed = seed;
    load_replay::use_slow_engines(made);
    load_replay::make_uneven(made);
    made.rate = [](double) { return ended * 120 * 1.3; };
    return made;
}

/*! @brief Returns the least part of the callers in time at any entry. */
double worst_entry(const load_replay::result& played)
{
    double worst = 1;
    for (const auto& [entry, one] : played.entries)
        worst = std::min(worst, one.in_time_fraction());
    return worst;
}

} // namespace

SCENARIO("many entries share engines that are asked for too much", "[route]")
{
    const auto seed = GENERATE(std::uint64_t{1}, 2);
    const auto played = simulator(overload_at_size(seed)).run();

    THEN("most of what the engines end is in time")
    {
        CHECK(played.all.in_time_fraction() > 0.67);
        CHECK(played.all.late < 0.15 * played.all.requests);
    }
    THEN("no entry's callers starve beside another's")
    {
        CHECK(worst_entry(played) > 0.35);
    }
}
