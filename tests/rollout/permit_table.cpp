#include "coursejunction/rollout/permit_table.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("permits bound how many replicas are closed at once", "[rollout]")
{
    const cj::deployment_name tutor("tutor");
    const cj::time_point start{10s};
    const auto now = start + 2s;
    const cj::instance_id a("a");
    const cj::instance_id b("b");
    const cj::instance_id c("c");
    cj::permit_table permits(start, 1500ms);

    GIVEN("an entry that has just become the hall's first")
    {
        THEN("it grants nothing during the settling time")
        {
            CHECK_FALSE(permits.request(tutor, a, 2, start + 1s));
        }
    }
    GIVEN("a limit of two")
    {
        CHECK(permits.request(tutor, a, 2, now));
        CHECK(permits.request(tutor, a, 2, now));
        CHECK(permits.request(tutor, b, 2, now));
        CHECK_FALSE(permits.request(tutor, c, 2, now));
        WHEN("one reports that it is open again")
        {
            permits.update_replica(tutor, a, false, false, now);
            CHECK(permits.request(tutor, c, 2, now));
        }
        WHEN("one that was granted a permit has not closed yet")
        {
            permits.update_replica(tutor, a, false, true, now);
            THEN("its permit still counts")
            {
                CHECK_FALSE(permits.request(tutor, c, 2, now));
            }
        }
        WHEN("none of them reports again")
        {
            CHECK(permits.request(tutor, c, 2, now + 11s));
        }
    }
    GIVEN("closed replicas with permits of another entry")
    {
        permits.update_replica(tutor, a, true, false, now);
        permits.update_replica(tutor, b, true, false, now);
        CHECK_FALSE(permits.request(tutor, c, 2, now));
        CHECK(permits.closed_count(tutor) == 2);
    }
}
