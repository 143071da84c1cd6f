#include "coursejunction/daemon/internal/instance_list.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
namespace ci = coursejunction::internal;

SCENARIO("the platform's list of instances is parsed into members", "[daemon]")
{
    GIVEN("an entry with all fields and a sidecar")
    {
        const auto list = ci::parse_instance_list(R"([
            {"id": "e", "peer": "10.0.0.1:1", "http": "10.0.0.1:2",
             "hall": "a", "region": "r", "role": "entry"},
            {"id": "s", "peer": "10.0.0.2:1", "role": "side", "kind": "plain",
             "state": "leaving", "labels": ["x", 1, "y"]}])");
        REQUIRE(list);
        REQUIRE(list->size() == 2);
        const auto& entry = list->at(0);
        CHECK(entry.id == cj::instance_id("e"));
        CHECK(entry.hall == cj::hall_id("a"));
        CHECK(entry.region == cj::region_id("r"));
        CHECK(entry.peer_address == "10.0.0.1:1");
        CHECK(entry.http_address == "10.0.0.1:2");
        CHECK(entry.kind == cj::role::entry);
        CHECK_FALSE(entry.leaving);
        const auto& side = list->at(1);
        CHECK(side.kind == cj::role::side);
        CHECK(side.upstream_kind == "plain");
        CHECK(side.leaving);
        CHECK(side.labels == std::vector<std::string>{"x", "y"});
    }
    GIVEN("items without id or address, and items that are not objects")
    {
        const auto list = ci::parse_instance_list(
            R"([{"id": "e"}, {"peer": "10.0.0.1:1"}, {"id": 3}, 7, null,
                {"id": "s", "peer": "p", "labels": "x"}])");
        REQUIRE(list);
        REQUIRE(list->size() == 1);
        CHECK(list->at(0).labels.empty());
    }
    GIVEN("text that is not a JSON array")
    {
        CHECK_FALSE(ci::parse_instance_list("{}"));
        CHECK_FALSE(ci::parse_instance_list("[{"));
        CHECK_FALSE(ci::parse_instance_list(""));
    }
}
