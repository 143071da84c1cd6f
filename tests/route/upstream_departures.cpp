#include "coursejunction/route/upstream_departures.hpp"

#include <cstddef>
#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "coursejunction/proxy/departure_messages.hpp"
#include "coursejunction/route/upstream_registry.hpp"
#include "coursejunction/wire/codec.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

const cj::instance_id id("u");

cj::upstream_record record()
{
    cj::upstream_record made;
    made.id = id;
    made.service = cj::service_name("s");
    return made;
}

} // namespace

SCENARIO("a departure is known ahead of the mirror", "[route]")
{
    const cj::time_point start{};
    cj::upstream_registry registry;
    registry.set_mirrored({1, 10});
    registry.apply_record(record());

    SECTION("it holds until the mirror reaches its position")
    {
        REQUIRE(registry.apply_departure({id, {1, 12}, false}, start));
        CHECK(registry.find(id)->leaving());
        registry.set_mirrored({1, 11});
        CHECK(registry.find(id)->leaving());
        registry.set_mirrored({1, 12});
        CHECK_FALSE(registry.find(id)->leaving());

        SECTION("and is not applied twice")
        {
            CHECK_FALSE(registry.apply_departure({id, {1, 12}, false}, start));
            CHECK_FALSE(registry.find(id)->leaving());
        }
    }
    SECTION("it ends with the era that it belongs to")
    {
        registry.apply_departure({id, {1, 12}, false}, start);
        registry.set_mirrored({2, 3});
        CHECK_FALSE(registry.find(id)->leaving());
    }
    SECTION("it also holds for a record that arrives after it")
    {
        registry.remove(id, std::nullopt, start);
        registry.apply_departure({id, {1, 15}, false}, start);
        registry.set_mirrored({1, 14});
        registry.apply_record(record());
        CHECK(registry.find(id)->leaving());
    }
    SECTION("a removed record announces nothing: the upstream may have crashed")
    {
        registry.apply_departure({id, {1, 12}, true}, start);
        CHECK(registry.find(id)->leaving());
        CHECK_FALSE(registry.find(id)->announced_leaving());
    }
}

SCENARIO("departures are reported in heartbeats", "[route][wire]")
{
    const cj::time_point start{};
    cj::upstream_registry registry;
    constexpr std::size_t departures = 30;
    for (std::size_t at = 0; at < departures; ++at)
        registry.apply_departure(
            {cj::instance_id("u" + std::to_string(at)), {1, at + 1}, false},
            start);

    SECTION("all of them take turns")
    {
        std::set<std::string> reported;
        for (int heartbeat = 0; heartbeat < 3; ++heartbeat)
        {
            const auto messages = cj::departures_to_report(registry, start);
            CHECK(messages.size() == cj::max_departures_per_heartbeat);
            for (const auto& one : messages)
                reported.insert(one.upstream);
        }
        CHECK(reported.size() == departures);
    }
    SECTION("for a limited time")
    {
        const auto later = start + cj::upstream_departures::report_period + 1ms;
        CHECK(cj::departures_to_report(registry, later).empty());
    }
    SECTION("they are encoded and decoded, also at the end of a message")
    {
        cj::message::fleet_heartbeat heartbeat;
        heartbeat.entry = true;
        heartbeat.departures = {{"", {1, 2}, false}, {"u", {3, 4}, true}};
        const auto read =
            cj::decode<cj::message::fleet_heartbeat>(cj::encode(heartbeat));
        REQUIRE(read);
        REQUIRE(read.value().departures.size() == 2);
        const auto decoded =
            cj::decode_departure(read.value().departures.back());
        CHECK(decoded.id == cj::instance_id("u"));
        CHECK(decoded.position == cj::store_position(3, 4));
        CHECK(decoded.removed);
    }
}
