#include "coursejunction/run/retry_window.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <random>
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

TEST_CASE("retries that are held up arrive together beyond the limit", "[run]")
{
    rc::prop("for any delays on their way",
             []
             {
                 std::minstd_rand random(
                     *rc::gen::inRange<std::uint32_t>(1, 1'000'000));
                 constexpr double retry_ratio = 0.2;
                 constexpr double reserve = 3;
                 constexpr int requests_in_window = 100;
                 retry_window window({10'000ms, retry_ratio, reserve});
                 std::vector<time_point> sent;
                 std::vector<time_point> arrivals;
                 time_point now{50s};
                 time_point released_at = now;
                 for (int step = 0; step < 400; ++step)
                 {
                     now += 100ms;
                     window.record_request(now);
                     if (random() % 50 == 0)
                         released_at = now + milliseconds(random() % 15'000);
                     while (random() % 3 != 0 && window.try_start(now))
                         sent.push_back(std::max(now, released_at));
                     std::erase_if(sent,
                                   [&](time_point arrives_at)
                                   {
                                       if (arrives_at > now)
                                           return false;
                                       arrivals.push_back(now);
                                       window.record_arrival(now);
                                       return true;
                                   });
                 }
                 for (const auto end : arrivals)
                 {
                     const auto inside =
                         std::count_if(arrivals.begin(), arrivals.end(),
                                       [&](time_point at)
                                       { return at <= end && at > end - 10s; });
                     RC_ASSERT(static_cast<double>(inside) <=
                               retry_ratio * requests_in_window + reserve +
                                   1e-9);
                 }
             });
}
