#include "coursejunction/daemon/internal/transfer_peers.hpp"

#include <algorithm>

#include "coursejunction/core/rendezvous.hpp"

namespace coursejunction::internal
{

std::optional<instance_id> manifest_source(const digest& version,
                                           const std::vector<participant>& all,
                                           const instance_id& own,
                                           const hall_id& own_hall,
                                           std::size_t failed_ranks)
{
    std::vector<instance_id> ids;
    std::vector<instance_id> same_hall;
    for (const auto& one : all)
    {
        ids.push_back(one.id);
        if (one.hall == own_hall)
            same_hall.push_back(one.id);
    }
    const auto key = version.hex();
    const auto overall = rendezvous_rank(key, ids, failed_ranks + 1);
    const auto in_hall = rendezvous_rank(key, same_hall, failed_ranks + 1);
    if (overall.empty() || overall.size() <= failed_ranks ||
        std::find(overall.begin(), overall.end(), own) != overall.end())
        return std::nullopt;
    if (in_hall.empty() || in_hall.size() <= failed_ranks ||
        std::find(in_hall.begin(), in_hall.end(), own) != in_hall.end())
        return overall.back();
    return in_hall.back();
}

std::vector<instance_id> chosen_neighbours(const digest& version,
                                           const std::vector<participant>& all,
                                           const instance_id& own,
                                           const hall_id& own_hall,
                                           std::size_t wanted)
{
    std::vector<instance_id> same_hall;
    for (const auto& one : all)
    {
        if (one.hall == own_hall && one.id != own)
            same_hall.push_back(one.id);
    }
    return rendezvous_rank(own.value() + version.hex(), same_hall,
                           (wanted + 1) / 2);
}

} // namespace coursejunction::internal
