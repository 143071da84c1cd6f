#include "coursejunction/rollout/version_order.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;

SCENARIO("the next version to load is chosen among several", "[rollout]")
{
    THEN("the newest is loaded once it is complete")
    {
        CHECK(cj::select_next_version({{2, true, false}, {3, true, false}}, 1,
                                      2) == 3);
    }
    THEN("until then an older one that makes progress keeps the staging area")
    {
        // Chunks of both versions in one staging area would be loaded as a
        // mixture.
        CHECK(cj::select_next_version({{2, false, false}, {3, false, false}}, 1,
                                      2) == 2);
        CHECK(cj::select_next_version({{2, true, false}, {3, false, false}}, 1,
                                      2) == 2);
    }
    THEN("a stalled one is given up for one that makes progress")
    {
        CHECK(cj::select_next_version({{2, false, true}, {3, false, false}}, 1,
                                      2) == 3);
    }
    THEN("a stalled one is kept if all are stalled")
    {
        CHECK(cj::select_next_version({{2, false, true}, {3, false, true}}, 1,
                                      2) == 2);
        CHECK(cj::select_next_version({{2, false, true}, {3, false, true}}, 1,
                                      3) == 3);
    }
    THEN("the served one is skipped")
    {
        CHECK(cj::select_next_version({{2, true, false}, {3, false, false}}, 2,
                                      2) == 3);
    }
}

SCENARIO("of versions published at nearly the same time the older is skipped",
         "[rollout]")
{
    using namespace std::chrono_literals;
    const coursejunction::time_point published{100s};
    THEN("within the window it is skipped")
    {
        CHECK(coursejunction::superseded(published, published));
        CHECK(coursejunction::superseded(published, published + 100ms));
    }
    THEN("one that has begun to spread is not skipped")
    {
        CHECK_FALSE(coursejunction::superseded(published, published + 2s));
    }
}

// When the origin is reachable again after two versions were published, the
// rest of the older one must not delay the newer one if no upstream could serve
// it any more. With versions 2 s apart the delay was 0.6 s.
SCENARIO("a version that can't be loaded in time is skipped", "[rollout]")
{
    using namespace std::chrono_literals;
    const coursejunction::time_point newer_published{120s};
    const auto retired_at = newer_published + 8300ms;
    coursejunction::remaining_download remaining{13, 44ms};

    GIVEN(
        "the origin is back 1.4 s before the newer version takes all requests")
    {
        const auto now = retired_at - 1400ms;
        THEN("13 missing chunks are too late")
        {
            CHECK(
                coursejunction::too_late_to_serve(remaining, now, retired_at));
        }
        THEN("3 missing chunks are not")
        {
            remaining.missing_chunks = 3;
            CHECK_FALSE(
                coursejunction::too_late_to_serve(remaining, now, retired_at));
        }
    }
    GIVEN("the origin is back 3 s before that")
    {
        THEN("the older version can still be served")
        {
            CHECK_FALSE(coursejunction::too_late_to_serve(
                remaining, retired_at - 3s, retired_at));
        }
    }
}
