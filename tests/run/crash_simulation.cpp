#include "run/crash_simulation.hpp"

#include <algorithm>
#include <cstdint>

#include <catch2/catch.hpp>

using namespace coursejunction;
using namespace std::chrono_literals;
using crash_simulation::scenario;
using crash_simulation::simulation;
using crash_simulation::simulation_result;

namespace
{

/*! @brief Runs a scenario with several seeds.
 * @return The largest of each figure, except for `answered`: the smallest
 * number of responses to 1,000 innocent requests. */
simulation_result worst(scenario config, std::uint32_t seeds)
{
    simulation_result result;
    result.answered = 1000;
    for (config.seed = 1; config.seed <= seeds; ++config.seed)
    {
        const auto run = simulation(config).run();
        result.crashed = std::max(result.crashed, run.crashed);
        result.crashed_late = std::max(result.crashed_late, run.crashed_late);
        result.blocked_innocent =
            std::max(result.blocked_innocent, run.blocked_innocent);
        result.refused = std::max(result.refused, run.refused);
        result.bytes_per_second =
            std::max(result.bytes_per_second, run.bytes_per_second);
        result.harmful_sent_late =
            std::max(result.harmful_sent_late, run.harmful_sent_late);
        result.blocked_parts =
            std::max(result.blocked_parts, run.blocked_parts);
        if (run.calm_refused * result.calm_sent >=
            result.calm_refused * run.calm_sent)
        {
            result.calm_refused = run.calm_refused;
            result.calm_sent = run.calm_sent;
        }
        result.answered =
            std::min(result.answered, run.answered * 1000 / run.requests);
    }
    UNSCOPED_INFO("crashed "
                  << result.crashed << " late " << result.crashed_late
                  << " blocked innocent " << result.blocked_innocent
                  << " refused " << result.refused << " bytes/s "
                  << result.bytes_per_second << " answered " << result.answered
                  << " of 1000, harmful sent late " << result.harmful_sent_late
                  << " blocked parts " << result.blocked_parts
                  << " refused in the calm " << result.calm_refused << " of "
                  << result.calm_sent);
    return result;
}

/*! @brief Crashes of one content allowed later than 3 s after the third one. */
constexpr std::size_t max_late_crashes = 3;

/*! @brief Control traffic that a process may send, in bytes a second. */
constexpr double max_control_bytes_per_second = 19'000;

} // namespace

TEST_CASE("a request that crashes engines among five entries", "[run]")
{
    scenario config;
    config.copy_interval = 300ms;

    SECTION("copies one after another crash at most five engines")
    {
        const auto result = worst(config, 5);
        CHECK(result.crashed <= 5);
        CHECK(result.crashed_late <= 1);
        CHECK(result.blocked_innocent == 0);
    }
    SECTION("five copies at once crash at most nine engines")
    {
        config.copies_at_once = 5;
        const auto result = worst(config, 5);
        CHECK(result.crashed <= 9);
        CHECK(result.crashed_late <= 1);
    }
    SECTION("four such requests crash at most five engines each")
    {
        config.harmful_contents = 4;
        const auto result = worst(config, 5);
        CHECK(result.crashed <= 4 * 5);
        CHECK(result.crashed_late <= 1);
        CHECK(result.blocked_innocent <= 1);
    }
    SECTION("one that crashes every third engine crashes at most three late")
    {
        config.crash_probability = 0.34;
        CHECK(worst(config, 5).crashed_late <= max_late_crashes);
    }
    SECTION("one that crashes engines after its response has begun crashes at "
            "most three late")
    {
        config.crash_time = 400ms;
        config.duration = 60'000ms;
        const auto result = worst(config, 5);
        CHECK(result.crashed <= 12);
        CHECK(result.crashed_late <= max_late_crashes);
    }
    SECTION("with 30 % of the datagrams lost at most six engines crash")
    {
        config.datagram_loss = 0.3;
        const auto result = worst(config, 5);
        CHECK(result.crashed <= 6);
        CHECK(result.crashed_late <= 2);
    }
}

