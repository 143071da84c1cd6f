#include "coursejunction/core/backoff.hpp"

#include <set>

#include <catch2/catch.hpp>

using namespace coursejunction;
using namespace std::chrono_literals;

// A hundred processes lose a call at the same moment. If all paused alike they
// would meet again at the next try, and at each one after it.
TEST_CASE("pauses after failures grow and differ", "[core]")
{
    SECTION("each is twice as long as the one before, up to the longest")
    {
        backoff pauses(100ms, 400ms, 7);
        for (const auto mean : {100ms, 200ms, 400ms, 400ms, 400ms})
        {
            const auto pause = pauses.next();
            CHECK(pause >= mean / 2);
            CHECK(pause <= mean * 3 / 2);
        }
        SECTION("and a success makes the next one short again")
        {
            pauses.reset();
            CHECK(pauses.next() <= 150ms);
        }
    }
    SECTION("those who fail together come back spread over the whole pause")
    {
        constexpr std::uint32_t processes = 100;
        constexpr std::size_t parts = 8;
        std::set<std::int64_t> taken;
        for (std::uint32_t seed = 1; seed <= processes; ++seed)
            taken.insert((backoff(800ms, 800ms, seed).next() - 400ms) / 100ms);
        CHECK(taken.size() == parts);
    }
}
