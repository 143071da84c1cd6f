#include "coursejunction/fleet/version_alarm.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;
using change = cj::timed_condition::change;

SCENARIO("a condition reports its beginning and its end once each", "[fleet]")
{
    constexpr cj::time_point now{100s};
    cj::timed_condition condition;
    CHECK(condition.update(false, now) == change::none);
    CHECK(condition.duration(now) == 0s);

    WHEN("it begins")
    {
        CHECK(condition.update(true, now) == change::began);
        THEN("that is reported once, and the duration counts from then")
        {
            CHECK(condition.update(true, now + 5s) == change::none);
            CHECK(condition.duration(now + 7s) == 7s);
        }
        AND_WHEN("it ends")
        {
            CHECK(condition.update(false, now + 9s) == change::ended);
            THEN("that is reported once")
            {
                CHECK(condition.update(false, now + 10s) == change::none);
                CHECK(condition.duration(now + 10s) == 0s);
            }
            THEN("it can begin again, with a new duration")
            {
                CHECK(condition.update(true, now + 20s) == change::began);
                CHECK(condition.duration(now + 21s) == 1s);
            }
        }
    }
    WHEN("it is detected late: its duration counts from its beginning")
    {
        CHECK(condition.update(true, now - 8s) == change::began);
        CHECK(condition.duration(now) == 8s);
    }
}
