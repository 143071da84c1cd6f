#include "coursejunction/transfer/origin_fallback.hpp"

#include <catch2/catch.hpp>

using namespace coursejunction;

TEST_CASE("a weight store stands in for the origin")
{
    origin_fallback sources(true);
    REQUIRE(sources.current() == weight_source::origin);

    SECTION("the origin fails, so the store is asked")
    {
        sources.record_failure(weight_source::origin);
        REQUIRE(sources.current() == weight_source::store);

        SECTION("the store fails too, so the origin is asked again")
        {
            sources.record_failure(weight_source::store);
            REQUIRE(sources.current() == weight_source::origin);
        }
    }
    SECTION("two calls fail together: only the first moves on")
    {
        sources.record_failure(weight_source::origin);
        sources.record_failure(weight_source::origin);
        REQUIRE(sources.current() == weight_source::store);

        SECTION("and both fail at the store: the origin's turn has come")
        {
            sources.record_failure(weight_source::store);
            sources.record_failure(weight_source::store);
            REQUIRE(sources.current() == weight_source::origin);
        }
    }
    SECTION("a late failure of the source left behind changes nothing")
    {
        sources.record_failure(weight_source::origin);
        sources.record_failure(weight_source::store);
        sources.record_failure(weight_source::store);
        REQUIRE(sources.current() == weight_source::origin);
    }
}

TEST_CASE("without a weight store the origin is asked for ever")
{
    origin_fallback sources(false);
    sources.record_failure(weight_source::origin);
    REQUIRE(sources.current() == weight_source::origin);
}
