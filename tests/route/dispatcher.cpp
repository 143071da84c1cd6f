#include "coursejunction/route/dispatcher.hpp"

#include <algorithm>
#include <limits>

#include <catch2/catch.hpp>

#include "route/load_replay.hpp"
#include "route/placement_fixtures.hpp"

using load_replay::load_pattern;
using load_replay::simulator;

namespace
{

/*! @brief A third more requests than the engines can serve, which is about 146
 * a second. */
load_pattern sustained_overload(std::uint64_t seed)
{
    load_pattern pattern;
    pattern.rate = [](double) { return 190.0; };
    pattern.seed = seed;
    return pattern;
}

/*! @brief Two thirds of the engines' capacity, and nearly twice of it from the
 * 6th to the 9th second. Some refused clients retry immediately. */
load_pattern short_burst(std::uint64_t seed)
{
    load_pattern pattern;
    pattern.seconds = 20;
    pattern.rate = [](double second)
    { return second >= 6 && second < 9 ? 260.0 : 90.0; };
    pattern.impatient_fraction = 0.3;
    pattern.seed = seed;
    return pattern;
}

/*! @brief Admission that treats late requests like new ones. */
coursejunction::dispatch_options late_treated_as_new()
{
    coursejunction::dispatch_options options;
    options.admission.late_fraction = std::numeric_limits<double>::infinity();
    options.admission.returning_fraction = options.admission.late_fraction;
    return options;
}

/*! @brief Admission that checks only the target of the request itself. */
coursejunction::dispatch_options own_targets_only()
{
    coursejunction::dispatch_options options;
    options.admission.full_refusal_ratio =
        std::numeric_limits<double>::infinity();
    return options;
}

} // namespace

SCENARIO("a lasting overload of the engines", "[route]")
{
    const auto seed = GENERATE(std::uint64_t{1}, 2, 3);
    const auto result = simulator(sustained_overload(seed)).run();

    THEN("most requests are in time")
    {
        CHECK(result.all.in_time_fraction() > 0.68);
    }
    THEN("the kind with the tighter target is served as well as the others")
    {
        CHECK(result.kinds.at("short").in_time_fraction() >
              result.kinds.at("long").in_time_fraction() - 0.05);
    }
    THEN("long prompts are served nearly as well as others")
    {
        CHECK(result.kinds.at("long").in_time_fraction() >
              0.85 * result.kinds.at("middle").in_time_fraction());
    }
    THEN("no entry's clients starve")
    {
        for (const auto& [entry, one] : result.entries)
            CHECK(one.in_time_fraction() > 0.5);
    }
    WHEN("requests that can no longer meet their target are treated like new "
         "ones")
    {
        auto pattern = sustained_overload(seed);
        pattern.options = late_treated_as_new();
        THEN("they crowd out requests that could meet theirs")
        {
            CHECK(simulator(pattern).run().all.in_time_fraction() <
                  0.6 * result.all.in_time_fraction());
        }
    }
    WHEN("only the target of the request itself is checked")
    {
        auto pattern = sustained_overload(seed);
        pattern.options = own_targets_only();
        THEN("the kind with the tighter target is served less")
        {
            const auto unprotected = simulator(pattern).run();
            CHECK(unprotected.kinds.at("short").in_time_fraction() <
                  result.kinds.at("short").in_time_fraction());
        }
    }
}

SCENARIO("recovery after a short burst of requests", "[route]")
{
    const auto seed = GENERATE(std::uint64_t{1}, 2, 3);
    const auto result = simulator(short_burst(seed)).run();

    THEN("three seconds later nearly all requests are in time again")
    {
        CHECK(result.between(12, 20).in_time_fraction() > 0.95);
    }
    THEN("many of the refused clients are served when they retry")
    {
        const auto burst = result.between(6, 9);
        CHECK(burst.late > 0.2 * (burst.late + burst.refused));
    }
}

