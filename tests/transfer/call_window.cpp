#include "coursejunction/transfer/call_window.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("a narrow link limits concurrent chunk downloads", "[transfer]")
{
    cj::call_window window(4, 800ms);
    THEN("a link with its full rate leaves every limit unchanged")
    {
        CHECK(window.limit(4) == 4);
        CHECK(window.limit(8) == 8);
        CHECK(window.limit(2) == 2);
    }
    GIVEN("chunks that take long")
    {
        window.record_duration(900ms);
        CHECK(window.limit(8) == 2);
        window.record_duration(2s);
        window.record_duration(2s);
        CHECK(window.limit(8) == 1);
        THEN("a chunk of medium duration changes nothing")
        {
            window.record_duration(600ms);
            CHECK(window.limit(8) == 1);
        }
        THEN("the limit rises by one for each fast chunk")
        {
            window.record_duration(100ms);
            CHECK(window.limit(8) == 2);
            window.record_duration(100ms);
            window.record_duration(100ms);
            CHECK(window.limit(8) == 8);
        }
    }
    GIVEN("a window without a threshold for slow chunks")
    {
        cj::call_window unlimited(4, 0ms);
        unlimited.record_duration(60s);
        CHECK(unlimited.limit(16) == 16);
    }
}
