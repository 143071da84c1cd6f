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
    made.set_target(target(one));
    made.version_read(one, now);
    made.set_target(target(two));
    made.staging_completed(two);
    return made;
}

} // namespace

SCENARIO("a replica goes from one version to the next", "[rollout]")
{
    cj::time_point now{10s};
    cj::replica copy;

    GIVEN("a fresh process")
    {
        CHECK_FALSE(copy.accepts_requests());
        copy.set_target(target(one));
        CHECK(copy.next_action(0, now) == action::read_upstream);
        WHEN("the upstream already serves what is wanted")
        {
            copy.version_read(one, now);
            CHECK(copy.phase() == phase::serving);
            CHECK(copy.accepts_requests());
        }
        WHEN("the upstream serves nothing")
        {
            copy.version_read({}, now);
            copy.staging_completed(one);
            THEN("it loads without a permit, for nothing is taken away")
            {
                CHECK(copy.next_action(0, now) == action::send_load_command);
            }
        }
    }
    GIVEN("the next version whole")
    {
        copy = ready(now);
        CHECK(copy.accepts_requests());
        CHECK(copy.next_action(3, now) == action::request_permit);
        copy.permit_granted(two, now);
        THEN("it closes, lets requests finish, loads, reads back and opens")
        {
            CHECK_FALSE(copy.accepts_requests());
            CHECK(copy.next_action(3, now) == action::none);
            CHECK(copy.next_action(0, now) == action::send_load_command);
            copy.load_finished(true, "", now);
            CHECK_FALSE(copy.accepts_requests());
            CHECK(copy.next_action(0, now) == action::read_upstream);
            copy.version_read(two, now);
            CHECK(copy.phase() == phase::serving);
            CHECK(copy.accepts_requests());
        }
        THEN("a load that failed is told and tried again later")
        {
            REQUIRE(copy.next_action(0, now) == action::send_load_command);
            copy.load_finished(false, "out of memory", now);
            copy.version_read({}, now);
            CHECK(copy.phase() == phase::failed);
            CHECK(copy.failure_reason() == "out of memory");
            CHECK_FALSE(copy.accepts_requests());
            CHECK(copy.next_action(0, now) == action::none);
            CHECK(copy.next_action(0, now + 600ms) == action::stage);
        }
        THEN("an order whose answer was lost is settled by reading")
        {
            REQUIRE(copy.next_action(0, now) == action::send_load_command);
            copy.load_finished(false, "answer lost", now);
            copy.version_read(two, now);
            CHECK(copy.phase() == phase::serving);
        }
        THEN("a version declared while loading is not forgotten")
        {
            REQUIRE(copy.next_action(0, now) == action::send_load_command);
            copy.set_target(target(one));
            copy.load_finished(true, "", now);
            copy.version_read(two, now);
            CHECK(copy.phase() == phase::staging);
        }
    }
    GIVEN("a paused deployment")
    {
        copy = ready(now);
        copy.set_target(target(two, true));
        CHECK(copy.next_action(0, now) == action::none);
        copy.permit_granted(two, now);
        CHECK(copy.accepts_requests());
        copy.set_target(target(two));
        CHECK(copy.next_action(0, now) == action::request_permit);
    }
    GIVEN("a permit for a version that is no longer wanted")
    {
        copy = ready(now);
        copy.permit_granted(one, now);
        CHECK(copy.accepts_requests());
    }
}

TEST_CASE("the gate is open only on one whole version", "[rollout]")
{
    rc::prop(
        "whatever happens in whatever order",
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
                    copy.set_target(target(event % 16 < 8 ? one : two));
                    break;
                case 1:
                    copy.staging_completed(event % 16 < 8 ? one : two);
                    break;
                case 2:
                    copy.permit_granted(event % 16 < 8 ? one : two, now);
                    break;
                case 3:
                    if (loading)
                    {
                        const bool done = event % 16 < 8;
                        engine = done ? copy.target()->version : cj::digest();
                        loading = false;
                        copy.load_finished(done, "", now);
                    }
                    break;
                case 4:
                    if (!loading)
                        copy.version_read(engine, now);
                    break;
                default:
                    if (copy.next_action(0, now) == action::send_load_command)
                    {
                        loading = true;
                        engine = {};
                    }
                }
                if (copy.accepts_requests())
                {
                    RC_ASSERT(!loading);
                    RC_ASSERT(copy.serving_version() == engine);
                }
            }
        });
}
