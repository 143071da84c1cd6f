#include "coursejunction/route/recent_refusals.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

cj::refusal_record refused_at(cj::time_point now)
{
    cj::refusal_record made;
    made.what = cj::request_fingerprint(7);
    made.first = now;
    made.ends = now + 5600ms;
    made.refused = now;
    made.due = now + 200ms;
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
        memory.refused(one);
        THEN("the same request with the same deadline is its next try")
        {
            CHECK(memory.recognise(one.what, one.ends, back) == now);
            AND_THEN("only once")
            {
                CHECK_FALSE(memory.recognise(one.what, one.ends, back));
            }
        }
        THEN("ways and timers move its deadline by some ms")
        {
            CHECK(memory.recognise(one.what, *one.ends + 8ms, back) == now);
        }
        THEN("another caller of the same has another deadline")
        {
            CHECK_FALSE(memory.recognise(one.what, *one.ends + 40ms, back));
            CHECK_FALSE(memory.recognise(one.what, std::nullopt, back));
        }
        THEN("nobody comes back before the time that was told")
        {
            CHECK_FALSE(memory.recognise(one.what, one.ends, now + 170ms));
        }
        THEN("but some come at once")
        {
            CHECK(memory.recognise(one.what, one.ends, now + 30ms) == now);
        }
        THEN("another request is another caller's")
        {
            CHECK_FALSE(
                memory.recognise(cj::request_fingerprint(8), one.ends, back));
        }
        THEN("a request without any fingerprint is nobody's")
        {
            CHECK_FALSE(memory.recognise({}, one.ends, back));
        }
        THEN("it is told to other entries once")
        {
            REQUIRE(memory.has_news());
            CHECK(memory.take_news(10).size() == 1);
            CHECK_FALSE(memory.has_news());
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
        memory.told(one);
        THEN("its caller is known here too, and nobody else is told")
        {
            CHECK(memory.recognise(one.what, one.ends, back) == now);
            CHECK_FALSE(memory.has_news());
        }
    }
    GIVEN("two callers of the same were refused one after the other")
    {
        auto second = one;
        second.first = now + 10ms;
        second.ends = *one.ends + 10ms;
        memory.refused(one);
        memory.refused(second);
        THEN("each is known by its own deadline")
        {
            CHECK(memory.recognise(one.what, second.ends, back) ==
                  second.first);
            CHECK(memory.recognise(one.what, one.ends, back) == one.first);
        }
    }
    GIVEN("the caller told no deadline")
    {
        auto open = one;
        open.ends.reset();
        memory.refused(open);
        THEN("it is known about when it was told to return")
        {
            CHECK(memory.recognise(open.what, std::nullopt, back) == now);
        }
        THEN("much later the same request is another caller's")
        {
            CHECK_FALSE(
                memory.recognise(open.what, std::nullopt, now + 1500ms));
        }
    }
    GIVEN("more is refused than can be remembered")
    {
        for (std::size_t at = 0; at < cj::recent_refusals::most + 10; ++at)
            memory.refused(one);
        THEN("memory and news stay bounded")
        {
            CHECK(memory.size() == cj::recent_refusals::most);
            CHECK(memory.take_news(cj::recent_refusals::most).size() ==
                  cj::recent_refusals::most_news);
        }
    }
}
