#include "coursejunction/route/deadline_floor.hpp"

#include <random>

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

/*! @brief Notes as many deadlines from a range as are remembered. */
void teach(cj::deadline_floor& floor, int least, int most, cj::time_point now)
{
    std::mt19937 random(1);
    std::uniform_int_distribution<int> any(least, most);
    for (std::size_t at = 0; at < cj::deadline_floor::max_samples; ++at)
        (void)floor.observe(cj::milliseconds(any(random)), true, now);
}

} // namespace

SCENARIO("a deadline shorter than any new caller's tells of a return",
         "[route]")
{
    cj::deadline_floor floor;
    const cj::time_point now{100s};

    GIVEN("new callers bring 5,100 to 6,000 ms")
    {
        teach(floor, 5100, 6000, now);
        THEN("a new caller with any of these is none that comes back")
        {
            std::mt19937 random(2);
            std::uniform_int_distribution<int> any(5100, 6000);
            int taken = 0;
            constexpr int callers = 2000;
            for (int at = 0; at < callers; ++at)
                taken += floor.observe(cj::milliseconds(any(random)), false,
                                       now) > 0ms
                             ? 1
                             : 0;
            CHECK(taken < callers / 50);
        }
        THEN("what is left of a deadline is shorter")
        {
            const auto waited = floor.observe(4000ms, false, now);
            CHECK(waited >= 1100ms);
            CHECK(waited < 1200ms);
        }
        THEN("returns do not teach what new callers bring")
        {
            for (int at = 0; at < 200; ++at)
                (void)floor.observe(3000ms, false, now);
            CHECK(floor.observe(3000ms, false, now) > 2000ms);
        }
        WHEN("callers begin with less and nobody is refused")
        {
            THEN("they are new")
            {
                CHECK(floor.observe(3000ms, true, now) == 0ms);
            }
        }
        WHEN("they begin with less while others are refused without end")
        {
            for (int at = 0; at < 200; ++at)
                (void)floor.observe(3000ms, false, now + 31s);
            THEN("they are new after a while")
            {
                CHECK(floor.observe(3000ms, false, now + 32s) == 0ms);
            }
        }
    }
    GIVEN("new callers bring one deadline")
    {
        teach(floor, 6000, 6000, now);
        THEN("a few ms less tell nothing")
        {
            CHECK(floor.observe(5960ms, false, now) == 0ms);
            CHECK(floor.observe(5700ms, false, now) == 300ms);
        }
    }
    GIVEN("few callers came so far")
    {
        (void)floor.observe(6000ms, true, now);
        THEN("nothing is known")
        {
            CHECK(floor.observe(1000ms, false, now) == 0ms);
        }
    }
    GIVEN("one caller told a year")
    {
        teach(floor, 6000, 6000, now);
        (void)floor.observe(cj::milliseconds(std::chrono::hours(24)), true,
                            now);
        THEN("the others are as new as before")
        {
            CHECK(floor.observe(6000ms, false, now) == 0ms);
        }
    }
}
