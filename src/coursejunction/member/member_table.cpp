#include "coursejunction/member/member_table.hpp"

#include <algorithm>

#include "coursejunction/core/rendezvous.hpp"

namespace coursejunction
{

namespace internal
{

/*! @brief Returns ids in the order of their hashes, starting after that of
 * `own` and wrapping around. */
std::vector<instance_id> ring_after(const instance_id& own,
                                    std::vector<instance_id> ids)
{
    const auto ring_position = [](const instance_id& id)
    { return std::pair(stable_hash(id.value()), id); };
    std::sort(ids.begin(), ids.end(),
              [&](const auto& left, const auto& right)
              { return ring_position(left) < ring_position(right); });
    const auto start = std::find_if(
        ids.begin(), ids.end(),
        [&](const auto& id) { return ring_position(own) < ring_position(id); });
    std::rotate(ids.begin(), start, ids.end());
    return ids;
}

} // namespace internal

bool member_table::assign(std::vector<member> listed)
{
    std::map<instance_id, member> next;
    for (auto& item : listed)
    {
        const auto id = item.id;
        next.insert_or_assign(id, std::move(item));
    }
    if (next == listed_members)
        return false;
    listed_members = std::move(next);
    std::erase_if(observations, [&](const auto& item)
                  { return !listed_members.contains(item.first); });
    return true;
}

bool member_table::record_heartbeat(const heartbeat_sample& sample, time_point)
{
    if (!contains(sample.id))
        return true;
    auto& last = observations[sample.id];
    const auto received = std::pair(sample.incarnation, sample.sequence);
    if (received <= std::pair(last.incarnation, last.sequence))
        return false;
    if (sample.incarnation > last.incarnation)
        last.leaving = false;
    last.incarnation = sample.incarnation;
    last.sequence = sample.sequence;
    last.leaving = last.leaving || sample.leaving;
    last.failed_at.reset();
    return true;
}

void member_table::record_failure(const instance_id& id, time_point now)
{
    if (contains(id))
        observations[id].failed_at = now;
}

void member_table::record_response(const instance_id& id)
{
    const auto found = observations.find(id);
    if (found != observations.end())
        found->second.failed_at.reset();
}

void member_table::record_leaving(const instance_id& id)
{
    if (contains(id))
        observations[id].leaving = true;
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
    const auto found = observations.find(id);
    if (found == observations.end())
        return true;
    if (found->second.leaving)
        return false;
    return !found->second.failed_at ||
           now - *found->second.failed_at > suspicion_time;
}

std::vector<member> member_table::select(role kind,
                                         const std::optional<hall_id>& hall,
                                         time_point now) const
{
    std::vector<member> chosen;
    for (const auto& [id, listed] : listed_members)
    {
        if (listed.kind == kind && (!hall || listed.hall == *hall) &&
            usable(id, now))
            chosen.push_back(listed);
    }
    return chosen;
}

std::vector<instance_id> member_table::gossip_neighbours(const instance_id& own,
                                                         size_type count,
                                                         time_point now) const
{
    std::vector<instance_id> others;
    for (const auto& [id, listed] : listed_members)
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
    const auto ids_where = [&](auto condition)
    {
        std::vector<instance_id> ids;
        for (const auto& entry : entries)
        {
            if (condition(entry))
                ids.push_back(entry.id);
        }
        return ids;
    };
    auto ids =
        ids_where([&](const member& entry) { return entry.hall == hall; });
    if (ids.empty())
        ids = ids_where([&](const member& entry)
                        { return entry.region == region; });
    if (ids.empty())
        ids = ids_where([](const member&) { return true; });
    return rendezvous_rank(hall.value(), ids, count);
}

region_id member_table::region_of(const hall_id& hall) const
{
    const auto found = std::find_if(
        listed_members.begin(), listed_members.end(),
        [&](const auto& item) { return item.second.hall == hall; });
    return found == listed_members.end() ? region_id() : found->second.region;
}

bool member_table::contains(const instance_id& id) const
{
    return listed_members.contains(id);
}

} // namespace coursejunction
