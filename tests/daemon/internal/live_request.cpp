#include "coursejunction/daemon/internal/live_request.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
namespace ci = coursejunction::internal;
using namespace std::chrono_literals;

SCENARIO("an attempt resumes behind the last event", "[daemon]")
{
    ci::live_request one;
    one.id = cj::request_id("r");
    one.route.weights = "w";
    one.attempt = 2;
    REQUIRE_FALSE(one.events.feed("data: {}\n\n").empty());

    const auto ask = ci::make_dispatch(one, 250ms);

    CHECK(ask.resume_from == 1);
    CHECK(ask.request == "r");
    CHECK(ask.weights == "w");
    CHECK(ask.attempt == 2);
    CHECK(ask.deadline_ms == 250);
    CHECK(ci::make_dispatch(one, -5ms).deadline_ms == 1);
}
