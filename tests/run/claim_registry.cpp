#include "coursejunction/run/claim_registry.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;

SCENARIO("an entry remembers who claimed a request first", "[run]")
{
    cj::claim_registry book(2);
    const cj::time_point now{std::chrono::seconds(100)};
    const auto unlock = cj::digest::of("unlock-7");
    CHECK_FALSE(book.contains(unlock, now));

    GIVEN("a claim")
    {
        REQUIRE(book.try_claim(unlock, "side-1/a", now));
        CHECK(book.contains(unlock, now));
        THEN("its claimant may ask again, nobody else may claim")
        {
            CHECK(book.try_claim(unlock, "side-1/a", now));
            CHECK_FALSE(book.try_claim(unlock, "side-2/b", now));
            CHECK_FALSE(book.try_claim(unlock, "side-1/c", now));
            CHECK(book.try_claim(unlock, "side-1/a", now));
        }
        THEN("the oldest goes when there are too many")
        {
            CHECK(book.try_claim(cj::digest::of("2"), "side-1/a", now));
            CHECK(book.contains(unlock, now));
            CHECK(book.try_claim(cj::digest::of("3"), "side-1/a", now));
            CHECK_FALSE(book.contains(unlock, now));
            CHECK(book.size() == 2);
        }
        THEN("it is forgotten after a day, as in the key-value service")
        {
            const auto day = cj::claim_registry::retention;
            CHECK(book.contains(unlock, now + day - std::chrono::seconds(1)));
            CHECK_FALSE(book.contains(unlock, now + day));
            CHECK(book.try_claim(unlock, "side-2/b", now + day));
        }
    }
}
