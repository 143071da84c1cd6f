/*! @file
 * @brief Divides a datagram between the crash records of parts of prompts and
 * those of requests; pure.
 */
#ifndef COURSEJUNCTION_RUN_CRASH_UPDATES_HPP
#define COURSEJUNCTION_RUN_CRASH_UPDATES_HPP

#include <cstddef>
#include <utility>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/run/crash_ledger.hpp"

namespace coursejunction
{

/*! @brief Maximum number of records of parts in one datagram. They are longer
 * than those of requests, and a harmful part is among the first to change. */
inline constexpr std::size_t max_part_records_per_datagram = 6;

/*! @brief Returns the records to report to the others with the next datagram:
 * those of parts first, then those of requests, at most
 * `crash_ledger::max_records_per_datagram` together. They count as reported.
 * @param parts Ledger of parts of prompts.
 * @param requests Ledger of requests. */
[[nodiscard]] inline std::vector<message::crash_record>
collect_crash_updates(crash_ledger& parts, crash_ledger& requests,
                      time_point now)
{
    auto updates = parts.collect_updates(max_part_records_per_datagram, now);
    const auto left = crash_ledger::max_records_per_datagram - updates.size();
    for (auto& record : requests.collect_updates(left, now))
        updates.push_back(std::move(record));
    return updates;
}

} // namespace coursejunction

#endif
