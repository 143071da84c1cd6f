#include "coursejunction/route/placement.hpp"

#include <string>
#include <variant>

#include <catch2/catch.hpp>

#include "coursejunction/route/dispatcher.hpp"
#include "route/placement_fixtures.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;
using namespace placement_test;

namespace
{

cj::placement_options two_regions()
{
    cj::placement_options result;
    result.hall_regions = {{cj::hall_id("north"), cj::region_id("east")},
                           {cj::hall_id("south"), cj::region_id("west")}};
    return result;
}

cj::placement_request request_restricted_to(const std::string& region)
{
    auto result = default_request();
    result.regions = cj::region_restriction::of({cj::region_id(region)}, {});
    return result;
}

} // namespace

// Guards against attempts of any kind outside the allowed regions, and against
// holding a request that no upstream may take.
SCENARIO("a restricted request goes only to upstreams in its regions",
         "[route]")
{
    cj::upstream_registry registry;
    const cj::time_point now{100s};
    const cj::placer selector(two_regions(), cj::hall_id("north"), "10.0.0.9");
    const auto service = llm();
    cj::placement_failure failure;
    const auto chosen = [&](const cj::placement_request& request)
    {
        const auto found =
            selector.choose(registry, service, request, now, failure);
        return found ? found->upstream.value() : std::string();
    };
    registry.apply_record(record("near", "north", "10.0.0.1:80"));
    registry.apply_record(record("far", "south", "10.0.0.2:80"));
    registry.apply_record(record("lost", "unlisted", "10.0.0.3:80"));
    for (const auto* address : {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
        registry.apply_status(address, status(1), now);

    THEN("without a restriction the near one is chosen, then any other")
    {
        auto request = default_request();
        CHECK(chosen(request) == "near");
        request.excluded = {cj::instance_id("near"), cj::instance_id("far")};
        CHECK(chosen(request) == "lost");
        request.excluded.emplace_back("lost");
        CHECK(chosen(request).empty());
        CHECK_FALSE(failure.no_allowed_upstream);
    }
    THEN("a first attempt goes to its region, although another is nearer")
    {
        CHECK(chosen(request_restricted_to("west")) == "far");
        CHECK(failure.usable == 1);
    }
    THEN("a retry or a hedge does not leave the region")
    {
        auto repeated = request_restricted_to("east");
        repeated.excluded = {cj::instance_id("near")};
        CHECK(chosen(repeated).empty());
        CHECK(failure.no_allowed_upstream);
    }
    THEN("a stream to be resumed does not leave the region")
    {
        auto resumed = request_restricted_to("east");
        resumed.bypasses_limits = true;
        resumed.excluded = {cj::instance_id("near")};
        CHECK(chosen(resumed).empty());
    }
    THEN("only upstreams of the region are used a second time")
    {
        auto repeated = request_restricted_to("west");
        repeated.may_reuse_excluded = true;
        repeated.excluded = {cj::instance_id("near"), cj::instance_id("far")};
        CHECK(chosen(repeated) == "far");
    }
    THEN("an upstream to be avoided is preferred to one outside the region")
    {
        auto suspect = request_restricted_to("east");
        suspect.avoided = {cj::instance_id("near")};
        CHECK(chosen(suspect) == "near");
    }
    THEN("upstreams in halls without a known region are never used")
    {
        CHECK(chosen(request_restricted_to("unlisted")).empty());
        CHECK(failure.no_allowed_upstream);
    }
    GIVEN("the upstream of the region leaves")
    {
        auto leaving = record("near", "north", "10.0.0.1:80");
        leaving.leaving = true;
        leaving.sequence = 1;
        registry.apply_record(leaving);
        THEN("none in its region can take the request")
        {
            CHECK(chosen(request_restricted_to("east")).empty());
            CHECK(failure.no_allowed_upstream);
        }
    }
    GIVEN("the upstream of the region is full")
    {
        auto reported = status(2);
        reported.running = 12;
        registry.apply_status("10.0.0.1", reported, now);
        THEN("it may take the request later")
        {
            CHECK(chosen(request_restricted_to("east")).empty());
            CHECK(failure.usable == 1);
            CHECK_FALSE(failure.no_allowed_upstream);
        }
    }
    GIVEN("the upstream of the region pauses this entry")
    {
        cj::received_notice pause;
        pause.notice.retry_after = 3s;
        registry.apply_notice(cj::instance_id("near"), pause, now);
        THEN("the time until it accepts requests ignores other regions")
        {
            CHECK(chosen(request_restricted_to("east")).empty());
            REQUIRE(failure.next_send_at);
            CHECK(*failure.next_send_at >= now + 3s);
            CHECK_FALSE(failure.no_allowed_upstream);
        }
    }
}
