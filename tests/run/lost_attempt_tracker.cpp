#include "coursejunction/run/lost_attempt_tracker.hpp"

#include <catch2/catch.hpp>

using namespace coursejunction;
using namespace std::chrono_literals;

TEST_CASE("a lost attempt accuses nobody by itself", "[run]")
{
    lost_attempt_tracker witness;
    const time_point now{100s};
    const instance_id engine("a");
    const auto end = crash_id_of(engine, incarnation(1));
    const auto first = request_content::of("x", "/", "1");
    const auto second = request_content::of("x", "/", "2");
    const auto lost =
        [&](const request_content& what, loss_cause how = loss_cause::closed)
    {
        return lost_attempt{engine,
                            "here:1",
                            {what, end, crash_evidence::before_response},
                            how};
    };

    SECTION("an upstream that lives on: a reset, or a spoilt answer")
    {
        witness.add_lost_attempt(lost(first), now);
        CHECK(witness
                  .confirm_crash(instance_id("b"), crash_proof::confirmed,
                                 now + 1s)
                  .empty());
    }
    SECTION("an upstream that ended takes all its requests along, once")
    {
        CHECK(witness.add_lost_attempt(lost(first), now));
        CHECK_FALSE(witness.add_lost_attempt(lost(second), now));
        const auto accused = witness.confirm_crash(
            engine, crash_proof::record_expired, now + 5ms);
        REQUIRE(accused.size() == 2);
        CHECK(accused[0].content == first);
        CHECK(accused[1].content == second);
        CHECK(accused[0].crash == end);
        CHECK(witness.confirm_crash(engine, crash_proof::confirmed, now + 6ms)
                  .empty());
    }
    SECTION("an end long after it is another matter")
    {
        witness.add_lost_attempt(lost(first), now);
        CHECK(witness.confirm_crash(engine, crash_proof::confirmed, now + 4s)
                  .empty());
        CHECK_FALSE(witness.has_unexplained_loss(first, now + 4s));
    }
    SECTION("an attempt that was silent")
    {
        CHECK(
            witness.add_lost_attempt(lost(first, loss_cause::timed_out), now));
        CHECK(witness.has_unexplained_loss(first, now + 3s));
        CHECK_FALSE(witness.has_unexplained_loss(second, now + 3s));

        SECTION("its upstream may stand still where only its record is gone")
        {
            CHECK(witness
                      .confirm_crash(engine, crash_proof::record_expired,
                                     now + 3s)
                      .empty());
            CHECK(witness.address_of(engine) == "here:1");
        }
        SECTION("its upstream ended where the address refuses")
        {
            CHECK(
                witness.confirm_crash(engine, crash_proof::confirmed, now + 3s)
                    .size() == 1);
            CHECK_FALSE(witness.address_of(engine));
        }
        SECTION("its upstream ended where another one has the address")
        {
            const instance_id next("b");
            CHECK(witness.previous_upstream_at(next, "here:1") == engine);
            CHECK_FALSE(witness.previous_upstream_at(next, "here:2"));
            CHECK_FALSE(witness.previous_upstream_at(engine, "here:1"));
        }
    }
    SECTION("an attempt that was taken back goes on for half a second at most")
    {
        CHECK_FALSE(
            witness.add_lost_attempt(lost(first, loss_cause::cancelled), now));

        SECTION("an end within that is told to be under it")
        {
            CHECK(
                witness
                    .confirm_crash(engine, crash_proof::confirmed, now + 400ms)
                    .size() == 1);
        }
        SECTION("an end after that is not")
        {
            CHECK(
                witness
                    .confirm_crash(engine, crash_proof::confirmed, now + 500ms)
                    .empty());
        }
        SECTION("who loses it next still has the address asked")
        {
            CHECK(witness.add_lost_attempt(lost(second), now + 1ms));
        }
    }
    SECTION("a suspension ages what waits")
    {
        // The clock of ages goes on while an instance is suspended.
        witness.add_lost_attempt(lost(first), now);
        CHECK(witness.confirm_crash(engine, crash_proof::confirmed, now + 60s)
                  .empty());
    }
}
