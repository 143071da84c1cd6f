/*! @file
 * @brief The entries between which upstreams are divided, as their heartbeats
 * report them. */
#ifndef COURSEJUNCTION_PROXY_LIVE_ENTRIES_HPP
#define COURSEJUNCTION_PROXY_LIVE_ENTRIES_HPP

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/peer_directory.hpp"
#include "coursejunction/route/admission.hpp"
#include "coursejunction/route/engine_shares.hpp"

namespace coursejunction
{

/*! @brief The entries that accept requests. */
struct live_entries
{
    std::vector<entry_demand> demands; /*!< Of each, this entry first. */
    request_rates others; /*!< Sum over all other entries, per second. */
    /*! @brief Entries known by address that were never heard. */
    std::size_t unheard{0};
    /*! @brief Addresses of entries that announced that they are leaving. */
    std::vector<std::string> leaving;
};

/*! @brief Returns the demand of an entry in requests a second. One without
 * requests so far counts for a minimum, so that it can place its first one. An
 * engine of the installations completes 4.8 requests per second. */
[[nodiscard]] inline entry_demand
make_demand(const hall_id& hall, const std::string& address, double per_second)
{
    constexpr double min_demand = 0.5;
    return {hall, address, std::max(per_second, min_demand)};
}

/*! @brief Returns the entries that accept requests.
 * @param own This entry. */
[[nodiscard]] inline live_entries
collect_live_entries(const entry_demand& own, const peer_directory& peers,
                     time_point now)
{
    live_entries result;
    result.demands.push_back(
        make_demand(own.hall, own.address, own.per_second));
    for (const auto& [address, peer] : peers.all())
    {
        if (!peer.entry)
            continue;
        result.unheard += peer.heard_at == time_point{} ? 1 : 0;
        if (peer.last_heartbeat.leaving)
            result.leaving.push_back(address);
        if (peer.last_heartbeat.leaving || !peer_directory::alive(peer, now))
            continue;
        const auto& load = peer.last_heartbeat.load;
        result.demands.push_back(make_demand(hall_id(peer.last_heartbeat.hall),
                                             address, load.demand));
        result.others.arrived += load.arrived;
        result.others.refused += load.refused;
    }
    return result;
}

} // namespace coursejunction

#endif
