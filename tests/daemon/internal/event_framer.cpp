#include "coursejunction/daemon/internal/event_framer.hpp"

#include <catch2/catch.hpp>

namespace ci = coursejunction::internal;

SCENARIO("only whole events are given out", "[daemon]")
{
    ci::event_framer events;
    CHECK(events.at_boundary());

    GIVEN("an event in two parts")
    {
        CHECK(events.feed("data: {\"a\"").empty());
        CHECK_FALSE(events.at_boundary());
        CHECK(events.data_events() == 0);
        CHECK(events.feed(":1}\n\ndata: {") == "data: {\"a\":1}\n\n");
        CHECK(events.data_events() == 1);
        CHECK_FALSE(events.at_boundary());
        WHEN("another attempt begins")
        {
            events.discard_partial();
            THEN("what was given out still counts")
            {
                CHECK(events.at_boundary());
                CHECK(events.data_events() == 1);
                CHECK(events.feed("data: {}\n\n") == "data: {}\n\n");
                CHECK(events.data_events() == 2);
            }
        }
    }
    GIVEN("events without data among others")
    {
        const std::string all = "data: {}\n\n: quiet\n\ndata: {}\n\n";
        CHECK(events.feed(all) == all);
        CHECK(events.data_events() == 2);
        CHECK(events.at_boundary());
    }
    GIVEN("an end cut in two")
    {
        CHECK(events.feed("data: {}\n").empty());
        CHECK(events.feed("\n") == "data: {}\n\n");
    }
}
