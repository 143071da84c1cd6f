#include "coursejunction/core/pacing.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("a token bucket limits the rate after a burst", "[core]")
{
    GIVEN("a bucket with a rate of 10/s and a burst of 5, which is used up")
    {
        cj::token_bucket bucket(10, 5);
        const cj::time_point start{1s};
        for (int at = 0; at < 5; ++at)
            REQUIRE(bucket.take(1, start));
        THEN("the next token is available after 100 ms")
        {
            CHECK_FALSE(bucket.take(1, start));
            CHECK(bucket.wait_for(1, start) == 100ms);
            CHECK(bucket.take(1, start + 100ms));
        }
    }
}

TEST_CASE("a link pacer never exceeds its rate", "[core]")
{
    rc::prop("for any sizes and times of reservations",
             [](const std::vector<std::uint16_t>& sizes)
             {
                 cj::link_pacer link(1000);
                 cj::time_point now{1s};
                 const auto start = now;
                 double total = 0;
                 for (const auto size : sizes)
                 {
                     total += size;
                     const auto end = link.reserve(size, now);
                     RC_ASSERT(end >=
                               start + cj::from_seconds(total / 1000) - 1ms);
                     now += std::chrono::microseconds(size);
                 }
             });
}
