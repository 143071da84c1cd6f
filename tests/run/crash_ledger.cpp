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

constexpr auto weak = end_evidence::weak;
constexpr auto beginning = end_evidence::beginning;
constexpr auto trial = end_evidence::trial;

request_content content(int number)
{
    return request_content::of("school", "/essays", std::to_string(number));
}

crash_id end_of(int number)
{
    return crash_of(instance_id("engine-" + std::to_string(number)),
                    incarnation(7));
}

/*! @brief Tells one ledger everything that another one has to tell. */
void tell(crash_ledger& from, crash_ledger& to, time_point now)
{
    for (const auto& one : from.news(100, now))
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
        CHECK(ledger.standing(bad, now) == crash_standing::clear);
    }
    SECTION("one end doubts it, three quarantine it")
    {
        CHECK_FALSE(ledger.accuse(bad, end_of(1), beginning, now));
        CHECK(ledger.standing(bad, now) == crash_standing::doubted);
        CHECK(ledger.most_running(bad, false, now) == 1);
        CHECK_FALSE(ledger.accuse(bad, end_of(2), beginning, now));
        CHECK(ledger.accuse(bad, end_of(3), beginning, now));
        CHECK(ledger.standing(bad, now) == crash_standing::quarantined);
        CHECK(ledger.most_running(bad, true, now) == 0);
        CHECK(ledger.left(bad, now + 1s) == 1s);

        SECTION("and no other one")
        {
            CHECK(ledger.standing(content(2), now) == crash_standing::clear);
        }
        SECTION("until a trial, of one copy at one entry")
        {
            now += 2s;
            CHECK(ledger.standing(bad, now) == crash_standing::on_trial);
            CHECK(ledger.left(bad, now) == 0s);
            CHECK(ledger.most_running(bad, true, now) == 1);
            CHECK(ledger.most_running(bad, false, now) == 0);
        }
        SECTION("a trial that ends an upstream keeps it away for ten minutes")
        {
            now += 2s;
            CHECK(ledger.accuse(bad, end_of(4), trial, now));
            CHECK(ledger.left(bad, now + 1s) == 599s);
            now += 600s;
            CHECK(ledger.standing(bad, now) == crash_standing::on_trial);
            CHECK(ledger.accuse(bad, end_of(5), trial, now));
            CHECK(ledger.standing(bad, now + 599s) ==
                  crash_standing::quarantined);
        }
        SECTION("also when it has ended many")
        {
            now += 2s;
            for (int at = 4; at < 40; ++at)
            {
                ledger.accuse(bad, end_of(at), trial, now);
                CHECK(ledger.standing(bad, now + 599s) ==
                      crash_standing::quarantined);
                now += 600s;
            }
        }
        SECTION("ends that are told while it rests let it rest longer")
        {
            now += 1s;
            ledger.accuse(bad, end_of(4), beginning, now);
            CHECK(ledger.left(bad, now) == 2s);
        }
        SECTION("until an operator lifts it, at all entries")
        {
            crash_ledger other;
            tell(ledger, other, now);
            CHECK(other.standing(bad, now) == crash_standing::quarantined);
            CHECK(ledger.lift(bad, now));
            CHECK_FALSE(ledger.lift(bad, now));
            tell(ledger, other, now);
            CHECK(other.standing(bad, now) == crash_standing::clear);
            // The other one still tells the ends; they stay lifted.
            tell(other, ledger, now);
            CHECK(ledger.standing(bad, now) == crash_standing::clear);
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
            CHECK(ledger.all().empty());
        }
        SECTION("a suspension of the entry makes it neither older nor younger "
                "than it is")
        {
            // Time goes on while suspended; the clock of ages does too.
            ledger.accuse(bad, end_of(4), trial, now);
            now += 300s;
            CHECK(ledger.left(bad, now) == 300s);
        }
    }
    SECTION("ends that came after a part of the answer weigh half")
    {
        // What is moved from one killed upstream to the next loses them so.
        for (int at = 1; at <= 3; ++at)
            ledger.accuse(bad, end_of(at), weak, now);
        CHECK(ledger.standing(bad, now) == crash_standing::doubted);
        ledger.accuse(bad, end_of(4), beginning, now);
        CHECK(ledger.standing(bad, now) == crash_standing::doubted);
        ledger.accuse(bad, end_of(5), weak, now);
        CHECK(ledger.standing(bad, now) == crash_standing::quarantined);
    }
    SECTION("the copy of an upstream that says most counts, whoever tells it")
    {
        crash_ledger other;
        for (int at = 1; at <= 3; ++at)
        {
            ledger.accuse(bad, end_of(at), weak, now);
            other.accuse(bad, end_of(at), beginning, now);
        }
        tell(other, ledger, now);
        CHECK(ledger.standing(bad, now) == crash_standing::quarantined);
        CHECK(ledger.all().at(bad).count() == 3);
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
        ledger.accuse(bad, end_of(1), beginning, now);
        other.accuse(bad, end_of(1), beginning, now + 5ms);
        tell(other, ledger, now + 10ms);
        ledger.accuse(bad, end_of(1), beginning, now + 12ms);
        CHECK(ledger.all().at(bad).count() == 1);
    }
    SECTION("a later life of an upstream is another one")
    {
        const instance_id same("engine");
        ledger.accuse(bad, crash_of(same, incarnation(1)), beginning, now);
        ledger.accuse(bad, crash_of(same, incarnation(2)), beginning, now);
        CHECK(ledger.all().at(bad).count() == 2);
    }
    SECTION("three entries that each see one end quarantine it together")
    {
        crash_ledger second;
        crash_ledger third;
        ledger.accuse(bad, end_of(1), beginning, now);
        second.accuse(bad, end_of(2), beginning, now);
        third.accuse(bad, end_of(3), beginning, now);
        tell(ledger, second, now);
        tell(second, third, now);
        tell(third, ledger, now);
        tell(third, second, now);
        CHECK(ledger.standing(bad, now) == crash_standing::quarantined);
        CHECK(second.standing(bad, now) == crash_standing::quarantined);
        CHECK(third.standing(bad, now) == crash_standing::quarantined);
    }
    SECTION("an entry that has just started learns it from any other")
    {
        for (int at = 1; at <= 3; ++at)
            ledger.accuse(bad, end_of(at), beginning, now);
        CHECK(ledger.news(12, now).size() == 1);
        now += 60s;
        crash_ledger fresh;
        tell(ledger, fresh, now);
        CHECK(fresh.standing(bad, now) == crash_standing::on_trial);
        ledger.accuse(bad, end_of(4), trial, now);
        now += 60s;
        tell(ledger, fresh, now);
        CHECK(fresh.standing(bad, now) == crash_standing::quarantined);
        CHECK(fresh.left(bad, now) == 540s);
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
            ledger.answered(asked, now);
    };

    SECTION("four for an end: it was a bystander")
    {
        ledger.accuse(asked, end_of(1), beginning, now);
        answer(3);
        CHECK(ledger.standing(asked, now) == crash_standing::doubted);
        answer(1);
        CHECK(ledger.standing(asked, now) == crash_standing::clear);
    }
    SECTION("those from before speak too, each once")
    {
        answer(9);
        ledger.accuse(asked, end_of(1), beginning, now);
        ledger.accuse(asked, end_of(2), beginning, now);
        CHECK(ledger.standing(asked, now) == crash_standing::clear);
        ledger.accuse(asked, end_of(3), beginning, now);
        CHECK(ledger.standing(asked, now) == crash_standing::doubted);
    }
    SECTION("what is asked often is quarantined by no kill of half of all")
    {
        answer(100);
        for (int at = 0; at < 10; ++at)
            ledger.accuse(asked, end_of(at), beginning, now);
        CHECK(ledger.standing(asked, now) == crash_standing::clear);
    }
    SECTION("each admits one copy more of what is doubted")
    {
        ledger.accuse(asked, end_of(1), beginning, now);
        answer(2);
        CHECK(ledger.most_running(asked, false, now) == 3);
        ledger.accuse(asked, end_of(2), beginning, now);
        CHECK(ledger.most_running(asked, false, now) == 1);
    }
    SECTION("three pass a trial, at all entries")
    {
        for (int at = 1; at <= 3; ++at)
            ledger.accuse(asked, end_of(at), beginning, now);
        crash_ledger other;
        tell(ledger, other, now);
        now += 2s;
        answer(2);
        CHECK(ledger.standing(asked, now) == crash_standing::on_trial);
        CHECK(ledger.most_running(asked, true, now) == 3);
        answer(1);
        CHECK(ledger.standing(asked, now) == crash_standing::clear);
        tell(ledger, other, now);
        CHECK(other.standing(asked, now) == crash_standing::clear);
    }
    SECTION("an end beside answers of a trial is no proof: others run again")
    {
        for (int at = 1; at <= 3; ++at)
            ledger.accuse(asked, end_of(at), beginning, now);
        now += 2s;
        answer(1);
        ledger.accuse(asked, end_of(4), trial, now);
        CHECK(ledger.left(asked, now) == 2s);
    }
    SECTION("one that ends every third upstream is quarantined; of trials it "
            "passes one in three and costs an upstream in ten minutes at last")
    {
        for (int at = 1; at <= 6; ++at)
        {
            answer(2);
            ledger.accuse(asked, end_of(at), beginning, now);
        }
        CHECK(ledger.standing(asked, now) == crash_standing::quarantined);
        answer(1);
        CHECK(ledger.standing(asked, now + 1s) == crash_standing::quarantined);
        CHECK(ledger.standing(asked, now + 2s) == crash_standing::on_trial);
        now += 11s;
        ledger.accuse(asked, end_of(7), beginning, now);
        now += 2s;
        ledger.accuse(asked, end_of(8), trial, now);
        CHECK(ledger.standing(asked, now + 599s) ==
              crash_standing::quarantined);
    }
    SECTION("one that ends one in ten stays, at the price of those")
    {
        for (int at = 1; at <= 20; ++at)
        {
            answer(9);
            ledger.accuse(asked, end_of(at), beginning, now);
        }
        CHECK(ledger.standing(asked, now) == crash_standing::clear);
    }
    SECTION("old ones do not: with new weights it may end all of them")
    {
        answer(100);
        now += 10s;
        for (int at = 1; at <= 3; ++at)
            ledger.accuse(asked, end_of(at), beginning, now);
        CHECK(ledger.standing(asked, now) == crash_standing::quarantined);
    }
    SECTION("an entry that has them clears what another one tells")
    {
        crash_ledger other;
        for (int at = 1; at <= 3; ++at)
            other.accuse(asked, end_of(at), beginning, now);
        answer(12);
        tell(other, ledger, now);
        CHECK(ledger.standing(asked, now) == crash_standing::clear);
        tell(ledger, other, now);
        CHECK(other.standing(asked, now) == crash_standing::clear);
    }
    SECTION("those of a request that is not doubted take no record")
    {
        answer(100);
        CHECK(ledger.all().empty());
    }
}

