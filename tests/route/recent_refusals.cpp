#include "coursejunction/route/recent_refusals.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

cj::refusal_record refused_at(cj::time_point now)
{
    cj::refusal_record made;
    made.fingerprint = cj::request_fingerprint(7);
    made.first_arrival = now;
    made.deadline = now + 5600ms;
    made.refused_at = now;
    made.retry_at = now + 200ms;
    return made;
}

} // namespace

SCENARIO("a refused caller is known when it comes back", "[route]")
{
    cj::recent_refusals memory;
    const cj::time_point now{100s};
    const auto one = refused_at(now);
    const auto back = now + 260ms;

    GIVEN("an entry refused a request")
    {
        memory.record(one);
        THEN("the same request with the same deadline is its next try")
        {
            CHECK(memory.match_retry(one.fingerprint, one.deadline, back) ==
                  now);
            AND_THEN("only once")
            {
                CHECK_FALSE(
                    memory.match_retry(one.fingerprint, one.deadline, back));
            }
        }
        THEN("ways and timers move its deadline by some ms")
        {
            CHECK(memory.match_retry(one.fingerprint, *one.deadline + 8ms,
                                     back) == now);
        }
        THEN("another caller of the same has another deadline")
        {
            CHECK_FALSE(memory.match_retry(one.fingerprint,
                                           *one.deadline + 40ms, back));
            CHECK_FALSE(
                memory.match_retry(one.fingerprint, std::nullopt, back));
        }
        THEN("nobody comes back before the time that was told")
        {
            CHECK_FALSE(
                memory.match_retry(one.fingerprint, one.deadline, now + 170ms));
        }
        THEN("but some come at once")
        {
            CHECK(memory.match_retry(one.fingerprint, one.deadline,
                                     now + 30ms) == now);
        }
        THEN("another request is another caller's")
        {
            CHECK_FALSE(memory.match_retry(cj::request_fingerprint(8),
                                           one.deadline, back));
        }
        THEN("a request without any fingerprint is nobody's")
        {
            CHECK_FALSE(memory.match_retry({}, one.deadline, back));
        }
        THEN("it is told to other entries once")
        {
            REQUIRE(memory.has_unsent());
            CHECK(memory.take_unsent(10).size() == 1);
            CHECK_FALSE(memory.has_unsent());
        }
        THEN("it is forgotten when its caller must have left")
        {
            memory.expire(now + 1s);
            CHECK(memory.size() == 1);
            memory.expire(now + 2s);
            CHECK(memory.size() == 0);
        }
    }
    GIVEN("another entry tells of a refusal")
    {
        memory.record_remote(one);
        THEN("its caller is known here too, and nobody else is told")
        {
            CHECK(memory.match_retry(one.fingerprint, one.deadline, back) ==
                  now);
            CHECK_FALSE(memory.has_unsent());
        }
    }
    GIVEN("two callers of the same were refused one after the other")
    {
        auto second = one;
        second.first_arrival = now + 10ms;
        second.deadline = *one.deadline + 10ms;
        memory.record(one);
        memory.record(second);
        THEN("each is known by its own deadline")
        {
            CHECK(memory.match_retry(one.fingerprint, second.deadline, back) ==
                  second.first_arrival);
            CHECK(memory.match_retry(one.fingerprint, one.deadline, back) ==
                  one.first_arrival);
        }
    }
    GIVEN("the caller told no deadline")
    {
        auto open = one;
        open.deadline.reset();
        memory.record(open);
        THEN("it is known about when it was told to return")
        {
            CHECK(memory.match_retry(open.fingerprint, std::nullopt, back) ==
                  now);
        }
        THEN("much later the same request is another caller's")
        {
            CHECK_FALSE(memory.match_retry(open.fingerprint, std::nullopt,
                                           now + 1500ms));
        }
    }
    GIVEN("more is refused than can be remembered")
    {
        for (std::size_t at = 0; at < cj::recent_refusals::max_remembered + 10;
             ++at)
            memory.record(one);
        THEN("memory and news stay bounded")
        {
            CHECK(memory.size() == cj::recent_refusals::max_remembered);
            CHECK(memory.take_unsent(cj::recent_refusals::max_remembered)
                      .size() == cj::recent_refusals::max_unsent);
        }
    }
}
