#include "coursejunction/core/backoff.hpp"

#include <set>

#include <catch2/catch.hpp>

using namespace coursejunction;
using namespace std::chrono_literals;

// Without jitter, processes whose calls fail at the same moment would retry at
// the same moment, at each attempt.
TEST_CASE("backoff delays grow and differ between processes", "[core]")
{
    SECTION("the mean doubles up to its limit")
    {
        backoff delays(100ms, 400ms, 7);
        for (const auto mean : {100ms, 200ms, 400ms, 400ms, 400ms})
        {
            const auto delay = delays.next();
            CHECK(delay >= mean / 2);
            CHECK(delay <= mean * 3 / 2);
        }
        SECTION("a reset returns to the first mean")
        {
            delays.reset();
            CHECK(delays.next() <= 150ms);
        }
    }
    SECTION("the delays of different seeds cover the whole range")
    {
        constexpr std::uint32_t processes = 100;
        constexpr std::size_t intervals = 8;
        std::set<std::int64_t> hit;
        for (std::uint32_t seed = 1; seed <= processes; ++seed)
            hit.insert((backoff(800ms, 800ms, seed).next() - 400ms) / 100ms);
        CHECK(hit.size() == intervals);
    }
}