TEST_CASE("half of all upstreams are killed at once", "[run]")
{
    // 300 upstreams with 16 requests each; every request is sent to a second
    // upstream, of which half are killed as well.
    crash_limits limits;
    limits.most_records = 100'000;
    crash_ledger ledger(limits);
    const time_point now{100s};
    int number = 0;
    for (int upstream = 0; upstream < 300; ++upstream)
    {
        for (int place = 0; place < 16; ++place, ++number)
        {
            ledger.accuse(content(number), end_of(upstream), beginning, now);
            if (number % 2 == 0)
                ledger.accuse(content(number), end_of((upstream + 1) % 300),
                              beginning, now + 200ms);
        }
    }
    CHECK(ledger.suspected() == 0);
}

TEST_CASE("a ledger is bounded", "[run]")
{
    crash_limits limits;
    limits.most_records = 64;
    crash_ledger ledger(limits);
    time_point now{100s};
    const auto bad = content(-1);
    for (int at = 1; at <= 3; ++at)
        ledger.accuse(bad, end_of(at), beginning, now);

    SECTION("a flood of doubted requests pushes out no quarantined one")
    {
        for (int at = 0; at < 10'000; ++at)
            ledger.accuse(content(at), end_of(at), beginning,
                          now + milliseconds(at));
        CHECK(ledger.all().size() == 64);
        CHECK(ledger.standing(bad, now + 1s) == crash_standing::quarantined);
        CHECK(ledger.standing(bad, now + 10s) == crash_standing::on_trial);
    }
    SECTION("one call tells few records, and all come in turn")
    {
        for (int at = 0; at < 50; ++at)
        {
            for (int end = 0; end < 3; ++end)
                ledger.accuse(content(at), end_of(end), beginning, now);
        }
        crash_ledger fresh;
        for (int beat = 0; beat < 10; ++beat)
        {
            const auto told = ledger.news(12, now);
            CHECK(told.size() <= 12);
            for (const auto& one : told)
                fresh.merge(one, now);
        }
        CHECK(fresh.suspected() == 51);
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
                         one.lift(what, now);
                     else if (step % 10 == 8)
                         tell(one, ledgers[static_cast<std::size_t>(step / 30)],
                              now);
                     else
                         one.accuse(what, end_of(step / 6 % 5), beginning, now);
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
                     const auto first = ledgers[0].standing(content(at), now);
                     RC_ASSERT(ledgers[1].standing(content(at), now) == first);
                     RC_ASSERT(ledgers[2].standing(content(at), now) == first);
                 }
             });
}
