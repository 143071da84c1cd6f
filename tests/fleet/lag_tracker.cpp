#include "coursejunction/fleet/lag_tracker.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("a process knows how long its mirror has lagged", "[fleet]")
{
    cj::lag_tracker tracker;
    const cj::time_point now{100s};
    CHECK(tracker.lag(5, now) == 0ms);

    GIVEN("a peer that is ahead")
    {
        tracker.report_ahead(7, 5, now);
        tracker.report_ahead(8, 5, now + 400ms);
        THEN("the first missing position counts")
        {
            CHECK(tracker.lag(5, now + 500ms) == 500ms);
        }
        WHEN("the mirror reaches it, but not the next one")
        {
            tracker.advance(7, now + 600ms);
            CHECK(tracker.lag(7, now + 700ms) == 100ms);
        }
        WHEN("the mirror reaches all positions")
        {
            tracker.advance(8, now + 600ms);
            CHECK(tracker.lag(8, now + 5s) == 0ms);
            tracker.report_ahead(9, 8, now + 6s);
            CHECK(tracker.lag(8, now + 7s) == 1000ms);
        }
        WHEN("it advances, but not to the first missing position")
        {
            tracker.advance(6, now + 600ms);
            CHECK(tracker.lag(6, now + 700ms) == 700ms);
        }
    }
}
