#include "coursejunction/route/deadline_floor.hpp"

#include <random>

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

/*! @brief Fills all samples with deadlines from a range. */
void fill_samples(cj::deadline_floor& floor, int least, int most,
                  cj::time_point now)
{
    std::mt19937 random(1);
    std::uniform_int_distribution<int> any(least, most);
    for (std::size_t at = 0; at < cj::deadline_floor::max_samples; ++at)
        (void)floor.observe(cj::milliseconds(any(random)), true, now);
}

} // namespace

SCENARIO("a deadline shorter than any new client's shows a client retry",
         "[route]")
{
    cj::deadline_floor floor;
    const cj::time_point now{100s};

    GIVEN("new clients with deadlines of 5,100 to 6,000 ms")
    {
        fill_samples(floor, 5100, 6000, now);
        THEN(
            "new clients with such deadlines are hardly ever taken for retries")
        {
            std::mt19937 random(2);
            std::uniform_int_distribution<int> any(5100, 6000);
            int mistaken = 0;
            constexpr int callers = 2000;
            for (int at = 0; at < callers; ++at)
                mistaken += floor.observe(cj::milliseconds(any(random)), false,
                                          now) > 0ms
                                ? 1
                                : 0;
            CHECK(mistaken < callers / 50);
        }
        THEN("the rest of a deadline is recognised as a retry")
        {
            const auto waited = floor.observe(4000ms, false, now);
            CHECK(waited >= 1100ms);
            CHECK(waited < 1200ms);
        }
        THEN("retries do not lower the floor")
        {
            for (int at = 0; at < 200; ++at)
                (void)floor.observe(3000ms, false, now);
            CHECK(floor.observe(3000ms, false, now) > 2000ms);
        }
        WHEN("clients begin with shorter deadlines while no requests are "
             "refused")
        {
            THEN("they count as new")
            {
                CHECK(floor.observe(3000ms, true, now) == 0ms);
            }
        }
        WHEN("clients begin with shorter deadlines during lasting refusals")
        {
            for (int at = 0; at < 200; ++at)
                (void)floor.observe(3000ms, false, now + 31s);
            THEN("they count as new once the samples are too old")
            {
                CHECK(floor.observe(3000ms, false, now + 32s) == 0ms);
            }
        }
    }
    GIVEN("new clients that all have the same deadline")
    {
        fill_samples(floor, 6000, 6000, now);
        THEN("a deadline shorter by a few ms counts as new")
        {
            CHECK(floor.observe(5960ms, false, now) == 0ms);
            CHECK(floor.observe(5700ms, false, now) == 300ms);
        }
    }
    GIVEN("too few samples")
    {
        (void)floor.observe(6000ms, true, now);
        THEN("every request counts as new")
        {
            CHECK(floor.observe(1000ms, false, now) == 0ms);
        }
    }
    GIVEN("one client with an extremely long deadline")
    {
        fill_samples(floor, 6000, 6000, now);
        (void)floor.observe(cj::milliseconds(std::chrono::hours(24)), true,
                            now);
        THEN("the other clients still count as new")
        {
            CHECK(floor.observe(6000ms, false, now) == 0ms);
        }
    }
}
