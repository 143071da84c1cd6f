#include "coursejunction/route/connection_share.hpp"

#include <catch2/catch.hpp>

#include "coursejunction/route/placement.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("the connections that an upstream accepts are divided", "[route]")
{
    CHECK(cj::connection_share(0, 12) == 0);
    CHECK(cj::connection_share(448, 12) == 37);
    CHECK(cj::connection_share(448, 1) == 448);
    CHECK(cj::connection_share(448, 0) == 448);
    CHECK(cj::connection_share(200, 340) == 1);
}

// An upstream resets connections beyond its bound, and their requests fail.
SCENARIO("an upstream at its share of connections gets no further request",
         "[route]")
{
    cj::upstream_registry registry;
    const cj::time_point now{100s};
    const cj::placer selector({}, cj::hall_id("h"), "10.0.0.9");
    cj::upstream_record record;
    record.id = cj::instance_id("a");
    record.service = cj::service_name("s");
    record.address = "10.0.0.1:80";
    record.hall = cj::hall_id("h");
    record.slots = 100;
    registry.apply_record(record);
    registry.set_entry_count(4);
    cj::service_profile service;
    service.name = record.service;
    cj::placement_request request;
    request.service = record.service;
    request.target = 400ms;
    cj::placement_failure failure;
    const auto is_placed = [&]
    { return selector.choose(registry, service, request, now, failure); };
    for (std::uint64_t attempt = 1; attempt <= 3; ++attempt)
        registry.begin_attempt(record.id, attempt, 0, now);
    CHECK(is_placed());
    service.max_connections = 12;
    CHECK_FALSE(is_placed());
    registry.set_entry_count(3);
    CHECK(is_placed());
    registry.set_entry_count(4);
    registry.cancel_attempt(record.id, 2);
    CHECK(is_placed());
}
