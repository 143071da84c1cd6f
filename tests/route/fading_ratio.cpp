#include "coursejunction/route/fading_ratio.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("what was seen fades", "[route]")
{
    cj::fading_ratio ratio;
    const cj::time_point now{100s};
    CHECK(ratio.value(now) == Approx(1));
    for (int at = 0; at < 100; ++at)
        ratio.seen(3, 0.1, now);
    THEN("it is taken in")
    {
        CHECK(ratio.value(now) == Approx(3).epsilon(0.01));
    }
    THEN("half of its difference to one is left after a half-life")
    {
        CHECK(ratio.value(now + cj::fading_ratio::half_life) ==
              Approx(2).epsilon(0.01));
    }
    THEN("a ratio below one fades as well")
    {
        for (int at = 0; at < 100; ++at)
            ratio.seen(0.5, 0.1, now);
        CHECK(ratio.value(now) == Approx(0.5).epsilon(0.01));
        CHECK(ratio.value(now + 60s) == Approx(1));
    }
}
