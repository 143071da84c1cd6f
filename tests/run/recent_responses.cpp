#include "coursejunction/run/recent_responses.hpp"

#include <string>

#include <catch2/catch.hpp>

using namespace coursejunction;
using namespace std::chrono_literals;

TEST_CASE("recent responses are counted by content", "[run]")
{
    recent_responses responses;
    time_point now{100s};
    const auto repeated = request_content::of("x", "/", "1");

    SECTION("a response counts for ten seconds")
    {
        responses.record(repeated, now);
        responses.record(repeated, now + 5s);
        CHECK(responses.count(repeated, now + 9s) == 2);
        CHECK(responses.count(repeated, now + 10s) == 1);
        CHECK(responses.count(repeated, now + 15s) == 0);
    }
    SECTION("consumed responses no longer count")
    {
        responses.record(repeated, now);
        responses.record(request_content::of("x", "/", "2"), now);
        responses.record(repeated, now + 1s);
        responses.consume(repeated, 1);
        CHECK(responses.count(repeated, now + 2s) == 1);
        CHECK(responses.count(request_content::of("x", "/", "2"), now) == 1);
        responses.consume(repeated, 5);
        CHECK(responses.count(repeated, now + 2s) == 0);
        CHECK(responses.count(repeated, now + 20s) == 0);
    }
    SECTION("above the capacity the oldest is dropped")
    {
        responses.record(repeated, now);
        for (std::size_t at = 0; at < recent_responses::capacity; ++at)
            responses.record(
                request_content::of("x", "/", std::to_string(at) + "y"), now);
        CHECK(responses.count(repeated, now) == 0);
    }
}
