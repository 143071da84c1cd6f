#include "coursejunction/route/placement.hpp"

#include <string>
#include <variant>

#include <catch2/catch.hpp>

#include "coursejunction/route/dispatcher.hpp"
#include "route/placement_fixtures.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;
using namespace placement_test;

// Guards against any kind of attempt that reaches an evacuated hall, and
// against a request that waits although no hall is left.
SCENARIO("no request goes to an evacuated hall", "[route]")
{
    cj::upstream_registry registry;
    const cj::time_point now{100s};
    const cj::placer selector({}, cj::hall_id("north"), "10.0.0.9");
    const auto service = llm();
    cj::placement_failure failure;
    registry.apply_record(record("near", "north", "10.0.0.1:80"));
    registry.apply_record(record("far", "south", "10.0.0.2:80"));
    registry.apply_status("10.0.0.1", status(1), now);
    registry.apply_status("10.0.0.2", status(1), now);
    const auto choose = [&](const cj::placement_request& request)
    {
        const auto found =
            selector.choose(registry, service, request, now, failure);
        return found ? found->upstream.value() : std::string("none");
    };
    REQUIRE(choose(default_request()) == "near");
    const cj::store_position position(1, 7);

    GIVEN("an evacuation of the entry's own hall")
    {
        registry.set_evacuations({{cj::hall_id("north"), position}}, now);
        THEN("a new request goes to another hall")
        {
            CHECK(choose(default_request()) == "far");
        }
        THEN("a retry does not return there after the other hall failed")
        {
            auto retry = default_request();
            retry.excluded = {cj::instance_id("far")};
            CHECK(choose(retry) == "none");
            retry.may_reuse_excluded = true;
            CHECK(choose(retry) == "far");
        }
        THEN("a resumed stream and a request that avoids the other hall do not "
             "go there")
        {
            auto request = default_request();
            request.bypasses_limits = true;
            CHECK(choose(request) == "far");
            request.avoided = {cj::instance_id("far")};
            CHECK(choose(request) == "far");
        }
        THEN("it gets no share of the engines")
        {
            CHECK_FALSE(
                registry.find(cj::instance_id("near"))->accepts_requests());
            CHECK_FALSE(registry.find(cj::instance_id("near"))->leaving());
        }
        THEN("an upstream that starts there gets no request either")
        {
            registry.apply_record(record("new", "north", "10.0.0.3:80"));
            registry.apply_status("10.0.0.3", status(1), now);
            CHECK(choose(default_request()) == "far");
        }
        WHEN("the other hall backs off")
        {
            cj::received_notice notice;
            notice.notice.retry_after = 500ms;
            registry.apply_notice(cj::instance_id("far"), notice, now);
            THEN("the request may be sent when it accepts requests again")
            {
                CHECK(choose(default_request()) == "none");
                CHECK(failure.next_send_at == now + 500ms);
                CHECK_FALSE(failure.evacuated());
            }
        }
        WHEN("the evacuation ends")
        {
            registry.set_evacuations({}, now);
            THEN("the hall is used again")
            {
                CHECK(choose(default_request()) == "near");
            }
        }
    }
    GIVEN("an evacuation of all halls")
    {
        registry.set_evacuations({{cj::hall_id("north"), position},
                                  {cj::hall_id("south"), position}},
                                 now);
        auto request = default_request();
        request.waiting_since = now;
        request.deadline = now + 6s;
        THEN("no upstream is chosen, also to resume a stream")
        {
            request.bypasses_limits = true;
            CHECK(choose(request) == "none");
            CHECK(failure.evacuated());
        }
        THEN("the request is refused at once")
        {
            cj::dispatcher decisions(registry, selector, {});
            const auto decision = decisions.decide(service, request, now);
            REQUIRE(std::holds_alternative<cj::refuse_request>(decision));
            CHECK(std::get<cj::refuse_request>(decision).retry_after == 2000ms);
        }
    }
    GIVEN("no evacuation, or one of a hall without upstreams")
    {
        THEN("every choice is the same as without")
        {
            const auto before = selector.choose(
                registry, service, default_request(), now, failure);
            CHECK_FALSE(failure.evacuated());
            registry.set_evacuations({{cj::hall_id("elsewhere"), position}},
                                     now);
            const auto after = selector.choose(registry, service,
                                               default_request(), now, failure);
            REQUIRE(before);
            REQUIRE(after);
            CHECK(before->upstream == after->upstream);
            CHECK(before->predicted_ms == after->predicted_ms);
        }
        THEN("a request that finds no free upstream waits as before")
        {
            auto closed = status(2);
            closed.open = false;
            registry.apply_status("10.0.0.1", closed, now);
            registry.apply_status("10.0.0.2", closed, now);
            auto request = default_request();
            request.waiting_since = now;
            cj::dispatcher decisions(registry, selector, {});
            CHECK(std::holds_alternative<cj::wait_for_slot>(
                decisions.decide(service, request, now)));
        }
    }
}

// Guards against a burst of requests at upstreams that turned cold while their
// hall was empty, before their records show it.
SCENARIO("the upstreams of a hall that returns to service are cold", "[route]")
{
    const cj::time_point now{100s};
    cj::installation rules;
    auto service = llm();
    service.cold_time = 3000ms;
    service.cold_requests_per_second = 32;
    rules.services.emplace(service.name, service);
    cj::upstream_registry registry;
    registry.configure(rules);
    registry.apply_record(record("near", "north", "10.0.0.1:80"), now);
    registry.apply_record(record("far", "south", "10.0.0.2:80"), now);
    registry.set_evacuations({{cj::hall_id("north"), {1, 5}}}, now);
    CHECK_FALSE(registry.is_cold(cj::instance_id("near"), now));

    WHEN("the evacuation ends")
    {
        registry.set_evacuations({}, now);
        THEN("they are cold for the time that their service takes")
        {
            CHECK(registry.is_cold(cj::instance_id("near"), now + 2999ms));
            CHECK_FALSE(registry.is_cold(cj::instance_id("near"), now + 3s));
            CHECK_FALSE(registry.is_cold(cj::instance_id("far"), now));
        }
    }
}
