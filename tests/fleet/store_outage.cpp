#include "coursejunction/fleet/store_outage.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("missing records may come back only after an outage", "[fleet]")
{
    cj::store_outage outage;
    const cj::time_point now{100s};
    CHECK_FALSE(outage.recently_ended(now));

    WHEN("a single call fails")
    {
        outage.record_failure(now);
        outage.record_success(now + 200ms);
        THEN("what is missing was removed")
        {
            CHECK_FALSE(outage.recently_ended(now));
        }
    }
    WHEN("calls fail for a long time")
    {
        outage.record_failure(now);
        outage.record_failure(now + 2s);
        outage.record_success(now + 4s);
        THEN("what is missing may come back for a while")
        {
            CHECK(outage.recently_ended(now + 5s));
            CHECK_FALSE(outage.recently_ended(now + 8s));
        }
    }
}