TEST_CASE("half of all engines crash for other reasons than a request", "[run]")
{
    scenario config;
    config.killed_fraction = 0.5;

    SECTION("at once: no request is blocked")
    {
        CHECK(worst(config, 10).blocked_innocent == 0);
    }
    SECTION("within two seconds: few of two thousand requests are blocked, and "
            "only until their trial")
    {
        config.kill_duration = 2000ms;
        const auto result = worst(config, 10);
        CHECK(result.blocked_innocent <= 1);
        CHECK(result.refused <= 2);
    }
    SECTION("within two seconds, at 53 entries and 120 engines: few of five "
            "thousand requests are blocked")
    {
        config.entries = 53;
        config.engines = 120;
        config.slots = 8;
        config.kill_duration = 2000ms;
        config.duration = 8000ms;
        const auto result = worst(config, 2);
        CHECK(result.blocked_innocent <= 3);
        CHECK(result.bytes_per_second <= max_control_bytes_per_second);
    }
}

TEST_CASE("an engine is killed that runs the trial of a popular request",
          "[run]")
{
    // All engines are killed one after the other first, with the popular
    // request on each of them.
    scenario config;
    config.popular_callers = 60;
    config.killed_fraction = 1;
    config.kill_duration = 1200ms;
    config.killed_trials = 1;
    config.duration = 16'000ms;

    SECTION("it is served again within seconds")
    {
        for (config.seed = 1; config.seed <= 10; ++config.seed)
        {
            const auto result = simulation(config).run();
            CAPTURE(config.seed, result.popular_answered);
            CHECK(result.killed_trials == 1);
            CHECK(result.popular_refused <= result.popular_answered / 10);
        }
    }
    SECTION("it is served again within seconds beside a harmful request")
    {
        config.copy_interval = 300ms;
        for (config.seed = 1; config.seed <= 10; ++config.seed)
        {
            const auto result = simulation(config).run();
            CAPTURE(config.seed, result.popular_answered);
            CHECK(result.killed_trials == 1);
            CHECK(result.crashed_late <= max_late_crashes);
            CHECK(result.popular_refused <= result.popular_answered / 10);
        }
    }
}

TEST_CASE("all callers of a popular request ask an entry that does not run its "
          "trials",
          "[run]")
{
    scenario config;
    config.popular_callers = 60;
    config.popular_at_one_entry = true;
    config.killed_fraction = 1;
    config.kill_duration = 1200ms;
    config.copy_interval = 300ms;
    config.duration = 30'000ms;

    SECTION("it is served again within seconds, and the harmful one is not")
    {
        for (config.popular_entry_rank = 0; config.popular_entry_rank < 5;
             ++config.popular_entry_rank)
        {
            config.seed = 1 + config.popular_entry_rank;
            const auto result = simulation(config).run();
            CAPTURE(config.popular_entry_rank, result.popular_answered);
            CHECK(result.crashed_late <= max_late_crashes);
            CHECK(result.popular_answered > 0);
            CHECK(result.popular_refused <= result.popular_answered / 10);
        }
    }
}

TEST_CASE("a request that crashes engines among 53 entries", "[run]")
{
    scenario config;
    config.entries = 53;
    config.engines = 120;
    config.slots = 8;
    config.duration = 8000ms;

    SECTION("ten copies a second crash at most six engines")
    {
        config.copy_interval = 100ms;
        const auto result = worst(config, 2);
        CHECK(result.crashed <= 6);
        CHECK(result.crashed_late <= 1);
        CHECK(result.bytes_per_second <= max_control_bytes_per_second);
    }
    SECTION("fifty copies at once crash one engine each, and no second one")
    {
        config.copy_interval = 1000ms;
        config.copies_at_once = 50;
        const auto result = worst(config, 2);
        CHECK(result.crashed <= 52);
        CHECK(result.crashed_late <= 1);
        CHECK(result.bytes_per_second <= max_control_bytes_per_second);
    }
}

namespace
{

/*! @brief Sound requests that share parts with harmful ones must be served more
 * than half as often as otherwise. */
bool serves_sound_requests(const simulation_result& result)
{
    return result.calm_refused * 2 < result.calm_sent;
}

} // namespace

