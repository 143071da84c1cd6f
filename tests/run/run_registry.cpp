#include "coursejunction/run/run_registry.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;
using cj::start_decision;

SCENARIO("a request starts at most once at a sidecar", "[run]")
{
    cj::run_registry registry(100);
    const cj::request_id id("unlock-7");
    REQUIRE(registry.begin_claim(id) == start_decision::start);

    GIVEN("a pending claim")
    {
        CHECK(registry.begin_claim(id) == start_decision::claim_pending);
        WHEN("the caller cancels it first")
        {
            CHECK(registry.forbid(id));
            THEN("winning the claim later does not start it")
            {
                CHECK_FALSE(registry.start_claimed(id));
                CHECK(registry.begin_claim(id) == start_decision::forbidden);
            }
        }
        WHEN("the owner of the claim is unknown")
        {
            registry.release_claim(id);
            THEN("a later attempt may claim it again")
            {
                CHECK(registry.begin_claim(id) == start_decision::start);
            }
        }
        WHEN("another sidecar holds the claim")
        {
            registry.claim_lost(id);
            CHECK(registry.begin_claim(id) ==
                  start_decision::claimed_elsewhere);
        }
    }
    GIVEN("a run in progress")
    {
        REQUIRE(registry.start_claimed(id));
        CHECK_FALSE(registry.forbid(id));
        CHECK(registry.begin_claim(id) == start_decision::running);
        WHEN("it has finished")
        {
            registry.finish(id, {200, "text/plain", "unlocked"});
            THEN("its response is returned again without another run")
            {
                CHECK(registry.begin_claim(id) == start_decision::finished);
                REQUIRE(registry.find_response(id) != nullptr);
                CHECK(registry.find_response(id)->body == "unlocked");
            }
        }
        WHEN("the upstream was never reached")
        {
            registry.upstream_unreached(id);
            CHECK(registry.begin_claim(id) == start_decision::start);
        }
    }
}

TEST_CASE("a request is never both started and forbidden", "[run]")
{
    rc::prop("for any sequence of calls",
             [](const std::vector<std::uint8_t>& steps)
             {
                 cj::run_registry registry(1000);
                 const cj::request_id id("x");
                 bool claiming = false;
                 bool started = false;
                 bool is_forbidden = false;
                 for (const auto step : steps)
                 {
                     switch (step % 4)
                     {
                     case 0:
                         if (registry.begin_claim(id) == start_decision::start)
                         {
                             RC_ASSERT(!started);
                             RC_ASSERT(!is_forbidden);
                             claiming = true;
                         }
                         break;
                     case 1:
                         if (claiming && registry.start_claimed(id))
                         {
                             RC_ASSERT(!started);
                             RC_ASSERT(!is_forbidden);
                             started = true;
                         }
                         claiming = false;
                         break;
                     case 2:
                         if (registry.forbid(id))
                         {
                             RC_ASSERT(!started);
                             is_forbidden = true;
                         }
                         break;
                     default:
                         if (claiming)
                             registry.release_claim(id);
                         claiming = false;
                     }
                 }
             });
}
