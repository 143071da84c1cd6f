/*! @file
 * @brief Orders requests by the priorities that the configuration gives to
 * organisations and routes; pure. Load pattern: there are too few slots for all
 * requests, so that more urgent ones must come first.
 */
#ifndef COURSEJUNCTION_ROUTE_PRIORITY_HPP
#define COURSEJUNCTION_ROUTE_PRIORITY_HPP

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "coursejunction/fleet/installation.hpp"

namespace coursejunction
{

/*! @brief Rank of a request: the priority of its organisation, then that of its
 * route. The smallest is the most urgent, and the usual one where the
 * configuration sets no priorities. */
struct request_rank
{
    std::int32_t organisation{0};
    std::int32_t route{0};

    friend auto operator<=>(const request_rank&, const request_rank&) = default;
};

/*! @brief Returns the rank of a request.
 * @param owner Owner of its API key; null if it has none. */
[[nodiscard]] inline request_rank rank_of(const organisation* owner,
                                          const route_rule& route)
{
    return {owner != nullptr ? owner->priority : 0, route.priority};
}

/*! @brief Returns a rank as text, for the log. */
[[nodiscard]] inline std::string rank_text(const request_rank& rank)
{
    return std::to_string(rank.organisation) + "." + std::to_string(rank.route);
}

/*! @brief The ranks that requests of one service may have, in order. All
 * entries derive it from the same configuration, so that engines can compare
 * the requests of different entries. */
class rank_order
{
public:
    rank_order() = default;

    explicit rank_order(std::vector<request_rank> in_any_order)
        : ranks(std::move(in_any_order))
    {
        std::sort(ranks.begin(), ranks.end());
        ranks.erase(std::unique(ranks.begin(), ranks.end()), ranks.end());
    }

    /*! @brief Returns the ranks of a service by a configuration. */
    [[nodiscard]] static rank_order of(const installation& rules,
                                       const service_name& service)
    {
        std::vector<request_rank> found;
        for (const auto& route : rules.routes)
        {
            const bool leads_here =
                std::any_of(route.services.begin(), route.services.end(),
                            [&](const service_share& share)
                            { return share.service == service; });
            if (!leads_here)
                continue;
            if (!rules.requires_key || route.keyless)
                found.push_back(rank_of(nullptr, route));
            if (rules.requires_key && !route.keyless)
                for (const auto& [key, owner] : rules.keys)
                    found.push_back(rank_of(&owner, route));
        }
        return rank_order(std::move(found));
    }

    /*! @brief Returns the number of ranks, at least 1. */
    [[nodiscard]] std::size_t size() const
    {
        return std::max<std::size_t>(ranks.size(), 1);
    }

    /*! @brief Returns the position of a rank, 0 for the most urgent. A rank
     * that the configuration no longer contains has that of the next one. */
    [[nodiscard]] std::size_t position(const request_rank& rank) const
    {
        const auto found = std::lower_bound(ranks.begin(), ranks.end(), rank);
        return std::min(static_cast<std::size_t>(found - ranks.begin()),
                        size() - 1);
    }

    /*! @brief Returns the ranks, the most urgent first. */
    [[nodiscard]] const std::vector<request_rank>& all() const { return ranks; }

private:
    std::vector<request_rank> ranks;
};

} // namespace coursejunction

#endif
