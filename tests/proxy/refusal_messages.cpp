#include "coursejunction/proxy/refusal_messages.hpp"

#include <catch2/catch.hpp>

#include "coursejunction/wire/codec.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("entries tell each other of refusals in spans of time", "[proxy]")
{
    const cj::time_point here{100s};
    const cj::time_point there{5000s};
    cj::refusal_record one;
    one.fingerprint = cj::request_fingerprint(7);
    one.first_arrival = here - 300ms;
    one.deadline = here + 5600ms;
    one.refused_at = here;
    one.retry_at = here + 200ms;
    const auto told = cj::encode_refusal(one, here);

    THEN("another process reads them by its own clock")
    {
        const auto read = cj::decode_refusal(told, there);
        CHECK(read.fingerprint == one.fingerprint);
        CHECK(read.first_arrival == there - 300ms);
        CHECK(read.deadline == there + 5600ms);
        CHECK(read.refused_at == there);
        CHECK(read.retry_at == there + 200ms);
    }
    THEN("a caller without a deadline has none there either")
    {
        one.deadline.reset();
        CHECK_FALSE(
            cj::decode_refusal(cj::encode_refusal(one, here), there).deadline);
    }
    THEN("times that lie behind are no spans")
    {
        one.retry_at = here - 1s;
        CHECK(cj::encode_refusal(one, here).due_ms == 0);
    }
    THEN("a heartbeat of an entry carries them")
    {
        cj::message::fleet_heartbeat beat;
        beat.entry = true;
        beat.refusals.assign(3, told);
        const auto bytes = cj::encode(beat);
        const auto read = cj::decode<cj::message::fleet_heartbeat>(bytes);
        REQUIRE(read);
        REQUIRE(read.value().refusals.size() == 3);
        CHECK(read.value().refusals.front().left_ms == 5600);
        AND_THEN("one that is cut off is refused")
        {
            const auto part = bytes.substr(0, bytes.size() - 10);
            CHECK_FALSE(cj::decode<cj::message::fleet_heartbeat>(part));
        }
    }
}
