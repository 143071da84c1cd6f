#include "coursejunction/route/upstream_registry.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

const cj::instance_id id("i");
const std::string host = "10.0.0.1";

cj::upstream_record record(std::uint64_t life, bool leaving = false)
{
    cj::upstream_record result;
    result.id = id;
    result.life = cj::incarnation(life);
    result.service = cj::service_name("llm");
    result.address = host + ":80";
    result.slots = 4;
    result.leaving = leaving;
    result.model_versions["m"] = 1;
    return result;
}

cj::message::upstream_status status(std::uint64_t life, std::uint64_t sequence,
                                    std::uint64_t version = 1)
{
    cj::message::upstream_status result;
    result.model = "m";
    result.version = version;
    result.side = 5;
    result.sequence = sequence;
    result.life = life;
    result.open = version > 0;
    result.reachable = true;
    return result;
}

} // namespace

SCENARIO("an upstream restarts under the same id", "[route]")
{
    const cj::time_point start{100s};
    cj::upstream_registry registry;
    registry.apply_record(record(1000));
    registry.apply_status(host, status(1000, 1), start);
    registry.begin_attempt(id, 1, 500, start + 10ms);
    registry.apply_status(host, status(1000, 2), start + 500ms);
    registry.begin_attempt(id, 2, 500, start + 550ms);
    const auto& known = *registry.find(id);
    const auto ended_attempts = std::vector<std::uint64_t>{1};

    GIVEN("its sidecar reports the new incarnation first")
    {
        const auto ended =
            registry.apply_status(host, status(2000, 3, 0), start + 600ms);
        THEN("attempts sent to the old incarnation are lost, those that may "
             "have reached the new one are kept")
        {
            REQUIRE(ended.size() == 1);
            CHECK(ended[0].address == host + ":80");
            CHECK(ended[0].attempts == ended_attempts);
            CHECK(known.attempts.size() == 1);
        }
        THEN("the old incarnation's weights are gone, even if its record lists "
             "them after the sidecar falls silent")
        {
            CHECK(cj::upstream_registry::served_version(known, "m",
                                                        start + 700ms) == 0);
            CHECK(cj::upstream_registry::served_version(known, "m",
                                                        start + 9s) == 0);
        }
        THEN("late reports of the old incarnation change nothing")
        {
            registry.apply_status(host, status(1000, 9), start + 650ms);
            registry.apply_record(record(1000, true));
            CHECK_FALSE(known.record.leaving);
            CHECK(known.status->life == 2000);
            CHECK(known.status->version == 0);
        }
        THEN(
            "the new incarnation's record, when it arrives, ends nothing again")
        {
            CHECK_FALSE(registry.apply_record(record(2000)));
            CHECK(known.attempts.size() == 1);
        }
    }
    GIVEN("its record announces the new incarnation first")
    {
        const auto ended = registry.apply_record(record(2000));
        REQUIRE(ended);
        CHECK(ended->attempts == ended_attempts);
        THEN("the old incarnation's status is dropped and does not return")
        {
            CHECK_FALSE(known.status);
            registry.apply_status(host, status(1000, 7), start + 700ms);
            CHECK_FALSE(known.status);
        }
    }
    GIVEN("the old incarnation was leaving, and avoided after failures")
    {
        registry.apply_record(record(1000, true));
        registry.end_attempt(id, 2, cj::attempt_result::failed, start + 560ms);
        REQUIRE(known.avoid_until > start + 560ms);
        registry.apply_record(record(2000));
        THEN("the new incarnation is neither leaving nor avoided")
        {
            CHECK_FALSE(known.record.leaving);
            CHECK(known.avoid_until <= start + 560ms);
            CHECK(known.fault_share == 0);
        }
        THEN("a late failure of an attempt at the old incarnation does not "
             "count")
        {
            registry.end_attempt(id, 1, cj::attempt_result::failed,
                                 start + 700ms);
            CHECK(known.fault_share == 0);
            CHECK(known.avoid_until <= start + 560ms);
        }
    }
    GIVEN("incarnations are not reported")
    {
        cj::upstream_registry silent;
        silent.apply_record(record(0));
        silent.apply_status(host, status(0, 1), start);
        silent.begin_attempt(id, 1, 500, start);
        THEN("no restart is detected")
        {
            CHECK_FALSE(silent.apply_record(record(0)));
            CHECK(silent.apply_status(host, status(0, 2), start + 1s).empty());
            CHECK(silent.find(id)->attempts.size() == 1);
        }
    }
}

