#include "coursejunction/transfer/origin_schedule.hpp"

#include <vector>

#include <catch2/catch.hpp>

using namespace coursejunction;
using namespace std::chrono_literals;

namespace
{

constexpr milliseconds gap{10};
constexpr milliseconds least{250};

/*! @brief Counts the calls of sides that are all refused, each 10 ms. */
std::size_t calls(std::size_t sides, milliseconds from, milliseconds until)
{
    std::vector<origin_schedule> turns;
    for (std::uint32_t seed = 1; seed <= sides; ++seed)
        turns.emplace_back(gap, least, seed * 7919);
    std::size_t made = 0;
    for (auto at = 0ms; at < until; at += 10ms)
    {
        const time_point now{at};
        for (auto& one : turns)
        {
            if (!one.due(false, sides, now))
                continue;
            one.record_failure(sides, now);
            made += at >= from ? 1 : 0;
        }
    }
    return made;
}

} // namespace

// The origin cannot give a manifest for a while, and thousands of sides want
// it. Whatever their number, the calls that reach its link in a second must
// stay those that it can carry.
TEST_CASE("sides ask the origin in turns", "[transfer]")
{
    SECTION("the first of a hall asks at any time")
    {
        origin_schedule turn(gap, least, 1);
        const time_point now{1s};
        CHECK(turn.due(true, 2500, now));
        turn.record_failure(2500, now);
        CHECK(turn.due(true, 2500, now));
    }
    SECTION("all others together ask a hundred times a second at most")
    {
        for (const std::size_t sides : {100U, 500U, 2500U})
        {
            const auto first = calls(sides, 0ms, 1000ms);
            CHECK(first >= 60);
            CHECK(first <= 140);
        }
    }
    SECTION("and more seldom the longer it lasts")
    {
        CHECK(calls(100, 10s, 20s) <= 150);
    }
    SECTION("a few sides wait no longer than they used to between two calls")
    {
        for (std::uint32_t seed = 1; seed <= 20; ++seed)
        {
            origin_schedule turn(gap, least, seed);
            const time_point now{1s};
            static_cast<void>(turn.due(false, 20, now));
            CHECK(turn.due(false, 20, now + least));
        }
    }
    SECTION("after a wrong manifest turns begin anew")
    {
        origin_schedule turn(gap, least, 3);
        const time_point now{1s};
        for (int times = 0; times < 6; ++times)
            turn.record_failure(20, now);
        CHECK_FALSE(turn.due(false, 20, now + 1s));
        turn.reset();
        static_cast<void>(turn.due(false, 20, now + 1s));
        CHECK(turn.due(false, 20, now + 1s + least));
    }
}
