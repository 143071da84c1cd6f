#include "coursejunction/fleet/version_alarm.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;
using change = cj::timed_condition::change;

SCENARIO("a condition is told when it begins and when it ends", "[fleet]")
{
    constexpr cj::time_point now{100s};
    cj::timed_condition one;
    CHECK(one.update(false, now) == change::none);
    CHECK(one.duration(now) == 0s);

    WHEN("it begins")
    {
        CHECK(one.update(true, now) == change::began);
        THEN("it is told once, and lasts from its beginning")
        {
            CHECK(one.update(true, now + 5s) == change::none);
            CHECK(one.duration(now + 7s) == 7s);
        }
        AND_WHEN("it ends")
        {
            CHECK(one.update(false, now + 9s) == change::ended);
            THEN("that is told once as well")
            {
                CHECK(one.update(false, now + 10s) == change::none);
                CHECK(one.duration(now + 10s) == 0s);
            }
            THEN("it can begin again, and lasts from then")
            {
                CHECK(one.update(true, now + 20s) == change::began);
                CHECK(one.duration(now + 21s) == 1s);
            }
        }
    }
    WHEN("it began before it was seen")
    {
        CHECK(one.update(true, now - 8s) == change::began);
        CHECK(one.duration(now) == 8s);
    }
}
