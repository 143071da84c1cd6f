#include "coursejunction/route/placement_queue.hpp"

#include <catch2/catch.hpp>

#include "coursejunction/route/urgency.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("who is looked at first when a place comes free", "[route]")
{
    cj::placement_queue line;
    const cj::time_point now{100s};
    const cj::waiting_request late{true, now - 2s, 1};
    const cj::waiting_request loose{false, now + 400ms, 2};
    const cj::waiting_request tight{false, now + 200ms, 3};
    line.push(late);
    line.push(loose);
    line.push(tight);

    THEN("the least time left goes first, and lost targets go last")
    {
        CHECK(line.request_numbers() == std::vector<std::uint64_t>{3, 2, 1});
    }
    THEN("who has a place leaves the line")
    {
        line.erase(tight);
        CHECK(line.request_numbers() == std::vector<std::uint64_t>{2, 1});
        CHECK(line.size() == 2);
    }
}

SCENARIO("who is let in first by an engine", "[route]")
{
    THEN("less time left is more urgent")
    {
        CHECK(cj::urgency_of(300ms) < cj::urgency_of(400ms));
    }
    THEN("streams that go on come before all, late requests after all")
    {
        CHECK(cj::stream_urgency < cj::urgency_of(0ms));
        CHECK(cj::urgency_of(60s) < cj::late_urgency);
    }
}
