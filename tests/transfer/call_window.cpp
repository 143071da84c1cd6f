#include "coursejunction/transfer/call_window.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("chunks on their way to a narrow link are few", "[transfer]")
{
    cj::call_window window(4, 800ms);
    THEN("a whole link takes as many as usual of every kind")
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
        THEN("those that take neither long nor little change nothing")
        {
            window.record_duration(600ms);
            CHECK(window.limit(8) == 1);
        }
        THEN("it opens step by step when they come soon")
        {
            window.record_duration(100ms);
            CHECK(window.limit(8) == 2);
            window.record_duration(100ms);
            window.record_duration(100ms);
            CHECK(window.limit(8) == 8);
        }
    }
    GIVEN("a window that does not look at times")
    {
        cj::call_window open(4, 0ms);
        open.record_duration(60s);
        CHECK(open.limit(16) == 16);
    }
}
