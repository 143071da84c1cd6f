#include "coursejunction/proxy/event_splitter.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;

SCENARIO("only complete events are returned", "[proxy]")
{
    cj::event_splitter events;
    CHECK(events.append("id: 1\ndata: a\n").empty());
    CHECK(events.append("\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(events.last_id() == 1);
    CHECK(events.incomplete() == "id: 2\nda");

    WHEN("the sender is replaced by another one")
    {
        events.discard_incomplete();
        THEN("the incomplete event is not joined with the new sender's events")
        {
            CHECK(events.append("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
            CHECK(events.last_id() == 2);
            CHECK(events.event_count() == 2);
        }
    }
    WHEN("lines end with carriage returns")
    {
        events.discard_incomplete();
        CHECK(events.append("id: 9\r\ndata: b\r\n\r\n").size() == 18);
        CHECK(events.last_id() == 9);
    }
    WHEN("lines end with carriage returns only")
    {
        events.discard_incomplete();
        CHECK(events.append("id: 9\rdata: b\r\rid: 10\r") ==
              "id: 9\rdata: b\r\r");
        CHECK(events.last_id() == 9);
        CHECK(events.inside_event());
    }
    WHEN("empty lines follow an event")
    {
        CHECK(events.append("ta: b\n\n\n\r\n") == "id: 2\ndata: b\n\n");
        THEN("no event has begun, and the lines are kept")
        {
            CHECK_FALSE(events.inside_event());
            CHECK(events.incomplete() == "\n\r\n");
            CHECK(events.event_count() == 2);
        }
    }
}

TEST_CASE("events do not depend on how the bytes are split", "[proxy]")
{
    rc::prop("same bytes",
             []
             {
                 const auto count = *rc::gen::inRange(0, 12);
                 const std::string line_end =
                     *rc::gen::element<std::string>("\n", "\r\n", "\r");
                 std::string text;
                 for (int index = 0; index < count; ++index)
                     text += "id: " + std::to_string(index) + line_end +
                             "data: x" + line_end + line_end;
                 text += "id: 99" + line_end + "da";
                 cj::event_splitter events;
                 std::string returned;
                 std::size_t position = 0;
                 while (position < text.size())
                 {
                     const auto size =
                         static_cast<std::size_t>(*rc::gen::inRange(1, 9));
                     returned += events.append(text.substr(position, size));
                     position += size;
                 }
                 RC_ASSERT(returned + events.incomplete() == text);
                 RC_ASSERT(events.event_count() ==
                           static_cast<std::size_t>(count));
                 RC_ASSERT(events.inside_event());
             });
}
