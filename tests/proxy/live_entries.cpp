#include "coursejunction/proxy/live_entries.hpp"

#include <string>

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

// Guards against a share of an upstream that falls to an entry which cannot use
// it, and against entries that are left out although they send requests.
SCENARIO("the entries between which upstreams are divided", "[proxy]")
{
    const cj::time_point now{100s};
    cj::peer_directory peers;
    const auto heard = [&](const std::string& address, bool entry, bool leaving,
                           cj::time_point at)
    {
        cj::message::fleet_heartbeat heartbeat;
        heartbeat.incarnation = 1;
        heartbeat.sequence = 1;
        heartbeat.entry = entry;
        heartbeat.leaving = leaving;
        heartbeat.hall = "h";
        heartbeat.load.arrived = 3;
        heartbeat.load.demand = 2;
        peers.record_heartbeat(address, heartbeat, at);
    };
    peers.add_seed("10.0.0.2", now);
    heard("10.0.0.3", true, false, now);
    heard("10.0.0.4", true, true, now);
    heard("10.0.0.5", true, false, now - 2s);
    heard("10.0.0.6", false, false, now);

    const auto entries =
        cj::collect_live_entries({cj::hall_id("h"), "10.0.0.1", 0}, peers, now);
    THEN("they are this one, with a minimum demand, and those that were heard "
         "and stay")
    {
        REQUIRE(entries.demands.size() == 2);
        CHECK(entries.demands[0].address == "10.0.0.1");
        CHECK(entries.demands[0].per_second == 0.5);
        CHECK(entries.demands[1].address == "10.0.0.3");
        CHECK(entries.demands[1].per_second == 2);
        CHECK(entries.others.arrived == 3);
    }
    THEN("those of which only the address is known are counted, as they may be "
         "cut off")
    {
        CHECK(entries.unheard == 1);
    }
    THEN("those that leave are named, as they send nothing more to cold "
         "upstreams")
    {
        CHECK(entries.leaving == std::vector<std::string>{"10.0.0.4"});
    }
}
