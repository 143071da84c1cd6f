#include "coursejunction/route/version_floor.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("each named version binds on its own", "[route]")
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

    WHEN("an entry starts when the third version has been named")
    {
        cj::version_floor started;
        started.add_found_at_startup("m", 3, start + 4s, 8000ms);
        THEN("the first may be bound already, the second is as old as told")
        {
            CHECK(started.minimum("m", start + 5s) == 2);
            CHECK(started.minimum("m", start + 12s) == 3);
        }
        THEN("what is found again changes nothing")
        {
            started.add_found_at_startup("m", 4, start + 6s, 8000ms);
            CHECK(started.minimum("m", start + 7s) == 2);
        }
    }
    WHEN("an entry starts when only the second has been named")
    {
        cj::version_floor started;
        started.add_found_at_startup("m", 2, start, 8000ms);
        THEN("the first still begins requests")
        {
            CHECK(started.minimum("m", start + 5s) == 1);
        }
    }
    WHEN("the third turns out to be named later")
    {
        floor.postpone("m", 3, start + 6s, 8000ms, start + 5s);
        THEN("it binds later, and the second as before")
        {
            CHECK(floor.minimum("m", start + 13s) == 2);
            CHECK(floor.minimum("m", start + 14s) == 3);
        }
    }
    WHEN("that is told when it binds already")
    {
        floor.postpone("m", 3, start + 6s, 8000ms, start + 12s);
        THEN("it goes on to")
        {
            CHECK(floor.minimum("m", start + 12s) == 3);
        }
    }
    WHEN("a version is told again later")
    {
        floor.add_published("m", 2, start + 5s, 8000ms);
        THEN("its time does not start anew")
        {
            CHECK(floor.minimum("m", start + 8s) == 2);
        }
    }
}

// All processes ended together while version 3 was served by nearly all. Those
// that started counted its time from then on, and sent requests for 6 s to an
// upstream that had been left on version 2: they began 26 s after the naming.
SCENARIO("a version that was found at the start and is served by most binds",
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
        THEN("nothing older is used any more")
        {
            CHECK(floor.known_minimum("m", started) == 1);
            CHECK(floor.minimum("m", started) == 3);
            CHECK_FALSE(floor.publish_time_unknown("m", 3));
        }
    }
    THEN("what this process only infers is not told to others")
    {
        CHECK(floor.known_minimum("m", started) == 1);
        CHECK(floor.known_minimum("m", started + 6s) == 3);
    }
    WHEN("it is known to bind")
    {
        floor.enforce("m", 3);
        THEN("nothing older is used any more")
        {
            CHECK(floor.minimum("m", started) == 3);
            CHECK(floor.known_minimum("m", started) == 3);
            CHECK(*floor.superseded_at("m", 2) <= started);
        }
    }
    WHEN("a newer one is named while this process lives")
    {
        floor.add_published("m", 4, started + 1s, 6000ms);
        floor.mark_widely_served("m", 4);
        THEN("its time is known, and it binds when that is over")
        {
            CHECK(floor.minimum("m", started + 6500ms) == 3);
            CHECK(floor.minimum("m", started + 7s) == 4);
        }
    }
}
