#include "coursejunction/net/unsent_budget.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

constexpr cj::time_point start{std::chrono::seconds(1000)};

using budget = cj::unsent_budget<int>;

} // namespace

SCENARIO("unsent bytes are counted until they are taken", "[net]")
{
    budget bytes;
    bytes.limit(100);
    bytes.add(1, 60, start);
    bytes.add(2, 40, start);
    CHECK(bytes.total() == 100);
    CHECK_FALSE(bytes.exceeded());
    CHECK_FALSE(bytes.slowest());
    bytes.taken(1, 20, start);
    CHECK(bytes.total() == 80);
    bytes.erase(2);
    CHECK(bytes.total() == 40);
    bytes.taken(2, 40, start);
    bytes.erase(2);
    CHECK(bytes.total() == 40);
}

SCENARIO("without a bound nobody is selected", "[net]")
{
    budget bytes;
    bytes.add(1, 1'000'000'000, start);
    CHECK_FALSE(bytes.exceeded());
    CHECK_FALSE(bytes.slowest());
}

// The memory of the smallest entries is exceeded if nobody is cut, and a caller
// that reads loses its answer if the wrong one is.
SCENARIO("beyond the bound the slowest reader is selected", "[net]")
{
    budget bytes;
    bytes.limit(100);
    GIVEN("several that hold the same amount")
    {
        bytes.add(1, 50, start);
        bytes.add(2, 50, start + 1s);
        bytes.add(3, 50, start + 2s);
        THEN("it is the one that has taken nothing for the longest time")
        {
            CHECK(bytes.slowest() == 1);
            bytes.taken(1, 10, start + 3s);
            CHECK(bytes.slowest() == 2);
            bytes.taken(2, 0, start + 3s);
            CHECK(bytes.slowest() == 3);
        }
        THEN("none is selected once enough were cut")
        {
            bytes.erase(1);
            CHECK_FALSE(bytes.slowest());
        }
    }
    GIVEN("one that holds little for long beside one that holds much")
    {
        bytes.add(1, 2, start);
        bytes.add(2, 110, start + 1s);
        THEN("it is not cut, as that would free nothing")
        {
            CHECK(bytes.slowest() == 2);
        }
    }
    GIVEN("one with a large answer that reads beside many that do not")
    {
        bytes.add(0, 30, start);
        for (int reader = 1; reader <= 9; ++reader)
            bytes.add(reader, 10, start);
        bytes.taken(0, 0, start + 1s);
        THEN("it is not cut")
        {
            REQUIRE(bytes.slowest());
            CHECK(bytes.slowest() != 0);
        }
    }
    GIVEN("one that held nothing for a while")
    {
        bytes.add(1, 50, start);
        bytes.taken(1, 50, start);
        bytes.add(2, 60, start + 5s);
        bytes.add(1, 60, start + 9s);
        THEN("that time does not count")
        {
            CHECK(bytes.slowest() == 2);
        }
    }
}
