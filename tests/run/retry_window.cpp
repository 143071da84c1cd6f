#include "coursejunction/run/retry_window.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <vector>

using namespace coursejunction;
using namespace std::chrono_literals;

TEST_CASE("the requests of the window and the reserve limit retries", "[run]")
{
    retry_window window({10'000ms, 0.2, 5});
    time_point now{100s};

    SECTION("without requests the reserve may be used")
    {
        int spent = 0;
        while (window.try_spend(now))
            ++spent;
        REQUIRE(spent == 5);

        SECTION("it is available again after the window")
        {
            REQUIRE_FALSE(window.try_spend(now + 9s));
            REQUIRE(window.try_spend(now + 11s));
        }
    }
    SECTION("a part of them is kept for other retries")
    {
        int spent = 0;
        while (window.try_spend(now, 0.5))
            ++spent;
        CHECK(spent == 2);
        while (window.try_spend(now))
            ++spent;
        CHECK(spent == 5);
    }
    SECTION("a burst may use what the requests of the whole window allow")
    {
        for (int at = 0; at < 100; ++at)
            window.record_request(now + at * 90ms);
        int spent = 0;
        while (window.try_spend(now + 9s))
            ++spent;
        REQUIRE(spent == 25);
    }
    SECTION("a request from exactly a window ago does not count")
    {
        for (int at = 0; at < 5; ++at)
            window.record_request(now);
        int spent = 0;
        while (window.try_spend(now + 10s))
            ++spent;
        REQUIRE(spent == 5);
    }
    SECTION("requests before the window do not count")
    {
        for (int at = 0; at < 100; ++at)
            window.record_request(now);
        int spent = 0;
        while (window.try_spend(now + 30s))
            ++spent;
        REQUIRE(spent == 5);
    }
}

TEST_CASE("no window holds more retries than its limit", "[run]")
{
    rc::prop(
        "for any times of requests and failures",
        [](const std::vector<std::uint16_t>& gaps)
        {
            constexpr double retry_ratio = 0.2;
            constexpr double reserve = 3;
            retry_window window({10'000ms, retry_ratio, reserve});
            std::vector<time_point> requests;
            std::vector<time_point> retries;
            time_point now{50s};
            for (const auto gap : gaps)
            {
                now += milliseconds(gap % 800);
                window.record_request(now);
                requests.push_back(now);
                while (gap % 3 == 0 && window.try_spend(now))
                    retries.push_back(now);
            }
            for (const auto end : retries)
            {
                const auto inside = [&](const std::vector<time_point>& all)
                {
                    return std::count_if(all.begin(), all.end(),
                                         [&](time_point at) {
                                             return at <= end && at > end - 10s;
                                         });
                };
                RC_ASSERT(static_cast<double>(inside(retries)) <=
                          retry_ratio * static_cast<double>(inside(requests)) +
                              reserve + 1e-9);
            }
        });
}
