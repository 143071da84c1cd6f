#include "coursejunction/run/recent_responses.hpp"

#include <string>

#include <catch2/catch.hpp>

using namespace coursejunction;
using namespace std::chrono_literals;

TEST_CASE("answers of the last while are counted by content", "[run]")
{
    recent_responses answers;
    time_point now{100s};
    const auto asked = request_content::of("x", "/", "1");

    SECTION("they count for ten seconds")
    {
        answers.record(asked, now);
        answers.record(asked, now + 5s);
        CHECK(answers.count(asked, now + 9s) == 2);
        CHECK(answers.count(asked, now + 10s) == 1);
        CHECK(answers.count(asked, now + 15s) == 0);
    }
    SECTION("some are spent")
    {
        answers.record(asked, now);
        answers.record(request_content::of("x", "/", "2"), now);
        answers.record(asked, now + 1s);
        answers.consume(asked, 1);
        CHECK(answers.count(asked, now + 2s) == 1);
        CHECK(answers.count(request_content::of("x", "/", "2"), now) == 1);
        answers.consume(asked, 5);
        CHECK(answers.count(asked, now + 2s) == 0);
        CHECK(answers.count(asked, now + 20s) == 0);
    }
    SECTION("a flood of others pushes the oldest out")
    {
        answers.record(asked, now);
        for (std::size_t at = 0; at < recent_responses::capacity; ++at)
            answers.record(
                request_content::of("x", "/", std::to_string(at) + "y"), now);
        CHECK(answers.count(asked, now) == 0);
    }
}