SCENARIO("status reports arrive directly and relayed", "[route]")
{
    const cj::time_point start{100s};
    cj::upstream_registry registry;
    registry.apply_record(record(0));
    registry.apply_status(host, status(0, 4, 0), start);

    THEN("a late relayed one does not reopen a closed upstream")
    {
        registry.apply_status(host, status(0, 3, 1), start + 100ms);
        CHECK_FALSE(registry.find(id)->status->open);
    }
    THEN("a restarted sidecar counts its reports from the start")
    {
        auto reported = status(0, 1, 1);
        reported.side = 6;
        registry.apply_status(host, reported, start + 100ms);
        CHECK(registry.find(id)->status->open);
    }
    // Upstreams that paused for a second were taken for suspended instances.
    THEN("a repeated one shows that the sidecar runs, though it expires")
    {
        registry.apply_status(host, status(0, 4, 0), start + 1500ms);
        const auto& known = *registry.find(id);
        CHECK_FALSE(cj::upstream_registry::side_silent(known, start + 1600ms));
        CHECK(cj::upstream_registry::is_status_expired(known, start + 1600ms));
        CHECK(cj::upstream_registry::side_silent(known, start + 2600ms));
    }
    THEN("a delayed one does not lengthen the silence of its sidecar")
    {
        registry.apply_status(host, status(0, 3, 0), start - 500ms);
        CHECK_FALSE(cj::upstream_registry::side_silent(*registry.find(id),
                                                       start + 900ms));
    }
}

