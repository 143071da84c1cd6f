#include "coursejunction/daemon/internal/crash_gossip.hpp"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace coursejunction;
using namespace std::chrono_literals;

namespace
{

/*! @brief A chain of processes, each of which exchanges records only with its
 * neighbours. */
struct process_chain
{
    explicit process_chain(std::size_t count)
    {
        processes.reserve(count);
        for (std::size_t index = 0; index < count; ++index)
            processes.emplace_back(
                counters,
                [this, index](const auto& records)
                {
                    if (index > 0)
                        processes[index - 1].merge(records, now);
                    if (index + 1 < processes.size())
                        processes[index + 1].merge(records, now);
                });
    }

    metrics counters;
    time_point now{100s};
    std::vector<internal::crash_gossip> processes;
};

} // namespace

TEST_CASE("crash records reach processes that are not neighbours", "[daemon]")
{
    process_chain chain(9);
    const auto content =
        request_content::of("school", "/v1/completions", "bad");
    const auto crash = [&](int number)
    {
        return crash_report{
            content, crash_id_of(instance_id(std::to_string(number)), {})};
    };
    const auto quarantined = [&](const internal::crash_gossip& process)
    { return process.status(content, chain.now) == crash_status::quarantined; };
    chain.processes.front().record_crashes({crash(1)}, chain.now);
    chain.processes[4].record_crashes({crash(2)}, chain.now);
    CHECK_FALSE(quarantined(chain.processes.back()));
    chain.processes.back().record_crashes({crash(3)}, chain.now);
    for (const auto& process : chain.processes)
        CHECK(quarantined(process));

    SECTION("lifting the quarantine is forwarded too")
    {
        CHECK(chain.processes[3].lift_quarantine(content, chain.now));
        for (const auto& process : chain.processes)
            CHECK_FALSE(quarantined(process));
        CHECK_FALSE(chain.processes[3].lift_quarantine(content, chain.now));
    }
}
