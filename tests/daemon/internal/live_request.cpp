#include "coursejunction/daemon/internal/live_request.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
namespace ci = coursejunction::internal;
using namespace std::chrono_literals;

SCENARIO("an attempt resumes after the last event, with at least 1 ms left",
         "[daemon]")
{
    ci::live_request request;
    request.id = cj::request_id("r");
    request.route.weights = "w";
    request.attempt = 2;
    REQUIRE_FALSE(request.events.feed("data: {}\n\n").empty());

    const auto dispatch = ci::make_dispatch(request, 250ms);

    CHECK(dispatch.resume_from == 1);
    CHECK(dispatch.request == "r");
    CHECK(dispatch.weights == "w");
    CHECK(dispatch.attempt == 2);
    CHECK(dispatch.deadline_ms == 250);
    CHECK(ci::make_dispatch(request, -5ms).deadline_ms == 1);
}
