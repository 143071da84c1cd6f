#include "coursejunction/route/recent_refusals.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

cj::refusal_record refused_at(cj::time_point now)
{
    cj::refusal_record result;
    result.fingerprint = cj::request_fingerprint(7);
    result.first_arrival = now;
    result.deadline = now + 5600ms;
    result.refused_at = now;
    result.retry_at = now + 200ms;
    return result;
}

} // namespace

SCENARIO("a client retry is matched to its refusal", "[route]")
{
    cj::recent_refusals refusals;
    const cj::time_point now{100s};
    const auto refusal = refused_at(now);
    const auto retry_at = now + 260ms;

    GIVEN("this entry refused a request")
    {
        refusals.record(refusal);
        THEN("the same request with the same deadline is its retry")
        {
            CHECK(refusals.match_retry(refusal.fingerprint, refusal.deadline,
                                       retry_at) == now);
            AND_THEN("the refusal matches only once")
            {
                CHECK_FALSE(refusals.match_retry(refusal.fingerprint,
                                                 refusal.deadline, retry_at));
            }
        }
        THEN("its deadline may differ by a few ms")
        {
            CHECK(refusals.match_retry(refusal.fingerprint,
                                       *refusal.deadline + 8ms,
                                       retry_at) == now);
        }
        THEN("an equal request with another deadline is another client's")
        {
            CHECK_FALSE(refusals.match_retry(
                refusal.fingerprint, *refusal.deadline + 40ms, retry_at));
            CHECK_FALSE(refusals.match_retry(refusal.fingerprint, std::nullopt,
                                             retry_at));
        }
        THEN("a request before the requested time does not match")
        {
            CHECK_FALSE(refusals.match_retry(refusal.fingerprint,
                                             refusal.deadline, now + 170ms));
        }
        THEN("a request immediately after the refusal matches")
        {
            CHECK(refusals.match_retry(refusal.fingerprint, refusal.deadline,
                                       now + 30ms) == now);
        }
        THEN("a different request does not match")
        {
            CHECK_FALSE(refusals.match_retry(cj::request_fingerprint(8),
                                             refusal.deadline, retry_at));
        }
        THEN("a request without fingerprint does not match")
        {
            CHECK_FALSE(refusals.match_retry({}, refusal.deadline, retry_at));
        }
        THEN("the refusal is sent to other entries once")
        {
            REQUIRE(refusals.has_unsent());
            CHECK(refusals.take_unsent(10).size() == 1);
            CHECK_FALSE(refusals.has_unsent());
        }
        THEN("it is dropped once its client must have left")
        {
            refusals.expire(now + 1s);
            CHECK(refusals.size() == 1);
            refusals.expire(now + 2s);
            CHECK(refusals.size() == 0);
        }
    }
    GIVEN("another entry reports a refusal")
    {
        refusals.record_remote(refusal);
        THEN("its client is recognised here, and the refusal is not sent on")
        {
            CHECK(refusals.match_retry(refusal.fingerprint, refusal.deadline,
                                       retry_at) == now);
            CHECK_FALSE(refusals.has_unsent());
        }
    }
    GIVEN("two clients with equal requests were refused one after the other")
    {
        auto second = refusal;
        second.first_arrival = now + 10ms;
        second.deadline = *refusal.deadline + 10ms;
        refusals.record(refusal);
        refusals.record(second);
        THEN("each is recognised by its deadline")
        {
            CHECK(refusals.match_retry(refusal.fingerprint, second.deadline,
                                       retry_at) == second.first_arrival);
            CHECK(refusals.match_retry(refusal.fingerprint, refusal.deadline,
                                       retry_at) == refusal.first_arrival);
        }
    }
    GIVEN("a refused request without deadline")
    {
        auto open = refusal;
        open.deadline.reset();
        refusals.record(open);
        THEN("it is matched around the requested time")
        {
            CHECK(refusals.match_retry(open.fingerprint, std::nullopt,
                                       retry_at) == now);
        }
        THEN("a much later equal request is another client's")
        {
            CHECK_FALSE(refusals.match_retry(open.fingerprint, std::nullopt,
                                             now + 1500ms));
        }
    }
    GIVEN("more refusals than can be stored")
    {
        for (std::size_t at = 0; at < cj::recent_refusals::max_remembered + 10;
             ++at)
            refusals.record(refusal);
        THEN("the stored and the unsent refusals are bounded")
        {
            CHECK(refusals.size() == cj::recent_refusals::max_remembered);
            CHECK(refusals.take_unsent(cj::recent_refusals::max_remembered)
                      .size() == cj::recent_refusals::max_unsent);
        }
    }
}
