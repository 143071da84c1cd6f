#include "coursejunction/rollout/replica.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;
using namespace std::chrono_literals;
using action = cj::replica_action;
using phase = cj::replica_phase;

namespace
{

const auto one = cj::digest::of("one");
const auto two = cj::digest::of("two");

cj::replica_target target(const cj::digest& version, bool paused = false)
{
    return {cj::deployment_name("tutor"), "tutor", "", version, paused};
}

/*! @brief A replica that serves the first version and has the second whole. */
cj::replica ready(cj::time_point now)
{
    cj::replica made;
    made.want(target(one));
    made.read_back(one, now);
    made.want(target(two));
    made.staged(two);
    return made;
}

} // namespace

SCENARIO("a replica goes from one version to the next", "[rollout]")
{
    cj::time_point now{10s};
    cj::replica copy;

    GIVEN("a fresh process")
    {
        CHECK_FALSE(copy.open());
        copy.want(target(one));
        CHECK(copy.next(0, now) == action::read_upstream);
        WHEN("the upstream already serves what is wanted")
        {
            copy.read_back(one, now);
            CHECK(copy.phase() == phase::serving);
            CHECK(copy.open());
        }
        WHEN("the upstream serves nothing")
        {
            copy.read_back({}, now);
            copy.staged(one);
            THEN("it loads without a permit, for nothing is taken away")
            {
                CHECK(copy.next(0, now) == action::order_load);
            }
        }
    }
    GIVEN("the next version whole")
    {
        copy = ready(now);
        CHECK(copy.open());
        CHECK(copy.next(3, now) == action::ask_permit);
        copy.permit(two, now);
        THEN("it closes, lets requests finish, loads, reads back and opens")
        {
            CHECK_FALSE(copy.open());
            CHECK(copy.next(3, now) == action::none);
            CHECK(copy.next(0, now) == action::order_load);
            copy.loaded(true, "", now);
            CHECK_FALSE(copy.open());
            CHECK(copy.next(0, now) == action::read_upstream);
            copy.read_back(two, now);
            CHECK(copy.phase() == phase::serving);
            CHECK(copy.open());
        }
        THEN("a load that failed is told and tried again later")
        {
            REQUIRE(copy.next(0, now) == action::order_load);
            copy.loaded(false, "out of memory", now);
            copy.read_back({}, now);
            CHECK(copy.phase() == phase::failed);
            CHECK(copy.reason() == "out of memory");
            CHECK_FALSE(copy.open());
            CHECK(copy.next(0, now) == action::none);
            CHECK(copy.next(0, now + 600ms) == action::stage);
        }
        THEN("an order whose answer was lost is settled by reading")
        {
            REQUIRE(copy.next(0, now) == action::order_load);
            copy.loaded(false, "answer lost", now);
            copy.read_back(two, now);
            CHECK(copy.phase() == phase::serving);
        }
        THEN("a version declared while loading is not forgotten")
        {
            REQUIRE(copy.next(0, now) == action::order_load);
            copy.want(target(one));
            copy.loaded(true, "", now);
            copy.read_back(two, now);
            CHECK(copy.phase() == phase::staging);
        }
    }
    GIVEN("a paused deployment")
    {
        copy = ready(now);
        copy.want(target(two, true));
        CHECK(copy.next(0, now) == action::none);
        copy.permit(two, now);
        CHECK(copy.open());
        copy.want(target(two));
        CHECK(copy.next(0, now) == action::ask_permit);
    }
    GIVEN("a permit for a version that is no longer wanted")
    {
        copy = ready(now);
        copy.permit(one, now);
        CHECK(copy.open());
    }
}

TEST_CASE("the gate is open only on one whole version", "[rollout]")
{
    rc::prop("whatever happens in whatever order",
             [](const std::vector<std::uint8_t>& events)
             {
                 cj::replica copy;
                 cj::time_point now{10s};
                 cj::digest engine = one; // What the upstream really serves.
                 bool loading = false;
                 for (const auto event : events)
                 {
                     now += 100ms;
                     switch (event % 8)
                     {
                     case 0:
                         copy.want(target(event % 16 < 8 ? one : two));
                         break;
                     case 1:
                         copy.staged(event % 16 < 8 ? one : two);
                         break;
                     case 2:
                         copy.permit(event % 16 < 8 ? one : two, now);
                         break;
                     case 3:
                         if (loading)
                         {
                             const bool done = event % 16 < 8;
                             engine =
                                 done ? copy.target()->version : cj::digest();
                             loading = false;
                             copy.loaded(done, "", now);
                         }
                         break;
                     case 4:
                         if (!loading)
                             copy.read_back(engine, now);
                         break;
                     default:
                         if (copy.next(0, now) == action::order_load)
                         {
                             loading = true;
                             engine = {};
                         }
                     }
                     if (copy.open())
                     {
                         RC_ASSERT(!loading);
                         RC_ASSERT(copy.serving() == engine);
                     }
                 }
             });
}