SCENARIO("an upstream is cold after it started", "[route]")
{
    auto now = cj::time_point{100s};
    cj::installation rules;
    cj::service_profile llm;
    llm.name = cj::service_name("llm");
    llm.cold_time = 3000ms;
    llm.cold_requests_per_second = 32;
    rules.services[llm.name] = llm;
    cj::upstream_registry registry;
    registry.configure(rules);
    const auto known = [&]() -> const cj::known_upstream&
    { return *registry.find(id); };
    const auto cold_record = [](std::uint64_t life, std::uint64_t sequence,
                                std::uint64_t remaining_ms)
    {
        auto result = record(life);
        result.sequence = sequence;
        result.cold_remaining_ms = remaining_ms;
        return result;
    };
    const std::vector<cj::entry_demand> entries{
        {cj::hall_id("h"), "10.0.0.9", 1}};
    const auto listen = [&](std::chrono::milliseconds time)
    {
        for (const auto until = now + time; now < until; now += 100ms)
            registry.assign_cold_shares("10.0.0.9", entries, 0, now);
    };

    GIVEN("a record that says so")
    {
        registry.apply_record(cold_record(1000, 1, 2000), now);
        CHECK(registry.is_cold(id, now + 1900ms));
        CHECK_FALSE(registry.is_cold(id, now + 2s));
        THEN("reading it again does not extend the cold start")
        {
            registry.apply_record(cold_record(1000, 1, 2000), now + 1s);
            CHECK_FALSE(registry.is_cold(id, now + 2s));
        }
        THEN("a newer one starts another")
        {
            registry.apply_record(cold_record(1000, 2, 2000), now + 1s);
            CHECK(registry.is_cold(id, now + 2s));
        }
    }
    GIVEN("a record that is read before the configuration")
    {
        cj::upstream_registry unconfigured;
        unconfigured.apply_record(cold_record(1000, 1, 2000), now);
        CHECK_FALSE(unconfigured.is_cold(id, now));
        unconfigured.configure(rules);
        CHECK(unconfigured.is_cold(id, now));
    }
    GIVEN("a warm upstream")
    {
        registry.apply_record(record(1000), now);
        registry.apply_status(host, status(1000, 1), now);
        CHECK_FALSE(registry.is_cold(id, now));
        WHEN("its sidecar reports a later incarnation, before any record")
        {
            registry.apply_status(host, status(2000, 2), now + 1s);
            CHECK(registry.is_cold(id, now + 3900ms));
            THEN("the record that follows later does not end the cold start")
            {
                registry.apply_record(cold_record(2000, 1, 0), now + 1500ms);
                CHECK(registry.is_cold(id, now + 3900ms));
            }
            THEN("the record of the earlier one, read late, changes nothing")
            {
                registry.apply_record(cold_record(1000, 9, 9000), now + 1500ms);
                CHECK_FALSE(registry.is_cold(id, now + 4s));
            }
        }
        WHEN("its record reports a later incarnation without a cold start")
        {
            registry.apply_record(cold_record(2000, 1, 0), now + 1s);
            CHECK(registry.is_cold(id, now + 3900ms));
        }
        WHEN("its hall returns to service")
        {
            registry.mark_cold(cj::hall_id("elsewhere"), now);
            CHECK_FALSE(registry.is_cold(id, now));
            registry.mark_cold(record(0).hall, now);
            CHECK(registry.is_cold(id, now + 2900ms));
            THEN("a newer record says how long it is cold")
            {
                registry.apply_record(cold_record(1000, 2, 500), now);
                CHECK_FALSE(registry.is_cold(id, now + 500ms));
            }
        }
        WHEN("it is marked as cold until a time")
        {
            registry.mark_cold(id, now + 1s, now);
            CHECK(registry.is_cold(id, now + 900ms));
            CHECK_FALSE(registry.is_cold(id, now + 1s));
        }
    }
    GIVEN("an entry that knows the others")
    {
        listen(2s);
        registry.apply_record(cold_record(1000, 1, 3000), now);
        CHECK(known().next_send_at(now) == now + 3s);
        listen(100ms);
        THEN("its share restricts when it sends, and all its sends count")
        {
            CHECK(known().next_send_at(now) < now + 100ms);
            for (std::uint64_t attempt = 0; attempt < 4; ++attempt)
            {
                registry.begin_attempt(id, attempt, 0, now);
                registry.cancel_attempt(id, attempt);
            }
            CHECK(known().next_send_at(now) > now + 80ms);
        }
        THEN("its share of the slots is that of the rate")
        {
            registry.assign_engine_shares({0, 0.1},
                                          [](const auto&) { return true; });
            CHECK(known().share == Approx(0.95));
            listen(3s);
            registry.assign_engine_shares({0, 0.1},
                                          [](const auto&) { return true; });
            CHECK(known().share == Approx(0.1));
        }
    }
    GIVEN("a service without cold starts, whatever records say")
    {
        const auto without = GENERATE(0, 1);
        auto& service = rules.services[llm.name];
        if (without == 0)
            service.cold_time = 0ms;
        else
            service.cold_requests_per_second = 0;
        registry.configure(rules);
        registry.apply_record(cold_record(1000, 1, 3000), now);
        registry.apply_record(cold_record(2000, 1, 3000), now);
        registry.mark_cold(record(0).hall, now);
        listen(2s);
        CHECK_FALSE(registry.is_cold(id, now));
        CHECK(known().next_send_at(now) <= now);
        registry.assign_engine_shares({0, 0.1},
                                      [](const auto&) { return true; });
        CHECK(known().share == Approx(0.1));
    }
}
