#include <string>

#include <catch2/catch.hpp>

#include "route/hard_load.hpp"
#include "route/load_replay.hpp"

using load_replay::load_pattern;
using load_replay::simulator;
using load_replay::tally;

namespace
{

/*! @brief Requests a second that one engine completes in the replay. */
constexpr double completed_per_engine = 7.8;

/*! @brief Four fifths of the capacity, and a multiple of it from the second
 * second on. Refused clients return at another entry, some in another hall. */
load_pattern overload(double factor, double seconds, std::size_t entries)
{
    auto pattern = load_replay::three_priorities(1);
    pattern.entries = entries;
    pattern.engines = 58;
    pattern.retries_elsewhere = true;
    pattern.moved_fraction = 0.2;
    pattern.seconds = 2 + seconds + 4;
    const auto capacity =
        completed_per_engine * static_cast<double>(pattern.engines);
    pattern.rate = [=](double second)
    {
        const bool overloaded = second >= 2 && second < 2 + seconds;
        return capacity * (overloaded ? factor : 0.8);
    };
    return pattern;
}

/*! @brief The rule without a preference for clients that return. */
void use_former_rule(load_pattern& pattern)
{
    pattern.options.admission.returning_fraction =
        pattern.options.admission.late_fraction;
}

/*! @brief Returns the sum over several seeds. */
tally replay(load_pattern pattern)
{
    tally sum;
    for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6})
    {
        pattern.seed = seed;
        const auto all = simulator(pattern).run().all;
        sum.requests += all.requests;
        sum.in_time += all.in_time;
        sum.late += all.late;
        sum.refused += all.refused;
    }
    return sum;
}

struct comparison
{
    tally before;
    tally after;
};

comparison compare(load_pattern pattern)
{
    comparison result;
    result.after = replay(pattern);
    use_former_rule(pattern);
    result.before = replay(pattern);
    return result;
}

/*! @brief Returns the fractions of requests in time, late and refused again. */
std::string text(const tally& one)
{
    return std::to_string(one.in_time / one.requests) + " in time, " +
           std::to_string(one.late / one.requests) + " late, " +
           std::to_string(one.refused / one.requests) + " refused again";
}

/*! @brief Checks that no result is worse than before by more than the seeds
 * differ. */
void check_not_worse(const comparison& one)
{
    INFO("before: " << text(one.before));
    INFO("after: " << text(one.after));
    const auto& [before, after] = one;
    CHECK(after.refused / after.requests <
          before.refused / before.requests + 0.01);
    CHECK(after.in_time_fraction() > before.in_time_fraction() - 0.01);
    CHECK((after.in_time + after.late) / after.requests >
          (before.in_time + before.late) / before.requests - 0.01);
}

} // namespace

// Guards against a return time or a preference that costs more requests in time
// than it saves refusals.
SCENARIO("refused clients return during and after an overload", "[route]")
{
    const auto factor = GENERATE(1.2, 1.5, 2.0);
    DYNAMIC_SECTION(factor << " times the capacity for 4 s")
    {
        check_not_worse(compare(overload(factor, 4, 12)));
    }
}

SCENARIO("refused clients return during a long overload", "[route]")
{
    const auto result = compare(overload(1.5, 12, 12));
    check_not_worse(result);
}

// Guards against a preference that harms new clients where those of a dense
// burst return together.
SCENARIO("refused clients return after a dense burst", "[route]")
{
    check_not_worse(compare(overload(10, 0.25, 12)));
}

SCENARIO("refused clients return to many entries", "[route]")
{
    check_not_worse(compare(overload(1.5, 4, 53)));
}

// Guards against a change where no client is refused: a single different
// decision changes the random numbers of all later ones.
SCENARIO("nothing changes without refusals", "[route]")
{
    auto pattern = overload(0.8, 4, 12);
    const auto after = simulator(pattern).run().all;
    use_former_rule(pattern);
    const auto before = simulator(pattern).run().all;
    CHECK(after.refused == 0);
    CHECK(after.requests == before.requests);
    CHECK(after.in_time == before.in_time);
    CHECK(after.late == before.late);
}
