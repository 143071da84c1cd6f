#include "coursejunction/proxy/refusal_messages.hpp"

#include <catch2/catch.hpp>

#include "coursejunction/wire/codec.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("refusals are sent between entries with durations instead of times",
         "[proxy]")
{
    const cj::time_point sender_now{100s};
    const cj::time_point receiver_now{5000s};
    cj::refusal_record refusal;
    refusal.fingerprint = cj::request_fingerprint(7);
    refusal.first_arrival = sender_now - 300ms;
    refusal.deadline = sender_now + 5600ms;
    refusal.refused_at = sender_now;
    refusal.retry_at = sender_now + 200ms;
    const auto encoded = cj::encode_refusal(refusal, sender_now);

    THEN("another process converts them to its own clock")
    {
        const auto decoded = cj::decode_refusal(encoded, receiver_now);
        CHECK(decoded.fingerprint == refusal.fingerprint);
        CHECK(decoded.first_arrival == receiver_now - 300ms);
        CHECK(decoded.deadline == receiver_now + 5600ms);
        CHECK(decoded.refused_at == receiver_now);
        CHECK(decoded.retry_at == receiver_now + 200ms);
    }
    THEN("a missing deadline stays missing")
    {
        refusal.deadline.reset();
        CHECK_FALSE(cj::decode_refusal(cj::encode_refusal(refusal, sender_now),
                                       receiver_now)
                        .deadline);
    }
    THEN("a time in the past becomes a duration of zero")
    {
        refusal.retry_at = sender_now - 1s;
        CHECK(cj::encode_refusal(refusal, sender_now).retry_in_ms == 0);
    }
    THEN("the heartbeat of an entry carries them")
    {
        cj::message::fleet_heartbeat heartbeat;
        heartbeat.entry = true;
        heartbeat.refusals.assign(3, encoded);
        const auto bytes = cj::encode(heartbeat);
        const auto decoded = cj::decode<cj::message::fleet_heartbeat>(bytes);
        REQUIRE(decoded);
        REQUIRE(decoded.value().refusals.size() == 3);
        CHECK(decoded.value().refusals.front().remaining_ms == 5600);
        AND_THEN("a truncated heartbeat is rejected")
        {
            const auto truncated = bytes.substr(0, bytes.size() - 10);
            CHECK_FALSE(cj::decode<cj::message::fleet_heartbeat>(truncated));
        }
    }
}
