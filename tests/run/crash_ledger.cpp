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

constexpr auto weak = crash_evidence::mid_response;
constexpr auto beginning = crash_evidence::before_response;
constexpr auto trial = crash_evidence::trial;

request_content content(int number)
{
    return request_content::of("school", "/essays", std::to_string(number));
}

crash_id end_of(int number)
{
    return crash_id_of(instance_id("engine-" + std::to_string(number)),
                       incarnation(7));
}

/*! @brief Tells one ledger everything that another one has to tell. */
void tell(crash_ledger& from, crash_ledger& to, time_point now)
{
    for (const auto& one : from.collect_updates(100, now))
        to.merge(one, now);
}

} // namespace

TEST_CASE("a ledger of upstreams that ended under requests", "[run]")
{
    crash_ledger ledger;
    time_point now{100s};
    const auto bad = content(1);

    SECTION("nothing is known of a request")
    {
        CHECK(ledger.status(bad, now) == crash_status::clear);
    }
    SECTION("one end doubts it, three quarantine it")
    {
        CHECK_FALSE(ledger.record_crash(bad, end_of(1), beginning, now));
        CHECK(ledger.status(bad, now) == crash_status::suspect);
        CHECK(ledger.max_running(bad, false, now) == 1);
        CHECK_FALSE(ledger.record_crash(bad, end_of(2), beginning, now));
        CHECK(ledger.record_crash(bad, end_of(3), beginning, now));
        CHECK(ledger.status(bad, now) == crash_status::quarantined);
        CHECK(ledger.max_running(bad, true, now) == 0);
        CHECK(ledger.quarantine_left(bad, now + 1s) == 1s);

        SECTION("and no other one")
        {
            CHECK(ledger.status(content(2), now) == crash_status::clear);
        }
        SECTION("until a trial, of one copy at one entry")
        {
            now += 2s;
            CHECK(ledger.status(bad, now) == crash_status::on_trial);
            CHECK(ledger.quarantine_left(bad, now) == 0s);
            CHECK(ledger.max_running(bad, true, now) == 1);
            CHECK(ledger.max_running(bad, false, now) == 0);
        }
        SECTION("a trial that ends an upstream keeps it away for ten minutes")
        {
            now += 2s;
            CHECK(ledger.record_crash(bad, end_of(4), trial, now));
            CHECK(ledger.quarantine_left(bad, now + 1s) == 599s);
            now += 600s;
            CHECK(ledger.status(bad, now) == crash_status::on_trial);
            CHECK(ledger.record_crash(bad, end_of(5), trial, now));
            CHECK(ledger.status(bad, now + 599s) == crash_status::quarantined);
        }
        SECTION("also when it has ended many")
        {
            now += 2s;
            for (int at = 4; at < 40; ++at)
            {
                ledger.record_crash(bad, end_of(at), trial, now);
                CHECK(ledger.status(bad, now + 599s) ==
                      crash_status::quarantined);
                now += 600s;
            }
        }
        SECTION("ends that are told while it rests let it rest longer")
        {
            now += 1s;
            ledger.record_crash(bad, end_of(4), beginning, now);
            CHECK(ledger.quarantine_left(bad, now) == 2s);
        }
        SECTION("until an operator lifts it, at all entries")
        {
            crash_ledger other;
            tell(ledger, other, now);
            CHECK(other.status(bad, now) == crash_status::quarantined);
            CHECK(ledger.lift_quarantine(bad, now));
            CHECK_FALSE(ledger.lift_quarantine(bad, now));
            tell(ledger, other, now);
            CHECK(other.status(bad, now) == crash_status::clear);
            // The other one still tells the ends; they stay lifted.
            tell(other, ledger, now);
            CHECK(ledger.status(bad, now) == crash_status::clear);
        }
        SECTION("until its record is forgotten, which others do not bring back")
        {
            crash_ledger other;
            tell(ledger, other, now);
            now += 1'199s;
            tell(ledger, other, now);
            tell(other, ledger, now);
            now += 1s;
            ledger.expire(now);
            tell(other, ledger, now);
            CHECK(ledger.histories().empty());
        }
        SECTION("a suspension of the entry makes it neither older nor younger "
                "than it is")
        {
            // Time goes on while suspended; the clock of ages does too.
            ledger.record_crash(bad, end_of(4), trial, now);
            now += 300s;
            CHECK(ledger.quarantine_left(bad, now) == 300s);
        }
    }
    SECTION("ends that came after a part of the answer weigh half")
    {
        // What is moved from one killed upstream to the next loses them so.
        for (int at = 1; at <= 3; ++at)
            ledger.record_crash(bad, end_of(at), weak, now);
        CHECK(ledger.status(bad, now) == crash_status::suspect);
        ledger.record_crash(bad, end_of(4), beginning, now);
        CHECK(ledger.status(bad, now) == crash_status::suspect);
        ledger.record_crash(bad, end_of(5), weak, now);
        CHECK(ledger.status(bad, now) == crash_status::quarantined);
    }
    SECTION("the copy of an upstream that says most counts, whoever tells it")
    {
        crash_ledger other;
        for (int at = 1; at <= 3; ++at)
        {
            ledger.record_crash(bad, end_of(at), weak, now);
            other.record_crash(bad, end_of(at), beginning, now);
        }
        tell(other, ledger, now);
        CHECK(ledger.status(bad, now) == crash_status::quarantined);
        CHECK(ledger.histories().at(bad).active_crashes() == 3);
    }
    SECTION("evidence that a later version may tell says as much as a trial")
    {
        message::crash_record told;
        told.content = bad;
        told.crashes.push_back({7, 200});
        CHECK(ledger.merge(told, now));
    }
    SECTION("copies on one upstream are one end, whoever tells it")
    {
        crash_ledger other;
        ledger.record_crash(bad, end_of(1), beginning, now);
        other.record_crash(bad, end_of(1), beginning, now + 5ms);
        tell(other, ledger, now + 10ms);
        ledger.record_crash(bad, end_of(1), beginning, now + 12ms);
        CHECK(ledger.histories().at(bad).active_crashes() == 1);
    }
    SECTION("a later life of an upstream is another one")
    {
        const instance_id same("engine");
        ledger.record_crash(bad, crash_id_of(same, incarnation(1)), beginning,
                            now);
        ledger.record_crash(bad, crash_id_of(same, incarnation(2)), beginning,
                            now);
        CHECK(ledger.histories().at(bad).active_crashes() == 2);
    }
    SECTION("three entries that each see one end quarantine it together")
    {
        crash_ledger second;
        crash_ledger third;
        ledger.record_crash(bad, end_of(1), beginning, now);
        second.record_crash(bad, end_of(2), beginning, now);
        third.record_crash(bad, end_of(3), beginning, now);
        tell(ledger, second, now);
        tell(second, third, now);
        tell(third, ledger, now);
        tell(third, second, now);
        CHECK(ledger.status(bad, now) == crash_status::quarantined);
        CHECK(second.status(bad, now) == crash_status::quarantined);
        CHECK(third.status(bad, now) == crash_status::quarantined);
    }
    SECTION("an entry that has just started learns it from any other")
    {
        for (int at = 1; at <= 3; ++at)
            ledger.record_crash(bad, end_of(at), beginning, now);
        CHECK(ledger.collect_updates(12, now).size() == 1);
        now += 60s;
        crash_ledger fresh;
        tell(ledger, fresh, now);
        CHECK(fresh.status(bad, now) == crash_status::on_trial);
        ledger.record_crash(bad, end_of(4), trial, now);
        now += 60s;
        tell(ledger, fresh, now);
        CHECK(fresh.status(bad, now) == crash_status::quarantined);
        CHECK(fresh.quarantine_left(bad, now) == 540s);
    }
}

