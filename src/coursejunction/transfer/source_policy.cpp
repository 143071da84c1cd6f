#include "coursejunction/transfer/source_policy.hpp"

#include <algorithm>
#include <string>
#include <tuple>

#include "coursejunction/core/rendezvous.hpp"

namespace coursejunction
{

namespace internal
{

/*! @brief Chunks share this many rankings, so that ranking stays cheap for a
 * manifest of any length. */
constexpr std::size_t max_slots = 1024;

std::string slot_key(const manifest& of, std::size_t slot)
{
    return of.id().hex() + "/" + std::to_string(slot);
}

std::vector<participant> ranked(const std::string& key,
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

template <typename Keep>
std::vector<participant> filtered(const std::vector<participant>& from,
                                  Keep keep)
{
    std::vector<participant> chosen;
    std::copy_if(from.begin(), from.end(), std::back_inserter(chosen), keep);
    return chosen;
}

/*! @brief Keeps the ranks that are alive; this instance always is. */
std::vector<participant> living(const std::vector<participant>& ranks,
                                const instance_id& own, const liveness& alive)
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
 * origin: the whole part for every chunk, one more for a fraction of them. */
std::size_t extra_copies(double extra, double fraction)
{
    const auto whole = static_cast<std::size_t>(extra);
    return whole + (fraction < extra - static_cast<double>(whole) ? 1U : 0U);
}

std::size_t place_of(const std::vector<instance_id>& order,
                     const instance_id& own)
{
    const auto found = std::find(order.begin(), order.end(), own);
    if (found == order.end())
        return 0;
    return static_cast<std::size_t>(found - order.begin());
}

} // namespace internal

void swarm_policy::assign(const manifest& of,
                          const std::vector<participant>& all,
                          const instance_id& own)
{
    const auto found =
        std::find_if(all.begin(), all.end(),
                     [&](const participant& one) { return one.id == own; });
    slots.clear();
    if (found == all.end())
        return;
    self = *found;
    const auto same_region = internal::filtered(
        all, [&](const participant& one) { return one.region == self.region; });
    const auto same_hall = internal::filtered(
        all, [&](const participant& one) { return one.hall == self.hall; });
    const auto count = std::min(of.size(), internal::max_slots);
    slots.reserve(count);
    for (std::size_t at = 0; at < count; ++at)
    {
        const auto key = internal::slot_key(of, at);
        slot made;
        made.all = internal::ranked(key, all, max_ranks);
        made.region = internal::ranked(key, same_region, max_ranks);
        made.hall = internal::ranked(key, same_hall, max_ranks);
        made.fraction = static_cast<double>(stable_hash(key) >> 11U) /
                        static_cast<double>(std::uint64_t{1} << 53U);
        slots.push_back(std::move(made));
    }
}

chunk_source swarm_policy::source(chunk_index chunk, const liveness& alive,
                                  std::size_t level) const
{
    if (slots.empty())
        return {};
    const auto& at = slots[chunk % slots.size()];
    const auto all = internal::living(at.all, self.id, alive);
    const auto copies =
        1 + internal::extra_copies(origin_extra, at.fraction) + level;
    if (all.empty() || internal::among_first(all, self.id, copies))
        return chunk_source::from_origin();
    const auto& owner = all[level % all.size()];
    const auto region = internal::living(at.region, self.id, alive);
    const bool foreign_region = owner.region != self.region;
    if (foreign_region && internal::among_first(region, self.id, level + 1))
        return chunk_source::from_peer(owner.id);
    // The owner itself serves its region; elsewhere the region's first rank.
    const auto& head = foreign_region && !region.empty()
                           ? region[level % region.size()]
                           : owner;
    const auto hall = internal::living(at.hall, self.id, alive);
    if (head.hall != self.hall &&
        internal::among_first(hall, self.id, level + 1))
        return chunk_source::from_peer(head.id);
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
    // The next rank watches the first; a head watches whom it fetches from.
    for (const auto& at : slots)
    {
        if (at.all.size() > 1 && at.all[1].id == self.id)
            add(at.all[0].id);
        if (!at.region.empty() && at.region[0].id == self.id)
            add(at.all[0].id);
        if (at.region.size() > 1 && at.region[1].id == self.id)
            add(at.region[0].id);
        if (!at.hall.empty() && at.hall[0].id == self.id)
            add(at.region[0].id);
        if (at.hall.size() > 1 && at.hall[1].id == self.id)
            add(at.hall[0].id);
    }
    return chosen;
}

void stripe_policy::assign(const manifest& of,
                           const std::vector<participant>& all,
                           const instance_id& own)
{
    std::vector<instance_id> ids;
    ids.reserve(all.size());
    for (const auto& one : all)
        ids.push_back(one.id);
    const auto order = rendezvous_rank(of.id().hex(), ids, ids.size());
    trees.clear();
    places.clear();
    for (std::size_t stripe = 0; stripe < arity; ++stripe)
    {
        // Inner instances of this stripe first, then all others as leaves.
        std::vector<instance_id> tree;
        for (std::size_t at = 0; at < order.size(); ++at)
        {
            if (at % arity == stripe)
                tree.push_back(order[at]);
        }
        for (std::size_t at = 0; at < order.size(); ++at)
        {
            if (at % arity != stripe)
                tree.push_back(order[at]);
        }
        places.push_back(internal::place_of(tree, own));
        trees.push_back(std::move(tree));
    }
}

chunk_source stripe_policy::source(chunk_index chunk, const liveness& alive,
                                   std::size_t level) const
{
    const auto stripe = chunk % arity;
    auto place = places[stripe];
    std::size_t skip = level;
    while (place != 0)
    {
        place = (place - 1) / arity;
        const auto& parent = trees[stripe][place];
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
        if (places[stripe] != 0)
            parents.push_back(trees[stripe][(places[stripe] - 1) / arity]);
    }
    return parents;
}

void chain_policy::assign(const manifest& of,
                          const std::vector<participant>& all,
                          const instance_id& own)
{
    auto sorted = all;
    const auto key = of.id().hex();
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
    place = internal::place_of(order, own);
}

chunk_source chain_policy::source(chunk_index, const liveness& alive,
                                  std::size_t level) const
{
    std::size_t skip = level;
    for (auto at = place; at > 0; --at)
    {
        const auto& parent = order[at - 1];
        if (alive(parent) && skip-- == 0)
            return chunk_source::from_peer(parent);
    }
    return chunk_source::from_origin();
}

std::vector<instance_id> chain_policy::watched() const
{
    if (place == 0 || place > order.size())
        return {};
    return {order[place - 1]};
}

} // namespace coursejunction
