/*! @file
 * @brief Divides the engines between the entries that use them; pure.
 * Load pattern: overload at many entries, none of which sees what the others
 * have sent since an engine's last report. If all choose among all engines,
 * several of them send to the same free slot, and an entry that refuses no
 * client takes the slots of those that do. Every entry computes the same
 * division from the demand that all of them report; no central process grants
 * shares.
 */
#ifndef COURSEJUNCTION_ROUTE_ENGINE_SHARES_HPP
#define COURSEJUNCTION_ROUTE_ENGINE_SHARES_HPP

#include <algorithm>
#include <cstddef>
#include <string>
#include <tuple>
#include <vector>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief An entry and the demand of its clients for engines. */
struct entry_demand
{
    hall_id hall;
    std::string address;
    double per_second{0};
};

/*! @brief The order of the entries for the division; the same at all entries.
 */
[[nodiscard]] inline bool operator<(const entry_demand& left,
                                    const entry_demand& right)
{
    return std::tie(left.hall, left.address) <
           std::tie(right.hall, right.address);
}

/*! @brief A part of the interval from 0 to 1. */
struct demand_interval
{
    double from{0};
    double to{0};
};

/*! @brief Returns the part of the interval from 0 to 1 that belongs to an
 * entry. The interval is divided between the entries in proportion to their
 * demand.
 * @param own Address of the entry.
 * @param entries All entries including this one, in any order. */
[[nodiscard]] inline demand_interval
demand_interval_of(const std::string& own,
                   const std::vector<entry_demand>& entries)
{
    const auto self = std::find_if(entries.begin(), entries.end(),
                                   [&](const entry_demand& entry)
                                   { return entry.address == own; });
    if (self == entries.end())
        return {};
    double total = 0;
    double before = 0;
    for (const auto& entry : entries)
    {
        total += entry.per_second;
        before += entry < *self ? entry.per_second : 0;
    }
    if (total <= 0)
        return {};
    return {before / total, (before + self->per_second) / total};
}

/*! @brief Returns the fraction of each engine that lies within an interval.
 *
 * The engines divide the interval from 0 to 1 as well, hall by hall like the
 * entries. So an entry has whole engines of its own hall and parts of at most
 * two, and engines of the next hall where its own has less capacity than
 * demand.
 * @param slots Slots of each engine, in the common order.
 * @return Fractions from 0 to 1, one for each engine. */
[[nodiscard]] inline std::vector<double>
engine_fractions(const demand_interval& own, const std::vector<double>& slots)
{
    double total = 0;
    for (const auto count : slots)
        total += count;
    std::vector<double> fractions;
    fractions.reserve(slots.size());
    double offset = 0;
    for (const auto count : slots)
    {
        const auto covered = std::min(own.to * total, offset + count) -
                             std::max(own.from * total, offset);
        fractions.push_back(count > 0 ? std::clamp(covered / count, 0.0, 1.0)
                                      : 0.0);
        offset += count;
    }
    return fractions;
}

} // namespace coursejunction

#endif
