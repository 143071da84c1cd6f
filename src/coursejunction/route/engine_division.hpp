/*! @file
 * @brief Assigns this entry's share of every upstream; pure.
 */
#ifndef COURSEJUNCTION_ROUTE_ENGINE_DIVISION_HPP
#define COURSEJUNCTION_ROUTE_ENGINE_DIVISION_HPP

#include <algorithm>
#include <cstddef>
#include <map>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/route/engine_shares.hpp"
#include "coursejunction/route/known_upstream.hpp"

namespace coursejunction
{

/*! @brief Returns this entry's fraction of an upstream's rate limit, or of its
 * rate while it is cold; 0 if there is neither. */
[[nodiscard]] inline double rate_fraction(const known_upstream& upstream)
{
    const auto& limit = upstream.terms.limit();
    if (!limit)
        return upstream.cold.fraction();
    return limit->per_second() > 0
               ? limit->own_share().per_second / limit->per_second()
               : 0;
}

/*! @brief Sets the share of every upstream: `rate_fraction` where the rate is
 * limited, else this entry's part of the division of the engines.
 * @param own This entry's interval of the total demand.
 * @param usable Returns whether an upstream takes part. */
template <typename Usable>
void divide_engines(std::map<instance_id, known_upstream>& upstreams,
                    const demand_interval& own, Usable usable)
{
    std::vector<known_upstream*> engines;
    for (auto& [id, upstream] : upstreams)
    {
        upstream.share = rate_fraction(upstream);
        if (usable(upstream) && !upstream.terms.limit() &&
            !upstream.cold.has_share())
            engines.push_back(&upstream);
    }
    std::stable_sort(engines.begin(), engines.end(),
                     [](const known_upstream* left, const known_upstream* right)
                     { return left->record.hall < right->record.hall; });
    std::vector<double> slots;
    slots.reserve(engines.size());
    for (const auto* upstream : engines)
        slots.push_back(static_cast<double>(upstream->record.slots));
    const auto fractions = engine_fractions(own, slots);
    for (std::size_t index = 0; index < engines.size(); ++index)
        engines[index]->share = fractions[index];
}

} // namespace coursejunction

#endif
