#include "coursejunction/fleet/store_outage.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("only an outage lets records lapse", "[fleet]")
{
    cj::store_outage outage;
    const cj::time_point now{100s};
    CHECK_FALSE(outage.returned(now));

    WHEN("a single call fails")
    {
        outage.failed(now);
        outage.answered(now + 200ms);
        THEN("what is missing has left")
        {
            CHECK_FALSE(outage.returned(now));
        }
    }
    WHEN("calls fail for long")
    {
        outage.failed(now);
        outage.failed(now + 2s);
        outage.answered(now + 4s);
        THEN("what is missing may come back for a while")
        {
            CHECK(outage.returned(now + 5s));
            CHECK_FALSE(outage.returned(now + 8s));
        }
    }
}
