#include "coursejunction/fleet/peer_directory.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("peers are named, heard and forgotten", "[fleet]")
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

    WHEN("a heartbeat comes twice or late")
    {
        CHECK_FALSE(peers.record_heartbeat("10.0.0.2", heartbeat, now));
        heartbeat.sequence = 2;
        CHECK_FALSE(peers.record_heartbeat("10.0.0.2", heartbeat, now));
    }
    WHEN("the peer starts again")
    {
        heartbeat.incarnation = 8;
        heartbeat.sequence = 1;
        THEN("its count begins anew")
        {
            CHECK(peers.record_heartbeat("10.0.0.2", heartbeat, now));
        }
    }
    WHEN("nobody names it for long")
    {
        now += 30s;
        peers.expire(now);
        THEN("it is forgotten, a seed is not")
        {
            CHECK(peers.find("10.0.0.2") == nullptr);
            CHECK(peers.find("10.0.0.1") != nullptr);
        }
    }
}

SCENARIO("a few entries watch the store for all", "[fleet]")
{
    cj::peer_directory peers;
    const cj::time_point now{100s};
    const auto hear = [&](const char* address, bool watching, bool leaving)
    {
        cj::message::fleet_heartbeat heartbeat;
        heartbeat.incarnation = 1;
        heartbeat.sequence = 1;
        heartbeat.entry = true;
        heartbeat.watching = watching;
        heartbeat.leaving = leaving;
        peers.record_heartbeat(address, heartbeat, now);
    };
    hear("10.0.0.1", true, false);
    hear("10.0.0.2", false, false);
    hear("10.0.0.3", true, true);
    hear("10.0.0.4", true, false);

    CHECK(peers.watchers_before("10.0.0.5", 0, now) == 2);
    CHECK(peers.watchers_before("10.0.0.2", 0, now) == 1);
    THEN("those that fall silent are replaced")
    {
        CHECK(peers.watchers_before("10.0.0.5", 0, now + 5s) == 0);
    }
}

SCENARIO("who was cut off learns that the store was not away", "[fleet]")
{
    cj::peer_directory peers;
    const cj::time_point now{100s};
    cj::message::fleet_heartbeat heartbeat;
    heartbeat.incarnation = 1;
    heartbeat.sequence = 1;
    heartbeat.entry = true;
    heartbeat.watching = true;
    heartbeat.store_returned = true;
    peers.record_heartbeat("10.0.0.1", heartbeat, now);

    GIVEN("others that saw the same outage")
    {
        CHECK_FALSE(peers.has_undisturbed_watcher(now));
    }
    GIVEN("one that watched all the while")
    {
        heartbeat.store_returned = false;
        peers.record_heartbeat("10.0.0.2", heartbeat, now);
        CHECK(peers.has_undisturbed_watcher(now));
        THEN("but not when it is silent itself")
        {
            CHECK_FALSE(peers.has_undisturbed_watcher(now + 5s));
        }
    }
}

SCENARIO("a process knows where it stands in its hall", "[fleet]")
{
    cj::peer_directory peers;
    const cj::time_point now{100s};
    const cj::hall_id hall("a");
    cj::message::fleet_heartbeat heartbeat;
    heartbeat.incarnation = 1;
    const auto hear = [&](const char* address, const char* where, bool entry)
    {
        ++heartbeat.sequence;
        heartbeat.hall = where;
        heartbeat.entry = entry;
        peers.record_heartbeat(address, heartbeat, now);
    };
    hear("10.0.0.1", "a", true);
    hear("10.0.0.5", "a", true);
    hear("10.0.0.2", "a", false);
    hear("10.0.0.0", "b", true);

    CHECK(peers.fetch_state("10.0.0.3", hall, true, now).rank == 1);
    CHECK(peers.fetch_state("10.0.0.3", hall, false, now).rank == 3);
    CHECK(peers.fetch_state("10.0.0.3", hall, true, now).fetching == 0);

    WHEN("one of the hall fetches")
    {
        heartbeat.fetching = true;
        hear("10.0.0.5", "a", true);
        THEN("the others know, those of other halls don't count")
        {
            CHECK(peers.fetch_state("10.0.0.3", hall, true, now).fetching == 1);
            CHECK(peers.fetch_state("10.0.0.3", cj::hall_id("b"), true, now)
                      .fetching == 0);
        }
    }
    WHEN("nobody is heard any more")
    {
        CHECK(peers.fetch_state("10.0.0.3", hall, false, now + 5s).rank == 0);
    }
    WHEN("some know more")
    {
        heartbeat.mirrored = 9;
        hear("10.0.0.2", "a", false);
        hear("10.0.0.0", "b", true);
        THEN("they are found by hall, and what is older is not")
        {
            CHECK(peers.find_peer_ahead(8, hall, true, 0, now) == "10.0.0.2");
            CHECK(peers.find_peer_ahead(8, hall, false, 0, now) == "10.0.0.0");
            CHECK(peers.find_peer_ahead(9, hall, false, 0, now).empty());
        }
        AND_WHEN("an entry of the hall does, too")
        {
            hear("10.0.0.1", "a", true);
            CHECK(peers.find_peer_ahead(8, hall, true, 3, now) == "10.0.0.1");
        }
    }
}

SCENARIO("those nearest to the store watch it", "[fleet]")
{
    cj::peer_directory peers;
    const cj::time_point now{100s};
    cj::message::fleet_heartbeat heartbeat;
    heartbeat.incarnation = 1;
    heartbeat.entry = true;
    heartbeat.watching = true;
    const auto hear =
        [&](const char* address, const char* hall, std::uint32_t distance)
    {
        ++heartbeat.sequence;
        heartbeat.hall = hall;
        heartbeat.store_distance = distance;
        peers.record_heartbeat(address, heartbeat, now);
    };
    hear("10.0.0.1", "far", 5600);
    hear("10.0.0.9", "near", 300);

    CHECK(peers.watchers_before("10.0.0.5", 5700, now) == 2);
    CHECK(peers.watchers_before("10.0.0.5", 400, now) == 0);
    CHECK(peers.watchers_before("10.0.0.10", 400, now) == 0);
    CHECK(peers.watchers_before("10.0.0.99", 400, now) == 1);
    CHECK(peers.store_distance(cj::hall_id("near"), now) == 300);
    CHECK(peers.store_distance(cj::hall_id("other"), now) == 0);
}
