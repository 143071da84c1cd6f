#include "coursejunction/route/hedge_decision.hpp"

#include <chrono>

#include <catch2/catch.hpp>

#include "coursejunction/route/dispatcher.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;
using cj::hedge_verdict;

namespace
{

/*! @brief Returns an attempt with a target of 400 ms. */
cj::awaited_first_event awaited(double elapsed_ms, double predicted_ms,
                                double waited_ms = 0)
{
    cj::awaited_first_event one;
    one.target_ms = 400;
    one.waited_ms = waited_ms;
    one.elapsed_ms = elapsed_ms;
    one.predicted_ms = predicted_ms;
    one.expected_ms = predicted_ms;
    return one;
}

} // namespace

// Guards against requests that wait at a slow upstream past their target, and
// against copies that take capacity and gain nothing.
SCENARIO("a request whose first event is overdue gets a copy", "[route]")
{
    WHEN("its upstream takes much longer than predicted")
    {
        THEN("a copy is sent while the target can still be met")
        {
            CHECK(cj::judge_awaited(awaited(230, 150), 0) ==
                  hedge_verdict::send);
        }
    }
    WHEN("it is only a little later than predicted")
    {
        THEN("no copy is sent, as it would read the prompt in vain")
        {
            CHECK(cj::judge_awaited(awaited(205, 150), 0) ==
                  hedge_verdict::in_time);
        }
    }
    WHEN("it is overdue but has most of its target left")
    {
        THEN("no copy is sent yet")
        {
            CHECK(cj::judge_awaited(awaited(90, 50), 0) ==
                  hedge_verdict::in_time);
            CHECK(cj::judge_awaited(awaited(205, 50), 0) ==
                  hedge_verdict::send);
        }
        THEN("one is sent earlier if the caller has waited before")
        {
            CHECK(cj::judge_awaited(awaited(90, 50, 240), 0) ==
                  hedge_verdict::send);
        }
    }
    WHEN("its target has passed")
    {
        THEN("no copy is sent, as it would gain nothing")
        {
            CHECK(cj::judge_awaited(awaited(401, 150), 0) ==
                  hedge_verdict::too_late);
            CHECK(cj::judge_awaited(awaited(300, 150, 100), 0) ==
                  hedge_verdict::too_late);
        }
    }
    WHEN("requests of the service are refused")
    {
        THEN("no copy is sent, as it would take the slot of another request")
        {
            CHECK(cj::judge_awaited(awaited(230, 150), 0.5) ==
                  hedge_verdict::overloaded);
        }
    }
    WHEN("its age is explained by the network alone")
    {
        THEN("no copy is sent")
        {
            CHECK(cj::judge_awaited(awaited(50, 10, 340), 0) ==
                  hedge_verdict::in_time);
        }
    }
}

// The upstream may be slow for as long as a target, so a report of it must
// count before the attempt itself is late.
SCENARIO("an upstream that became slow is known before the attempt is late",
         "[route]")
{
    auto one = awaited(90, 150);
    one.expected_ms = 5 * 150;
    THEN("a copy is sent if its first event would miss the target")
    {
        CHECK(cj::judge_awaited(one, 0) == hedge_verdict::send);
    }
    WHEN("it would still meet the target")
    {
        one.expected_ms = 2.5 * 150;
        THEN("no copy is sent")
        {
            CHECK(cj::judge_awaited(one, 0) == hedge_verdict::in_time);
        }
    }
}

SCENARIO("an attempt is judged until its target has passed", "[route]")
{
    CHECK(cj::next_judgement(awaited(0, 150)) == 60ms);
    CHECK(cj::next_judgement(awaited(60, 150)) == 85ms);
    CHECK(cj::next_judgement(awaited(300, 150)) == 325ms);
    CHECK_FALSE(cj::next_judgement(awaited(400, 150)));
    CHECK_FALSE(cj::next_judgement(awaited(300, 150, 100)));
}

SCENARIO("a copy goes only to an upstream with capacity to spare", "[route]")
{
    const cj::time_point now{1h};
    cj::service_profile service;
    service.name = cj::service_name("s");
    service.engine.emplace();
    service.engine->slots = 12;
    service.engine->models = {"m"};
    cj::upstream_record record;
    record.id = cj::instance_id("a");
    record.service = service.name;
    record.hall = cj::hall_id("h");
    record.address = "10.0.0.1:80";
    record.slots = 12;
    record.model_versions["m"] = 1;
    cj::upstream_registry registry;
    registry.apply_record(record);
    cj::dispatcher decisions(registry, cj::placer({}, cj::hall_id("h"), "self"),
                             {});
    cj::placement_request request;
    request.service = service.name;
    request.model = "m";
    request.prompt_tokens = 100;
    request.target = 400ms;
    request.waiting_since = now;
    request.deadline = now + 6s;
    const auto report_running = [&](std::uint32_t running)
    {
        cj::message::upstream_status status;
        status.model = "m";
        status.version = 1;
        status.open = true;
        status.reachable = true;
        status.running = running;
        status.sequence = running + 1;
        registry.apply_status("10.0.0.1", status, now);
    };
    const auto finds = [&](double max_ms)
    {
        return decisions
            .find_spare_upstream(service, request, max_ms,
                                 cj::hedge_options{}.max_fill, now)
            .has_value();
    };

    WHEN("less than the limit of its slots is in use")
    {
        report_running(6);
        THEN("it takes the copy if its prediction leaves enough time")
        {
            CHECK(finds(300));
            CHECK_FALSE(finds(5));
        }
    }
    WHEN("more slots are in use and none belongs to this entry")
    {
        report_running(9);
        THEN("it takes no copy")
        {
            CHECK_FALSE(finds(300));
        }
    }
    WHEN("a slot of this entry's share is free")
    {
        report_running(9);
        registry.assign_engine_shares({0, 1}, [](const auto&) { return true; });
        THEN("it takes the copy")
        {
            CHECK(finds(300));
        }
    }
    WHEN("all slots are in use")
    {
        report_running(12);
        registry.assign_engine_shares({0, 1}, [](const auto&) { return true; });
        THEN("it takes no copy")
        {
            CHECK_FALSE(finds(300));
        }
    }
}
