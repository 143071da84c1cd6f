#include "coursejunction/fleet/peer_directory.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("peers are named, heard and forgotten", "[fleet]")
{
    cj::peer_directory peers;
    cj::time_point now{100s};
    peers.seed("10.0.0.1", now);
    peers.name("10.0.0.2", false, now);
    cj::message::fleet_heartbeat beat;
    beat.incarnation = 7;
    beat.sequence = 3;

    CHECK_FALSE(peers.alive("10.0.0.2", now));
    CHECK(peers.heard("10.0.0.2", beat, now));
    CHECK(peers.alive("10.0.0.2", now));

    WHEN("a heartbeat comes twice or late")
    {
        CHECK_FALSE(peers.heard("10.0.0.2", beat, now));
        beat.sequence = 2;
        CHECK_FALSE(peers.heard("10.0.0.2", beat, now));
    }
    WHEN("the peer starts again")
    {
        beat.incarnation = 8;
        beat.sequence = 1;
        THEN("its count begins anew")
        {
            CHECK(peers.heard("10.0.0.2", beat, now));
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
