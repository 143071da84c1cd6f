#include "coursejunction/route/upstream_table.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

const cj::time_point now{10s};
const cj::hall_id north("north");
const cj::region_id east("east");

cj::upstream_table table_of(std::size_t count)
{
    cj::upstream_table table;
    for (std::size_t at = 0; at < count; ++at)
    {
        auto& one = table[cj::instance_id("s" + std::to_string(at))];
        one.hall = north;
        one.region = east;
        one.model = "tutor";
        one.kind = "model";
        one.slots = 10;
        one.open = true;
        one.reported_at = now;
    }
    return table;
}

cj::route_request wanting()
{
    cj::route_request request;
    request.model = "tutor";
    request.kind = "model";
    return request;
}

} // namespace

SCENARIO("the scored policy chooses the best upstream", "[route]")
{
    auto table = table_of(2);
    const cj::instance_id a("s0");
    const cj::instance_id b("s1");
    cj::scored_policy policy;
    auto request = wanting();
    const auto choose = [&]
    { return table.choose(policy, request, north, east, now); };

    GIVEN("the less loaded one is chosen")
    {
        table[a].reported_requests = 6;
        CHECK(choose() == b);
    }
    GIVEN("requests sent since the last report count")
    {
        table[a].own_requests = 5;
        CHECK(choose() == b);
    }
    GIVEN("one of the own region is chosen unless it is much fuller")
    {
        table[a].region = cj::region_id("west");
        table[b].reported_requests = 2;
        CHECK(choose() == b);
        table[b].reported_requests = 8;
        CHECK(choose() == a);
    }
    GIVEN("one that has cached the prompt's prefix is chosen")
    {
        request.prefixes = {2, 1};
        table[a].cached = {1, 2};
        table[a].reported_requests = 2;
        CHECK(choose() == a);
        THEN("a much higher load outweighs the cached prefix")
        {
            table[a].reported_requests = 9;
            CHECK(choose() == b);
        }
    }
    GIVEN("one that may not be used is not chosen")
    {
        SECTION("leaving")
        {
            table[a].leaving = true;
        }
        SECTION("closed")
        {
            table[a].open = false;
        }
        SECTION("full")
        {
            table[a].reported_requests = 10;
        }
        SECTION("no recent report")
        {
            table[a].reported_at = now - 6s;
        }
        SECTION("failed just now")
        {
            table.record_failure(a, now);
        }
        SECTION("other model")
        {
            table[a].model = "notes";
        }
        SECTION("other weights")
        {
            request.weights = "w";
            table[b].weights = "w";
        }
        SECTION("tried before")
        {
            request.excluded = {a};
        }
        CHECK(choose() == b);
    }
    GIVEN("consecutive failures double the time for which it is avoided")
    {
        for (int at = 0; at < 3; ++at)
            table.record_failure(a, now);
        CHECK(table.find(a)->avoid_until == now + 1s);
        table.record_success(a, 10ms);
        table.record_failure(a, now);
        CHECK(table.find(a)->avoid_until == now + 250ms);
    }
}

SCENARIO("the baseline policies", "[route]")
{
    auto table = table_of(3);
    const auto request = wanting();
    SECTION("round robin takes turns")
    {
        cj::round_robin_policy policy;
        const auto first = table.choose(policy, request, north, east, now);
        const auto second = table.choose(policy, request, north, east, now);
        CHECK(first != second);
    }
    SECTION("least loaded chooses the one with the fewest requests per slot")
    {
        cj::least_loaded_policy policy;
        table[cj::instance_id("s0")].reported_requests = 3;
        table[cj::instance_id("s1")].reported_requests = 3;
        CHECK(table.choose(policy, request, north, east, now) ==
              cj::instance_id("s2"));
    }
}
