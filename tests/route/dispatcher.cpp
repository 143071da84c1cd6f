#include "coursejunction/route/dispatcher.hpp"

#include <algorithm>
#include <limits>

#include <catch2/catch.hpp>

#include "route/load_replay.hpp"

using load_replay::load_pattern;
using load_replay::simulator;

namespace
{

/*! @brief A third more requests than the engines can serve, which is about 146
 * a second. */
load_pattern sustained_overload(std::uint64_t seed)
{
    load_pattern pattern;
    pattern.rate = [](double) { return 190.0; };
    pattern.seed = seed;
    return pattern;
}

/*! @brief Two thirds of the engines' capacity, and nearly twice of it from the
 * 6th to the 9th second. Some refused clients retry immediately. */
load_pattern short_burst(std::uint64_t seed)
{
    load_pattern pattern;
    pattern.seconds = 20;
    pattern.rate = [](double second)
    { return second >= 6 && second < 9 ? 260.0 : 90.0; };
    pattern.impatient_fraction = 0.3;
    pattern.seed = seed;
    return pattern;
}

/*! @brief Admission that treats late requests like new ones. */
coursejunction::dispatch_options late_treated_as_new()
{
    coursejunction::dispatch_options options;
    options.admission.late_fraction = std::numeric_limits<double>::infinity();
    return options;
}

/*! @brief Admission that checks only the target of the request itself. */
coursejunction::dispatch_options own_targets_only()
{
    coursejunction::dispatch_options options;
    options.admission.full_refusal_ratio =
        std::numeric_limits<double>::infinity();
    return options;
}

} // namespace

SCENARIO("a lasting overload of the engines", "[route]")
{
    const auto seed = GENERATE(std::uint64_t{1}, 2, 3);
    const auto result = simulator(sustained_overload(seed)).run();

    THEN("most requests are in time")
    {
        CHECK(result.all.in_time_fraction() > 0.68);
    }
    THEN("the kind with the tighter target is served as well as the others")
    {
        CHECK(result.kinds.at("short").in_time_fraction() >
              result.kinds.at("long").in_time_fraction() - 0.05);
    }
    THEN("long prompts are served nearly as well as others")
    {
        CHECK(result.kinds.at("long").in_time_fraction() >
              0.85 * result.kinds.at("middle").in_time_fraction());
    }
    THEN("no entry's clients starve")
    {
        for (const auto& [entry, one] : result.entries)
            CHECK(one.in_time_fraction() > 0.5);
    }
    WHEN("requests that can no longer meet their target are treated like new "
         "ones")
    {
        auto pattern = sustained_overload(seed);
        pattern.options = late_treated_as_new();
        THEN("they crowd out requests that could meet theirs")
        {
            CHECK(simulator(pattern).run().all.in_time_fraction() <
                  0.6 * result.all.in_time_fraction());
        }
    }
    WHEN("only the target of the request itself is checked")
    {
        auto pattern = sustained_overload(seed);
        pattern.options = own_targets_only();
        THEN("the kind with the tighter target is served less")
        {
            const auto unprotected = simulator(pattern).run();
            CHECK(unprotected.kinds.at("short").in_time_fraction() <
                  result.kinds.at("short").in_time_fraction());
        }
    }
}

SCENARIO("recovery after a short burst of requests", "[route]")
{
    const auto seed = GENERATE(std::uint64_t{1}, 2, 3);
    const auto result = simulator(short_burst(seed)).run();

    THEN("three seconds later nearly all requests are in time again")
    {
        CHECK(result.between(12, 20).in_time_fraction() > 0.95);
    }
    THEN("many of the refused clients are served when they retry")
    {
        const auto burst = result.between(6, 9);
        CHECK(burst.late > 0.2 * (burst.late + burst.refused));
    }
}

namespace
{

/*! @brief A third more requests than the engines can serve, at many unevenly
 * loaded entries that share them. */
load_pattern overload_at_size(std::uint64_t seed)
{
    constexpr double served_per_engine = 4.8;
    load_pattern pattern;
    pattern.halls = 5;
    pattern.entries = 53;
    pattern.engines = 120;
    pattern.seconds = 12;
    pattern.seed = seed;
    load_replay::use_slow_engines(pattern);
    load_replay::use_uneven_load(pattern);
    pattern.rate = [](double) { return served_per_engine * 120 * 1.3; };
    return pattern;
}

/*! @brief Returns the smallest fraction of requests in time at any entry. */
double worst_entry(const load_replay::result& result)
{
    double worst = 1;
    for (const auto& [entry, one] : result.entries)
        worst = std::min(worst, one.in_time_fraction());
    return worst;
}

} // namespace

SCENARIO("many entries share overloaded engines", "[route]")
{
    const auto seed = GENERATE(std::uint64_t{1}, 2);
    const auto result = simulator(overload_at_size(seed)).run();

    THEN("most of the engines' capacity serves requests in time")
    {
        CHECK(result.all.in_time_fraction() > 0.67);
        CHECK(result.all.late < 0.15 * result.all.requests);
    }
    THEN("no entry's clients starve beside those of another")
    {
        CHECK(worst_entry(result) > 0.35);
    }
}
