#include "coursejunction/route/connection_rule.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("weights grow old while a link may hold requests up", "[route]")
{
    const cj::time_point now{100s};

    GIVEN("weights that nothing newer follows")
    {
        THEN("any connection will do")
        {
            CHECK_FALSE(cj::connection_rule::of(std::nullopt, now).own);
        }
    }
    GIVEN("weights that end after some time")
    {
        const auto in = [&](cj::milliseconds left)
        { return cj::connection_rule::of(now + left, now); };
        THEN("far from the end any connection will do")
        {
            CHECK_FALSE(in(5s).own);
        }
        THEN("nearer, the link shows in the opening of a new one")
        {
            CHECK(in(3s).own);
            CHECK(in(3s).opens_within == cj::connection_rule::usual);
        }
        THEN("at last it must open at once")
        {
            CHECK(in(1s).own);
            CHECK(in(1s).opens_within == cj::connection_rule::quick);
        }
    }
}
