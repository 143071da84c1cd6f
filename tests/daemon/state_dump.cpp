#include "coursejunction/daemon/state_dump.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;
using nlohmann::json;

SCENARIO("a process tells what it believes", "[daemon]")
{
    const cj::time_point now{100s};
    cj::store_mirror mirror;
    mirror.apply({}, 7, now);
    cj::peer_directory peers;
    peers.add_entry("10.0.0.2", now);

    GIVEN("an entry with one upstream")
    {
        cj::upstream_registry book;
        cj::upstream_record record;
        record.id = cj::instance_id("i-1");
        record.service = cj::service_name("s");
        record.address = "10.0.0.5:80";
        book.apply_record(record);
        const auto dump = [&] {
            return json::parse(
                cj::entry_state_json(mirror, peers, book, {3, 1}, now));
        };

        THEN("its requests, its mirror and its peers are there")
        {
            const auto told = dump();
            CHECK(told.at("role") == "entry");
            CHECK(told.at("mirror_revision") == 7);
            CHECK(told.at("open_requests") == 3);
            CHECK(told.at("queued_requests") == 1);
            REQUIRE(told.at("peers").size() == 1);
            CHECK(told.at("peers")[0].at("address") == "10.0.0.2");
            CHECK(told.at("peers")[0].at("heard_ms_ago").is_null());
        }
        THEN("an upstream whose side was never heard has no status")
        {
            REQUIRE(dump().at("upstreams").size() == 1);
            CHECK_FALSE(dump().at("upstreams")[0].contains("status"));
        }
        WHEN("its answer named a limit, and that it leaves")
        {
            cj::received_notice notice;
            notice.notice.leaving = true;
            notice.notice.requests_per_second = 2;
            book.apply_notice(record.id, notice, now - 3s);
            THEN("one line tells it, since when and by whose word")
            {
                REQUIRE(dump().at("terms").size() == 1);
                const std::string line = dump().at("terms")[0];
                CHECK(line.starts_with("i-1 leaves, takes 2.0"));
                CHECK(line.ends_with("told by answer 3000 ms ago"));
            }
        }
        WHEN("nothing binds it")
        {
            CHECK(dump().at("terms").empty());
        }
        WHEN("its side told a load and an attempt failed")
        {
            cj::message::upstream_status status;
            status.sequence = 1;
            status.running = 4;
            book.apply_status("10.0.0.5", status, now - 250ms);
            book.begin_attempt(record.id, 1, 0, now);
            book.end_attempt(record.id, 1, cj::attempt_result::failed, now);
            THEN("how old that is and why it is avoided are told")
            {
                const auto told = dump().at("upstreams")[0];
                CHECK(told.at("status").at("running") == 4);
                CHECK(told.at("status").at("told_ms_ago") == 250);
                CHECK(told.at("failures_in_a_row") == 1);
                CHECK(told.at("avoided_for_ms") > 0);
            }
        }
    }
    GIVEN("a side that brings a version to its upstream")
    {
        cj::agent_state agent;
        agent.staged_version = 2;
        agent.versions.push_back({2, 64, 40, 38});
        const auto dump = [&]
        { return json::parse(cj::side_state_json(mirror, peers, agent, now)); };
        THEN("how far it is stands there, and that the upstream is unknown")
        {
            CHECK(dump().at("role") == "side");
            CHECK(dump().at("versions")[0].at("held") == 40);
            CHECK_FALSE(dump().contains("upstream"));
        }
        THEN("a report of the upstream is told as it was read")
        {
            agent.upstream.emplace();
            agent.upstream->version = 1;
            CHECK(dump().at("upstream").at("version") == 1);
        }
    }
}
