#include "coursejunction/run/crash_updates.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace coursejunction;
using namespace std::chrono_literals;

namespace
{

constexpr time_point now{100s};

/*! @brief Records one crash each of a number of contents. */
void record_crashes(crash_ledger& ledger, int count)
{
    for (int at = 0; at < count; ++at)
        ledger.record_crash(
            request_content::of("school", "/essays", std::to_string(at)),
            crash_id_of(instance_id("engine"), incarnation(7)),
            crash_evidence::before_response, now);
}

std::size_t part_count(const std::vector<message::crash_record>& records)
{
    return static_cast<std::size_t>(std::count_if(
        records.begin(), records.end(),
        [](const message::crash_record& one)
        { return one.subject == message::crash_subject::prompt_part; }));
}

} // namespace

// Guards against a datagram that is too large, and against parts of prompts
// that keep the records of requests from being reported.
SCENARIO("a datagram is divided between records of parts and of requests",
         "[run]")
{
    crash_ledger parts(crash_limits::for_prompt_parts());
    crash_ledger requests;
    const auto collect = [&]
    { return collect_crash_updates(parts, requests, now); };

    GIVEN("more of both than fit")
    {
        record_crashes(parts, 20);
        record_crashes(requests, 20);
        THEN("parts take a limited number of places, requests the others")
        {
            const auto records = collect();
            CHECK(records.size() == crash_ledger::max_records_per_datagram);
            CHECK(part_count(records) == max_part_records_per_datagram);
        }
    }
    GIVEN("few of parts")
    {
        record_crashes(parts, 1);
        record_crashes(requests, 20);
        THEN("requests take the places that they leave")
        {
            const auto records = collect();
            CHECK(records.size() == crash_ledger::max_records_per_datagram);
            CHECK(part_count(records) == 1);
        }
    }
    GIVEN("only parts")
    {
        record_crashes(parts, 20);
        THEN("they take no more places")
        {
            CHECK(collect().size() == max_part_records_per_datagram);
        }
    }
    GIVEN("no crashes")
    {
        THEN("there is nothing to report")
        {
            CHECK(collect().empty());
        }
    }
}
