/*! @file
 * @brief Determines which sidecars a sidecar asks for a manifest. Does no I/O.
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

/*! @brief Children of a node in the tree over a hall. A manifest of 64 chunks
 * is 5 KB; four copies take 20 ms on the link of a sidecar. */
inline constexpr std::size_t manifest_arity = 4;

/*! @brief Returns the sidecars to ask for a manifest, the nearest first: the
 * ancestors in a tree over the own hall, then the first sidecar of all, which
 * the root of each other hall asks. The result is empty for that first one,
 * which asks the origin. If all asked the origin, manifests would delay the
 * chunks on its link, and other halls would wait behind the chunks of the
 * first hall. */
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
    std::vector<instance_id> in_hall;
    for (const auto& one : all)
    {
        ids.push_back(one.id);
        if (one.hall == self->hall)
            in_hall.push_back(one.id);
    }
    const auto ranked_hall = rendezvous_rank(version, in_hall, in_hall.size());
    const auto first = rendezvous_rank(version, ids, 1).front();
    std::vector<instance_id> sources;
    auto position = static_cast<std::size_t>(
        std::find(ranked_hall.begin(), ranked_hall.end(), own) -
        ranked_hall.begin());
    while (position > 0)
    {
        position = (position - 1) / manifest_arity;
        sources.push_back(ranked_hall[position]);
    }
    if (first != ranked_hall.front())
        sources.push_back(first);
    return sources;
}

/*! @brief Returns whether a sidecar is the first of its hall, so that it asks
 * no other of the hall. One that is not in the list yet is not, unless the
 * list is empty.
 * @param sources Result of `manifest_sources` for this sidecar. */
[[nodiscard]] inline bool first_of_hall(const std::vector<participant>& all,
                                        const instance_id& own,
                                        const std::vector<instance_id>& sources)
{
    const auto find = [&](const instance_id& id)
    {
        return std::find_if(all.begin(), all.end(),
                            [&](const participant& one)
                            { return one.id == id; });
    };
    const auto self = find(own);
    if (self == all.end())
        return all.empty();
    return sources.empty() || find(sources.front())->hall != self->hall;
}

} // namespace coursejunction

#endif
