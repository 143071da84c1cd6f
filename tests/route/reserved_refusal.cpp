#include <catch2/catch.hpp>

#include "coursejunction/route/dispatcher.hpp"
#include "route/load_engine.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

const cj::time_point now{100s};

cj::service_profile engine_service()
{
    cj::service_profile service;
    service.name = cj::service_name("llm");
    service.engine = load_replay::fast_engine_profile();
    return service;
}

/*! @brief One engine that runs one request. */
cj::upstream_registry one_engine()
{
    cj::upstream_registry registry;
    cj::upstream_record record;
    record.id = cj::instance_id("engine");
    record.service = cj::service_name("llm");
    record.address = "10.1.0.1:80";
    record.hall = cj::hall_id("hall");
    record.slots = load_replay::fast_engine_profile().slots;
    registry.apply_record(record);
    registry.begin_attempt(record.id, 1, 900, now);
    return registry;
}

} // namespace

// Guards against a refusal for a more urgent request that the log and the
// metrics attribute to full engines.
SCENARIO("an engine whose free slots are reserved", "[route]")
{
    const auto registry = one_engine();
    const cj::placer placement({}, cj::hall_id("hall"), "10.1.0.9:80");
    cj::placement_request request;
    request.service = cj::service_name("llm");
    request.prompt_tokens = 900;
    request.target = 400ms;
    request.limits.reserved.slots = 2;
    cj::placement_failure failure;

    WHEN("it is left to more urgent requests")
    {
        request.limits.unreserved_in_flight = 0;
        THEN("the failure says so and holds the reserve")
        {
            CHECK(!placement.choose(registry, engine_service(), request, now,
                                    failure));
            CHECK(failure.reserved);
            CHECK(failure.reserve.slots == 2);
        }
    }
    WHEN("it would not meet the target either")
    {
        request.limits.unreserved_in_flight = 0;
        request.limits.first_event_ms = 1;
        THEN("the reserve is not the reason")
        {
            CHECK(!placement.choose(registry, engine_service(), request, now,
                                    failure));
            CHECK(!failure.reserved);
        }
    }
    WHEN("a slot is free beyond the reserve")
    {
        request.limits.unreserved_in_flight = 1;
        THEN("the request gets it")
        {
            CHECK(placement.choose(registry, engine_service(), request, now,
                                   failure));
        }
    }
}

SCENARIO("rank of an arriving request", "[route]")
{
    const auto registry = one_engine();
    cj::dispatcher decisions(
        registry, cj::placer({}, cj::hall_id("hall"), "10.1.0.9:80"), {});
    cj::route_rule route;
    route.priority = 2;
    cj::organisation owner;
    owner.priority = 1;

    THEN("it follows from the owner of the API key and the route")
    {
        const auto arrival = decisions.record_arrival(
            route, engine_service(), {}, std::nullopt, now, &owner);
        CHECK(arrival.rank == cj::request_rank{1, 2});
    }
}
