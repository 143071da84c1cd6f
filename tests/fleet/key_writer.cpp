#include "coursejunction/fleet/key_writer.hpp"

#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "net/loopback.hpp"

using namespace coursejunction;
using namespace std::chrono_literals;

SCENARIO("one write of the store runs at a time", "[fleet]")
{
    loopback::running_loop running;
    metrics counters;
    key_writer writer(running.loop, counters, "writes_total",
                      backoff(20ms, 100ms, 1));
    std::vector<std::string> ended;
    const auto noted = [&](write_outcome outcome, const std::string& why)
    { ended.push_back(write_outcome_name(outcome) + ": " + why); };

    SECTION("what becomes of each is told and counted")
    {
        running.on_loop(
            [&]
            {
                for (const result<bool>& answer :
                     {result<bool>(true), result<bool>(false),
                      result<bool>(failure(error_kind::unavailable, "away"))})
                {
                    const auto answered = writer.begin(noted);
                    CHECK(writer.busy());
                    answered(answer);
                    CHECK_FALSE(writer.busy());
                }
            });
        CHECK(ended == std::vector<std::string>{
                           "written: ", "outrun: ", "failed: away"});
        CHECK(counters.text().find("writes_total{result=\"outrun\"} 1") !=
              std::string::npos);
    }
    SECTION("a pause that ends may begin another one")
    {
        int pauses = 0;
        std::function<void()> again = [&]
        {
            if (++pauses < 3)
                writer.back_off(again);
        };
        running.on_loop(
            [&]
            {
                writer.back_off(again);
                CHECK(writer.busy());
            });
        std::this_thread::sleep_for(600ms);
        running.on_loop(
            [&]
            {
                CHECK(pauses == 3);
                CHECK_FALSE(writer.busy());
            });
    }
    running.stop();
}