TEST_CASE("answers speak for a request", "[run]")
{
    crash_ledger ledger;
    time_point now{100s};
    const auto asked = content(1);
    const auto answer = [&](int count)
    {
        for (int at = 0; at < count; ++at)
            ledger.record_response(asked, now);
    };

    SECTION("four for an end: it was a bystander")
    {
        ledger.record_crash(asked, end_of(1), beginning, now);
        answer(3);
        CHECK(ledger.status(asked, now) == crash_status::suspect);
        answer(1);
        CHECK(ledger.status(asked, now) == crash_status::clear);
    }
    SECTION("those from before speak too, each once")
    {
        answer(9);
        ledger.record_crash(asked, end_of(1), beginning, now);
        ledger.record_crash(asked, end_of(2), beginning, now);
        CHECK(ledger.status(asked, now) == crash_status::clear);
        ledger.record_crash(asked, end_of(3), beginning, now);
        CHECK(ledger.status(asked, now) == crash_status::suspect);
    }
    SECTION("what is asked often is quarantined by no kill of half of all")
    {
        answer(100);
        for (int at = 0; at < 10; ++at)
            ledger.record_crash(asked, end_of(at), beginning, now);
        CHECK(ledger.status(asked, now) == crash_status::clear);
    }
    SECTION("each admits one copy more of what is doubted")
    {
        ledger.record_crash(asked, end_of(1), beginning, now);
        answer(2);
        CHECK(ledger.max_running(asked, false, now) == 3);
        ledger.record_crash(asked, end_of(2), beginning, now);
        CHECK(ledger.max_running(asked, false, now) == 1);
    }
    SECTION("three pass a trial, at all entries")
    {
        for (int at = 1; at <= 3; ++at)
            ledger.record_crash(asked, end_of(at), beginning, now);
        crash_ledger other;
        tell(ledger, other, now);
        now += 2s;
        answer(2);
        CHECK(ledger.status(asked, now) == crash_status::on_trial);
        CHECK(ledger.max_running(asked, true, now) == 3);
        answer(1);
        CHECK(ledger.status(asked, now) == crash_status::clear);
        tell(ledger, other, now);
        CHECK(other.status(asked, now) == crash_status::clear);
    }
    SECTION("an end beside answers of a trial is no proof: others run again")
    {
        for (int at = 1; at <= 3; ++at)
            ledger.record_crash(asked, end_of(at), beginning, now);
        now += 2s;
        answer(1);
        ledger.record_crash(asked, end_of(4), trial, now);
        CHECK(ledger.quarantine_left(asked, now) == 2s);
    }
    SECTION("one that ends every third upstream is quarantined; of trials it "
            "passes one in three and costs an upstream in ten minutes at last")
    {
        for (int at = 1; at <= 6; ++at)
        {
            answer(2);
            ledger.record_crash(asked, end_of(at), beginning, now);
        }
        CHECK(ledger.status(asked, now) == crash_status::quarantined);
        answer(1);
        CHECK(ledger.status(asked, now + 1s) == crash_status::quarantined);
        CHECK(ledger.status(asked, now + 2s) == crash_status::on_trial);
        now += 11s;
        ledger.record_crash(asked, end_of(7), beginning, now);
        now += 2s;
        ledger.record_crash(asked, end_of(8), trial, now);
        CHECK(ledger.status(asked, now + 599s) == crash_status::quarantined);
    }
    SECTION("one that ends one in ten stays, at the price of those")
    {
        for (int at = 1; at <= 20; ++at)
        {
            answer(9);
            ledger.record_crash(asked, end_of(at), beginning, now);
        }
        CHECK(ledger.status(asked, now) == crash_status::clear);
    }
    SECTION("old ones do not: with new weights it may end all of them")
    {
        answer(100);
        now += 10s;
        for (int at = 1; at <= 3; ++at)
            ledger.record_crash(asked, end_of(at), beginning, now);
        CHECK(ledger.status(asked, now) == crash_status::quarantined);
    }
    SECTION("an entry that has them clears what another one tells")
    {
        crash_ledger other;
        for (int at = 1; at <= 3; ++at)
            other.record_crash(asked, end_of(at), beginning, now);
        answer(12);
        tell(other, ledger, now);
        CHECK(ledger.status(asked, now) == crash_status::clear);
        tell(ledger, other, now);
        CHECK(other.status(asked, now) == crash_status::clear);
    }
    SECTION("those of a request that is not doubted take no record")
    {
        answer(100);
        CHECK(ledger.histories().empty());
    }
}

