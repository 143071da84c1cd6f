#include "coursejunction/fleet/mirror_age.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("a process knows for how long its mirror has been old", "[fleet]")
{
    cj::mirror_age age;
    const cj::time_point now{100s};
    CHECK(age.behind_for(5, now) == 0ms);

    GIVEN("a peer that knows more")
    {
        age.told(7, 5, now);
        age.told(8, 5, now + 400ms);
        THEN("the first news that is lacking counts")
        {
            CHECK(age.behind_for(5, now + 500ms) == 500ms);
        }
        WHEN("the mirror reaches it, not yet the next")
        {
            age.advanced(7, now + 600ms);
            CHECK(age.behind_for(7, now + 700ms) == 100ms);
        }
        WHEN("the mirror reaches all")
        {
            age.advanced(8, now + 600ms);
            CHECK(age.behind_for(8, now + 5s) == 0ms);
            age.told(9, 8, now + 6s);
            CHECK(age.behind_for(8, now + 7s) == 1000ms);
        }
        WHEN("it advances by less than what is awaited")
        {
            age.advanced(6, now + 600ms);
            CHECK(age.behind_for(6, now + 700ms) == 700ms);
        }
    }
}
