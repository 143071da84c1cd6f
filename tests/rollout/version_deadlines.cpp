#include "coursejunction/rollout/version_deadlines.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("the time of a version is divided", "[rollout]")
{
    SECTION("as was measured, for 8 s")
    {
        const auto times = cj::version_deadlines::of(8000ms);
        CHECK(times.close_deadline == 5300ms);
        CHECK(times.send_deadline == 6000ms);
    }
    SECTION("a longer time keeps the same reserves")
    {
        const auto times = cj::version_deadlines::of(30'000ms);
        CHECK(times.close_deadline == 27'300ms);
        CHECK(times.send_deadline == 28'000ms);
    }
    SECTION("a shorter one keeps their proportion")
    {
        const auto times = cj::version_deadlines::of(4000ms);
        CHECK(times.close_deadline == 2650ms);
        CHECK(times.send_deadline == 3000ms);
    }
}
