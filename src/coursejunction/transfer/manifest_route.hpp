/*! @file
 * @brief Whom a side asks for the manifest of a version; pure.
 */
#ifndef COURSEJUNCTION_TRANSFER_MANIFEST_ROUTE_HPP
#define COURSEJUNCTION_TRANSFER_MANIFEST_ROUTE_HPP

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

#include "coursejunction/core/rendezvous.hpp"
#include "coursejunction/transfer/source_policy.hpp"

namespace coursejunction
{

/*! @brief Sides that take a manifest from the same one. A manifest of 64 chunks
 * is 5 KB; four of them take 20 ms on a side's link. */
inline constexpr std::size_t manifest_arity = 4;

/*! @brief Returns the sides to ask for a manifest, the nearest first: a tree
 * over the own hall, whose root asks the first of all. That one has nobody and
 * asks the origin: if all did, manifests would hold the chunks up, and those of
 * other halls would wait behind the chunks of the first. */
[[nodiscard]] inline std::vector<instance_id>
manifest_sources(const std::string& version,
                 const std::vector<participant>& all, const instance_id& own)
{
    const auto self =
        std::find_if(all.begin(), all.end(),
                     [&](const participant& one) { return one.id == own; });
    if (self == all.end())
        return {};
    std::vector<instance_id> ids;
    std::vector<instance_id> near;
    for (const auto& one : all)
    {
        ids.push_back(one.id);
        if (one.hall == self->hall)
            near.push_back(one.id);
    }
    const auto hall = rendezvous_rank(version, near, near.size());
    const auto first = rendezvous_rank(version, ids, 1).front();
    std::vector<instance_id> sources;
    auto place = static_cast<std::size_t>(
        std::find(hall.begin(), hall.end(), own) - hall.begin());
    while (place > 0)
    {
        place = (place - 1) / manifest_arity;
        sources.push_back(hall[place]);
    }
    if (first != hall.front())
        sources.push_back(first);
    return sources;
}

/*! @brief Tells whether a side is the first of its hall: nobody of the hall is
 * asked before it. One that the list does not name yet is not, unless it is
 * alone.
 * @param sources What `manifest_sources` returned for it. */
[[nodiscard]] inline bool first_of_hall(const std::vector<participant>& all,
                                        const instance_id& own,
                                        const std::vector<instance_id>& sources)
{
    const auto listed = [&](const instance_id& id)
    {
        return std::find_if(all.begin(), all.end(),
                            [&](const participant& one)
                            { return one.id == id; });
    };
    const auto self = listed(own);
    if (self == all.end())
        return all.empty();
    return sources.empty() || listed(sources.front())->hall != self->hall;
}

} // namespace coursejunction

#endif
