#include "coursejunction/route/version_floor.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("each named version binds on its own", "[route]")
{
    cj::version_floor floor;
    const cj::time_point start{100s};
    floor.name("m", 2, start, 8000ms);
    floor.name("m", 3, start + 4s, 8000ms);

    CHECK(floor.least("m", start + 7s) == 1);
    CHECK(floor.least("m", start + 8s) == 2);
    CHECK(floor.least("m", start + 12s) == 3);
    CHECK(floor.ends("m", 1) == start + 8s);
    CHECK(floor.ends("m", 2) == start + 12s);
    CHECK_FALSE(floor.ends("m", 3));
    CHECK(floor.newest("m") == 3);
    CHECK(floor.least("other", start) == 1);

    WHEN("an entry starts when the third version has been named")
    {
        cj::version_floor started;
        started.found("m", 3, start + 4s, 8000ms);
        THEN("the first may be bound already, the second is as old as told")
        {
            CHECK(started.least("m", start + 5s) == 2);
            CHECK(started.least("m", start + 12s) == 3);
        }
        THEN("what is found again changes nothing")
        {
            started.found("m", 4, start + 6s, 8000ms);
            CHECK(started.least("m", start + 7s) == 2);
        }
    }
    WHEN("an entry starts when only the second has been named")
    {
        cj::version_floor started;
        started.found("m", 2, start, 8000ms);
        THEN("the first still begins requests")
        {
            CHECK(started.least("m", start + 5s) == 1);
        }
    }
    WHEN("a version is told again later")
    {
        floor.name("m", 2, start + 5s, 8000ms);
        THEN("its time does not start anew")
        {
            CHECK(floor.least("m", start + 8s) == 2);
        }
    }
}
