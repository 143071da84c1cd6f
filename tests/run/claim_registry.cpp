#include "coursejunction/run/claim_registry.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;

SCENARIO("an entry remembers who claimed a request first", "[run]")
{
    cj::claim_registry registry(2);
    const cj::time_point now{std::chrono::seconds(100)};
    const auto unlock = cj::digest::of("unlock-7");
    CHECK_FALSE(registry.contains(unlock, now));

    GIVEN("a claim")
    {
        REQUIRE(registry.try_claim(unlock, "side-1/a", now));
        CHECK(registry.contains(unlock, now));
        THEN("its claimant may repeat it, but nobody else may claim")
        {
            CHECK(registry.try_claim(unlock, "side-1/a", now));
            CHECK_FALSE(registry.try_claim(unlock, "side-2/b", now));
            CHECK_FALSE(registry.try_claim(unlock, "side-1/c", now));
            CHECK(registry.try_claim(unlock, "side-1/a", now));
        }
        THEN("the oldest is dropped when there are too many")
        {
            CHECK(registry.try_claim(cj::digest::of("2"), "side-1/a", now));
            CHECK(registry.contains(unlock, now));
            CHECK(registry.try_claim(cj::digest::of("3"), "side-1/a", now));
            CHECK_FALSE(registry.contains(unlock, now));
            CHECK(registry.size() == 2);
        }
        THEN("it expires after a day, as in the key-value service")
        {
            const auto day = cj::claim_registry::retention;
            CHECK(
                registry.contains(unlock, now + day - std::chrono::seconds(1)));
            CHECK_FALSE(registry.contains(unlock, now + day));
            CHECK(registry.try_claim(unlock, "side-2/b", now + day));
        }
    }
}
