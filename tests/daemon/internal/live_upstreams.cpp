#include "coursejunction/daemon/internal/live_upstreams.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace cj = coursejunction;
namespace ci = coursejunction::internal;
using namespace std::chrono_literals;

SCENARIO("an entry routes only to upstreams with free slots", "[daemon]")
{
    const cj::time_point now{100s};
    const cj::node_settings settings;
    ci::live_upstreams upstreams(settings);
    const cj::instance_id side("s");
    cj::route_request route;
    route.model = "m";
    route.kind = "plain";
    cj::message::report report;
    report.instance = "s";
    report.model = "m";
    report.kind = "plain";
    report.phase = "serving";
    report.serving = "w";
    report.slots = 2;

    GIVEN("no upstream")
    {
        CHECK_FALSE(upstreams.is_served(route, now));
        CHECK_FALSE(upstreams.has_reported_model("m"));
        CHECK_FALSE(upstreams.choose(route, now));
        CHECK(upstreams.served_version(side) == nullptr);
    }
    GIVEN("a sidecar that has reported")
    {
        upstreams.apply_report(report, now);
        CHECK(upstreams.is_served(route, now));
        CHECK(upstreams.has_reported_model("m"));
        CHECK(upstreams.choose(route, now) == side);
        CHECK(*upstreams.served_version(side) == "w");

        WHEN("its slots are taken, and one becomes free again")
        {
            upstreams.begin_request(side);
            upstreams.begin_request(side);
            CHECK_FALSE(upstreams.choose(route, now));
            upstreams.end_request(side);
            CHECK(upstreams.choose(route, now) == side);
            CHECK(upstreams.dump().at(0).at("own") == 1);
        }
        WHEN("it refuses because it is full")
        {
            upstreams.record_failure(side, cj::refusal::busy, now);
            CHECK_FALSE(upstreams.choose(route, now));
            CHECK(upstreams.dump().at(0).at("failures") == 0);
        }
        WHEN("it fails, then succeeds")
        {
            upstreams.record_failure(side, cj::refusal::unreachable, now);
            CHECK_FALSE(upstreams.choose(route, now));
            CHECK(upstreams.dump().at(0).at("failures") == 1);
            upstreams.record_success(side, 1s);
            CHECK(upstreams.dump().at(0).at("failures") == 0);
        }
        WHEN("another sidecar has claimed the request")
        {
            upstreams.record_failure(side, cj::refusal::claim, now);
            CHECK(upstreams.choose(route, now) == side);
        }
        WHEN("its connection is lost")
        {
            upstreams.peer_lost(side);
            CHECK_FALSE(upstreams.is_served(route, now));
            CHECK(upstreams.has_reported_model("m"));
        }
    }
}
