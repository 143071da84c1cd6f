#include "coursejunction/daemon/internal/event_framer.hpp"

#include <catch2/catch.hpp>

namespace ci = coursejunction::internal;

SCENARIO("an event framer passes on only whole events", "[daemon]")
{
    ci::event_framer events;
    CHECK(events.at_boundary());

    GIVEN("an event that arrives in two parts")
    {
        CHECK(events.feed("data: {\"a\"").empty());
        CHECK_FALSE(events.at_boundary());
        CHECK(events.data_events() == 0);
        CHECK(events.feed(":1}\n\ndata: {") == "data: {\"a\":1}\n\n");
        CHECK(events.data_events() == 1);
        CHECK_FALSE(events.at_boundary());
        WHEN("another attempt starts")
        {
            events.discard_partial();
            THEN("the incomplete event is dropped and the count stays")
            {
                CHECK(events.at_boundary());
                CHECK(events.data_events() == 1);
                CHECK(events.feed("data: {}\n\n") == "data: {}\n\n");
                CHECK(events.data_events() == 2);
            }
        }
    }
    GIVEN("a comment between events with data")
    {
        const std::string stream = "data: {}\n\n: quiet\n\ndata: {}\n\n";
        CHECK(events.feed(stream) == stream);
        CHECK(events.data_events() == 2);
        CHECK(events.at_boundary());
    }
    GIVEN("the two line breaks of an event's end in separate parts")
    {
        CHECK(events.feed("data: {}\n").empty());
        CHECK(events.feed("\n") == "data: {}\n\n");
    }
}
