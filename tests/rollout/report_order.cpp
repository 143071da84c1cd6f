#include "coursejunction/rollout/report_order.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;

namespace
{

cj::engine_report report(std::uint64_t life, std::uint64_t sequence,
                         std::uint64_t version = 1)
{
    cj::engine_report one;
    one.life = cj::incarnation(life);
    one.sequence = sequence;
    one.version = version;
    return one;
}

} // namespace

SCENARIO("reports of an upstream that may have started again", "[rollout]")
{
    GIVEN("lives are told")
    {
        THEN("a restart from no order to no order is noticed")
        {
            CHECK(order_of(report(100, 0), report(200, 0), false) ==
                  cj::report_order::restarted);
        }
        THEN("so is one in the middle of a load")
        {
            CHECK(order_of(report(100, 0), report(200, 0, 0), true) ==
                  cj::report_order::restarted);
        }
        THEN("more orders of the new life than of the earlier one hide nothing")
        {
            CHECK(order_of(report(100, 1), report(200, 5), false) ==
                  cj::report_order::restarted);
        }
        THEN("late news of the earlier life change nothing")
        {
            CHECK(order_of(report(200, 0), report(100, 7), false) ==
                  cj::report_order::outdated);
        }
        THEN("neither do those of an earlier moment")
        {
            CHECK(order_of(report(200, 3), report(200, 2), false) ==
                  cj::report_order::outdated);
        }
        THEN("weights that go in one life are no restart")
        {
            CHECK(order_of(report(200, 1), report(200, 2, 0), true) ==
                  cj::report_order::follows);
        }
    }
    GIVEN("lives are not told")
    {
        THEN("orders that are forgotten show a restart")
        {
            CHECK(order_of(report(0, 2), report(0, 0), false) ==
                  cj::report_order::restarted);
        }
        THEN("so do weights that go without an order")
        {
            CHECK(order_of(report(0, 2), report(0, 2, 0), false) ==
                  cj::report_order::restarted);
            CHECK(order_of(report(0, 2), report(0, 2, 0), true) ==
                  cj::report_order::follows);
        }
    }
}
