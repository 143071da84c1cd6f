#include "coursejunction/route/placement_queue.hpp"

#include <catch2/catch.hpp>

#include "coursejunction/route/urgency.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("order in which waiting requests are tried", "[route]")
{
    cj::placement_queue queue;
    const cj::time_point now{100s};
    const cj::waiting_request late{{}, true, false, now - 2s, 1};
    const cj::waiting_request loose{{}, false, false, now + 400ms, 2};
    const cj::waiting_request tight{{}, false, false, now + 200ms, 3};
    queue.push(late);
    queue.push(loose);
    queue.push(tight);

    THEN("the earliest target goes first, requests that can no longer meet "
         "theirs go last")
    {
        CHECK(queue.request_numbers() == std::vector<std::uint64_t>{3, 2, 1});
    }
    // Guards against a client that ignored its return time, or comes later,
    // taking the slot of one that was told to return now.
    WHEN("a client that was not told to return now was late earlier")
    {
        queue.push({{}, true, true, now - 3s, 4});
        THEN("it goes after the one that was")
        {
            CHECK(queue.request_numbers() ==
                  std::vector<std::uint64_t>{3, 2, 1, 4});
        }
    }
    THEN("a placed request is removed")
    {
        queue.erase(tight);
        CHECK(queue.request_numbers() == std::vector<std::uint64_t>{2, 1});
        CHECK(queue.size() == 2);
    }
}

SCENARIO("urgency of requests that wait at an engine", "[route]")
{
    THEN("less time left is more urgent")
    {
        CHECK(cj::urgency_of(300ms) < cj::urgency_of(400ms));
    }
    THEN("resumed streams come before all others, late requests after")
    {
        CHECK(cj::stream_urgency < cj::urgency_of(0ms));
        CHECK(cj::urgency_of(60s) < cj::late_urgency());
    }
}
