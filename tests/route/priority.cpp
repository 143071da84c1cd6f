#include "coursejunction/route/priority.hpp"

#include <catch2/catch.hpp>

#include "coursejunction/route/placement_queue.hpp"
#include "coursejunction/route/urgency.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

cj::route_rule route(std::int32_t priority, bool keyless = false)
{
    cj::route_rule result;
    result.priority = priority;
    result.keyless = keyless;
    result.services = {{cj::service_name("llm"), 1}};
    return result;
}

cj::organisation owner(std::int32_t priority)
{
    cj::organisation result;
    result.priority = priority;
    return result;
}

} // namespace

SCENARIO("rank of a request", "[route]")
{
    THEN("the organisation's priority counts before the route's")
    {
        const auto first = owner(0);
        const auto second = owner(1);
        CHECK(cj::rank_of(&first, route(2)) < cj::rank_of(&second, route(0)));
        CHECK(cj::rank_of(&first, route(0)) < cj::rank_of(&first, route(2)));
    }
    THEN("without priorities and without an owner it is the usual one")
    {
        CHECK(cj::rank_of(nullptr, route(0)) == cj::request_rank{});
    }
}

SCENARIO("ranks of a service by its configuration", "[route]")
{
    cj::installation rules;
    rules.requires_key = true;
    rules.keys["a"] = owner(0);
    rules.keys["b"] = owner(1);
    rules.routes = {route(2), route(0), route(7, true)};
    const auto order = cj::rank_order::of(rules, cj::service_name("llm"));

    THEN("each pair of organisation and route has one, keyless routes have "
         "none of an organisation")
    {
        CHECK(order.size() == 5);
        CHECK(order.position({0, 0}) == 0);
        CHECK(order.position({0, 7}) == 2);
        CHECK(order.position({1, 2}) == 4);
    }
    THEN("a rank that is no longer configured has a place in between")
    {
        CHECK(order.position({0, 5}) == 2);
        CHECK(order.position({9, 9}) == 4);
    }
    THEN("a service without routes has one rank")
    {
        CHECK(cj::rank_order::of(rules, cj::service_name("other")).size() == 1);
    }
}

// Guards against an order in which a less urgent request comes before a more
// urgent one.
SCENARIO("urgency of requests of several ranks", "[route]")
{
    const cj::rank_order three({{0, 2}, {0, 0}, {0, 1}});
    const auto most = cj::range_of(three, {0, 0});
    const auto middle = cj::range_of(three, {0, 1});
    const auto least = cj::range_of(three, {0, 2});

    THEN("the rank counts before the time left")
    {
        CHECK(cj::urgency_of(1000ms, most) < cj::urgency_of(0ms, middle));
        CHECK(cj::urgency_of(1000ms, middle) < cj::urgency_of(0ms, least));
    }
    THEN("within a rank, less time left is more urgent")
    {
        CHECK(cj::urgency_of(100ms, least) < cj::urgency_of(1000ms, least));
        CHECK(cj::urgency_of(1000ms, least) < cj::late_urgency(least));
    }
    THEN("a resumed stream comes first, and the scale ends at 9")
    {
        CHECK(cj::stream_urgency < cj::urgency_of(0ms, most));
        CHECK(cj::late_urgency(least).value() == 9);
    }
    THEN("one rank uses the whole scale in steps of 100 ms")
    {
        const auto only = cj::range_of(cj::rank_order{}, {3, 4});
        CHECK(cj::urgency_of(50ms, only).value() == 1);
        CHECK(cj::urgency_of(399ms, only).value() == 3);
        CHECK(cj::urgency_of(60s, only).value() == 8);
        CHECK(cj::late_urgency(only).value() == 9);
    }
    THEN("with more ranks than values none leaves the scale")
    {
        std::vector<cj::request_rank> ranks;
        for (std::int32_t number = 0; number < 24; ++number)
            ranks.push_back({number, 0});
        const cj::rank_order many(ranks);
        auto last = cj::stream_urgency;
        for (const auto& rank : ranks)
        {
            const auto value = cj::urgency_of(400ms, cj::range_of(many, rank));
            CHECK(value >= last);
            CHECK(value.value() >= 1);
            CHECK(cj::late_urgency(cj::range_of(many, rank)).value() <= 9);
            last = value;
        }
    }
}

SCENARIO("waiting requests of several ranks", "[route]")
{
    cj::placement_queue queue;
    const cj::time_point now{100s};
    queue.push({{0, 2}, false, false, now + 100ms, 1});
    queue.push({{0, 0}, false, false, now + 400ms, 2});
    queue.push({{0, 0}, true, true, now - 2s, 3});
    queue.push({{0, 1}, false, false, now + 200ms, 4});

    THEN("the rank counts first; within it, late ones go last")
    {
        CHECK(queue.request_numbers() ==
              std::vector<std::uint64_t>{2, 3, 4, 1});
    }
}
