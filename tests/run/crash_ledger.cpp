#include "coursejunction/run/crash_ledger.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace coursejunction;
using namespace std::chrono_literals;

namespace
{

constexpr auto mid_response = crash_evidence::mid_response;
constexpr auto before_response = crash_evidence::before_response;
constexpr auto begun_trial = crash_evidence::begun_trial;
constexpr auto trial = crash_evidence::trial;

request_content content(int number)
{
    return request_content::of("school", "/essays", std::to_string(number));
}

crash_id crash_of_engine(int number)
{
    return crash_id_of(instance_id("engine-" + std::to_string(number)),
                       incarnation(7));
}

/*! @brief Merges all updates of one ledger into another one. */
void report_all(crash_ledger& from, crash_ledger& to, time_point now)
{
    for (const auto& one : from.collect_updates(100, now))
        to.merge(one, now);
}

} // namespace

TEST_CASE("crashes decide how a request is treated", "[run]")
{
    crash_ledger ledger;
    time_point now{100s};
    const auto bad = content(1);

    SECTION("a request without crashes is clear")
    {
        CHECK(ledger.status(bad, now) == crash_status::clear);
    }
    SECTION("one crash makes it suspect, three quarantine it")
    {
        CHECK_FALSE(
            ledger.record_crash(bad, crash_of_engine(1), before_response, now));
        CHECK(ledger.status(bad, now) == crash_status::suspect);
        CHECK(ledger.max_running(bad, false, now) == 1);
        CHECK_FALSE(
            ledger.record_crash(bad, crash_of_engine(2), before_response, now));
        CHECK(
            ledger.record_crash(bad, crash_of_engine(3), before_response, now));
        CHECK(ledger.status(bad, now) == crash_status::quarantined);
        CHECK(ledger.max_running(bad, true, now) == 0);
        CHECK(ledger.quarantine_left(bad, now + 1s) == 1s);

        SECTION("no other request is affected")
        {
            CHECK(ledger.status(content(2), now) == crash_status::clear);
        }
        SECTION("after the quarantine one entry may run one copy")
        {
            now += 2s;
            CHECK(ledger.status(bad, now) == crash_status::on_trial);
            CHECK(ledger.quarantine_left(bad, now) == 0s);
            CHECK(ledger.max_running(bad, true, now) == 1);
            CHECK(ledger.max_running(bad, false, now) == 0);
        }
        SECTION("where nobody asks that entry, further entries may run it, "
                "more with each turn")
        {
            now += 2s;
            CHECK(ledger.may_run_trial(bad, 0, now));
            CHECK_FALSE(ledger.may_run_trial(bad, 1, now + 4'999ms));
            CHECK(ledger.may_run_trial(bad, 1, now + 5s));
            CHECK_FALSE(ledger.may_run_trial(bad, 2, now + 9'999ms));
            CHECK(ledger.may_run_trial(bad, 3, now + 10s));
            CHECK_FALSE(ledger.may_run_trial(bad, 4, now + 10s));
            CHECK(ledger.may_run_trial(bad, 339, now + 45s));

            SECTION("until a trial has failed")
            {
                ledger.record_crash(bad, crash_of_engine(4), trial, now + 5s);
                CHECK_FALSE(ledger.may_run_trial(bad, 0, now + 60s));
            }
            SECTION("but not at once where a process has just learnt of it")
            {
                now += 60s;
                crash_ledger fresh;
                report_all(ledger, fresh, now);
                CHECK(fresh.may_run_trial(bad, 0, now));
                CHECK_FALSE(fresh.may_run_trial(bad, 1, now + 4'999ms));
                CHECK(fresh.may_run_trial(bad, 1, now + 5s));
            }
        }
        SECTION("a crash in a trial quarantines it for ten minutes")
        {
            now += 2s;
            CHECK(ledger.record_crash(bad, crash_of_engine(4), trial, now));
            CHECK(ledger.quarantine_left(bad, now + 1s) == 599s);
            now += 600s;
            CHECK(ledger.status(bad, now) == crash_status::on_trial);
            CHECK(ledger.record_crash(bad, crash_of_engine(5), trial, now));
            CHECK(ledger.status(bad, now + 599s) == crash_status::quarantined);
        }
        SECTION("a crash in a trial whose response had begun may have another "
                "reason: it is tried again after seconds, and a second one "
                "quarantines it for ten minutes")
        {
            now += 2s;
            CHECK(
                ledger.record_crash(bad, crash_of_engine(4), begun_trial, now));
            CHECK(ledger.quarantine_left(bad, now) == 4s);
            now += 4s;
            CHECK(ledger.status(bad, now) == crash_status::on_trial);
            CHECK(
                ledger.record_crash(bad, crash_of_engine(5), begun_trial, now));
            CHECK(ledger.quarantine_left(bad, now) == 600s);
            now += 600s;
            CHECK(
                ledger.record_crash(bad, crash_of_engine(6), begun_trial, now));
            CHECK(ledger.quarantine_left(bad, now) == 600s);
        }
        SECTION("a trial that fails before its response does so at once, also "
                "after one that had begun")
        {
            now += 2s;
            ledger.record_crash(bad, crash_of_engine(4), begun_trial, now);
            now += 4s;
            ledger.record_crash(bad, crash_of_engine(5), trial, now);
            CHECK(ledger.quarantine_left(bad, now) == 600s);
        }
        SECTION("a crash that ended the trials of two requests is proof "
                "against neither, also once one of them is cleared")
        {
            const auto other = content(2);
            for (int at = 1; at <= 3; ++at)
                ledger.record_crash(other, crash_of_engine(at), before_response,
                                    now);
            now += 2s;
            ledger.record_crash(bad, crash_of_engine(4), trial, now);
            ledger.record_crash(other, crash_of_engine(4), trial, now);
            CHECK(ledger.quarantine_left(bad, now) == 4s);
            CHECK(ledger.quarantine_left(other, now) == 4s);
            now += 4s;
            for (int at = 0; at < 3; ++at)
                ledger.record_response(other, now);
            CHECK(ledger.status(other, now) == crash_status::clear);
            CHECK(ledger.status(bad, now) == crash_status::on_trial);
            ledger.record_crash(bad, crash_of_engine(5), trial, now);
            CHECK(ledger.quarantine_left(bad, now) == 600s);
        }
        SECTION("a crash in a trial is proof beside a request that only ran")
        {
            now += 2s;
            ledger.record_crash(content(2), crash_of_engine(4), before_response,
                                now);
            ledger.record_crash(bad, crash_of_engine(4), trial, now);
            CHECK(ledger.quarantine_left(bad, now) == 600s);
        }
        SECTION("three responses clear it after a trial that had begun")
        {
            now += 2s;
            ledger.record_crash(bad, crash_of_engine(4), begun_trial, now);
            now += 4s;
            for (int at = 0; at < 3; ++at)
                ledger.record_response(bad, now);
            CHECK(ledger.status(bad, now) == crash_status::clear);
        }
        SECTION("all ledgers agree on a trial that had begun, and earlier "
                "versions take it for a failed one")
        {
            now += 2s;
            ledger.record_crash(bad, crash_of_engine(4), begun_trial, now);
            crash_ledger other;
            report_all(ledger, other, now);
            CHECK(other.quarantine_left(bad, now) == 4s);
            // These know the numbers up to 2, a failed trial.
            const auto sent = ledger.record(bad, now).crashes;
            CHECK(std::count_if(sent.begin(), sent.end(),
                                [](const auto& one)
                                { return one.evidence == 3; }) == 1);
        }
        SECTION("a failed trial that an earlier version reports counts as one")
        {
            message::crash_record received;
            received.content = bad;
            received.crashes.push_back({crash_of_engine(4).value(), 2});
            ledger.merge(received, now + 2s);
            CHECK(ledger.quarantine_left(bad, now + 2s) == 600s);
        }
        SECTION("a failed trial after many crashes quarantines it for as long")
        {
            now += 2s;
            for (int at = 4; at < 40; ++at)
            {
                ledger.record_crash(bad, crash_of_engine(at), trial, now);
                CHECK(ledger.status(bad, now + 599s) ==
                      crash_status::quarantined);
                now += 600s;
            }
        }
        SECTION("a crash during the quarantine extends it")
        {
            now += 1s;
            ledger.record_crash(bad, crash_of_engine(4), before_response, now);
            CHECK(ledger.quarantine_left(bad, now) == 2s);
        }
        SECTION("an operator can lift the quarantine at all entries")
        {
            crash_ledger other;
            report_all(ledger, other, now);
            CHECK(other.status(bad, now) == crash_status::quarantined);
            CHECK(ledger.lift_quarantine(bad, now));
            CHECK_FALSE(ledger.lift_quarantine(bad, now));
            report_all(ledger, other, now);
            CHECK(other.status(bad, now) == crash_status::clear);
            // The other one still reports the crashes; they stay cleared.
            report_all(other, ledger, now);
            CHECK(ledger.status(bad, now) == crash_status::clear);
        }
        SECTION("its record expires, and other ledgers do not restore it")
        {
            crash_ledger other;
            report_all(ledger, other, now);
            now += 1'199s;
            report_all(ledger, other, now);
            report_all(other, ledger, now);
            now += 1s;
            ledger.expire(now);
            report_all(other, ledger, now);
            CHECK(ledger.histories().empty());
        }
        SECTION("the quarantine goes on while the entry is suspended")
        {
            // The clock that gives the ages goes on during a suspension.
            ledger.record_crash(bad, crash_of_engine(4), trial, now);
            now += 300s;
            CHECK(ledger.quarantine_left(bad, now) == 300s);
        }
    }
    SECTION("a crash after a part of the response has half the weight")
    {
        // A bystander that is moved from one killed upstream to the next is
        // mostly in this state when they crash.
        for (int at = 1; at <= 3; ++at)
            ledger.record_crash(bad, crash_of_engine(at), mid_response, now);
        CHECK(ledger.status(bad, now) == crash_status::suspect);
        ledger.record_crash(bad, crash_of_engine(4), before_response, now);
        CHECK(ledger.status(bad, now) == crash_status::suspect);
        ledger.record_crash(bad, crash_of_engine(5), mid_response, now);
        CHECK(ledger.status(bad, now) == crash_status::quarantined);
    }
    SECTION("the strongest evidence for a crash counts, whoever reports it")
    {
        crash_ledger other;
        for (int at = 1; at <= 3; ++at)
        {
            ledger.record_crash(bad, crash_of_engine(at), mid_response, now);
            other.record_crash(bad, crash_of_engine(at), before_response, now);
        }
        report_all(other, ledger, now);
        CHECK(ledger.status(bad, now) == crash_status::quarantined);
        CHECK(ledger.histories().at(bad).active_crashes() == 3);
    }
    SECTION("unknown evidence weighs as much as a trial")
    {
        message::crash_record received;
        received.content = bad;
        received.crashes.push_back({7, 200});
        CHECK(ledger.merge(received, now));
    }
    SECTION("several copies on one upstream are one crash, whoever reports it")
    {
        crash_ledger other;
        ledger.record_crash(bad, crash_of_engine(1), before_response, now);
        other.record_crash(bad, crash_of_engine(1), before_response, now + 5ms);
        report_all(other, ledger, now + 10ms);
        ledger.record_crash(bad, crash_of_engine(1), before_response,
                            now + 12ms);
        CHECK(ledger.histories().at(bad).active_crashes() == 1);
    }
    SECTION("each incarnation of an upstream has its own crash")
    {
        const instance_id same("engine");
        ledger.record_crash(bad, crash_id_of(same, incarnation(1)),
                            before_response, now);
        ledger.record_crash(bad, crash_id_of(same, incarnation(2)),
                            before_response, now);
        CHECK(ledger.histories().at(bad).active_crashes() == 2);
    }
    SECTION("three entries that observe one crash each quarantine it together")
    {
        crash_ledger second;
        crash_ledger third;
        ledger.record_crash(bad, crash_of_engine(1), before_response, now);
        second.record_crash(bad, crash_of_engine(2), before_response, now);
        third.record_crash(bad, crash_of_engine(3), before_response, now);
        report_all(ledger, second, now);
        report_all(second, third, now);
        report_all(third, ledger, now);
        report_all(third, second, now);
        CHECK(ledger.status(bad, now) == crash_status::quarantined);
        CHECK(second.status(bad, now) == crash_status::quarantined);
        CHECK(third.status(bad, now) == crash_status::quarantined);
    }
    SECTION("an entry that has just started receives it from any other one")
    {
        for (int at = 1; at <= 3; ++at)
            ledger.record_crash(bad, crash_of_engine(at), before_response, now);
        CHECK(ledger.collect_updates(12, now).size() == 1);
        now += 60s;
        crash_ledger fresh;
        report_all(ledger, fresh, now);
        CHECK(fresh.status(bad, now) == crash_status::on_trial);
        ledger.record_crash(bad, crash_of_engine(4), trial, now);
        now += 60s;
        report_all(ledger, fresh, now);
        CHECK(fresh.status(bad, now) == crash_status::quarantined);
        CHECK(fresh.quarantine_left(bad, now) == 540s);
    }
}

TEST_CASE("responses outweigh crashes", "[run]")
{
    crash_ledger ledger;
    time_point now{100s};
    const auto repeated = content(1);
    const auto respond = [&](int count)
    {
        for (int at = 0; at < count; ++at)
            ledger.record_response(repeated, now);
    };

    SECTION("four responses outweigh one crash")
    {
        ledger.record_crash(repeated, crash_of_engine(1), before_response, now);
        respond(3);
        CHECK(ledger.status(repeated, now) == crash_status::suspect);
        respond(1);
        CHECK(ledger.status(repeated, now) == crash_status::clear);
    }
    SECTION("earlier responses count too, but only once")
    {
        respond(9);
        ledger.record_crash(repeated, crash_of_engine(1), before_response, now);
        ledger.record_crash(repeated, crash_of_engine(2), before_response, now);
        CHECK(ledger.status(repeated, now) == crash_status::clear);
        ledger.record_crash(repeated, crash_of_engine(3), before_response, now);
        CHECK(ledger.status(repeated, now) == crash_status::suspect);
    }
    SECTION("a popular request is not quarantined when many upstreams crash")
    {
        respond(100);
        for (int at = 0; at < 10; ++at)
            ledger.record_crash(repeated, crash_of_engine(at), before_response,
                                now);
        CHECK(ledger.status(repeated, now) == crash_status::clear);
    }
    SECTION("each response allows one more copy of a suspect")
    {
        ledger.record_crash(repeated, crash_of_engine(1), before_response, now);
        respond(2);
        CHECK(ledger.max_running(repeated, false, now) == 3);
        ledger.record_crash(repeated, crash_of_engine(2), before_response, now);
        CHECK(ledger.max_running(repeated, false, now) == 1);
    }
    SECTION("three responses pass a trial, at all entries")
    {
        for (int at = 1; at <= 3; ++at)
            ledger.record_crash(repeated, crash_of_engine(at), before_response,
                                now);
        crash_ledger other;
        report_all(ledger, other, now);
        now += 2s;
        respond(2);
        CHECK(ledger.status(repeated, now) == crash_status::on_trial);
        CHECK(ledger.max_running(repeated, true, now) == 3);
        respond(1);
        CHECK(ledger.status(repeated, now) == crash_status::clear);
        report_all(ledger, other, now);
        CHECK(other.status(repeated, now) == crash_status::clear);
    }
    SECTION(
        "a crash after the first response of a trial weighs as an ordinary one")
    {
        for (int at = 1; at <= 3; ++at)
            ledger.record_crash(repeated, crash_of_engine(at), before_response,
                                now);
        now += 2s;
        respond(1);
        ledger.record_crash(repeated, crash_of_engine(4), trial, now);
        CHECK(ledger.quarantine_left(repeated, now) == 2s);
    }
    SECTION("so does one after a part of the second response")
    {
        for (int at = 1; at <= 3; ++at)
            ledger.record_crash(repeated, crash_of_engine(at), before_response,
                                now);
        now += 2s;
        respond(1);
        ledger.record_crash(repeated, crash_of_engine(4), begun_trial, now);
        CHECK(ledger.quarantine_left(repeated, now) == 2s);
    }
    SECTION(
        "one that crashes every third upstream is quarantined, and a failed "
        "trial quarantines it for ten minutes")
    {
        for (int at = 1; at <= 6; ++at)
        {
            respond(2);
            ledger.record_crash(repeated, crash_of_engine(at), before_response,
                                now);
        }
        CHECK(ledger.status(repeated, now) == crash_status::quarantined);
        respond(1);
        CHECK(ledger.status(repeated, now + 1s) == crash_status::quarantined);
        CHECK(ledger.status(repeated, now + 2s) == crash_status::on_trial);
        now += 11s;
        ledger.record_crash(repeated, crash_of_engine(7), before_response, now);
        now += 2s;
        ledger.record_crash(repeated, crash_of_engine(8), trial, now);
        CHECK(ledger.status(repeated, now + 599s) == crash_status::quarantined);
    }
    SECTION("one that crashes one in ten upstreams stays clear")
    {
        for (int at = 1; at <= 20; ++at)
        {
            respond(9);
            ledger.record_crash(repeated, crash_of_engine(at), before_response,
                                now);
        }
        CHECK(ledger.status(repeated, now) == crash_status::clear);
    }
    SECTION("old responses do not count, since new weights may change it")
    {
        respond(100);
        now += 10s;
        for (int at = 1; at <= 3; ++at)
            ledger.record_crash(repeated, crash_of_engine(at), before_response,
                                now);
        CHECK(ledger.status(repeated, now) == crash_status::quarantined);
    }
    SECTION("an entry with responses clears the crashes that others report")
    {
        crash_ledger other;
        for (int at = 1; at <= 3; ++at)
            other.record_crash(repeated, crash_of_engine(at), before_response,
                               now);
        respond(12);
        report_all(other, ledger, now);
        CHECK(ledger.status(repeated, now) == crash_status::clear);
        report_all(ledger, other, now);
        CHECK(other.status(repeated, now) == crash_status::clear);
    }
    SECTION("responses of a clear request need no record")
    {
        respond(100);
        CHECK(ledger.histories().empty());
    }
}

TEST_CASE("no request is blocked if half of all upstreams crash at once",
          "[run]")
{
    // 300 upstreams with 16 requests each; every request is resent to a second
    // upstream, and half of these crash as well.
    crash_limits limits;
    limits.max_records = 100'000;
    crash_ledger ledger(limits);
    const time_point now{100s};
    int number = 0;
    for (int upstream = 0; upstream < 300; ++upstream)
    {
        for (int place = 0; place < 16; ++place, ++number)
        {
            ledger.record_crash(content(number), crash_of_engine(upstream),
                                before_response, now);
            if (number % 2 == 0)
                ledger.record_crash(content(number),
                                    crash_of_engine((upstream + 1) % 300),
                                    before_response, now + 200ms);
        }
    }
    CHECK(ledger.blocked_count() == 0);
}

TEST_CASE("a ledger is bounded", "[run]")
{
    crash_limits limits;
    limits.max_records = 64;
    crash_ledger ledger(limits);
    time_point now{100s};
    const auto bad = content(-1);
    for (int at = 1; at <= 3; ++at)
        ledger.record_crash(bad, crash_of_engine(at), before_response, now);

    SECTION("a flood of suspect requests replaces no quarantined one")
    {
        for (int at = 0; at < 10'000; ++at)
            ledger.record_crash(content(at), crash_of_engine(at),
                                before_response, now + milliseconds(at));
        CHECK(ledger.histories().size() == 64);
        CHECK(ledger.status(bad, now + 1s) == crash_status::quarantined);
        CHECK(ledger.status(bad, now + 10s) == crash_status::on_trial);
    }
    SECTION("one call reports few records, and all get their turn")
    {
        for (int at = 0; at < 50; ++at)
        {
            for (int engine = 0; engine < 3; ++engine)
                ledger.record_crash(content(at), crash_of_engine(engine),
                                    before_response, now);
        }
        crash_ledger fresh;
        for (int heartbeat = 0; heartbeat < 10; ++heartbeat)
        {
            const auto received = ledger.collect_updates(12, now);
            CHECK(received.size() <= 12);
            for (const auto& one : received)
                fresh.merge(one, now);
        }
        CHECK(fresh.blocked_count() == 51);
    }
}

TEST_CASE("ledgers agree whatever the order of their merges", "[run]")
{
    rc::prop(
        "they are equal after all have reported to all",
        []
        {
            const time_point now{100s};
            std::vector<crash_ledger> ledgers(3);
            const auto steps =
                *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 90));
            for (const int step : steps)
            {
                auto& one = ledgers[static_cast<std::size_t>(step % 3)];
                const auto requested = content(step / 3 % 2);
                if (step % 10 == 9)
                    one.lift_quarantine(requested, now);
                else if (step % 10 == 8)
                    report_all(
                        one, ledgers[static_cast<std::size_t>(step / 30)], now);
                else
                    one.record_crash(requested, crash_of_engine(step / 6 % 5),
                                     before_response, now);
            }
            for (int round = 0; round < 3; ++round)
            {
                for (auto& from : ledgers)
                {
                    for (auto& to : ledgers)
                        report_all(from, to, now);
                }
            }
            for (int at = 0; at < 2; ++at)
            {
                const auto first = ledgers[0].status(content(at), now);
                RC_ASSERT(ledgers[1].status(content(at), now) == first);
                RC_ASSERT(ledgers[2].status(content(at), now) == first);
            }
        });
}

TEST_CASE("crashes decide how a part of a prompt is treated", "[run]")
{
    crash_ledger ledger(crash_limits::for_prompt_parts());
    const auto bad = request_content::of_part("s", "bad");
    const auto first = request_content::of_part("s", "first");
    time_point now{100s};
    const auto crash = [&](const request_content& part, int engine)
    {
        return ledger.record_crash(part, crash_of_engine(engine), mid_response,
                                   now);
    };

    SECTION("a part differs from a request, and between services")
    {
        CHECK(bad != request_content::of("s", "bad", ""));
        CHECK(bad != request_content::of_part("t", "bad"));
    }
    SECTION("the fifth crash quarantines it")
    {
        for (int engine = 1; engine < 5; ++engine)
            CHECK_FALSE(crash(bad, engine));
        CHECK_FALSE(ledger.is_blocked(bad));
        CHECK(crash(bad, 5));
        CHECK(ledger.is_blocked(bad));

        SECTION("until a trial")
        {
            CHECK_FALSE(ledger.may_run_trial(bad, 0, now + 9s));
            CHECK(ledger.may_run_trial(bad, 0, now + 10s));
        }
        SECTION("for longer after each failed trial")
        {
            now += 10s;
            ledger.record_crash(bad, crash_of_engine(6), begun_trial, now);
            CHECK(ledger.quarantine_left(bad, now) == 120s);
            now += 120s;
            ledger.record_crash(bad, crash_of_engine(7), begun_trial, now);
            CHECK(ledger.quarantine_left(bad, now) == 600s);
        }
        SECTION("and no longer after a response")
        {
            CHECK(ledger.record_response(bad, now));
            CHECK_FALSE(ledger.is_blocked(bad));
        }
    }
    SECTION("a part with a recent response is not suspect")
    {
        ledger.record_response(first, now);
        for (int engine = 1; engine < 10; ++engine)
            CHECK_FALSE(crash(first, engine));
        CHECK(ledger.status(first, now) == crash_status::clear);
    }
    SECTION("a response disproves the crashes before it at all entries")
    {
        crash_ledger other(crash_limits::for_prompt_parts());
        for (int engine = 1; engine < 5; ++engine)
            crash(first, engine);
        report_all(ledger, other, now);
        CHECK(other.status(first, now) == crash_status::suspect);
        ledger.record_response(first, now);
        report_all(ledger, other, now);
        CHECK(other.status(first, now) == crash_status::clear);
    }
    SECTION("an entry that has served a part does not believe crashes reported "
            "by others")
    {
        crash_ledger other(crash_limits::for_prompt_parts());
        other.record_response(first, now);
        for (int engine = 1; engine < 6; ++engine)
            crash(first, engine);
        REQUIRE(ledger.is_blocked(first));
        report_all(ledger, other, now);
        CHECK_FALSE(other.is_blocked(first));
        report_all(other, ledger, now);
        CHECK_FALSE(ledger.is_blocked(first));
    }
    SECTION("the crashes of a quarantined part do not count against others")
    {
        const auto beside = request_content::of_part("s", "beside");
        for (int engine = 1; engine < 5; ++engine)
            crash(beside, engine);
        for (int engine = 1; engine < 6; ++engine)
            crash(bad, engine);
        REQUIRE(ledger.is_blocked(bad));
        CHECK(ledger.status(beside, now) == crash_status::clear);
        CHECK_FALSE(crash(beside, 6));
        CHECK(ledger.status(beside, now) == crash_status::suspect);
    }
    SECTION("a record says that it is of a part")
    {
        crash(bad, 1);
        CHECK(ledger.record(bad, now).subject ==
              message::crash_subject::prompt_part);
    }
}
