#include "coursejunction/daemon/state_dump.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;
using nlohmann::json;

SCENARIO("the state dump shows what a process knows", "[daemon]")
{
    const cj::time_point now{100s};
    cj::store_mirror mirror;
    mirror.apply({}, 7, now);
    cj::peer_directory peers;
    peers.add_entry("10.0.0.2", now);

    GIVEN("an entry with one upstream")
    {
        cj::upstream_registry upstreams;
        cj::upstream_record record;
        record.id = cj::instance_id("i-1");
        record.service = cj::service_name("s");
        record.address = "10.0.0.5:80";
        record.hall = cj::hall_id("z");
        upstreams.apply_record(record);
        const auto dump = [&]
        {
            return json::parse(
                cj::entry_state_json(mirror, peers, upstreams, {3, 1}, now));
        };

        THEN("it holds the requests, the mirror position and the peers")
        {
            const auto state = dump();
            CHECK(state.at("role") == "entry");
            CHECK(state.at("mirror_revision") == 7);
            CHECK(state.at("open_requests") == 3);
            CHECK(state.at("queued_requests") == 1);
            REQUIRE(state.at("peers").size() == 1);
            CHECK(state.at("peers")[0].at("address") == "10.0.0.2");
            CHECK(state.at("peers")[0].at("heard_ms_ago").is_null());
        }
        THEN("no hall is evacuated")
        {
            CHECK(dump().at("evacuated_halls").empty());
            CHECK(dump().at("upstreams")[0].at("evacuated") == false);
        }
        WHEN("its hall is evacuated")
        {
            upstreams.set_evacuations({{record.hall, {2, 17}}}, now);
            THEN("the dump shows the hall and the store position")
            {
                const auto state = dump();
                REQUIRE(state.at("evacuated_halls").size() == 1);
                CHECK(state.at("evacuated_halls")[0].at("hall") == "z");
                CHECK(state.at("evacuated_halls")[0].at("revision") == "2.17");
                CHECK(state.at("upstreams")[0].at("evacuated") == true);
            }
        }
        THEN("an upstream whose sidecar has not reported has no status")
        {
            REQUIRE(dump().at("upstreams").size() == 1);
            CHECK_FALSE(dump().at("upstreams")[0].contains("status"));
        }
        WHEN("a response of it reported a rate limit and that it is leaving")
        {
            cj::received_notice notice;
            notice.notice.leaving = true;
            notice.notice.requests_per_second = 2;
            upstreams.apply_notice(record.id, notice, now - 3s);
            THEN("one line shows both, with their source and age")
            {
                REQUIRE(dump().at("terms").size() == 1);
                const std::string line = dump().at("terms")[0];
                CHECK(line.starts_with("i-1 is leaving, accepts 2.0"));
                CHECK(line.ends_with("reported by answer 3000 ms ago"));
            }
        }
        WHEN("it is cold")
        {
            cj::installation rules;
            auto& service = rules.services[record.service];
            service.cold_time = 3000ms;
            service.cold_requests_per_second = 32;
            upstreams.configure(rules);
            CHECK_FALSE(dump().at("upstreams")[0].contains("cold"));
            upstreams.mark_cold(record.id, now + 2s, now);
            THEN("it shows for how long still, why, and the shares")
            {
                const auto cold = dump().at("upstreams")[0].at("cold");
                CHECK(cold.at("left_ms") == 2000);
                CHECK(cold.at("source") == "marked");
                CHECK(cold.at("per_second") == 32);
                CHECK(cold.at("own_per_second") == 0);
            }
        }
        WHEN("it has reported no terms")
        {
            CHECK(dump().at("terms").empty());
        }
        WHEN("its sidecar has reported a load and an attempt has failed")
        {
            cj::message::upstream_status status;
            status.sequence = 1;
            status.running = 4;
            upstreams.apply_status("10.0.0.5", status, now - 250ms);
            upstreams.begin_attempt(record.id, 1, 0, now);
            upstreams.end_attempt(record.id, 1, cj::attempt_result::failed,
                                  now);
            THEN("it shows the age of the report and how long it is avoided")
            {
                const auto state = dump().at("upstreams")[0];
                CHECK(state.at("status").at("running") == 4);
                CHECK(state.at("status").at("told_ms_ago") == 250);
                CHECK(state.at("failures_in_a_row") == 1);
                CHECK(state.at("avoided_for_ms") > 0);
            }
        }
    }
    GIVEN("a sidecar that stages a version at its upstream")
    {
        cj::agent_state agent;
        agent.staged_version = 2;
        agent.versions.push_back({2, 64, 40, 38});
        const auto dump = [&]
        { return json::parse(cj::side_state_json(mirror, peers, agent, now)); };
        THEN("it shows the progress, and no upstream before its first report")
        {
            CHECK(dump().at("role") == "side");
            CHECK(dump().at("versions")[0].at("held") == 40);
            CHECK_FALSE(dump().contains("upstream"));
        }
        THEN("it shows the upstream's report")
        {
            agent.upstream.emplace();
            agent.upstream->version = 1;
            CHECK(dump().at("upstream").at("version") == 1);
        }
    }
}
