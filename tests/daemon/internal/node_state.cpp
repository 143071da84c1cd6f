#include "coursejunction/daemon/internal/node_state.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace cj = coursejunction;
namespace ci = coursejunction::internal;
using namespace std::chrono_literals;

SCENARIO("a node's members and traffic are written as JSON", "[daemon]")
{
    cj::member listed;
    listed.id = cj::instance_id("s");
    listed.hall = cj::hall_id("a");
    listed.kind = cj::role::side;
    listed.peer_address = "10.0.0.2:1";
    cj::member_table members;
    members.assign({listed});
    const cj::time_point now{100s};

    const auto list = ci::members_json(members, now);

    REQUIRE(list.size() == 1);
    CHECK(list[0].at("id") == "s");
    CHECK(list[0].at("hall") == "a");
    CHECK(list[0].at("role") == "side");
    CHECK(list[0].at("peer") == "10.0.0.2:1");
    CHECK(list[0].at("usable") == members.usable(listed.id, now));
    CHECK(ci::members_json({}, now).is_array());

    cj::hub_counters counts;
    counts.bytes_in = 5;
    counts.refused = 2;
    const auto traffic = ci::traffic_json(counts, 7, 9);
    CHECK(traffic.at("bytes_in") == 5);
    CHECK(traffic.at("frames_refused") == 2);
    CHECK(traffic.at("gossip_bytes") == 7);
    CHECK(traffic.at("key_value_calls") == 9);
}
