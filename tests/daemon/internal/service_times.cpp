#include "coursejunction/daemon/internal/service_times.hpp"

#include <string>

#include <catch2/catch.hpp>

namespace ci = coursejunction::internal;
using namespace std::chrono_literals;

SCENARIO("a request is given the time that others took", "[daemon]")
{
    ci::service_times<std::string> times;

    GIVEN("nothing known")
    {
        CHECK(times["a"] == 0us);
    }
    GIVEN("one that took a second")
    {
        times.add_sample("a", 1);
        CHECK(times["a"] == 1s);
        CHECK(times["b"] == 0us);
        AND_WHEN("one takes two")
        {
            times.add_sample("a", 2);
            THEN("a part of it counts, and twice a part of the deviation")
            {
                CHECK(times["a"] == 1300ms);
            }
        }
    }
}
