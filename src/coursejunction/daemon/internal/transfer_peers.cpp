#include "coursejunction/daemon/internal/transfer_peers.hpp"

#include <algorithm>

#include "coursejunction/core/rendezvous.hpp"

namespace coursejunction::internal
{

std::optional<instance_id> manifest_source(const digest& version,
                                           const std::vector<participant>& all,
                                           const instance_id& own,
                                           const hall_id& own_hall,
                                           std::size_t turn)
{
    std::vector<instance_id> ids;
    std::vector<instance_id> near;
    for (const auto& one : all)
    {
        ids.push_back(one.id);
        if (one.hall == own_hall)
            near.push_back(one.id);
    }
    const auto key = version.hex();
    const auto first = rendezvous_rank(key, ids, turn + 1);
    const auto head = rendezvous_rank(key, near, turn + 1);
    if (first.empty() || first.size() <= turn ||
        std::find(first.begin(), first.end(), own) != first.end())
        return std::nullopt;
    if (head.empty() || head.size() <= turn ||
        std::find(head.begin(), head.end(), own) != head.end())
        return first.back();
    return head.back();
}

std::vector<instance_id> chosen_neighbours(const digest& version,
                                           const std::vector<participant>& all,
                                           const instance_id& own,
                                           const hall_id& own_hall,
                                           std::size_t wanted)
{
    std::vector<instance_id> near;
    for (const auto& one : all)
    {
        if (one.hall == own_hall && one.id != own)
            near.push_back(one.id);
    }
    return rendezvous_rank(own.value() + version.hex(), near, (wanted + 1) / 2);
}

} // namespace coursejunction::internal
