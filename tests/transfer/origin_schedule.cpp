#include "coursejunction/transfer/origin_schedule.hpp"

#include <vector>

#include <catch2/catch.hpp>

using namespace coursejunction;
using namespace std::chrono_literals;

namespace
{

constexpr milliseconds call_interval{10};
constexpr milliseconds min_interval{250};

/*! @brief Counts the calls between two times when every call fails, in steps of
 * 10 ms. */
std::size_t count_calls(std::size_t sidecars, milliseconds from,
                        milliseconds until)
{
    std::vector<origin_schedule> schedules;
    for (std::uint32_t seed = 1; seed <= sidecars; ++seed)
        schedules.emplace_back(call_interval, min_interval, seed * 7919);
    std::size_t count = 0;
    for (auto elapsed = 0ms; elapsed < until; elapsed += 10ms)
    {
        const time_point now{elapsed};
        for (auto& one : schedules)
        {
            if (!one.due(false, sidecars, now))
                continue;
            one.record_failure(sidecars, now);
            count += elapsed >= from ? 1 : 0;
        }
    }
    return count;
}

} // namespace

// Guards against a call rate that grows with the number of sidecars while the
// origin cannot serve a manifest: thousands of sidecars together may send only
// as many calls per second as its link can carry.
TEST_CASE("calls to the origin are spread over the sidecars", "[transfer]")
{
    SECTION("the first sidecar of a hall may call at any time")
    {
        origin_schedule schedule(call_interval, min_interval, 1);
        const time_point now{1s};
        CHECK(schedule.due(true, 2500, now));
        schedule.record_failure(2500, now);
        CHECK(schedule.due(true, 2500, now));
    }
    SECTION("all others together call about a hundred times a second")
    {
        for (const std::size_t sidecars : {100U, 500U, 2500U})
        {
            const auto first = count_calls(sidecars, 0ms, 1000ms);
            CHECK(first >= 60);
            CHECK(first <= 140);
        }
    }
    SECTION("the rate falls while failures continue")
    {
        CHECK(count_calls(100, 10s, 20s) <= 150);
    }
    SECTION("a few sidecars wait no longer than the minimum interval")
    {
        for (std::uint32_t seed = 1; seed <= 20; ++seed)
        {
            origin_schedule schedule(call_interval, min_interval, seed);
            const time_point now{1s};
            static_cast<void>(schedule.due(false, 20, now));
            CHECK(schedule.due(false, 20, now + min_interval));
        }
    }
    SECTION("a wrong manifest resets the schedule")
    {
        origin_schedule schedule(call_interval, min_interval, 3);
        const time_point now{1s};
        for (int failure = 0; failure < 6; ++failure)
            schedule.record_failure(20, now);
        CHECK_FALSE(schedule.due(false, 20, now + 1s));
        schedule.reset();
        static_cast<void>(schedule.due(false, 20, now + 1s));
        CHECK(schedule.due(false, 20, now + 1s + min_interval));
    }
}
