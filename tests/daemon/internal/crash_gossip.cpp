#include "coursejunction/daemon/internal/crash_gossip.hpp"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace coursejunction;
using namespace std::chrono_literals;

namespace
{

/*! @brief Processes in a row, each of which hears only its neighbours. */
struct row_of_processes
{
    explicit row_of_processes(std::size_t count)
    {
        all.reserve(count);
        for (std::size_t at = 0; at < count; ++at)
            all.emplace_back(counters,
                             [this, at](const auto& records)
                             {
                                 if (at > 0)
                                     all[at - 1].merge(records, now);
                                 if (at + 1 < all.size())
                                     all[at + 1].merge(records, now);
                             });
    }

    metrics counters;
    time_point now{100s};
    std::vector<internal::crash_gossip> all;
};

} // namespace

TEST_CASE("news of crashing requests pass from neighbour to neighbour",
          "[daemon]")
{
    row_of_processes row(9);
    const auto bad = request_content::of("school", "/v1/completions", "bad");
    const auto end = [&](int number)
    {
        return crash_report{
            bad, crash_id_of(instance_id(std::to_string(number)), {})};
    };
    const auto quarantined = [&](const internal::crash_gossip& one)
    { return one.status(bad, row.now) == crash_status::quarantined; };
    row.all.front().record_crashes({end(1)}, row.now);
    row.all[4].record_crashes({end(2)}, row.now);
    CHECK_FALSE(quarantined(row.all.back()));
    row.all.back().record_crashes({end(3)}, row.now);
    for (const auto& one : row.all)
        CHECK(quarantined(one));

    SECTION("and so does its lifting")
    {
        CHECK(row.all[3].lift_quarantine(bad, row.now));
        for (const auto& one : row.all)
            CHECK_FALSE(quarantined(one));
        CHECK_FALSE(row.all[3].lift_quarantine(bad, row.now));
    }
}
