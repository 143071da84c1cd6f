#include "coursejunction/transfer/source_policy.hpp"

#include <algorithm>
#include <string>
#include <tuple>

#include "coursejunction/core/rendezvous.hpp"

namespace coursejunction
{

namespace internal
{

/*! @brief Chunks share this many rankings, which bounds the cost of ranking for
 * a manifest of any length. */
constexpr std::size_t max_rankings = 1024;

std::string ranking_key(const manifest& content, std::size_t index)
{
    return content.id().hex() + "/" + std::to_string(index);
}

std::vector<participant> top_ranked(const std::string& key,
                                    const std::vector<participant>& from,
                                    std::size_t count)
{
    std::vector<instance_id> ids;
    ids.reserve(from.size());
    for (const auto& one : from)
        ids.push_back(one.id);
    std::vector<participant> chosen;
    for (const auto& id : rendezvous_rank(key, ids, count))
        chosen.push_back(*std::find_if(from.begin(), from.end(),
                                       [&](const participant& one)
                                       { return one.id == id; }));
    return chosen;
}

template <typename Predicate>
std::vector<participant> filtered(const std::vector<participant>& from,
                                  Predicate predicate)
{
    std::vector<participant> chosen;
    std::copy_if(from.begin(), from.end(), std::back_inserter(chosen),
                 predicate);
    return chosen;
}

/*! @brief Returns the ranks that are alive; this instance always counts as
 * alive. */
std::vector<participant> alive_only(const std::vector<participant>& ranks,
                                    const instance_id& own,
                                    const liveness& alive)
{
    return filtered(ranks, [&](const participant& one)
                    { return one.id == own || alive(one.id); });
}

bool among_first(const std::vector<participant>& ranks, const instance_id& own,
                 std::size_t count)
{
    const auto end = ranks.begin() +
                     static_cast<std::ptrdiff_t>(std::min(count, ranks.size()));
    return std::any_of(ranks.begin(), end,
                       [&](const participant& one) { return one.id == own; });
}

/*! @brief Returns how many instances besides the first fetch a chunk from the
 * origin. With 1.5 extra copies it is one for each chunk and a second one for
 * half of them.
 * @param fraction Hash of the chunk, in [0, 1). */
std::size_t extra_copies(double extra, double fraction)
{
    const auto whole = static_cast<std::size_t>(extra);
    return whole + (fraction < extra - static_cast<double>(whole) ? 1U : 0U);
}

std::size_t position_of(const std::vector<instance_id>& order,
                        const instance_id& own)
{
    const auto found = std::find(order.begin(), order.end(), own);
    if (found == order.end())
        return 0;
    return static_cast<std::size_t>(found - order.begin());
}

} // namespace internal

void swarm_policy::assign(const manifest& content,
                          const std::vector<participant>& all,
                          const instance_id& own)
{
    const auto found =
        std::find_if(all.begin(), all.end(),
                     [&](const participant& one) { return one.id == own; });
    rankings.clear();
    if (found == all.end())
        return;
    self = *found;
    const auto same_region = internal::filtered(
        all, [&](const participant& one) { return one.region == self.region; });
    const auto same_hall = internal::filtered(
        all, [&](const participant& one) { return one.hall == self.hall; });
    const auto count = std::min(content.size(), internal::max_rankings);
    rankings.reserve(count);
    for (std::size_t index = 0; index < count; ++index)
    {
        const auto key = internal::ranking_key(content, index);
        ranking top_ranks;
        top_ranks.all = internal::top_ranked(key, all, max_ranks);
        top_ranks.region = internal::top_ranked(key, same_region, max_ranks);
        top_ranks.hall = internal::top_ranked(key, same_hall, max_ranks);
        top_ranks.fraction = static_cast<double>(stable_hash(key) >> 11U) /
                             static_cast<double>(std::uint64_t{1} << 53U);
        rankings.push_back(std::move(top_ranks));
    }
}

chunk_source swarm_policy::source(chunk_index chunk, const liveness& alive,
                                  std::size_t level) const
{
    if (rankings.empty())
        return {};
    const auto& ranks = rankings[chunk % rankings.size()];
    const auto all = internal::alive_only(ranks.all, self.id, alive);
    const auto origin_ranks =
        1 + internal::extra_copies(extra_origin_copies, ranks.fraction) + level;
    if (all.empty() || internal::among_first(all, self.id, origin_ranks))
        return chunk_source::from_origin();
    const auto& owner = all[level % all.size()];
    const auto region = internal::alive_only(ranks.region, self.id, alive);
    const bool other_region = owner.region != self.region;
    if (other_region && internal::among_first(region, self.id, level + 1))
        return chunk_source::from_peer(owner.id);
    // Inside its own region the owner is the source, elsewhere the first rank
    // of the region.
    const auto& region_source =
        other_region && !region.empty() ? region[level % region.size()] : owner;
    const auto hall = internal::alive_only(ranks.hall, self.id, alive);
    if (region_source.hall != self.hall &&
        internal::among_first(hall, self.id, level + 1))
        return chunk_source::from_peer(region_source.id);
    return {};
}

std::vector<instance_id> swarm_policy::watched() const
{
    std::vector<instance_id> chosen;
    const auto add = [&](const instance_id& id)
    {
        if (id != self.id && chosen.size() < max_watched &&
            std::find(chosen.begin(), chosen.end(), id) == chosen.end())
            chosen.push_back(id);
    };
    // The second rank watches the first; the first rank of a region or hall
    // watches the one it fetches from.
    for (const auto& ranks : rankings)
    {
        if (ranks.all.size() > 1 && ranks.all[1].id == self.id)
            add(ranks.all[0].id);
        if (!ranks.region.empty() && ranks.region[0].id == self.id)
            add(ranks.all[0].id);
        if (ranks.region.size() > 1 && ranks.region[1].id == self.id)
            add(ranks.region[0].id);
        if (!ranks.hall.empty() && ranks.hall[0].id == self.id)
            add(ranks.region[0].id);
        if (ranks.hall.size() > 1 && ranks.hall[1].id == self.id)
            add(ranks.hall[0].id);
    }
    return chosen;
}

void stripe_policy::assign(const manifest& content,
                           const std::vector<participant>& all,
                           const instance_id& own)
{
    std::vector<instance_id> ids;
    ids.reserve(all.size());
    for (const auto& one : all)
        ids.push_back(one.id);
    const auto order = rendezvous_rank(content.id().hex(), ids, ids.size());
    trees.clear();
    positions.clear();
    for (std::size_t stripe = 0; stripe < arity; ++stripe)
    {
        // The inner nodes of this stripe first, then all others as leaves.
        std::vector<instance_id> tree;
        for (std::size_t index = 0; index < order.size(); ++index)
        {
            if (index % arity == stripe)
                tree.push_back(order[index]);
        }
        for (std::size_t index = 0; index < order.size(); ++index)
        {
            if (index % arity != stripe)
                tree.push_back(order[index]);
        }
        positions.push_back(internal::position_of(tree, own));
        trees.push_back(std::move(tree));
    }
}

chunk_source stripe_policy::source(chunk_index chunk, const liveness& alive,
                                   std::size_t level) const
{
    const auto stripe = chunk % arity;
    auto position = positions[stripe];
    std::size_t skip = level;
    while (position != 0)
    {
        position = (position - 1) / arity;
        const auto& parent = trees[stripe][position];
        if (alive(parent) && skip-- == 0)
            return chunk_source::from_peer(parent);
    }
    return chunk_source::from_origin();
}

std::vector<instance_id> stripe_policy::watched() const
{
    std::vector<instance_id> parents;
    for (std::size_t stripe = 0; stripe < trees.size(); ++stripe)
    {
        if (positions[stripe] != 0)
            parents.push_back(trees[stripe][(positions[stripe] - 1) / arity]);
    }
    return parents;
}

void chain_policy::assign(const manifest& content,
                          const std::vector<participant>& all,
                          const instance_id& own)
{
    auto sorted = all;
    const auto key = content.id().hex();
    std::sort(sorted.begin(), sorted.end(),
              [&](const participant& left, const participant& right)
              {
                  return std::tuple(left.region, left.hall,
                                    rendezvous_weight(key, left.id.value())) <
                         std::tuple(right.region, right.hall,
                                    rendezvous_weight(key, right.id.value()));
              });
    order.clear();
    for (const auto& one : sorted)
        order.push_back(one.id);
    position = internal::position_of(order, own);
}

chunk_source chain_policy::source(chunk_index, const liveness& alive,
                                  std::size_t level) const
{
    std::size_t skip = level;
    for (auto index = position; index > 0; --index)
    {
        const auto& parent = order[index - 1];
        if (alive(parent) && skip-- == 0)
            return chunk_source::from_peer(parent);
    }
    return chunk_source::from_origin();
}

std::vector<instance_id> chain_policy::watched() const
{
    if (position == 0 || position > order.size())
        return {};
    return {order[position - 1]};
}

} // namespace coursejunction
