#include <cstddef>
#include <cstdint>

#include <catch2/catch.hpp>

#include "route/load_replay.hpp"

using load_replay::load_pattern;
using load_replay::simulator;
using load_replay::tally;

namespace
{

/*! @brief Two thirds of the capacity of 24 engines with 12 slots. One in seven
 * at a time is slower by a factor for 600 ms. */
load_pattern uneven_load(std::uint64_t seed, double factor)
{
    load_pattern pattern;
    pattern.seconds = 20;
    pattern.entries = 6;
    pattern.engines = 24;
    pattern.engine.slots = 12;
    pattern.seed = seed;
    pattern.rate = [](double) { return 170.0; };
    pattern.slowness = [factor](std::size_t engine, double ms)
    {
        const auto phase = static_cast<std::size_t>(ms / 600);
        return (phase * 5 + engine) % 7 == 0 ? factor : 1.0;
    };
    return pattern;
}

/*! @brief Returns the sum of replays with several seeds. */
tally replay(double factor, bool uses_pace, bool sends_copies)
{
    tally sum;
    for (const std::uint64_t seed : {1, 2, 3})
    {
        auto pattern = uneven_load(seed, factor);
        pattern.uses_pace = uses_pace;
        pattern.sends_copies = sends_copies;
        const auto all = simulator(pattern).run().all;
        sum.requests += all.requests;
        sum.late += all.late;
        sum.refused += all.refused;
        sum.copies += all.copies;
    }
    return sum;
}

} // namespace

SCENARIO("engines that are slow in turn", "[route]")
{
    constexpr double slow_factor = 2.5;
    const auto before = replay(slow_factor, false, false);

    WHEN("predictions use the current pace of each engine")
    {
        const auto result = replay(slow_factor, true, false);
        INFO(before.late << " late before, " << result.late);
        THEN("fewer first events are late")
        {
            CHECK(result.late < 0.8 * before.late);
        }
    }
    WHEN("requests whose first event is overdue get a copy as well")
    {
        const auto result = replay(slow_factor, true, true);
        INFO(before.late << " late before, " << result.late << " and "
                         << result.copies << " copies");
        THEN("less than half as many first events are late")
        {
            CHECK(result.late < 0.5 * before.late);
        }
        THEN("copies are few, and no request is refused for them")
        {
            CHECK(result.copies < 0.03 * result.requests);
            CHECK(result.refused <= before.refused);
        }
    }
}

SCENARIO("engines that are all as fast as profiled", "[route]")
{
    const auto result = replay(1, true, true);
    THEN("hardly any request gets a copy")
    {
        INFO(result.copies << " copies");
        CHECK(result.copies < 0.003 * result.requests);
    }
}
