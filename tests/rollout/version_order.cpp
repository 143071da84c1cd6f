#include "coursejunction/rollout/version_order.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;

SCENARIO("versions named one after another are loaded in an order", "[rollout]")
{
    THEN("the newest goes first once it is whole")
    {
        CHECK(cj::next_version({{2, true, false}, {3, true, false}}, 1, 2) ==
              3);
    }
    THEN("until then an older one that still comes keeps the staging area")
    {
        // Chunks of 3 must not be staged among those of 2: on hunted days
        // upstreams loaded the mixture.
        CHECK(cj::next_version({{2, false, false}, {3, false, false}}, 1, 2) ==
              2);
        CHECK(cj::next_version({{2, true, false}, {3, false, false}}, 1, 2) ==
              2);
    }
    THEN("one that stands still is left for one that comes")
    {
        CHECK(cj::next_version({{2, false, true}, {3, false, false}}, 1, 2) ==
              3);
    }
    THEN("but kept while nothing comes at all")
    {
        CHECK(cj::next_version({{2, false, true}, {3, false, true}}, 1, 2) ==
              2);
        CHECK(cj::next_version({{2, false, true}, {3, false, true}}, 1, 3) ==
              3);
    }
    THEN("what is served already is passed over")
    {
        CHECK(cj::next_version({{2, true, false}, {3, false, false}}, 2, 2) ==
              3);
    }
}

SCENARIO("versions that become known together", "[rollout]")
{
    using namespace std::chrono_literals;
    const coursejunction::time_point named{100s};
    THEN("the older one is passed over")
    {
        CHECK(coursejunction::overtaken(named, named));
        CHECK(coursejunction::overtaken(named, named + 100ms));
    }
    THEN("one that has begun to spread is not")
    {
        CHECK_FALSE(coursejunction::overtaken(named, named + 2s));
    }
}

// An origin was away while two versions were named 2 s apart. Afterwards it
// gave the rest of the older one first, which no upstream could serve any more,
// and the newer one was whole 0.6 s later than it could have been.
SCENARIO("a version that comes too late to be served is passed over",
         "[rollout]")
{
    using namespace std::chrono_literals;
    const coursejunction::time_point newer_named{120s};
    const auto used_until = newer_named + 8300ms;
    coursejunction::remaining_download needs{13, 44ms};

    GIVEN(
        "the origin is back 1.4 s before the newer version takes all requests")
    {
        const auto now = used_until - 1400ms;
        THEN("its last 13 chunks come too late")
        {
            CHECK(coursejunction::comes_too_late(needs, now, used_until));
        }
        THEN("its last 3 chunks do not")
        {
            needs.missing_chunks = 3;
            CHECK_FALSE(coursejunction::comes_too_late(needs, now, used_until));
        }
    }
    GIVEN("the origin is back 3 s before")
    {
        THEN("the older version is of use for a while")
        {
            CHECK_FALSE(coursejunction::comes_too_late(needs, used_until - 3s,
                                                       used_until));
        }
    }
}
