#include "coursejunction/run/crash_witness.hpp"

#include <catch2/catch.hpp>

using namespace coursejunction;
using namespace std::chrono_literals;

TEST_CASE("a lost connection accuses nobody by itself", "[run]")
{
    crash_witness witness;
    const time_point now{100s};
    const instance_id engine("a");
    const auto end = crash_of(engine, incarnation(1));
    const auto first = request_content::of("x", "/", "1");
    const auto second = request_content::of("x", "/", "2");

    SECTION("an upstream that lives on: a reset, or a spoilt answer")
    {
        witness.lost(engine, end, first, now);
        CHECK(witness.ended(instance_id("b"), now + 1s).empty());
    }
    SECTION("an upstream that ended takes all its requests along, once")
    {
        CHECK(witness.lost(engine, end, first, now));
        CHECK_FALSE(witness.lost(engine, end, second, now));
        const auto accused = witness.ended(engine, now + 5ms);
        REQUIRE(accused.size() == 2);
        CHECK(accused[0].content == first);
        CHECK(accused[1].content == second);
        CHECK(accused[0].end == end);
        CHECK(witness.ended(engine, now + 6ms).empty());
    }
    SECTION("an end long after it is another matter")
    {
        witness.lost(engine, end, first, now);
        CHECK(witness.ended(engine, now + 4s).empty());
    }
}
