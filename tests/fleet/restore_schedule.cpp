#include "coursejunction/fleet/restore_schedule.hpp"

#include <catch2/catch.hpp>

using namespace coursejunction;
using namespace std::chrono_literals;

TEST_CASE("entries rewrite keys lost in a rollback one after the other",
          "[fleet]")
{
    const time_point now{100s};
    restore_schedule schedule;

    SECTION("nothing is lost when the store is read for the first time")
    {
        CHECK_FALSE(schedule.due({}, 0, now));
        CHECK_FALSE(schedule.due({3, 9}, 0, now));
        CHECK_FALSE(schedule.due({3, 10}, 0, now + 9s));
    }
    SECTION("the first in rank at once, and once for each new era")
    {
        CHECK_FALSE(schedule.due({1, 9}, 0, now));
        CHECK(schedule.due({2, 4}, 0, now));
        CHECK_FALSE(schedule.due({2, 5}, 0, now + 9s));
        CHECK(schedule.due({3, 2}, 0, now + 9s));
    }
    SECTION("the others after a delay by rank")
    {
        CHECK_FALSE(schedule.due({1, 9}, 2, now));
        CHECK_FALSE(schedule.due({2, 4}, 2, now));
        CHECK_FALSE(
            schedule.due({2, 4}, 2, now + restore_schedule::rank_delay));
        CHECK(schedule.due({2, 4}, 2, now + 2 * restore_schedule::rank_delay));
    }
    SECTION("a first era after era 0 counts as a new one")
    {
        CHECK_FALSE(schedule.due({0, 9}, 0, now));
        CHECK(schedule.due({1, 4}, 0, now));
    }
}
