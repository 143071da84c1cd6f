#include "coursejunction/fleet/poll_schedule.hpp"

#include <algorithm>
#include <string>

#include <catch2/catch.hpp>

#include "fleet/poll_simulation.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

using schedule = cj::poll_schedule;

constexpr cj::time_point start{100s};
constexpr std::size_t others = 9; /*!< Entries that are heard. */

/*! @brief Returns how long after a moment a schedule is due, looked at every
 * 20 ms; the longest time when it is not. */
cj::milliseconds due_after(schedule& one, std::size_t rank, cj::time_point from,
                           cj::milliseconds longest)
{
    for (cj::milliseconds passed{0}; passed < longest; passed += 20ms)
        if (one.due({rank, others}, from + passed))
            return passed;
    return longest;
}

/*! @brief Returns the time between two questions of a rank that is settled. */
cj::milliseconds interval_of(schedule& one, std::size_t rank)
{
    const auto first = start + due_after(one, rank, start, 600'000ms);
    one.record_poll(first);
    return due_after(one, rank, first, 600'000ms);
}

} // namespace

SCENARIO("an entry asks in its turn", "[fleet]")
{
    schedule one(7);

    SECTION("the first every second, the next ones less and less often")
    {
        CHECK(interval_of(one, 0) == 1000ms);
    }
    SECTION("the second every four seconds")
    {
        CHECK(interval_of(one, 1) == 4000ms);
    }
    SECTION("the sixth every 36 seconds")
    {
        CHECK(interval_of(one, 5) == 36'000ms);
    }
    GIVEN("answers that are long for the source's link")
    {
        one.set_answer_size(650'000, 1'250'000);
        THEN("the first takes half a percent of it")
        {
            CHECK(interval_of(one, 0) == 104'000ms);
        }
    }
    GIVEN("a link whose rate is not told")
    {
        one.set_answer_size(650'000, 0);
        CHECK(interval_of(one, 0) == 1000ms);
    }
    GIVEN("a first entry that has just asked")
    {
        const auto asked = start + due_after(one, 0, start, 2000ms);
        one.record_poll(asked);
        WHEN("it doubts what it knows")
        {
            one.request_recheck(asked + 20ms);
            THEN("it asks again soon, but not at once")
            {
                const auto after = due_after(one, 0, asked + 20ms, 2000ms);
                CHECK(after >= 220ms);
                CHECK(after < 500ms);
            }
        }
        WHEN("it doubts over and over")
        {
            std::size_t questions = 0;
            for (cj::milliseconds passed{0}; passed < 10'000ms; passed += 20ms)
            {
                const auto now = asked + passed;
                one.request_recheck(now);
                if (!one.due({0, others}, now))
                    continue;
                one.record_poll(now);
                ++questions;
            }
            THEN("it asks at most four times a second")
            {
                CHECK(questions <= 40);
                CHECK(questions >= 20);
            }
        }
    }
}

SCENARIO("a rank that falls counts once it lasts", "[fleet]")
{
    schedule one(7);
    GIVEN("an entry that has just started and has heard some")
    {
        THEN("it asks nothing before all had time to tell")
        {
            CHECK(due_after(one, 0, start, 3000ms) >= schedule::discovery_time);
        }
        WHEN("it hears of more in that time")
        {
            CHECK(due_after(one, 0, start, 300ms) == 300ms);
            THEN("it waits for its turn")
            {
                CHECK(due_after(one, 30, start + 300ms, 60'000ms) == 60'000ms);
            }
        }
    }
    GIVEN("an entry that has just started and hears nobody")
    {
        THEN("it asks as soon as those it knows would have told")
        {
            one.request_recheck(start);
            cj::milliseconds passed{0};
            while (!one.due({0, 0}, start + passed))
                passed += 20ms;
            CHECK(passed == schedule::settling_time);
        }
    }
    GIVEN("an entry that knows its place and has asked")
    {
        const auto asked = start + due_after(one, 9, start, 200'000ms);
        one.record_poll(asked);
        CHECK(due_after(one, 9, asked, 20'000ms) == 20'000ms);
        WHEN("it wakes after it was frozen, and hears nobody yet")
        {
            const auto woken = asked + 80s;
            THEN("it does not take itself for the first")
            {
                CHECK(due_after(one, 0, woken, 400ms) == 400ms);
                CHECK(due_after(one, 9, woken + 400ms, 10'000ms) == 10'000ms);
            }
        }
        WHEN("those before it are gone")
        {
            THEN("it goes on in their place")
            {
                const auto after = due_after(one, 0, asked + 20s, 5000ms);
                CHECK(after == schedule::settling_time);
            }
        }
    }
}

SCENARIO("an entry that loses all others leaves the link to them", "[fleet]")
{
    const auto questions = [](std::size_t known)
    {
        schedule one(7);
        std::size_t count = 0;
        for (cj::milliseconds passed{0}; passed < 120'000ms; passed += 100ms)
        {
            const bool alone = passed >= 20'000ms;
            if (!one.due({0, alone ? 0 : known}, start + passed))
                continue;
            one.record_poll(start + passed);
            count += alone ? 1 : 0;
        }
        return count;
    };
    SECTION("it knew few: it asks as the first")
    {
        CHECK(questions(4) >= 99);
        CHECK(questions(0) >= 99);
    }
    SECTION("it knew fifty: a tenth as often")
    {
        CHECK(questions(50) >= 9);
        CHECK(questions(50) <= 11);
    }
    SECTION("and as before when it hears one of them again")
    {
        schedule one(7);
        CHECK(due_after(one, 0, start, 3000ms) < 3000ms);
        one.record_poll(start + 2s);
        CHECK_FALSE(one.due({0, 0}, start + 2100ms));
        CHECK(due_after(one, 0, start + 2200ms, 2000ms) <= 1000ms);
    }
}

SCENARIO("an entry that is busy asks all the same", "[fleet]")
{
    schedule one(7);
    std::size_t questions = 0;
    for (cj::milliseconds passed{0}; passed < 20'000ms; passed += 700ms)
    {
        if (!one.due({0, others}, start + passed))
            continue;
        one.record_poll(start + passed);
        ++questions;
    }
    CHECK(questions >= 10);
}

namespace
{

namespace replay = poll_simulation;

/*! @brief Of the source's link, in any window. */
constexpr double most_share = 0.05;

constexpr std::size_t small_answer = 4'500;
constexpr std::size_t large_answer = 650'000;

/*! @brief Text of an outcome, for failures. */
std::string text_of(const replay::outcome& seen)
{
    std::string made =
        "most share in a window " + std::to_string(seen.most_share) +
        ", of the whole " + std::to_string(seen.whole_share) +
        ", most answers in a window " + std::to_string(seen.most_answers) +
        ", questions " + std::to_string(seen.questions) + ", told after " +
        std::to_string(seen.told_after) + " ms, after doubts";
    for (const auto one : seen.first_after)
        made += " " + std::to_string(one);
    return made;
}

replay::pattern small_pattern(std::size_t entries, std::uint32_t seed)
{
    replay::pattern made;
    made.entries = entries;
    made.answer_bytes = small_answer;
    made.doubts = {30'000, 30'200, 61'500};
    made.named_at = 90'010;
    made.seed = seed;
    return made;
}

void check_aims(const replay::outcome& seen)
{
    INFO(text_of(seen));
    CHECK(seen.most_share < most_share);
    for (const auto after : seen.first_after)
        CHECK(after <= 1000);
    CHECK(seen.told_after >= 0);
    CHECK(seen.told_after <= 3000);
}

} // namespace

// Measured at the size that users name; each entry knows only what it hears.
SCENARIO("questions of all entries leave the source's link to others",
         "[fleet][size]")
{
    const auto entries =
        GENERATE(std::size_t{5}, std::size_t{53}, std::size_t{340});
    const auto seed = GENERATE(1U, 2U, 3U);
    CAPTURE(entries, seed);
    auto set = small_pattern(entries, seed);

    SECTION("all start within a second, and doubt together")
    {
        check_aims(replay::player(set).play());
    }
    SECTION("entries beyond the first know only those")
    {
        set.most_named = 64;
        check_aims(replay::player(set).play());
    }
    SECTION("the first stops as the version is named")
    {
        replay::player player(set);
        player.of(0).stops = set.named_at;
        check_aims(player.play());
    }
    SECTION("the first freezes as the version is named")
    {
        replay::player player(set);
        player.of(0).frozen = {set.named_at, set.named_at + 20'000};
        check_aims(player.play());
    }
    SECTION("all freeze at once, and go on")
    {
        replay::player player(set);
        for (std::size_t at = 0; at < entries; ++at)
            player.of(at).frozen = {40'000, 60'000};
        check_aims(player.play());
    }
    SECTION("some hear no other for a minute")
    {
        replay::player player(set);
        const auto some = std::min(
            entries, GENERATE(std::size_t{1}, std::size_t{8}, std::size_t{40}));
        for (std::size_t at = 0; at < some; ++at)
            player.of(entries / some * at).cut = {20'000, 80'000};
        check_aims(player.play());
    }
    SECTION("nobody hears any other for a while")
    {
        const auto cut = GENERATE(replay::ms{20'000}, replay::ms{60'000});
        replay::player player(set);
        for (std::size_t at = 0; at < entries; ++at)
            player.of(at).cut = {cut, 80'000};
        check_aims(player.play());
    }
    SECTION("the first cannot reach the source")
    {
        replay::player player(set);
        player.of(0).sourceless = {20'000, 120'000};
        const auto seen = player.play();
        INFO(text_of(seen));
        CHECK(seen.most_share < most_share);
        THEN("the next ones go on")
        {
            CHECK(*std::max_element(seen.first_after.begin(),
                                    seen.first_after.end()) <= 1000);
            CHECK(seen.told_after >= 0);
            CHECK(seen.told_after <= 4000 + 1000 + 500);
        }
    }
}

SCENARIO("a version that only the source knows is told soon, whenever it is "
         "named",
         "[fleet]")
{
    const auto entries =
        GENERATE(std::size_t{1}, std::size_t{2}, std::size_t{5});
    const auto after = GENERATE(range(0, 16'000, 370));
    CAPTURE(entries, after);
    auto set = small_pattern(entries, 1);
    set.doubts.clear();
    set.lasts = 70'000;
    set.named_at = 40'010 + after;
    replay::player player(set);

    SECTION("while nobody fails")
    {
        check_aims(player.play());
    }
    SECTION("as the first stops")
    {
        player.of(0).stops = entries > 1 ? set.named_at : set.lasts;
        check_aims(player.play());
    }
    SECTION("as the first freezes")
    {
        if (entries > 1)
            player.of(0).frozen = {set.named_at, set.named_at + 20'000};
        check_aims(player.play());
    }
    SECTION("just before all start")
    {
        set.named_at = 0;
        check_aims(replay::player(set).play());
    }
}

// One answer alone is more than 5 % of what the link carries in 10 s, and 0.5 %
// of what it carries in 100 s.
SCENARIO("long answers are asked for so seldom that the link stays free",
         "[fleet][size]")
{
    const auto entries =
        GENERATE(std::size_t{5}, std::size_t{53}, std::size_t{340});
    CAPTURE(entries);
    replay::pattern set;
    set.entries = entries;
    set.answer_bytes = large_answer;
    set.lasts = 3'600'000;
    set.tick = 500;
    set.doubts = {600'000, 1'800'000};
    set.named_at = 2'400'000;
    set.window = 100'000;
    const auto seen = replay::player(set).play();
    INFO(text_of(seen));
    CHECK(seen.most_share < most_share);
    CHECK(seen.told_after >= 0);
    CHECK(seen.told_after <= 104'000 + 2000);
}
