#include "coursejunction/run/crash_witness.hpp"

#include <catch2/catch.hpp>

using namespace coursejunction;
using namespace std::chrono_literals;

TEST_CASE("a lost attempt accuses nobody by itself", "[run]")
{
    crash_witness witness;
    const time_point now{100s};
    const instance_id engine("a");
    const auto end = crash_of(engine, incarnation(1));
    const auto first = request_content::of("x", "/", "1");
    const auto second = request_content::of("x", "/", "2");
    const auto lost = [&](const request_content& what,
                          attempt_loss how = attempt_loss::closed)
    {
        return lost_attempt{
            engine, "here:1", {what, end, end_evidence::beginning}, how};
    };

    SECTION("an upstream that lives on: a reset, or a spoilt answer")
    {
        witness.lost(lost(first), now);
        CHECK(
            witness.ended(instance_id("b"), end_proof::seen, now + 1s).empty());
    }
    SECTION("an upstream that ended takes all its requests along, once")
    {
        CHECK(witness.lost(lost(first), now));
        CHECK_FALSE(witness.lost(lost(second), now));
        const auto accused =
            witness.ended(engine, end_proof::record_gone, now + 5ms);
        REQUIRE(accused.size() == 2);
        CHECK(accused[0].content == first);
        CHECK(accused[1].content == second);
        CHECK(accused[0].end == end);
        CHECK(witness.ended(engine, end_proof::seen, now + 6ms).empty());
    }
    SECTION("an end long after it is another matter")
    {
        witness.lost(lost(first), now);
        CHECK(witness.ended(engine, end_proof::seen, now + 4s).empty());
        CHECK_FALSE(witness.waits(first, now + 4s));
    }
    SECTION("an attempt that was silent")
    {
        CHECK(witness.lost(lost(first, attempt_loss::silent), now));
        CHECK(witness.waits(first, now + 3s));
        CHECK_FALSE(witness.waits(second, now + 3s));

        SECTION("its upstream may stand still where only its record is gone")
        {
            CHECK(witness.ended(engine, end_proof::record_gone, now + 3s)
                      .empty());
            CHECK(witness.address_of(engine) == "here:1");
        }
        SECTION("its upstream ended where the address refuses")
        {
            CHECK(witness.ended(engine, end_proof::seen, now + 3s).size() == 1);
            CHECK_FALSE(witness.address_of(engine));
        }
        SECTION("its upstream ended where another one has the address")
        {
            const instance_id next("b");
            CHECK(witness.before(next, "here:1") == engine);
            CHECK_FALSE(witness.before(next, "here:2"));
            CHECK_FALSE(witness.before(engine, "here:1"));
        }
    }
    SECTION("an attempt that was taken back goes on for half a second at most")
    {
        CHECK_FALSE(witness.lost(lost(first, attempt_loss::withdrawn), now));

        SECTION("an end within that is told to be under it")
        {
            CHECK(witness.ended(engine, end_proof::seen, now + 400ms).size() ==
                  1);
        }
        SECTION("an end after that is not")
        {
            CHECK(witness.ended(engine, end_proof::seen, now + 500ms).empty());
        }
        SECTION("who loses it next still has the address asked")
        {
            CHECK(witness.lost(lost(second), now + 1ms));
        }
    }
    SECTION("a suspension ages what waits")
    {
        // The clock of ages goes on while an instance is suspended.
        witness.lost(lost(first), now);
        CHECK(witness.ended(engine, end_proof::seen, now + 60s).empty());
    }
}
