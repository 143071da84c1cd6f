/*! @file
 * @brief Divides the engines between the entries that use them; pure.
 * Load pattern: overload at many entries, none of which sees what the others
 * have sent since an engine's last report. If all choose among all engines,
 * several of them send to the same free slot, and an entry that refuses nobody
 * takes the slots of those that do. Every entry computes the same division from
 * the demand that all of them report; no central process grants shares.
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
    std::string entry; /*!< Its address. */
    double per_second{0};
};

/*! @brief The order of the entries for the division; the same at all entries.
 */
[[nodiscard]] inline bool operator<(const entry_demand& left,
                                    const entry_demand& right)
{
    return std::tie(left.hall, left.entry) < std::tie(right.hall, right.entry);
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
    const auto self =
        std::find_if(entries.begin(), entries.end(),
                     [&](const entry_demand& one) { return one.entry == own; });
    if (self == entries.end())
        return {};
    double all = 0;
    double before = 0;
    for (const auto& one : entries)
    {
        all += one.per_second;
        before += one < *self ? one.per_second : 0;
    }
    if (all <= 0)
        return {};
    return {before / all, (before + self->per_second) / all};
}

/*! @brief Returns the fraction of each engine that lies within an interval.
 *
 * The engines divide the interval from 0 to 1 as well, hall by hall like the
 * entries. So an entry has whole engines of its own hall except for two at
 * most, and engines of the next hall where its own has less capacity than
 * demand.
 * @param slots Slots of each engine, in the common order.
 * @return Fractions from 0 to 1, one for each engine. */
[[nodiscard]] inline std::vector<double>
engine_fractions(const demand_interval& own, const std::vector<double>& slots)
{
    double all = 0;
    for (const auto one : slots)
        all += one;
    std::vector<double> fractions;
    fractions.reserve(slots.size());
    double offset = 0;
    for (const auto one : slots)
    {
        const auto covered = std::min(own.to * all, offset + one) -
                             std::max(own.from * all, offset);
        fractions.push_back(one > 0 ? std::clamp(covered / one, 0.0, 1.0)
                                    : 0.0);
        offset += one;
    }
    return fractions;
}

} // namespace coursejunction

#endif
