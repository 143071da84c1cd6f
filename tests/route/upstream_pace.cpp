#include "coursejunction/route/upstream_pace.hpp"

#include <chrono>
#include <optional>
#include <vector>

#include <catch2/catch.hpp>

#include "coursejunction/route/placement.hpp"
#include "placement_fixtures.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

constexpr cj::time_point start{1h};

/*! @brief Sends a request every 50 ms to an upstream that should return first
 * events within 100 ms but is 2.5 times slower for the first 600 ms. */
class replayed_upstream
{
public:
    /*! @param interval Between two reports of the upstream, with the pace of
     * the moment; zero if it reports none. */
    explicit replayed_upstream(cj::milliseconds interval)
        : report_interval(interval)
    {
    }

    /*! @brief Returns the estimate at a time after the phase began. */
    double factor_at(cj::milliseconds when)
    {
        cj::upstream_pace pace;
        std::vector<double> awaited;
        std::optional<cj::reported_pace> report;
        for (auto now = -500ms; now <= when; now += 1ms)
        {
            if (report_interval > 0ms && now % report_interval == 0ms)
                report = cj::reported_pace{slowness(now), start + now};
            awaited.clear();
            for (auto sent = -500ms; sent <= now; sent += 50ms)
            {
                const auto took = took_of(sent);
                if (sent + took == now)
                    pace.record(factor_of(took), start + now);
                else if (sent + took > now)
                    awaited.push_back(factor_of(now - sent));
            }
        }
        return pace.factor(report, awaited, start + when);
    }

private:
    static constexpr cj::milliseconds profiled{100};

    static double slowness(cj::milliseconds when)
    {
        return when >= 0ms && when < 600ms ? 2.5 : 1;
    }

    static double factor_of(cj::milliseconds took)
    {
        return static_cast<double>(took.count()) / profiled.count();
    }

    /*! @brief Returns when the work of 100 ms is done. */
    static cj::milliseconds took_of(cj::milliseconds sent)
    {
        double done = 0;
        auto now = sent;
        for (; done < profiled.count(); now += 1ms)
            done += 1 / slowness(now);
        return now - sent;
    }

    cj::milliseconds report_interval;
};

} // namespace

// Guards against requests that are placed at an upstream while it is slow, and
// against an upstream that is avoided after it is fast again.
SCENARIO("a slow phase of an upstream is noticed and forgotten", "[route]")
{
    WHEN("the upstream reports its pace")
    {
        replayed_upstream upstream(100ms);
        THEN("it is noticed within 150 ms")
        {
            CHECK(upstream.factor_at(-10ms) < 1.1);
            CHECK(upstream.factor_at(150ms) > 1.5);
            CHECK(upstream.factor_at(400ms) > 2);
        }
        THEN("it is forgotten 300 ms after it ended")
        {
            CHECK(upstream.factor_at(900ms) < 1.2);
        }
    }
    WHEN("there is no report")
    {
        replayed_upstream upstream(0ms);
        THEN("first events that are overdue show it, before they arrive")
        {
            CHECK(upstream.factor_at(-10ms) < 1.1);
            CHECK(upstream.factor_at(150ms) > 1.15);
            CHECK(upstream.factor_at(300ms) > 1.5);
        }
        THEN("it is forgotten after the last late first events")
        {
            CHECK(upstream.factor_at(1100ms) < 1.2);
        }
    }
}

SCENARIO("single late first events", "[route]")
{
    cj::upstream_pace pace;
    pace.record(3, start);
    THEN("count less than several")
    {
        const auto one = pace.factor({}, {}, start);
        pace.record(3, start);
        pace.record(3, start);
        CHECK(one < 2.2);
        CHECK(pace.factor({}, {}, start) > 2.4);
    }
    THEN("are forgotten without newer ones")
    {
        CHECK(pace.factor({}, {}, start + 1s) < 1.01);
    }
    THEN("do not make an upstream faster than profiled if early")
    {
        cj::upstream_pace early;
        early.record(0.3, start);
        CHECK(early.factor({}, {}, start) == 1);
    }
}

// Guards against an upstream that counts as slow because its attempts are
// awaited: an attempt that is not overdue is no evidence.
SCENARIO("awaited first events that are not overdue", "[route]")
{
    cj::upstream_pace pace;
    const cj::reported_pace slow{2, start};
    CHECK(pace.factor({}, {0.1, 0.9}, start) == 1);
    CHECK(pace.factor(slow, {0.5, 1.5}, start) == pace.factor(slow, {}, start));
    CHECK(pace.factor(slow, {4}, start) > pace.factor(slow, {}, start));
}

SCENARIO("predictions use the pace where the route asks for it", "[route]")
{
    cj::service_profile service;
    service.name = cj::service_name("s");
    service.engine.emplace();
    service.engine->slots = 12;
    cj::upstream_record record;
    record.id = cj::instance_id("a");
    record.service = service.name;
    record.hall = cj::hall_id("h");
    record.address = "10.0.0.1:80";
    record.slots = 12;
    record.model_versions["m"] = 1;
    cj::upstream_registry registry;
    registry.apply_record(record);
    registry.apply_status("10.0.0.1", placement_test::status(1), start);
    const cj::placer selector({}, cj::hall_id("h"), "self");
    cj::placement_request request;
    request.service = service.name;
    request.model = "m";
    request.prompt_tokens = 100;
    request.target = 400ms;
    cj::placement_failure failure;
    const auto choice = [&](bool uses_pace)
    {
        request.uses_pace = uses_pace;
        return *selector.choose(registry, service, request, start, failure);
    };
    const auto usual = choice(false);

    WHEN("recent first events were late")
    {
        for (int count = 0; count < 5; ++count)
            registry.record_pace(record.id, 100, 250, start);
        THEN("only predictions by pace are longer")
        {
            CHECK(choice(false).predicted_ms == Approx(usual.predicted_ms));
            CHECK(choice(true).predicted_ms > 2 * usual.predicted_ms);
            CHECK(choice(true).profiled_ms() == Approx(usual.predicted_ms));
        }
    }
    WHEN("the upstream reports that it is slow")
    {
        auto status = placement_test::status(2);
        status.pace = 2.5;
        registry.apply_status("10.0.0.1", status, start);
        THEN("its report is not counted twice")
        {
            CHECK(choice(true).predicted_ms < 2.6 * choice(true).profiled_ms());
            CHECK(choice(true).profiled_ms() ==
                  Approx(choice(false).profiled_ms()));
        }
    }
    WHEN("nothing was observed")
    {
        THEN("both predictions are equal")
        {
            CHECK(choice(true).predicted_ms == Approx(usual.predicted_ms));
        }
    }
}
