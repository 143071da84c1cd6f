#include "coursejunction/fleet/store_outage.hpp"

#include <algorithm>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "coursejunction/route/upstream_registry.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("missing records may come back only after an outage", "[fleet]")
{
    cj::store_outage outage;
    const cj::time_point now{100s};
    CHECK_FALSE(outage.lapse_deadline(now));

    WHEN("a single call fails")
    {
        outage.record_failure(now);
        CHECK_FALSE(outage.record_success(now + 200ms));
        THEN("what is missing was removed")
        {
            CHECK_FALSE(outage.lapse_deadline(now + 200ms));
        }
    }
    WHEN("calls fail for a long time")
    {
        outage.record_failure(now);
        outage.record_failure(now + 2s);
        CHECK(outage.record_success(now + 4s));
        THEN("what is missing may come back until 2 s after the return")
        {
            CHECK(outage.lapse_deadline(now + 4s) == now + 6s);
            CHECK(outage.lapse_deadline(now + 5900ms) == now + 6s);
        }
        THEN("what is missing later was removed")
        {
            CHECK_FALSE(outage.lapse_deadline(now + 6s));
        }
    }
}

SCENARIO("the first process that reaches the store again ends its outage",
         "[fleet]")
{
    cj::store_outage outage;
    const cj::time_point now{100s};
    outage.record_failure(now);

    WHEN("a peer reaches it before this process does")
    {
        CHECK(outage.record_peer_return(now + 3s));
        THEN("later calls of this process do not extend the time")
        {
            outage.record_failure(now + 3100ms);
            CHECK_FALSE(outage.record_success(now + 4s));
            CHECK(outage.lapse_deadline(now + 4s) == now + 5s);
        }
        THEN("a second outage counts anew")
        {
            outage.record_failure(now + 4s);
            CHECK(outage.record_success(now + 8s));
            CHECK(outage.lapse_deadline(now + 8s) == now + 10s);
        }
    }
    WHEN("a peer reports the end of an earlier outage")
    {
        CHECK_FALSE(outage.record_peer_return(now - 1s));
        THEN("this one goes on")
        {
            CHECK(outage.record_success(now + 4s));
        }
    }
    WHEN("this process has not failed")
    {
        CHECK(outage.record_success(now + 4s));
        CHECK_FALSE(outage.record_peer_return(now + 4500ms));
        CHECK(outage.lapse_deadline(now + 5s) == now + 6s);
    }
}

// Each limit alone was within the bound: the time in which a removal counted as
// a lapse, and the time for which a lapsed upstream was kept.
SCENARIO("the time limits after an outage add up beyond the bound", "[fleet]")
{
    rc::prop(
        "no upstream is kept for 2 s after the return and after its removal",
        []
        {
            const auto milliseconds = [](int most)
            { return cj::milliseconds(*rc::gen::inRange(0, most)); };
            const cj::time_point went{100s};
            const auto returned = went + 1000ms + milliseconds(60'000);
            const auto removed = returned + milliseconds(6'000);
            const auto read = removed + milliseconds(600);

            cj::store_outage outage;
            outage.record_failure(went);
            outage.record_success(returned);
            cj::upstream_registry registry;
            cj::upstream_record record;
            record.id = cj::instance_id("u");
            registry.apply_record(record);
            registry.remove(record.id, outage.lapse_deadline(read), read);

            constexpr auto window = 2s;
            registry.expire(std::max(returned + window, read));
            RC_ASSERT(registry.find(record.id) == nullptr);
        });
}
