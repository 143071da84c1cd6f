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
constexpr std::size_t others = 9; /*!< Live entries besides the one tested. */

/*! @brief Returns the time from `from` until a poll is due, checked every 20
 * ms; `longest` if none is due by then. */
cj::milliseconds due_after(schedule& one, std::size_t rank, cj::time_point from,
                           cj::milliseconds longest)
{
    for (cj::milliseconds passed{0}; passed < longest; passed += 20ms)
        if (one.due({rank, others}, from + passed))
            return passed;
    return longest;
}

/*! @brief Returns the time between two polls of an entry whose rank has
 * settled.
 */
cj::milliseconds interval_of(schedule& one, std::size_t rank)
{
    const auto first = start + due_after(one, rank, start, 600'000ms);
    one.record_poll(first);
    return due_after(one, rank, first, 600'000ms);
}

} // namespace

SCENARIO("the poll interval grows with the rank and with the size of answers",
         "[fleet]")
{
    schedule one(7);

    SECTION("the first entry polls every second")
    {
        CHECK(interval_of(one, 0) == 1000ms);
    }
    SECTION("the second entry polls every four seconds")
    {
        CHECK(interval_of(one, 1) == 4000ms);
    }
    SECTION("the sixth entry polls every 36 seconds")
    {
        CHECK(interval_of(one, 5) == 36'000ms);
    }
    GIVEN("answers that are large for the source's link")
    {
        one.set_answer_size(650'000, 1'250'000);
        THEN("the first entry uses half a percent of the link")
        {
            CHECK(interval_of(one, 0) == 104'000ms);
        }
    }
    GIVEN("a link of unknown rate")
    {
        one.set_answer_size(650'000, 0);
        CHECK(interval_of(one, 0) == 1000ms);
    }
    GIVEN("a first entry that has just polled")
    {
        const auto polled_at = start + due_after(one, 0, start, 2000ms);
        one.record_poll(polled_at);
        WHEN("a recheck is requested")
        {
            one.request_recheck(polled_at + 20ms);
            THEN("it polls again soon, but not immediately")
            {
                const auto after = due_after(one, 0, polled_at + 20ms, 2000ms);
                CHECK(after >= 220ms);
                CHECK(after < 500ms);
            }
        }
        WHEN("rechecks are requested continuously")
        {
            std::size_t polls = 0;
            for (cj::milliseconds passed{0}; passed < 10'000ms; passed += 20ms)
            {
                const auto now = polled_at + passed;
                one.request_recheck(now);
                if (!one.due({0, others}, now))
                    continue;
                one.record_poll(now);
                ++polls;
            }
            THEN("it polls at most four times a second")
            {
                CHECK(polls <= 40);
                CHECK(polls >= 20);
            }
        }
    }
}

SCENARIO("an entry that misses heartbeats does not take itself for the first",
         "[fleet]")
{
    schedule one(7);
    GIVEN("an entry that has just started and hears some others")
    {
        THEN("it does not poll before all others had time to be heard")
        {
            CHECK(due_after(one, 0, start, 3000ms) >= schedule::discovery_time);
        }
        WHEN("it hears more others in that time")
        {
            CHECK(due_after(one, 0, start, 300ms) == 300ms);
            THEN("it polls by its new rank")
            {
                CHECK(due_after(one, 30, start + 300ms, 60'000ms) == 60'000ms);
            }
        }
    }
    GIVEN("an entry that has just started and hears no other")
    {
        THEN("it polls once the seeds had time to be heard")
        {
            one.request_recheck(start);
            cj::milliseconds passed{0};
            while (!one.due({0, 0}, start + passed))
                passed += 20ms;
            CHECK(passed == schedule::settling_time);
        }
    }
    GIVEN("an entry with a settled rank that has polled")
    {
        const auto polled_at = start + due_after(one, 9, start, 200'000ms);
        one.record_poll(polled_at);
        CHECK(due_after(one, 9, polled_at, 20'000ms) == 20'000ms);
        WHEN("it resumes after a suspension and hears no other yet")
        {
            const auto resumed_at = polled_at + 80s;
            THEN("it keeps its rank")
            {
                CHECK(due_after(one, 0, resumed_at, 400ms) == 400ms);
                CHECK(due_after(one, 9, resumed_at + 400ms, 10'000ms) ==
                      10'000ms);
            }
        }
        WHEN("the entries before it are gone")
        {
            THEN("it polls in their place after the settling time")
            {
                const auto after = due_after(one, 0, polled_at + 20s, 5000ms);
                CHECK(after == schedule::settling_time);
            }
        }
    }
}

SCENARIO("isolated entries do not overload the source's link", "[fleet]")
{
    const auto polls_when_isolated = [](std::size_t known)
    {
        schedule one(7);
        std::size_t count = 0;
        for (cj::milliseconds passed{0}; passed < 120'000ms; passed += 100ms)
        {
            const bool isolated = passed >= 20'000ms;
            if (!one.due({0, isolated ? 0 : known}, start + passed))
                continue;
            one.record_poll(start + passed);
            count += isolated ? 1 : 0;
        }
        return count;
    };
    SECTION("an entry that knew few others polls like the first one")
    {
        CHECK(polls_when_isolated(4) >= 99);
        CHECK(polls_when_isolated(0) >= 99);
    }
    SECTION("an entry that knew fifty others polls a tenth as often")
    {
        CHECK(polls_when_isolated(50) >= 9);
        CHECK(polls_when_isolated(50) <= 11);
    }
    SECTION("an entry that hears others again polls as before")
    {
        schedule one(7);
        CHECK(due_after(one, 0, start, 3000ms) < 3000ms);
        one.record_poll(start + 2s);
        CHECK_FALSE(one.due({0, 0}, start + 2100ms));
        CHECK(due_after(one, 0, start + 2200ms, 2000ms) <= 1000ms);
    }
}

SCENARIO("an entry still polls if it is checked only every 700 ms", "[fleet]")
{
    schedule one(7);
    std::size_t polls = 0;
    // Longer than `settling_time`, shorter than `suspension_threshold`.
    for (cj::milliseconds passed{0}; passed < 20'000ms; passed += 700ms)
    {
        if (!one.due({0, others}, start + passed))
            continue;
        one.record_poll(start + passed);
        ++polls;
    }
    CHECK(polls >= 10);
}

namespace
{

namespace simulation = poll_simulation;

/*! @brief Limit on the fraction of the source's link that polls use in any
 * window. */
constexpr double max_fraction = 0.05;

constexpr std::size_t small_answer = 4'500;
constexpr std::size_t large_answer = 650'000;

/*! @brief Formats measurements for messages of failed checks. */
std::string describe(const simulation::measurements& seen)
{
    std::string made =
        "max fraction of the link in a window " +
        std::to_string(seen.max_fraction) + ", overall " +
        std::to_string(seen.total_fraction) + ", max answers in a window " +
        std::to_string(seen.max_answers) + ", polls " +
        std::to_string(seen.polls) + ", reported after " +
        std::to_string(seen.reported_after) + " ms, after rechecks";
    for (const auto one : seen.recheck_delays)
        made += " " + std::to_string(one);
    return made;
}

simulation::parameters small_answers(std::size_t entries, std::uint32_t seed)
{
    simulation::parameters made;
    made.entries = entries;
    made.answer_bytes = small_answer;
    made.rechecks = {30'000, 30'200, 61'500};
    made.published_at = 90'010;
    made.random_seed = seed;
    return made;
}

void check_bounds(const simulation::measurements& seen)
{
    INFO(describe(seen));
    CHECK(seen.max_fraction < max_fraction);
    for (const auto after : seen.recheck_delays)
        CHECK(after <= 1000);
    CHECK(seen.reported_after >= 0);
    CHECK(seen.reported_after <= 3000);
}

} // namespace

// Up to the size that users require, 340 entries; each entry knows only the
// others that it receives heartbeats from.
SCENARIO("polls of all entries do not load the source's link", "[fleet][size]")
{
    const auto entries =
        GENERATE(std::size_t{5}, std::size_t{53}, std::size_t{340});
    const auto seed = GENERATE(1U, 2U, 3U);
    CAPTURE(entries, seed);
    auto settings = small_answers(entries, seed);

    SECTION("all start within a second, and recheck together")
    {
        check_bounds(simulation::simulator(settings).run());
    }
    SECTION("entries beyond the first 64 hear only those and the seeds")
    {
        settings.max_announced = 64;
        check_bounds(simulation::simulator(settings).run());
    }
    SECTION("the first entry stops as the version is published")
    {
        simulation::simulator simulator(settings);
        simulator.faults_of(0).stops = settings.published_at;
        check_bounds(simulator.run());
    }
    SECTION("the first entry is suspended as the version is published")
    {
        simulation::simulator simulator(settings);
        simulator.faults_of(0).suspended = {settings.published_at,
                                            settings.published_at + 20'000};
        check_bounds(simulator.run());
    }
    SECTION("all are suspended at once, and resume")
    {
        simulation::simulator simulator(settings);
        for (std::size_t at = 0; at < entries; ++at)
            simulator.faults_of(at).suspended = {40'000, 60'000};
        check_bounds(simulator.run());
    }
    SECTION("some entries hear no other for a minute")
    {
        simulation::simulator simulator(settings);
        const auto some = std::min(
            entries, GENERATE(std::size_t{1}, std::size_t{8}, std::size_t{40}));
        for (std::size_t at = 0; at < some; ++at)
            simulator.faults_of(entries / some * at).cut = {20'000, 80'000};
        check_bounds(simulator.run());
    }
    SECTION("no entry hears any other for a while")
    {
        const auto cut =
            GENERATE(simulation::ms{20'000}, simulation::ms{60'000});
        simulation::simulator simulator(settings);
        for (std::size_t at = 0; at < entries; ++at)
            simulator.faults_of(at).cut = {cut, 80'000};
        check_bounds(simulator.run());
    }
    SECTION("the first entry cannot reach the source")
    {
        simulation::simulator simulator(settings);
        simulator.faults_of(0).source_unreachable = {20'000, 120'000};
        const auto seen = simulator.run();
        INFO(describe(seen));
        CHECK(seen.max_fraction < max_fraction);
        THEN("the next entries take over")
        {
            CHECK(*std::max_element(seen.recheck_delays.begin(),
                                    seen.recheck_delays.end()) <= 1000);
            CHECK(seen.reported_after >= 0);
            // The interval of the second entry, the report delay, and slack.
            CHECK(seen.reported_after <= 4000 + 1000 + 500);
        }
    }
}

SCENARIO("a version that only the source has is reported within 3 s, whenever "
         "it is published",
         "[fleet]")
{
    const auto entries =
        GENERATE(std::size_t{1}, std::size_t{2}, std::size_t{5});
    const auto after = GENERATE(range(0, 16'000, 370));
    CAPTURE(entries, after);
    auto settings = small_answers(entries, 1);
    settings.rechecks.clear();
    settings.duration = 70'000;
    settings.published_at = 40'010 + after;
    simulation::simulator simulator(settings);

    SECTION("without a fault")
    {
        check_bounds(simulator.run());
    }
    SECTION("as the first entry stops")
    {
        simulator.faults_of(0).stops =
            entries > 1 ? settings.published_at : settings.duration;
        check_bounds(simulator.run());
    }
    SECTION("as the first entry is suspended")
    {
        if (entries > 1)
            simulator.faults_of(0).suspended = {settings.published_at,
                                                settings.published_at + 20'000};
        check_bounds(simulator.run());
    }
    SECTION("just before all entries start")
    {
        settings.published_at = 0;
        check_bounds(simulation::simulator(settings).run());
    }
}

// One answer alone is more than 5 % of what the link carries in 10 s, and 0.5 %
// of what it carries in 100 s.
SCENARIO("large answers are polled for so seldom that the link stays free",
         "[fleet][size]")
{
    const auto entries =
        GENERATE(std::size_t{5}, std::size_t{53}, std::size_t{340});
    CAPTURE(entries);
    simulation::parameters settings;
    settings.entries = entries;
    settings.answer_bytes = large_answer;
    settings.duration = 3'600'000;
    settings.tick = 500;
    settings.rechecks = {600'000, 1'800'000};
    settings.published_at = 2'400'000;
    settings.window = 100'000;
    const auto seen = simulation::simulator(settings).run();
    INFO(describe(seen));
    CHECK(seen.max_fraction < max_fraction);
    CHECK(seen.reported_after >= 0);
    // The interval of the first entry for such answers, the report delay, and
    // slack.
    CHECK(seen.reported_after <= 104'000 + 2000);
}
