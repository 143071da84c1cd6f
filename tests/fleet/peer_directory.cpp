#include "coursejunction/fleet/peer_directory.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("peers are added, heard and removed", "[fleet]")
{
    cj::peer_directory peers;
    cj::time_point now{100s};
    peers.add_seed("10.0.0.1", now);
    peers.add_side("10.0.0.2", cj::hall_id("a"), now);
    cj::message::fleet_heartbeat heartbeat;
    heartbeat.incarnation = 7;
    heartbeat.sequence = 3;

    CHECK_FALSE(peers.alive("10.0.0.2", now));
    CHECK(peers.record_heartbeat("10.0.0.2", heartbeat, now));
    CHECK(peers.alive("10.0.0.2", now));

    WHEN("a heartbeat arrives twice or out of order")
    {
        CHECK_FALSE(peers.record_heartbeat("10.0.0.2", heartbeat, now));
        heartbeat.sequence = 2;
        CHECK_FALSE(peers.record_heartbeat("10.0.0.2", heartbeat, now));
    }
    WHEN("the peer restarts")
    {
        heartbeat.incarnation = 8;
        heartbeat.sequence = 1;
        THEN("its sequence numbers start again")
        {
            CHECK(peers.record_heartbeat("10.0.0.2", heartbeat, now));
        }
    }
    WHEN("nobody gives its address for a long time")
    {
        now += 30s;
        peers.expire(now);
        THEN("it is removed, a seed is not")
        {
            CHECK(peers.find("10.0.0.2") == nullptr);
            CHECK(peers.find("10.0.0.1") != nullptr);
        }
    }
}

SCENARIO("a few entries watch the store on behalf of all", "[fleet]")
{
    cj::peer_directory peers;
    const cj::time_point now{100s};
    const auto receive = [&](const char* address, bool watching, bool leaving)
    {
        cj::message::fleet_heartbeat heartbeat;
        heartbeat.incarnation = 1;
        heartbeat.sequence = 1;
        heartbeat.entry = true;
        heartbeat.watching = watching;
        heartbeat.leaving = leaving;
        peers.record_heartbeat(address, heartbeat, now);
    };
    receive("10.0.0.1", true, false);
    receive("10.0.0.2", false, false);
    receive("10.0.0.3", true, true);
    receive("10.0.0.4", true, false);

    CHECK(peers.watchers_before("10.0.0.5", 0, now) == 2);
    CHECK(peers.watchers_before("10.0.0.2", 0, now) == 1);
    THEN("silent ones no longer count")
    {
        CHECK(peers.watchers_before("10.0.0.5", 0, now + 5s) == 0);
    }
}

SCENARIO("a process that was cut off learns that the store had no outage",
         "[fleet]")
{
    cj::peer_directory peers;
    const cj::time_point now{100s};
    cj::message::fleet_heartbeat heartbeat;
    heartbeat.incarnation = 1;
    heartbeat.sequence = 1;
    heartbeat.entry = true;
    heartbeat.watching = true;
    heartbeat.lapse_window_ms = 1500;
    peers.record_heartbeat("10.0.0.1", heartbeat, now);

    GIVEN("a peer that saw the same outage")
    {
        CHECK_FALSE(peers.has_undisturbed_watcher(now));
    }
    GIVEN("one that watched without interruption")
    {
        heartbeat.lapse_window_ms = 0;
        peers.record_heartbeat("10.0.0.2", heartbeat, now);
        CHECK(peers.has_undisturbed_watcher(now));
        THEN("it does not count once it is silent")
        {
            CHECK_FALSE(peers.has_undisturbed_watcher(now + 5s));
        }
    }
}

SCENARIO("a process knows its rank in the hall and who is ahead", "[fleet]")
{
    cj::peer_directory peers;
    const cj::time_point now{100s};
    const cj::hall_id hall("a");
    cj::message::fleet_heartbeat heartbeat;
    heartbeat.incarnation = 1;
    const auto receive =
        [&](const char* address, const char* hall_name, bool entry)
    {
        ++heartbeat.sequence;
        heartbeat.hall = hall_name;
        heartbeat.entry = entry;
        peers.record_heartbeat(address, heartbeat, now);
    };
    receive("10.0.0.1", "a", true);
    receive("10.0.0.5", "a", true);
    receive("10.0.0.2", "a", false);
    receive("10.0.0.0", "b", true);

    CHECK(peers.fetch_state("10.0.0.3", hall, true, now).rank == 1);
    CHECK(peers.fetch_state("10.0.0.3", hall, false, now).rank == 3);
    CHECK(peers.fetch_state("10.0.0.3", hall, true, now).fetching == 0);

    WHEN("one of the hall fetches")
    {
        heartbeat.fetching = true;
        receive("10.0.0.5", "a", true);
        THEN("it counts in its own hall only")
        {
            CHECK(peers.fetch_state("10.0.0.3", hall, true, now).fetching == 1);
            CHECK(peers.fetch_state("10.0.0.3", cj::hall_id("b"), true, now)
                      .fetching == 0);
        }
    }
    WHEN("all peers are silent")
    {
        CHECK(peers.fetch_state("10.0.0.3", hall, false, now + 5s).rank == 0);
    }
    WHEN("the mirrors of some peers are ahead")
    {
        heartbeat.mirrored = 9;
        receive("10.0.0.2", "a", false);
        receive("10.0.0.0", "b", true);
        THEN("they are found by hall, as long as they are ahead")
        {
            CHECK(peers.find_peer_ahead(8, hall, true, 0, now) == "10.0.0.2");
            CHECK(peers.find_peer_ahead(8, hall, false, 0, now) == "10.0.0.0");
            CHECK(peers.find_peer_ahead(9, hall, false, 0, now).empty());
        }
        AND_WHEN("the mirror of an entry of the hall is ahead, too")
        {
            receive("10.0.0.1", "a", true);
            CHECK(peers.find_peer_ahead(8, hall, true, 3, now) == "10.0.0.1");
        }
    }
}

SCENARIO("the entries nearest to the store watch it", "[fleet]")
{
    cj::peer_directory peers;
    const cj::time_point now{100s};
    cj::message::fleet_heartbeat heartbeat;
    heartbeat.incarnation = 1;
    heartbeat.entry = true;
    heartbeat.watching = true;
    const auto receive =
        [&](const char* address, const char* hall, std::uint32_t distance)
    {
        ++heartbeat.sequence;
        heartbeat.hall = hall;
        heartbeat.store_distance = distance;
        peers.record_heartbeat(address, heartbeat, now);
    };
    receive("10.0.0.1", "far", 5600);
    receive("10.0.0.9", "near", 300);

    CHECK(peers.watchers_before("10.0.0.5", 5700, now) == 2);
    CHECK(peers.watchers_before("10.0.0.5", 400, now) == 0);
    CHECK(peers.watchers_before("10.0.0.10", 400, now) == 0);
    CHECK(peers.watchers_before("10.0.0.99", 400, now) == 1);
    CHECK(peers.store_distance_us(cj::hall_id("near"), now) == 300);
    CHECK(peers.store_distance_us(cj::hall_id("other"), now) == 0);
}
