#include "coursejunction/proxy/event_splitter.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;

SCENARIO("only whole events are given", "[proxy]")
{
    cj::event_splitter events;
    CHECK(events.append("id: 1\ndata: a\n").empty());
    CHECK(events.append("\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(events.last_id() == 1);
    CHECK(events.incomplete() == "id: 2\nda");

    WHEN("the sender is lost")
    {
        events.discard_incomplete();
        THEN("the half event is not joined with another sender's")
        {
            CHECK(events.append("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
            CHECK(events.last_id() == 2);
            CHECK(events.size() == 2);
        }
    }
    WHEN("lines end with carriage returns")
    {
        events.discard_incomplete();
        CHECK(events.append("id: 9\r\ndata: b\r\n\r\n").size() == 18);
        CHECK(events.last_id() == 9);
    }
}

TEST_CASE("events do not depend on how the bytes are cut", "[proxy]")
{
    rc::prop("same bytes",
             []
             {
                 const auto count = *rc::gen::inRange(0, 12);
                 std::string text;
                 for (int at = 0; at < count; ++at)
                     text += "id: " + std::to_string(at) + "\ndata: x\n\n";
                 text += "id: 99\nda";
                 cj::event_splitter events;
                 std::string given;
                 std::size_t from = 0;
                 while (from < text.size())
                 {
                     const auto size =
                         static_cast<std::size_t>(*rc::gen::inRange(1, 9));
                     given += events.append(text.substr(from, size));
                     from += size;
                 }
                 RC_ASSERT(given + events.incomplete() == text);
                 RC_ASSERT(events.size() == static_cast<std::size_t>(count));
             });
}
