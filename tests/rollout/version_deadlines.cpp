#include "coursejunction/rollout/version_deadlines.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("deadlines follow from the time until a version is enforced",
         "[rollout]")
{
    SECTION("8 s: reserves of 2.7 s and 2 s")
    {
        const auto times = cj::version_deadlines::of(8000ms);
        CHECK(times.close_deadline == 5300ms);
        CHECK(times.send_deadline == 6000ms);
    }
    SECTION("a longer time has the same reserves")
    {
        const auto times = cj::version_deadlines::of(30'000ms);
        CHECK(times.close_deadline == 27'300ms);
        CHECK(times.send_deadline == 28'000ms);
    }
    SECTION("a shorter time has reserves in proportion")
    {
        const auto times = cj::version_deadlines::of(4000ms);
        CHECK(times.close_deadline == 2650ms);
        CHECK(times.send_deadline == 3000ms);
    }
}
