#include "coursejunction/fleet/version_alarm.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;
using change = cj::lasting_condition::change;

SCENARIO("a condition is told when it begins and when it ends", "[fleet]")
{
    constexpr cj::time_point now{100s};
    cj::lasting_condition one;
    CHECK(one.note(false, now) == change::none);
    CHECK(one.lasts(now) == 0s);

    WHEN("it begins")
    {
        CHECK(one.note(true, now) == change::began);
        THEN("it is told once, and lasts from its beginning")
        {
            CHECK(one.note(true, now + 5s) == change::none);
            CHECK(one.lasts(now + 7s) == 7s);
        }
        AND_WHEN("it ends")
        {
            CHECK(one.note(false, now + 9s) == change::ended);
            THEN("that is told once as well")
            {
                CHECK(one.note(false, now + 10s) == change::none);
                CHECK(one.lasts(now + 10s) == 0s);
            }
            THEN("it can begin again, and lasts from then")
            {
                CHECK(one.note(true, now + 20s) == change::began);
                CHECK(one.lasts(now + 21s) == 1s);
            }
        }
    }
    WHEN("it began before it was seen")
    {
        CHECK(one.note(true, now - 8s) == change::began);
        CHECK(one.lasts(now) == 8s);
    }
}
