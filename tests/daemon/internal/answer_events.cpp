#include "coursejunction/daemon/internal/answer_events.hpp"

#include <catch2/catch.hpp>

namespace ci = coursejunction::internal;

SCENARIO("only whole events are given out", "[daemon]")
{
    ci::answer_events events;
    CHECK(events.whole());

    GIVEN("an event in two parts")
    {
        CHECK(events.take("data: {\"a\"").empty());
        CHECK_FALSE(events.whole());
        CHECK(events.size() == 0);
        CHECK(events.take(":1}\n\ndata: {") == "data: {\"a\":1}\n\n");
        CHECK(events.size() == 1);
        CHECK_FALSE(events.whole());
        WHEN("another attempt begins")
        {
            events.drop();
            THEN("what was given out still counts")
            {
                CHECK(events.whole());
                CHECK(events.size() == 1);
                CHECK(events.take("data: {}\n\n") == "data: {}\n\n");
                CHECK(events.size() == 2);
            }
        }
    }
    GIVEN("events without data among others")
    {
        const std::string all = "data: {}\n\n: quiet\n\ndata: {}\n\n";
        CHECK(events.take(all) == all);
        CHECK(events.size() == 2);
        CHECK(events.whole());
    }
    GIVEN("an end cut in two")
    {
        CHECK(events.take("data: {}\n").empty());
        CHECK(events.take("\n") == "data: {}\n\n");
    }
}
