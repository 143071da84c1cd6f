#include "coursejunction/fleet/hall_digest.hpp"

#include <map>
#include <set>

#include <catch2/catch.hpp>

#include "coursejunction/wire/codec.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

const cj::hall_id here("here");

void receive(cj::peer_directory& peers, const std::string& address,
             const std::string& hall, bool entry, cj::time_point now)
{
    cj::message::fleet_heartbeat heartbeat;
    heartbeat.incarnation = 1;
    heartbeat.sequence = 1;
    heartbeat.hall = hall;
    heartbeat.entry = entry;
    heartbeat.upstream.model = "model-of-ten";
    heartbeat.upstream.running = 3;
    heartbeat.upstream.life = 1764720000123;
    heartbeat.upstream.open = true;
    peers.record_heartbeat(address, heartbeat, now);
}

} // namespace

SCENARIO("entries relay the statuses of their hall's sidecars", "[fleet]")
{
    const cj::time_point now{100s};
    cj::peer_directory peers;
    constexpr int sides = 40;
    for (int at = 0; at < sides; ++at)
        receive(peers, "10.1.0." + std::to_string(100 + at), "here", false,
                now);
    receive(peers, "10.2.0.1", "there", false, now);
    receive(peers, "10.1.0.9", "here", false, now - 3s);

    THEN("every live sidecar of the hall is in exactly one digest")
    {
        std::set<std::uint32_t> seen;
        for (const auto& digest : cj::make_digests(peers, here, now + 70ms))
        {
            cj::message::fleet_heartbeat heartbeat;
            heartbeat.entry = true;
            heartbeat.digest = digest;
            // A packet of 1,500 bytes without the IP and UDP headers.
            CHECK(cj::encode(heartbeat).size() <= 1472);
            const auto read =
                cj::decode<cj::message::fleet_heartbeat>(cj::encode(heartbeat));
            REQUIRE(read);
            for (const auto& one : read.value().digest.sides)
            {
                CHECK(seen.insert(one.address).second);
                CHECK(one.age_ms == 70);
                const auto status = cj::status_in(read.value().digest, one);
                CHECK(status.running == 3);
                CHECK(status.model == "model-of-ten");
                CHECK(status.life == 1764720000123);
                CHECK(status.open);
                CHECK_FALSE(status.reachable);
            }
        }
        CHECK(seen.size() == sides);
    }
    GIVEN("four entries in the hall")
    {
        for (int at = 2; at <= 4; ++at)
            receive(peers, "10.1.0." + std::to_string(at), "here", true, now);
        const std::vector<std::string> addresses{"10.1.0.1", "10.1.0.2",
                                                 "10.1.0.3", "10.1.0.4"};
        const auto senders_to = [&](const std::string& receiver)
        {
            std::map<std::string, int> counts;
            for (const auto& address : addresses)
            {
                // The directory of an entry does not contain itself.
                cj::peer_directory others;
                for (const auto& other : addresses)
                    if (other != address)
                        receive(others, other, "here", true, now);
                const auto rank = cj::relay_rank_of(others, address, here, now);
                for (std::uint64_t number = 0; number < 8; ++number)
                    if (cj::relays_digest_to(rank, receiver, number))
                        ++counts[address];
            }
            return counts;
        };
        THEN("each entry elsewhere receives from two of them in turn")
        {
            for (int at = 1; at < 50; ++at)
            {
                const auto senders = senders_to("10.3.0." + std::to_string(at));
                REQUIRE(senders.size() == 2);
                for (const auto& [address, times] : senders)
                    CHECK(times == 2);
            }
        }
    }
    GIVEN("one entry alone")
    {
        const auto rank = cj::relay_rank_of(peers, "10.1.0.1", here, now);
        THEN("it sends every digest to everybody")
        {
            CHECK(cj::relays_digest_to(rank, "10.3.0.1", 4));
            CHECK(cj::relays_digest_to(rank, "10.3.0.1", 6));
            CHECK_FALSE(cj::relays_digest_to(rank, "10.3.0.1", 7));
        }
    }
}
