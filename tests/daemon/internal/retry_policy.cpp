#include "coursejunction/daemon/internal/retry_policy.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
namespace ci = coursejunction::internal;
using namespace std::chrono_literals;

SCENARIO("a request is tried elsewhere when that is right and cheap",
         "[daemon]")
{
    ci::retry_policy policy;
    ci::live_request one;
    one.attempt = 1;
    ci::attempt_failure end;
    end.result = cj::outcome::not_run;
    const auto allows = [&] { return policy.allows(one, end, 1s); };

    GIVEN("a full side")
    {
        end.refused = cj::refusal::busy;
        THEN("it costs no budget")
        {
            for (int at = 0; at < 100; ++at)
                CHECK(allows());
        }
        THEN("the last attempt and a passed deadline end it")
        {
            one.attempt = ci::retry_policy::max_attempts;
            CHECK_FALSE(allows());
            one.attempt = 1;
            CHECK_FALSE(policy.allows(one, end, 0ms));
        }
        THEN("a begun stream needs its weights and may be repeated")
        {
            one.stream_begun = true;
            CHECK_FALSE(allows());
            one.route.weights = "w";
            CHECK(allows());
            one.not_repeatable = true;
            CHECK_FALSE(allows());
        }
    }
    GIVEN("an attempt that may have run")
    {
        end.result = cj::outcome::unknown;
        CHECK(allows());
        one.not_repeatable = true;
        CHECK_FALSE(allows());
    }
    GIVEN("failures of upstreams")
    {
        end.refused = cj::refusal::unreachable;
        int tried = 0;
        while (allows())
            ++tried;
        THEN("retries end until requests have earned more")
        {
            CHECK(tried == 20);
            for (int at = 0; at < 11; ++at)
                policy.record_request();
            CHECK(allows());
            CHECK_FALSE(allows());
        }
    }
    GIVEN("a claim of another")
    {
        end.refused = cj::refusal::claim;
        CHECK_FALSE(allows());
        CHECK_FALSE(ci::is_fault_of_upstream(cj::refusal::claim));
        CHECK(ci::is_fault_of_upstream(cj::refusal::unreachable));
    }
}
