#include "coursejunction/route/smoothed_rate.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("smoothing of an event rate", "[route]")
{
    cj::smoothed_rate rate;
    cj::time_point now{100s};
    CHECK(rate.per_second(now) == Approx(0));
    GIVEN("an event every 25 ms")
    {
        for (int at = 0; at < 200; ++at)
            rate.record(now += 25ms);
        THEN("the rate is 40 a second")
        {
            CHECK(rate.per_second(now) == Approx(40).epsilon(0.05));
        }
        THEN("the rate decays without events")
        {
            CHECK(rate.per_second(now + 3s) < 0.2);
        }
    }
}
