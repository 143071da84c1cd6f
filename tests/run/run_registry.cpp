#include "coursejunction/run/run_registry.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;
using cj::admission;

SCENARIO("a request starts at most once at a side", "[run]")
{
    cj::run_registry registry(100);
    const cj::request_id id("unlock-7");
    REQUIRE(registry.admit(id) == admission::start);

    GIVEN("a claim on its way")
    {
        CHECK(registry.admit(id) == admission::claiming);
        WHEN("the caller leaves first")
        {
            CHECK(registry.forbid(id));
            THEN("a claim that is won later does not start it")
            {
                CHECK_FALSE(registry.start(id));
                CHECK(registry.admit(id) == admission::never);
            }
        }
        WHEN("nobody knows who holds the claim")
        {
            registry.withdraw(id);
            THEN("a later try may claim again")
            {
                CHECK(registry.admit(id) == admission::start);
            }
        }
        WHEN("another side holds it")
        {
            registry.lost(id);
            CHECK(registry.admit(id) == admission::elsewhere);
        }
    }
    GIVEN("a run in progress")
    {
        REQUIRE(registry.start(id));
        CHECK_FALSE(registry.forbid(id));
        CHECK(registry.admit(id) == admission::running);
        WHEN("it has ended")
        {
            registry.end(id, {200, "text/plain", "unlocked"});
            THEN("its answer is given again, not its effect")
            {
                CHECK(registry.admit(id) == admission::ended);
                REQUIRE(registry.answer(id) != nullptr);
                CHECK(registry.answer(id)->body == "unlocked");
            }
        }
        WHEN("the upstream was never reached")
        {
            registry.unreached(id);
            CHECK(registry.admit(id) == admission::start);
        }
    }
}

TEST_CASE("started and promised not to start exclude each other", "[run]")
{
    rc::prop("whatever is done in whatever order",
             [](const std::vector<std::uint8_t>& steps)
             {
                 cj::run_registry registry(1000);
                 const cj::request_id id("x");
                 bool claiming = false;
                 bool started = false;
                 bool promised = false;
                 for (const auto step : steps)
                 {
                     switch (step % 4)
                     {
                     case 0:
                         if (registry.admit(id) == admission::start)
                         {
                             RC_ASSERT(!started);
                             RC_ASSERT(!promised);
                             claiming = true;
                         }
                         break;
                     case 1:
                         if (claiming && registry.start(id))
                         {
                             RC_ASSERT(!started);
                             RC_ASSERT(!promised);
                             started = true;
                         }
                         claiming = false;
                         break;
                     case 2:
                         if (registry.forbid(id))
                         {
                             RC_ASSERT(!started);
                             promised = true;
                         }
                         break;
                     default:
                         if (claiming)
                             registry.withdraw(id);
                         claiming = false;
                     }
                 }
             });
}
