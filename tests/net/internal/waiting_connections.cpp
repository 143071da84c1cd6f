#include "coursejunction/net/internal/waiting_connections.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

// In order of arrival each connection would be read when its client gives up.
SCENARIO("a busy server turns to the newest connection first", "[net]")
{
    cj::internal::waiting_connections<int> waiting;
    const cj::time_point start{100s};
    CHECK_FALSE(waiting.take_newest());
    for (int number = 0; number < 3; ++number)
        waiting.push(number, start + number * 100ms);

    SECTION("the newest goes first")
    {
        CHECK(waiting.take_newest() == 2);
        waiting.push(3, start + 300ms);
        CHECK(waiting.take_newest() == 3);
        CHECK(waiting.take_newest() == 1);
        CHECK(waiting.size() == 1);
    }
    SECTION("those that have waited for too long are taken oldest first")
    {
        CHECK_FALSE(waiting.take_older(start));
        CHECK(waiting.take_older(start + 150ms) == 0);
        CHECK(waiting.take_older(start + 150ms) == 1);
        CHECK_FALSE(waiting.take_older(start + 150ms));
        CHECK(waiting.take_newest() == 2);
    }
}
