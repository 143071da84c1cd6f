/*! @file
 * @brief Decides whether a request may be served in a hall; pure.
 * Load pattern: any. Routes and organisations name the regions that their
 * requests may not leave, also when upstreams there are full, fail or leave.
 */
#ifndef COURSEJUNCTION_ROUTE_REGION_RESTRICTION_HPP
#define COURSEJUNCTION_ROUTE_REGION_RESTRICTION_HPP

#include <algorithm>
#include <iterator>
#include <map>
#include <string>
#include <vector>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief The regions in which a request may be served. */
class region_restriction
{
public:
    /*! @brief Allows every hall. */
    region_restriction() = default;

    /*! @brief Returns the restriction of a request whose route and organisation
     * allow these regions. An empty list is no restriction; of two lists both
     * apply, and no hall is allowed if they have no region in common. */
    [[nodiscard]] static region_restriction
    of(const std::vector<region_id>& route_regions,
       const std::vector<region_id>& organisation_regions)
    {
        region_restriction result;
        result.active = !route_regions.empty() || !organisation_regions.empty();
        if (route_regions.empty())
            result.regions = organisation_regions;
        else if (organisation_regions.empty())
            result.regions = route_regions;
        else
            std::copy_if(route_regions.begin(), route_regions.end(),
                         std::back_inserter(result.regions),
                         [&](const region_id& region)
                         { return contains(organisation_regions, region); });
        return result;
    }

    /*! @brief Returns whether any hall is excluded. */
    [[nodiscard]] bool is_active() const { return active; }

    /*! @brief Returns whether the request may be served in a hall. A hall
     * without a known region is in no allowed region.
     * @param hall_regions The region of each known hall. */
    [[nodiscard]] bool
    allows(const hall_id& hall,
           const std::map<hall_id, region_id>& hall_regions) const
    {
        if (!active)
            return true;
        const auto found = hall_regions.find(hall);
        return found != hall_regions.end() && contains(regions, found->second);
    }

    /*! @brief Returns the allowed regions for log lines, separated by commas;
     * "any" without a restriction, "none" if no region is allowed. */
    [[nodiscard]] std::string text() const
    {
        if (!active)
            return "any";
        std::string joined;
        for (const auto& region : regions)
            joined += (joined.empty() ? "" : ",") + region.value();
        return regions.empty() ? "none" : joined;
    }

private:
    [[nodiscard]] static bool contains(const std::vector<region_id>& list,
                                       const region_id& region)
    {
        return std::find(list.begin(), list.end(), region) != list.end();
    }

    bool active{false};
    std::vector<region_id> regions; /*!< Only if `active`. */
};

} // namespace coursejunction

#endif