// Harmful requests with the part that may be sent later than 3 s after the
// fifth crash, see `max_late_crashes`.
TEST_CASE("a part of a prompt crashes engines", "[run]")
{
    scenario config;
    config.harmful_part = true;
    config.crash_time = 300ms;
    config.copy_interval = 200ms;
    config.duration = 40'000ms;

    SECTION("in five copies a second among five entries")
    {
        const auto result = worst(config, 10);
        CHECK(result.harmful_sent_late <= max_late_crashes);
        CHECK(serves_sound_requests(result));
    }
    SECTION("in ten copies a second that come at once")
    {
        config.copies_at_once = 5;
        config.copy_interval = 500ms;
        const auto result = worst(config, 10);
        CHECK(result.harmful_sent_late <= max_late_crashes);
        CHECK(serves_sound_requests(result));
    }
    SECTION("beside kills of half of the engines, with few subjects")
    {
        config.subjects = 20;
        config.killed_fraction = 0.5;
        config.kill_duration = 2000ms;
        const auto result = worst(config, 10);
        CHECK(result.harmful_sent_late <= max_late_crashes);
        CHECK(serves_sound_requests(result));
    }
    SECTION("two at once, with 30 % of the datagrams lost")
    {
        config.harmful_contents = 2;
        config.datagram_loss = 0.3;
        const auto result = worst(config, 10);
        CHECK(result.harmful_sent_late <= 2 * max_late_crashes);
        CHECK(serves_sound_requests(result));
    }
    SECTION("in ten copies a second among 53 entries")
    {
        config.entries = 53;
        config.engines = 120;
        config.slots = 8;
        config.copy_interval = 100ms;
        config.duration = 20'000ms;
        config.subjects = 2000;
        const auto result = worst(config, 2);
        CHECK(result.harmful_sent_late <= max_late_crashes);
        CHECK(serves_sound_requests(result));
        CHECK(result.bytes_per_second <= max_control_bytes_per_second);
    }
}

// Hidden because of its duration; run it with unit_tests "[size]".
TEST_CASE("a part of a prompt crashes engines among 340 entries", "[.][size]")
{
    scenario config;
    config.entries = 340;
    config.engines = 600;
    config.slots = 8;
    config.duration = 16'000ms;
    config.harmful_part = true;
    config.crash_time = 300ms;
    config.copy_interval = 50ms;
    config.subjects = 10'000;
    const auto result = worst(config, 1);
    CHECK(result.harmful_sent_late <= max_late_crashes);
    CHECK(serves_sound_requests(result));
    CHECK(result.bytes_per_second <= max_control_bytes_per_second);
}

// Hidden because of its duration; run it with unit_tests "[size]".
TEST_CASE("a request that crashes engines among 340 entries", "[.][size]")
{
    scenario config;
    config.entries = 340;
    config.engines = 600;
    config.slots = 8;
    config.duration = 8000ms;

    SECTION("twenty copies a second crash at most six engines")
    {
        config.copy_interval = 50ms;
        const auto result = worst(config, 1);
        CHECK(result.crashed <= 6);
        CHECK(result.crashed_late <= 1);
        CHECK(result.bytes_per_second <= max_control_bytes_per_second);
    }
    SECTION("a hundred copies at once crash at most 102 engines")
    {
        config.copy_interval = 1000ms;
        config.copies_at_once = 100;
        const auto result = worst(config, 1);
        CHECK(result.crashed <= 102);
        CHECK(result.crashed_late <= 1);
        CHECK(result.bytes_per_second <= max_control_bytes_per_second);
    }
    SECTION(
        "half of all engines crash within two seconds: at most ten requests "
        "are blocked")
    {
        config.killed_fraction = 0.5;
        config.kill_duration = 2000ms;
        const auto result = worst(config, 1);
        CHECK(result.blocked_innocent <= 10);
        // No more in all than the control traffic allowed for half a minute.
        CHECK(result.bytes_per_second * to_seconds(config.duration) <=
              30 * max_control_bytes_per_second);
    }
}
