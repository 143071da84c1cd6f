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
}
