#include "coursejunction/proxy/retry_token.hpp"

#include <memory>

#include <catch2/catch.hpp>

#include "coursejunction/proxy/retry_budgets.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("a retry that is under way when its window ends is not counted",
         "[proxy]")
{
    cj::exchange_options options;
    options.retry_reserve = 1;
    cj::retry_budgets budgets(options);
    const cj::service_name service("s");
    const auto now = cj::event_loop::now();
    auto token = budgets.pay(service, now);
    REQUIRE(token);

    SECTION("one that was not sent is given back")
    {
        token.reset();
        CHECK(budgets.pay(service, now));
    }
    SECTION("one that was sent counts as long as it is under way")
    {
        token->set_sent(true);
        CHECK_FALSE(budgets.pay(service, now + 60s));

        AND_WHEN("it has arrived, it counts for a window from then on")
        {
            token->settle();
            token.reset();
            CHECK_FALSE(budgets.pay(service, now + 9s));
            CHECK(budgets.pay(service, cj::event_loop::now() + 11s));
        }
        AND_WHEN("its attempt ends without a response, it counts as arrived")
        {
            token.reset();
            CHECK_FALSE(budgets.pay(service, now + 9s));
            CHECK(budgets.pay(service, cj::event_loop::now() + 11s));
        }
    }
}
