#include "coursejunction/route/first_try.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("how long ago a caller first tried", "[route]")
{
    cj::first_try tries;
    const cj::time_point now{100s};

    GIVEN("callers of a route begin with 6 s")
    {
        CHECK(tries.waited("a", 6000ms, now) == 0ms);
        THEN("a shorter deadline tells of an earlier try")
        {
            CHECK(tries.waited("a", 5400ms, now) == 600ms);
        }
        THEN("a few ms tell nothing")
        {
            CHECK(tries.waited("a", 5990ms, now) == 0ms);
        }
        THEN("no deadline tells nothing")
        {
            CHECK(tries.waited("a", std::nullopt, now) == 0ms);
        }
        THEN("another route's deadline has nothing to do with it")
        {
            CHECK(tries.waited("b", 1000ms, now) == 0ms);
        }
        THEN("it is known a minute's half later")
        {
            CHECK(tries.waited("a", 5000ms, now + 40s) == 1000ms);
        }
        THEN("callers may begin with less from some day on")
        {
            CHECK(tries.waited("a", 5000ms, now + 100s) == 0ms);
            CHECK(tries.waited("a", 5000ms, now + 140s) == 0ms);
        }
        THEN("a route that is gone is forgotten")
        {
            tries.keep([](const std::string& name) { return name != "a"; });
            CHECK(tries.waited("a", 5000ms, now) == 0ms);
        }
    }
}
