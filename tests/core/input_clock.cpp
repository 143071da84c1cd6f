#include "coursejunction/core/input_clock.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

// Input that was read late counted as new, so that limits relative to its
// sending began anew.
SCENARIO("input may be as old as the turn before the last one", "[core]")
{
    cj::input_clock clock;
    const cj::time_point start{100s};
    SECTION("it counts as new before two turns are known")
    {
        CHECK(clock.arrived_after(start) == start);
        clock.record_turn(start);
        CHECK(clock.arrived_after(start + 5s) == start + 5s);
    }
    clock.record_turn(start);
    clock.record_turn(start + clock.interval);
    SECTION("it counts as new in a loop that keeps up")
    {
        const auto read_at = start + 2 * clock.interval;
        CHECK(clock.arrived_after(read_at) == read_at);
        CHECK(clock.lag(read_at) == 0ms);
    }
    SECTION("it may have arrived at any time of a long turn")
    {
        CHECK(clock.arrived_after(start + 900ms) <= start + 2 * clock.interval);
        SECTION("also in the turn after it, which reads what came meanwhile")
        {
            clock.record_turn(start + 1000ms);
            CHECK(clock.arrived_after(start + 1500ms) <=
                  start + 3 * clock.interval);
            CHECK(clock.lag(start + 1500ms) >= 1400ms);
        }
        SECTION("but not after two further turns")
        {
            clock.record_turn(start + 1000ms);
            clock.record_turn(start + 1000ms + clock.interval);
            const auto read_at = start + 1000ms + 2 * clock.interval;
            CHECK(clock.arrived_after(read_at) == read_at);
        }
    }
}
