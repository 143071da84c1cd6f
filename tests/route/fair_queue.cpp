#include "coursejunction/route/fair_queue.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

const cj::time_point now{100s};

cj::queued_request request(std::uint64_t number, const std::string& who,
                           std::int32_t priority = 0)
{
    return {number, cj::organisation_id(who), priority, now + 60s};
}

std::string take(cj::fair_queue& queue)
{
    return queue.pop(queue.service_order().front()).organisation.value();
}

} // namespace

SCENARIO("fair shares between organisations", "[route]")
{
    cj::fair_queue queue(1000);
    std::uint64_t number = 0;
    GIVEN("an organisation that floods the queue and a small one")
    {
        for (int at = 0; at < 50; ++at)
            REQUIRE(queue.offer(request(++number, "large"), 0s, now).accepted);
        for (int at = 0; at < 5; ++at)
            REQUIRE(queue.offer(request(++number, "small"), 0s, now).accepted);
        THEN("the small one is served every other time")
        {
            int small = 0;
            for (int at = 0; at < 10; ++at)
                small += take(queue) == "small" ? 1 : 0;
            CHECK(small == 5);
        }
    }
    GIVEN("organisations are served in proportion to their weights")
    {
        queue.set_weight(cj::organisation_id("large"), 3);
        for (int at = 0; at < 40; ++at)
        {
            REQUIRE(queue.offer(request(++number, "large"), 0s, now).accepted);
            REQUIRE(queue.offer(request(++number, "small"), 0s, now).accepted);
        }
        int large = 0;
        for (int at = 0; at < 40; ++at)
            large += take(queue) == "large" ? 1 : 0;
        CHECK(large == 30);
    }
    GIVEN("higher priorities come first within one organisation")
    {
        REQUIRE(queue.offer(request(1, "a", 0), 0s, now).accepted);
        REQUIRE(queue.offer(request(2, "a", 5), 0s, now).accepted);
        CHECK(queue.pop(cj::organisation_id("a")).number == 2);
    }
}

SCENARIO("requests that can't be served before their deadline are refused",
         "[route]")
{
    cj::fair_queue queue(1000);
    // The service rate is ten requests a second.
    for (int at = 0; at < 64; ++at)
        queue.record_completion(now - 6400ms + at * 100ms);
    GIVEN("a request whose deadline is before the end of the expected wait")
    {
        for (std::uint64_t at = 0; at < 20; ++at)
            REQUIRE(queue.offer(request(at, "a"), 0s, now).accepted);
        auto late = request(99, "a");
        late.deadline = now + 1s;
        const auto verdict = queue.offer(late, 0s, now);
        THEN("the request is refused at once, with a Retry-After")
        {
            CHECK_FALSE(verdict.accepted);
            CHECK(verdict.retry_after >= 1500ms);
            CHECK(verdict.retry_after <= 2500ms);
        }
    }
    GIVEN("a waiting request is removed when its deadline is too close")
    {
        auto expiring = request(1, "a");
        expiring.deadline = now + 1s;
        REQUIRE(queue.offer(expiring, 200ms, now).accepted);
        CHECK(queue.remove_late(200ms, now + 700ms).empty());
        CHECK(queue.remove_late(200ms, now + 900ms).size() == 1);
        CHECK(queue.empty());
    }
    GIVEN("a full queue refuses requests")
    {
        cj::fair_queue small(1);
        REQUIRE(small.offer(request(1, "a"), 0s, now).accepted);
        CHECK_FALSE(small.offer(request(2, "b"), 0s, now).accepted);
    }
}

SCENARIO("memory for organisation names sent by clients is bounded", "[route]")
{
    cj::fair_queue queue(100);
    for (std::uint64_t at = 0; at < 20'000; ++at)
    {
        const auto name = std::to_string(at);
        queue.charge(cj::organisation_id(name));
        static_cast<void>(queue.offer(request(at, name), 0s, now));
        if (!queue.empty())
            take(queue);
    }
    CHECK(queue.organisation_count() <= 1100);
}

TEST_CASE("the queue neither loses nor duplicates requests", "[route]")
{
    rc::prop("any sequence of offers and removals",
             [](const std::vector<std::uint8_t>& steps)
             {
                 cj::fair_queue queue(50);
                 std::uint64_t number = 0;
                 std::size_t inside = 0;
                 for (const auto step : steps)
                 {
                     const auto who = std::string(1, "abc"[step % 3]);
                     if (step % 4 != 0)
                     {
                         const auto verdict =
                             queue.offer(request(++number, who), 0s, now);
                         inside += verdict.accepted ? 1 : 0;
                         RC_ASSERT(verdict.accepted ||
                                   verdict.retry_after > 0ms);
                     }
                     else if (!queue.empty())
                     {
                         take(queue);
                         --inside;
                     }
                     RC_ASSERT(queue.size() == inside);
                 }
             });
}