TEST_CASE("half of all upstreams are killed at once", "[run]")
{
    // 300 upstreams with 16 requests each; every request is sent to a second
    // upstream, of which half are killed as well.
    crash_limits limits;
    limits.max_records = 100'000;
    crash_ledger ledger(limits);
    const time_point now{100s};
    int number = 0;
    for (int upstream = 0; upstream < 300; ++upstream)
    {
        for (int place = 0; place < 16; ++place, ++number)
        {
            ledger.record_crash(content(number), end_of(upstream), beginning,
                                now);
            if (number % 2 == 0)
                ledger.record_crash(content(number),
                                    end_of((upstream + 1) % 300), beginning,
                                    now + 200ms);
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
        ledger.record_crash(bad, end_of(at), beginning, now);

    SECTION("a flood of doubted requests pushes out no quarantined one")
    {
        for (int at = 0; at < 10'000; ++at)
            ledger.record_crash(content(at), end_of(at), beginning,
                                now + milliseconds(at));
        CHECK(ledger.histories().size() == 64);
        CHECK(ledger.status(bad, now + 1s) == crash_status::quarantined);
        CHECK(ledger.status(bad, now + 10s) == crash_status::on_trial);
    }
    SECTION("one call tells few records, and all come in turn")
    {
        for (int at = 0; at < 50; ++at)
        {
            for (int end = 0; end < 3; ++end)
                ledger.record_crash(content(at), end_of(end), beginning, now);
        }
        crash_ledger fresh;
        for (int beat = 0; beat < 10; ++beat)
        {
            const auto told = ledger.collect_updates(12, now);
            CHECK(told.size() <= 12);
            for (const auto& one : told)
                fresh.merge(one, now);
        }
        CHECK(fresh.blocked_count() == 51);
    }
}

TEST_CASE("ledgers agree in whatever order they hear of each other", "[run]")
{
    rc::prop("after all have told all, they hold the same",
             []
             {
                 const time_point now{100s};
                 std::vector<crash_ledger> ledgers(3);
                 const auto steps = *rc::gen::container<std::vector<int>>(
                     rc::gen::inRange(0, 90));
                 for (const int step : steps)
                 {
                     auto& one = ledgers[static_cast<std::size_t>(step % 3)];
                     const auto what = content(step / 3 % 2);
                     if (step % 10 == 9)
                         one.lift_quarantine(what, now);
                     else if (step % 10 == 8)
                         tell(one, ledgers[static_cast<std::size_t>(step / 30)],
                              now);
                     else
                         one.record_crash(what, end_of(step / 6 % 5), beginning,
                                          now);
                 }
                 for (int round = 0; round < 3; ++round)
                 {
                     for (auto& from : ledgers)
                     {
                         for (auto& to : ledgers)
                             tell(from, to, now);
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
