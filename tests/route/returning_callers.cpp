#include "coursejunction/route/returning_callers.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

const cj::time_point start{100s};

/*! @brief Options with which return times are spread, which is not the
 * default. */
cj::returning_options spread()
{
    cj::returning_options options;
    options.spreads = true;
    return options;
}

/*! @brief An entry that has sent requests to engines for 10 s until `start`. */
cj::returning_callers busy_entry(double per_second)
{
    cj::returning_callers callers(spread());
    const auto count = static_cast<int>(10 * per_second);
    for (int number = 0; number < count; ++number)
        callers.record_sent(
            start -
            std::chrono::duration_cast<cj::time_point::duration>(
                std::chrono::duration<double>((count - number) / per_second)));
    return callers;
}

/*! @brief Returns the largest number of times within 400 ms: an interval whose
 * clients are counted, less the 100 ms over which the bursts here last. */
std::size_t densest(std::vector<cj::time_point> times)
{
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first)
    {
        const auto end = std::lower_bound(first, times.end(), *first + 400ms);
        most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
}

} // namespace

SCENARIO("when a refused client is told to return", "[route]")
{
    auto callers = busy_entry(20);

    GIVEN("few other refusals")
    {
        THEN("it is told the time that admission control gives")
        {
            const auto told = callers.tell(6000ms, 700ms, start);
            CHECK(told.after == 700ms);
            CHECK_FALSE(told.moved());
            CHECK(callers.tell(6000ms, 2000ms, start).after == 2000ms);
        }
        THEN("that time is at most a third of what is left, and no less than "
             "the minimum")
        {
            CHECK(callers.tell(3000ms, 2000ms, start).after == 1000ms);
            CHECK(callers.tell(300ms, 200ms, start).after == 200ms);
        }
    }
    // Guards against all clients of a burst returning in another burst, in
    // which most are refused again.
    GIVEN("a burst of 40 refusals in front of engines that take 20 a second")
    {
        std::vector<cj::time_point> times;
        for (int number = 0; number < 40; ++number)
        {
            const auto now = start + number * 1ms;
            times.push_back(now + callers.tell(6000ms, 2000ms, now).after);
        }
        THEN("they do not all return at once, the first ones as late as they "
             "can")
        {
            CHECK(densest(times) < 20);
            CHECK(times.front() == start + 2000ms);
            CHECK(*std::min_element(times.begin(), times.end()) <
                  start + 1100ms);
        }
        THEN("the decision carries its inputs")
        {
            const auto told = callers.tell(6000ms, 2000ms, start + 40ms);
            CHECK(told.moved());
            CHECK(told.expected == 40);
            CHECK(told.expected_then > 10);
            CHECK(told.per_second == Approx(20).epsilon(0.1));
            CHECK(told.last_possible == 2000ms);
        }
    }
    // Guards against clients without a usable time where there are more than
    // engines can take within the time for which clients wait.
    GIVEN("100 refusals a second for 10 s in front of the same engines")
    {
        std::vector<cj::return_time> told;
        for (int number = 0; number < 1000; ++number)
        {
            const auto now = start + number * 10ms;
            if (number % 5 == 0)
                callers.record_sent(now);
            told.push_back(callers.tell(6000ms, 2000ms, now));
        }
        THEN("each client can still return, most of them as late as they can")
        {
            for (const auto& one : told)
            {
                CHECK(one.after >= 200ms);
                CHECK(one.after <= 2000ms);
            }
            CHECK(std::count_if(told.begin(), told.end(),
                                [](const cj::return_time& one)
                                { return one.after == 2000ms; }) > 600);
        }
    }
    GIVEN("an entry that has not sent a request yet")
    {
        cj::returning_callers idle(spread());
        THEN("there is no order, and its clients return as late as they can")
        {
            for (int number = 0; number < 5; ++number)
                CHECK(idle.tell(6000ms, 2000ms, start).after == 2000ms);
        }
    }
    GIVEN("the default, which does not spread")
    {
        cj::returning_callers usual;
        usual.record_sent(start);
        THEN("each client is told the usual time")
        {
            for (int number = 0; number < 50; ++number)
                CHECK(usual.tell(6000ms, 2000ms, start).after == 2000ms);
        }
    }
}

