/*! @file
 * @brief Divides engines between the entries that use them; pure.
 *
 * Load pattern: more is asked for than the engines can end, at many entries,
 * each of which is blind for what the others have sent since an engine's last
 * report. Where all choose among all, a place that comes free is taken by
 * several at once, and whoever refuses nobody takes the places of those that
 * do. Each entry works the same division out for itself, from what all entries
 * tell of their callers; nobody grants anything.
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

/*! @brief An entry and the requests for engines that its callers make. */
struct entry_demand
{
    hall_id hall;
    std::string entry; /*!< Its address. */
    double per_second{0};
};

/*! @brief Entries in the order in which all of them lay them on a line. */
[[nodiscard]] inline bool operator<(const entry_demand& left,
                                    const entry_demand& right)
{
    return std::tie(left.hall, left.entry) < std::tie(right.hall, right.entry);
}

/*! @brief A stretch of a line. */
struct demand_interval
{
    double from{0};
    double to{0};
};

/*! @brief Returns an entry's stretch of a line of length 1, on which each entry
 * has a part as long as its part of the demand.
 * @param own Address of the entry.
 * @param entries All of them, this one included, in any order. */
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

/*! @brief Returns which part of each engine lies on a stretch.
 *
 * Engines lie on a line of length 1 as well, hall after hall as the entries do,
 * so that an entry has whole engines of its own hall but for two, and those of
 * a neighbouring hall where its own has less room than callers.
 * @param places Places of each engine, in the common order.
 * @return A part, 0 to 1, for each engine. */
[[nodiscard]] inline std::vector<double>
engine_fractions(const demand_interval& own, const std::vector<double>& places)
{
    double all = 0;
    for (const auto one : places)
        all += one;
    std::vector<double> parts;
    parts.reserve(places.size());
    double at = 0;
    for (const auto one : places)
    {
        const auto covered =
            std::min(own.to * all, at + one) - std::max(own.from * all, at);
        parts.push_back(one > 0 ? std::clamp(covered / one, 0.0, 1.0) : 0.0);
        at += one;
    }
    return parts;
}

} // namespace coursejunction

#endif
