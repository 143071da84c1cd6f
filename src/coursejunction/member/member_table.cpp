#include "coursejunction/member/member_table.hpp"

#include <algorithm>

#include "coursejunction/core/rendezvous.hpp"

namespace coursejunction
{

namespace internal
{

/*! @brief Returns ids in the order of their hashes, starting after `own`. */
std::vector<instance_id> ring_after(const instance_id& own,
                                    std::vector<instance_id> ids)
{
    const auto place = [](const instance_id& id)
    { return std::pair(stable_hash(id.value()), id); };
    std::sort(ids.begin(), ids.end(),
              [&](const auto& left, const auto& right)
              { return place(left) < place(right); });
    const auto start =
        std::find_if(ids.begin(), ids.end(),
                     [&](const auto& id) { return place(own) < place(id); });
    std::rotate(ids.begin(), start, ids.end());
    return ids;
}

} // namespace internal

bool member_table::assign(std::vector<member> listed)
{
    std::map<instance_id, member> next;
    for (auto& one : listed)
    {
        const auto id = one.id;
        next.insert_or_assign(id, std::move(one));
    }
    if (next == listed_members)
        return false;
    listed_members = std::move(next);
    std::erase_if(observed, [&](const auto& one)
                  { return !listed_members.contains(one.first); });
    return true;
}

bool member_table::record_heartbeat(const heartbeat_sample& sample, time_point)
{
    if (!contains(sample.id))
        return true;
    auto& seen = observed[sample.id];
    const auto fresh = std::pair(sample.incarnation, sample.sequence);
    if (fresh <= std::pair(seen.incarnation, seen.sequence))
        return false;
    if (sample.incarnation > seen.incarnation)
        seen.leaving = false;
    seen.incarnation = sample.incarnation;
    seen.sequence = sample.sequence;
    seen.leaving = seen.leaving || sample.leaving;
    seen.failed_at.reset();
    return true;
}

void member_table::record_failure(const instance_id& id, time_point now)
{
    if (contains(id))
        observed[id].failed_at = now;
}

void member_table::record_response(const instance_id& id)
{
    const auto found = observed.find(id);
    if (found != observed.end())
        found->second.failed_at.reset();
}

void member_table::record_leaving(const instance_id& id)
{
    if (contains(id))
        observed[id].leaving = true;
}

const member* member_table::find(const instance_id& id) const
{
    const auto found = listed_members.find(id);
    return found == listed_members.end() ? nullptr : &found->second;
}

bool member_table::usable(const instance_id& id, time_point now) const
{
    const auto* listed = find(id);
    if (listed == nullptr || listed->leaving)
        return false;
    const auto seen = observed.find(id);
    if (seen == observed.end())
        return true;
    if (seen->second.leaving)
        return false;
    return !seen->second.failed_at ||
           now - *seen->second.failed_at > suspicion_time;
}

std::vector<member> member_table::select(role kind,
                                         const std::optional<hall_id>& hall,
                                         time_point now) const
{
    std::vector<member> chosen;
    for (const auto& [id, one] : listed_members)
    {
        if (one.kind == kind && (!hall || one.hall == *hall) && usable(id, now))
            chosen.push_back(one);
    }
    return chosen;
}

std::vector<instance_id> member_table::gossip_neighbours(const instance_id& own,
                                                         size_type count,
                                                         time_point now) const
{
    std::vector<instance_id> others;
    for (const auto& [id, one] : listed_members)
    {
        if (id != own && usable(id, now))
            others.push_back(id);
    }
    if (others.size() <= count)
        return others;
    auto chosen = internal::ring_after(own, others);
    chosen.resize((count + 1) / 2);
    std::erase_if(others, [&](const auto& id)
                  { return std::count(chosen.begin(), chosen.end(), id) > 0; });
    for (auto& id : rendezvous_rank(own.value(), others, count - chosen.size()))
        chosen.push_back(std::move(id));
    return chosen;
}

std::vector<instance_id> member_table::designated_entries(const hall_id& hall,
                                                          size_type count,
                                                          time_point now) const
{
    const auto entries = select(role::entry, std::nullopt, now);
    const auto region = region_of(hall);
    const auto ids_where = [&](auto keep)
    {
        std::vector<instance_id> ids;
        for (const auto& one : entries)
        {
            if (keep(one))
                ids.push_back(one.id);
        }
        return ids;
    };
    auto ids = ids_where([&](const member& one) { return one.hall == hall; });
    if (ids.empty())
        ids =
            ids_where([&](const member& one) { return one.region == region; });
    if (ids.empty())
        ids = ids_where([](const member&) { return true; });
    return rendezvous_rank(hall.value(), ids, count);
}

region_id member_table::region_of(const hall_id& hall) const
{
    const auto found =
        std::find_if(listed_members.begin(), listed_members.end(),
                     [&](const auto& one) { return one.second.hall == hall; });
    return found == listed_members.end() ? region_id() : found->second.region;
}

bool member_table::contains(const instance_id& id) const
{
    return listed_members.contains(id);
}

} // namespace coursejunction
