#include "coursejunction/transfer/transfer_governor.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("transfers yield to live requests", "[transfer]")
{
    cj::transfer_governor governor;
    for (int at = 0; at < 50; ++at)
        governor.record_first_token(50ms, false);
    GIVEN("first tokens that slow down during a transfer")
    {
        for (int at = 0; at < 64; ++at)
            governor.record_first_token(200ms, true);
        CHECK(governor.link_fraction() < 0.6);
        CHECK(governor.link_fraction() >= cj::transfer_governor::min_fraction);
        THEN("the link is taken back when they are fast again")
        {
            for (int at = 0; at < 300; ++at)
                governor.record_first_token(50ms, true);
            CHECK(governor.link_fraction() == 1.0);
        }
    }
    GIVEN("first tokens that stay as they were")
    {
        for (int at = 0; at < 64; ++at)
            governor.record_first_token(55ms, true);
        CHECK(governor.link_fraction() == 1.0);
    }
}
