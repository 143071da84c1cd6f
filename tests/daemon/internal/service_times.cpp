#include "coursejunction/daemon/internal/service_times.hpp"

#include <string>

#include <catch2/catch.hpp>

namespace ci = coursejunction::internal;
using namespace std::chrono_literals;

SCENARIO("service times are estimated by mean and deviation", "[daemon]")
{
    ci::service_times<std::string> times;

    GIVEN("no sample")
    {
        CHECK(times["a"] == 0us);
    }
    GIVEN("a sample of one second")
    {
        times.add_sample("a", 1);
        CHECK(times["a"] == 1s);
        CHECK(times["b"] == 0us);
        AND_WHEN("a sample of two seconds follows")
        {
            times.add_sample("a", 2);
            THEN("a tenth of the difference is added to the mean, and to the "
                 "deviation")
            {
                CHECK(times["a"] == 1300ms);
            }
        }
    }
}
