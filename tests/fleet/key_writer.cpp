#include "coursejunction/fleet/key_writer.hpp"

#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "net/loopback.hpp"

using namespace coursejunction;
using namespace std::chrono_literals;

SCENARIO("writes are serialized and delayed", "[fleet]")
{
    loopback::running_loop running;
    metrics counters;
    key_writer writer(running.loop, counters, "writes_total",
                      backoff(20ms, 100ms, 1));
    std::vector<std::string> outcomes;
    const auto record_outcome =
        [&](write_outcome outcome, const std::string& why)
    { outcomes.push_back(write_outcome_name(outcome) + ": " + why); };

    SECTION("each outcome is reported and counted")
    {
        running.on_loop(
            [&]
            {
                for (const result<bool>& answer :
                     {result<bool>(true), result<bool>(false),
                      result<bool>(failure(error_kind::unavailable, "away"))})
                {
                    const auto on_answer = writer.begin(record_outcome);
                    CHECK(writer.busy());
                    on_answer(answer);
                    CHECK_FALSE(writer.busy());
                }
            });
        CHECK(outcomes == std::vector<std::string>{
                              "written: ", "outrun: ", "failed: away"});
        CHECK(counters.text().find("writes_total{result=\"outrun\"} 1") !=
              std::string::npos);
    }
    SECTION("the callback at the end of a delay may start another delay")
    {
        int delays = 0;
        std::function<void()> delay_again = [&]
        {
            if (++delays < 3)
                writer.back_off(delay_again);
        };
        running.on_loop(
            [&]
            {
                writer.back_off(delay_again);
                CHECK(writer.busy());
            });
        std::this_thread::sleep_for(600ms);
        running.on_loop(
            [&]
            {
                CHECK(delays == 3);
                CHECK_FALSE(writer.busy());
            });
    }
    running.stop();
}
