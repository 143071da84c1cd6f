#include "coursejunction/daemon/internal/retry_policy.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
namespace ci = coursejunction::internal;
using namespace std::chrono_literals;

SCENARIO(
    "a failed attempt is repeated elsewhere only if it is safe and in budget",
    "[daemon]")
{
    ci::retry_policy policy;
    ci::live_request request;
    request.attempt = 1;
    ci::attempt_failure failure;
    failure.result = cj::outcome::not_run;
    const auto allows = [&] { return policy.allows(request, failure, 1s); };

    GIVEN("a full sidecar")
    {
        failure.refused = cj::refusal::busy;
        THEN("the next attempt costs no budget")
        {
            for (int at = 0; at < 100; ++at)
                CHECK(allows());
        }
        THEN("none follows the last attempt or the deadline")
        {
            request.attempt = ci::retry_policy::max_attempts;
            CHECK_FALSE(allows());
            request.attempt = 1;
            CHECK_FALSE(policy.allows(request, failure, 0ms));
        }
        THEN("a begun stream needs known weights and a repeatable request")
        {
            request.stream_begun = true;
            CHECK_FALSE(allows());
            request.route.weights = "w";
            CHECK(allows());
            request.not_repeatable = true;
            CHECK_FALSE(allows());
        }
    }
    GIVEN("an attempt that may have run is repeated only if the request allows")
    {
        failure.result = cj::outcome::unknown;
        CHECK(allows());
        request.not_repeatable = true;
        CHECK_FALSE(allows());
    }
    GIVEN("upstreams that are unreachable")
    {
        failure.refused = cj::refusal::unreachable;
        int attempts = 0;
        while (allows())
            ++attempts;
        THEN("the budget runs out until requests refill it")
        {
            CHECK(attempts == 20);
            for (int at = 0; at < 11; ++at)
                policy.record_request();
            CHECK(allows());
            CHECK_FALSE(allows());
        }
    }
    GIVEN("a request claimed by another sidecar")
    {
        failure.refused = cj::refusal::claim;
        CHECK_FALSE(allows());
        CHECK_FALSE(ci::is_fault_of_upstream(cj::refusal::claim));
        CHECK(ci::is_fault_of_upstream(cj::refusal::unreachable));
    }
}
