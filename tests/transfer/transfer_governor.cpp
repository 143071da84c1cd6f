#include "coursejunction/transfer/transfer_governor.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("transfers use less of the link while first tokens are slow",
         "[transfer]")
{
    cj::transfer_governor governor;
    for (int sample = 0; sample < 50; ++sample)
        governor.record_first_token(50ms, false);
    GIVEN("first tokens that slow down during a transfer")
    {
        for (int sample = 0; sample < 64; ++sample)
            governor.record_first_token(200ms, true);
        CHECK(governor.link_fraction() < 0.6);
        CHECK(governor.link_fraction() >= cj::transfer_governor::min_fraction);
        THEN("the whole link is used again when they are fast")
        {
            for (int sample = 0; sample < 300; ++sample)
                governor.record_first_token(50ms, true);
            CHECK(governor.link_fraction() == 1.0);
        }
    }
    GIVEN("first tokens that stay as they were")
    {
        for (int sample = 0; sample < 64; ++sample)
            governor.record_first_token(55ms, true);
        CHECK(governor.link_fraction() == 1.0);
    }
}
