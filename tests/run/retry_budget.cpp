#include "coursejunction/run/retry_budget.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;

TEST_CASE("retries stay a fixed fraction of the requests", "[run]")
{
    rc::prop("if all requests and retries fail",
             [](std::uint16_t requests)
             {
                 cj::retry_budget budget(0.1, 10);
                 std::size_t retries = 0;
                 for (std::size_t at = 0; at < requests; ++at)
                 {
                     budget.record_request();
                     while (budget.try_spend())
                         ++retries;
                 }
                 RC_ASSERT(retries <= requests / 10 + 11U);
             });
}
