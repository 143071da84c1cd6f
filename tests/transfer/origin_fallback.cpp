#include "coursejunction/transfer/origin_fallback.hpp"

#include <catch2/catch.hpp>

using namespace coursejunction;

TEST_CASE("the weight store is used when the origin fails")
{
    origin_fallback sources(true);
    REQUIRE(sources.current() == weight_source::origin);

    SECTION("a failure of the origin switches to the store")
    {
        sources.record_failure(weight_source::origin);
        REQUIRE(sources.current() == weight_source::store);

        SECTION("a failure of the store switches back")
        {
            sources.record_failure(weight_source::store);
            REQUIRE(sources.current() == weight_source::origin);
        }
    }
    SECTION("of two calls that fail together only the first switches")
    {
        sources.record_failure(weight_source::origin);
        sources.record_failure(weight_source::origin);
        REQUIRE(sources.current() == weight_source::store);

        SECTION("two that fail at the store switch back once")
        {
            sources.record_failure(weight_source::store);
            sources.record_failure(weight_source::store);
            REQUIRE(sources.current() == weight_source::origin);
        }
    }
    SECTION("a late failure of the previous source changes nothing")
    {
        sources.record_failure(weight_source::origin);
        sources.record_failure(weight_source::store);
        sources.record_failure(weight_source::store);
        REQUIRE(sources.current() == weight_source::origin);
    }
}

TEST_CASE("without a weight store the origin stays selected")
{
    origin_fallback sources(false);
    sources.record_failure(weight_source::origin);
    REQUIRE(sources.current() == weight_source::origin);
}
