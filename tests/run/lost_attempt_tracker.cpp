#include "coursejunction/run/lost_attempt_tracker.hpp"

#include <catch2/catch.hpp>

using namespace coursejunction;
using namespace std::chrono_literals;

TEST_CASE("a lost attempt counts as a crash only with a proof", "[run]")
{
    lost_attempt_tracker tracker;
    const time_point now{100s};
    const instance_id engine("a");
    const auto crash = crash_id_of(engine, incarnation(1));
    const auto first = request_content::of("x", "/", "1");
    const auto second = request_content::of("x", "/", "2");
    const auto attempt_of = [&](const request_content& content,
                                loss_cause cause = loss_cause::closed)
    {
        return lost_attempt{engine,
                            "here:1",
                            {content, crash, crash_evidence::before_response},
                            cause};
    };

    SECTION("the crash of another upstream is no proof")
    {
        tracker.add_lost_attempt(attempt_of(first), now);
        CHECK(tracker
                  .confirm_crash(instance_id("b"), crash_proof::confirmed,
                                 now + 1s)
                  .empty());
    }
    SECTION("a crash is reported once for each request that ran there")
    {
        CHECK(tracker.add_lost_attempt(attempt_of(first), now));
        CHECK_FALSE(tracker.add_lost_attempt(attempt_of(second), now));
        const auto reports = tracker.confirm_crash(
            engine, crash_proof::record_expired, now + 5ms);
        REQUIRE(reports.size() == 2);
        CHECK(reports[0].content == first);
        CHECK(reports[1].content == second);
        CHECK(reports[0].crash == crash);
        CHECK(tracker.confirm_crash(engine, crash_proof::confirmed, now + 6ms)
                  .empty());
    }
    SECTION("a proof that comes too late does not count")
    {
        tracker.add_lost_attempt(attempt_of(first), now);
        CHECK(tracker.confirm_crash(engine, crash_proof::confirmed, now + 4s)
                  .empty());
        CHECK_FALSE(tracker.has_unexplained_loss(first, now + 4s));
    }
    SECTION("an attempt that timed out")
    {
        CHECK(tracker.add_lost_attempt(attempt_of(first, loss_cause::timed_out),
                                       now));
        CHECK(tracker.has_unexplained_loss(first, now + 3s));
        CHECK_FALSE(tracker.has_unexplained_loss(second, now + 3s));

        SECTION("an expired record is no proof: the upstream may be suspended")
        {
            CHECK(tracker
                      .confirm_crash(engine, crash_proof::record_expired,
                                     now + 3s)
                      .empty());
            CHECK(tracker.address_of(engine) == "here:1");
        }
        SECTION("a confirmed crash is a proof")
        {
            CHECK(
                tracker.confirm_crash(engine, crash_proof::confirmed, now + 3s)
                    .size() == 1);
            CHECK_FALSE(tracker.address_of(engine));
        }
        SECTION("the previous upstream at a reused address is found")
        {
            const instance_id next("b");
            CHECK(tracker.previous_upstream_at(next, "here:1") == engine);
            CHECK_FALSE(tracker.previous_upstream_at(next, "here:2"));
            CHECK_FALSE(tracker.previous_upstream_at(engine, "here:1"));
        }
    }
    SECTION("a cancelled attempt may still run for half a second")
    {
        CHECK_FALSE(tracker.add_lost_attempt(
            attempt_of(first, loss_cause::cancelled), now));

        SECTION("a crash within that time counts")
        {
            CHECK(
                tracker
                    .confirm_crash(engine, crash_proof::confirmed, now + 400ms)
                    .size() == 1);
        }
        SECTION("a later crash does not count")
        {
            CHECK(
                tracker
                    .confirm_crash(engine, crash_proof::confirmed, now + 500ms)
                    .empty());
        }
        SECTION(
            "the next lost attempt still makes the caller probe the address")
        {
            CHECK(tracker.add_lost_attempt(attempt_of(second), now + 1ms));
        }
    }
    SECTION("attempts expire during a suspension of the entry")
    {
        // The clock that gives the ages goes on during a suspension.
        tracker.add_lost_attempt(attempt_of(first), now);
        CHECK(tracker.confirm_crash(engine, crash_proof::confirmed, now + 60s)
                  .empty());
    }
}
