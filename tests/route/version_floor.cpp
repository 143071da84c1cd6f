#include "coursejunction/route/version_floor.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("each published version is enforced at its own time", "[route]")
{
    cj::version_floor floor;
    const cj::time_point start{100s};
    floor.add_published("m", 2, start, 8000ms);
    floor.add_published("m", 3, start + 4s, 8000ms);

    CHECK(floor.minimum("m", start + 7s) == 1);
    CHECK(floor.minimum("m", start + 8s) == 2);
    CHECK(floor.minimum("m", start + 12s) == 3);
    CHECK(floor.superseded_at("m", 1) == start + 8s);
    CHECK(floor.superseded_at("m", 2) == start + 12s);
    CHECK_FALSE(floor.superseded_at("m", 3));
    CHECK(floor.newest("m") == 3);
    CHECK(floor.minimum("other", start) == 1);

    WHEN("an entry starts after the third version was published")
    {
        cj::version_floor started;
        started.add_found_at_startup("m", 3, start + 4s, 8000ms);
        THEN("the first is excluded at once, the second after the time allowed")
        {
            CHECK(started.minimum("m", start + 5s) == 2);
            CHECK(started.minimum("m", start + 12s) == 3);
        }
        THEN("a version found later changes nothing")
        {
            started.add_found_at_startup("m", 4, start + 6s, 8000ms);
            CHECK(started.minimum("m", start + 7s) == 2);
        }
    }
    WHEN("an entry starts when only the second version is published")
    {
        cj::version_floor started;
        started.add_found_at_startup("m", 2, start, 8000ms);
        THEN("the first may still begin requests")
        {
            CHECK(started.minimum("m", start + 5s) == 1);
        }
    }
    WHEN("the third version turns out to be published later")
    {
        floor.postpone("m", 3, start + 6s, 8000ms, start + 5s);
        THEN("it is enforced later, the second as before")
        {
            CHECK(floor.minimum("m", start + 13s) == 2);
            CHECK(floor.minimum("m", start + 14s) == 3);
        }
    }
    WHEN("that is learnt after it is enforced")
    {
        floor.postpone("m", 3, start + 6s, 8000ms, start + 12s);
        THEN("the version remains enforced")
        {
            CHECK(floor.minimum("m", start + 12s) == 3);
        }
    }
    WHEN("a version is added again later")
    {
        floor.add_published("m", 2, start + 5s, 8000ms);
        THEN("its time does not start again")
        {
            CHECK(floor.minimum("m", start + 8s) == 2);
        }
    }
}

// Guards against counting the time of a version found at startup from then on.
// Otherwise, if all processes restart together while nearly all upstreams serve
// version 3, they send requests for 6 s to an upstream left on version 2, up to
// 26 s after version 3 was published.
SCENARIO("a version found at startup that most upstreams serve is enforced",
         "[route]")
{
    cj::version_floor floor;
    const cj::time_point started{100s};
    floor.add_found_at_startup("m", 3, started, 6000ms);

    THEN("until more is known, the version before it may be used")
    {
        CHECK(floor.publish_time_unknown("m", 3));
        CHECK(floor.minimum("m", started) == 2);
    }
    WHEN("most upstreams serve it")
    {
        floor.mark_widely_served("m", 3);
        THEN("no older version is used any more")
        {
            CHECK(floor.known_minimum("m", started) == 1);
            CHECK(floor.minimum("m", started) == 3);
            CHECK_FALSE(floor.publish_time_unknown("m", 3));
        }
    }
    THEN("an inferred minimum is not reported to others")
    {
        CHECK(floor.known_minimum("m", started) == 1);
        CHECK(floor.known_minimum("m", started + 6s) == 3);
    }
    WHEN("another process already enforces it")
    {
        floor.enforce("m", 3);
        THEN("no older version is used any more")
        {
            CHECK(floor.minimum("m", started) == 3);
            CHECK(floor.known_minimum("m", started) == 3);
            CHECK(*floor.superseded_at("m", 2) <= started);
        }
    }
    WHEN("a newer version is published while this process runs")
    {
        floor.add_published("m", 4, started + 1s, 6000ms);
        floor.mark_widely_served("m", 4);
        THEN("its publish time is known, and it is enforced in time")
        {
            CHECK(floor.minimum("m", started + 6500ms) == 3);
            CHECK(floor.minimum("m", started + 7s) == 4);
        }
    }
}