SCENARIO("clients that were told to return are forgotten", "[route]")
{
    auto callers = busy_entry(20);
    for (std::size_t number = 0; number < cj::returning_callers::max_expected;
         ++number)
        (void)callers.tell(6000ms, 2000ms, start);
    // Guards against memory that grows with the refusals.
    THEN("further ones are told a time but not kept")
    {
        CHECK(callers.tell(6000ms, 2000ms, start).after == 2000ms);
        CHECK(callers.expected() == cj::returning_callers::max_expected);
    }
    THEN("they are dropped after their time")
    {
        callers.expire(start + 2001ms);
        CHECK(callers.expected() == 0);
        CHECK(callers.tell(6000ms, 2000ms, start + 3s).expected == 0);
    }
}

SCENARIO("whether a client returns when it was told to", "[route]")
{
    THEN("it does after at most a third of its deadline")
    {
        CHECK(cj::returns_in_time(200ms, 5800ms));
        CHECK(cj::returns_in_time(2000ms, 4000ms));
        CHECK(cj::returns_in_time(500ms, 1000ms));
    }
    THEN("timers and new connections may shift that a little")
    {
        CHECK(cj::returns_in_time(185ms, 5815ms));
        CHECK(cj::returns_in_time(3100ms, 2900ms));
    }
    THEN("a client that retries at once does not")
    {
        CHECK_FALSE(cj::returns_in_time(20ms, 5980ms));
        CHECK_FALSE(cj::returns_in_time(150ms, 5850ms));
    }
    THEN("a client that returns much later does not")
    {
        CHECK_FALSE(cj::returns_in_time(4000ms, 2000ms));
    }
    THEN("without a deadline only an immediate retry can be told")
    {
        CHECK(cj::returns_in_time(2000ms, std::nullopt));
        CHECK_FALSE(cj::returns_in_time(20ms, std::nullopt));
    }
}

TEST_CASE("return times are usable whatever the refusals", "[route]")
{
    rc::prop("any sequence of refusals, of any deadlines",
             [](const std::vector<std::uint32_t>& steps)
             {
                 cj::returning_callers callers(spread());
                 auto now = start;
                 for (const auto step : steps)
                 {
                     now += std::chrono::milliseconds(step % 97);
                     if (step % 3 == 0)
                         callers.record_sent(now);
                     const cj::milliseconds left(step / 7 % 20'000);
                     const cj::milliseconds usual(200 + step / 11 % 3'000);
                     const auto told = callers.tell(left, usual, now);
                     const auto longest =
                         std::max<cj::milliseconds>(left / 3, 200ms);
                     RC_ASSERT(told.after >= 200ms);
                     RC_ASSERT(told.after <= longest);
                     RC_ASSERT(told.after <= usual);
                     RC_ASSERT(callers.expected() <=
                               cj::returning_callers::max_expected);
                 }
                 callers.expire(now + 8s);
                 RC_ASSERT(callers.expected() == 0U);
             });
    rc::prop("a client that follows its return time returns in time",
             [](std::uint16_t deadline, std::uint16_t wait)
             {
                 const cj::milliseconds whole(600 + deadline);
                 cj::returning_callers callers;
                 const auto told = callers.tell(
                     whole, cj::milliseconds(wait % 20'000), start);
                 RC_ASSERT(cj::returns_in_time(told.after, whole - told.after));
             });
}

// Guards against a spread that holds only at entries with many requests: an
// entry of 340 sends one request a second, and must neither move clients
// because two of them meet by chance nor let all of a burst return at once.
TEST_CASE("clients of all entries return spread over time", "[route]")
{
    constexpr double capacity = 450;
    constexpr int refused = 1000;
    const auto burst = [](std::size_t count, std::uint32_t seed)
    {
        std::mt19937 random(seed);
        std::vector<cj::returning_callers> entries(
            count, busy_entry(capacity / static_cast<double>(count)));
        std::vector<cj::time_point> times;
        for (int number = 0; number < refused; ++number)
        {
            const auto now = start + number * 100us;
            times.push_back(
                now +
                entries[random() % count].tell(6000ms, 2000ms, now).after);
        }
        return times;
    };
    rc::prop("a dense burst at 5 entries", [&](std::uint32_t seed)
             { RC_ASSERT(densest(burst(5, seed)) < 0.4 * refused); });
    rc::prop("a dense burst at 53 entries", [&](std::uint32_t seed)
             { RC_ASSERT(densest(burst(53, seed)) < 0.5 * refused); });
    rc::prop("a dense burst at 340 entries", [&](std::uint32_t seed)
             { RC_ASSERT(densest(burst(340, seed)) < 0.8 * refused); });
}
