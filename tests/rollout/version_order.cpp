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
        // mixture, which a search over random test days found.
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

SCENARIO("versions published at nearly the same time", "[rollout]")
{
    using namespace std::chrono_literals;
    const coursejunction::time_point published{100s};
    THEN("the older one is skipped")
    {
        CHECK(coursejunction::superseded(published, published));
        CHECK(coursejunction::superseded(published, published + 100ms));
    }
    THEN("one that has begun to spread is not skipped")
    {
        CHECK_FALSE(coursejunction::superseded(published, published + 2s));
    }
}

// While the origin was unreachable, two versions were published 2 s apart.
// Sidecars then fetched the rest of the older one first, which no upstream
// could serve any more, so that the newer one was complete 0.6 s later than
// possible.
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
