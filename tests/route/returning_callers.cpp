#include "coursejunction/route/returning_callers.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;
using namespace std::chrono_literals;

// Guards against clients that return as told being treated like any late
// request, and against those that retry at once being preferred.
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

TEST_CASE("a client that follows its return time returns in time", "[route]")
{
    rc::prop("whatever its deadline and the time that it was told",
             [](std::uint16_t deadline, std::uint16_t wait)
             {
                 const cj::milliseconds whole(600 + deadline);
                 const auto told = std::clamp<cj::milliseconds>(
                     cj::milliseconds(wait), 200ms,
                     std::max<cj::milliseconds>(whole / 3, 200ms));
                 RC_ASSERT(cj::returns_in_time(told, whole - told));
             });
}