namespace
{

/*! @brief A third more requests than the engines can serve, at many unevenly
 * loaded entries that share them. */
load_pattern overload_at_size(std::uint64_t seed)
{
    constexpr double served_per_engine = 4.8;
    load_pattern pattern;
    pattern.halls = 5;
    pattern.entries = 53;
    pattern.engines = 120;
    pattern.seconds = 12;
    pattern.seed = seed;
    load_replay::use_slow_engines(pattern);
    load_replay::use_uneven_load(pattern);
    pattern.rate = [](double) { return served_per_engine * 120 * 1.3; };
    return pattern;
}

/*! @brief Returns the smallest fraction of requests in time at any entry. */
double worst_entry(const load_replay::result& result)
{
    double worst = 1;
    for (const auto& [entry, one] : result.entries)
        worst = std::min(worst, one.in_time_fraction());
    return worst;
}

} // namespace

SCENARIO("many entries share overloaded engines", "[route]")
{
    const auto seed = GENERATE(std::uint64_t{1}, 2);
    const auto result = simulator(overload_at_size(seed)).run();

    THEN("most of the engines' capacity serves requests in time")
    {
        CHECK(result.all.in_time_fraction() > 0.67);
        CHECK(result.all.late < 0.15 * result.all.requests);
    }
    THEN("no entry's clients starve beside those of another")
    {
        CHECK(worst_entry(result) > 0.35);
    }
}

// Guards against holding a request that no upstream may take, and against
// refusing others because of it.
SCENARIO("a request is refused at once where its regions have no upstream",
         "[route]")
{
    using namespace std::chrono_literals;
    namespace cj = coursejunction;
    cj::placement_options options;
    options.hall_regions = {{cj::hall_id("north"), cj::region_id("east")},
                            {cj::hall_id("south"), cj::region_id("west")}};
    cj::upstream_registry registry;
    cj::dispatcher decisions(
        registry, cj::placer(options, cj::hall_id("north"), "10.0.0.9"), {});
    const cj::time_point now{100s};
    cj::service_profile service;
    service.name = cj::service_name("llm");
    service.engine = cj::engine_profile{};
    cj::upstream_record far;
    far.id = cj::instance_id("far");
    far.service = service.name;
    far.hall = cj::hall_id("south");
    far.model_versions["m"] = 1;
    far.address = "10.0.0.1:80";
    registry.apply_record(far);
    registry.apply_status("10.0.0.1", placement_test::status(1), now);
    cj::placement_request request;
    request.service = service.name;
    request.model = "m";
    request.target = 400ms;
    request.waiting_since = now;
    request.deadline = now + 6s;
    cj::route_rule route;
    route.first_event_target = request.target;
    decisions.record_arrival(route, service, cj::request_fingerprint{}, 6000ms,
                             now);

    WHEN("it may not leave the east")
    {
        request.regions =
            cj::region_restriction::of({cj::region_id("east")}, {});
        const auto decision = decisions.decide(service, request, now);
        THEN("it is refused without a wait, with the time to come back")
        {
            const auto* refusal = std::get_if<cj::refuse_request>(&decision);
            REQUIRE(refusal != nullptr);
            CHECK(refusal->reason.no_allowed_upstream);
            CHECK(refusal->retry_after > 0ms);
        }
        THEN("that is not counted as a sign of overload")
        {
            CHECK(decisions.rates(now).refused == 0);
        }
    }
    WHEN("it is restricted to the west, it is sent there")
    {
        request.regions =
            cj::region_restriction::of({cj::region_id("west")}, {});
        const auto decision = decisions.decide(service, request, now);
        CHECK(std::holds_alternative<cj::send_to>(decision));
    }
    WHEN("it may be served anywhere, but no upstream has its model")
    {
        request.model = "other";
        const auto decision = decisions.decide(service, request, now);
        THEN("it waits as before, since one may load it")
        {
            CHECK(std::holds_alternative<cj::wait_for_slot>(decision));
        }
        THEN("it is refused after the wait, and counted")
        {
            const auto later = decisions.decide(service, request, now + 60ms);
            CHECK(std::holds_alternative<cj::refuse_request>(later));
            CHECK(decisions.rates(now + 60ms).refused > 0);
        }
    }
}
