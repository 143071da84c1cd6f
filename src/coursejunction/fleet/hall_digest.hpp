/*! @file
 * @brief Digests, in which entries relay the statuses of their hall's sidecars
 * to entries of other halls; pure. If every sidecar sent its status to every
 * entry, the traffic would grow with entries times sidecars: 53 entries and 204
 * sidecars would send 21,000 datagrams a second between regions, where all
 * traffic shares 27 Mbit/s each way.
 */
#ifndef COURSEJUNCTION_FLEET_HALL_DIGEST_HPP
#define COURSEJUNCTION_FLEET_HALL_DIGEST_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/node_address.hpp"
#include "coursejunction/fleet/peer_directory.hpp"
#include "coursejunction/wire/fleet_message.hpp"

namespace coursejunction
{

/*! @brief Statuses in one datagram. 30 of them take 1.3 KB, which fits into a
 * packet of 1.5 KB. */
inline constexpr std::size_t max_digest_statuses = 30;

/*! @brief Regular heartbeats between two digests of one entry to one receiver:
 * 800 ms. Two entries of a hall alternate, so that a receiver gets a digest
 * every 400 ms, or every 800 ms when one of the two is lost. Statuses expire
 * after 1 s. */
inline constexpr std::uint64_t digest_period = 4;

/*! @brief Rank of an entry, by address, among the live entries of its hall. */
struct relay_rank
{
    std::size_t rank{0};
    std::size_t entries{1}; /*!< This entry included. */
};

/*! @brief Returns the rank of an entry in its hall.
 * @param address IP address of the entry. */
[[nodiscard]] inline relay_rank relay_rank_of(const peer_directory& peers,
                                              const std::string& address,
                                              const hall_id& hall,
                                              time_point now)
{
    relay_rank result;
    for (const auto& [other, peer] : peers.all())
    {
        if (!peer.entry || peer.last_heartbeat.hall != hall.value() ||
            peer.last_heartbeat.leaving || !peer_directory::alive(peer, now))
            continue;
        ++result.entries;
        result.rank += other < address ? 1 : 0;
    }
    return result;
}

/*! @brief Returns whether an entry relays its hall's statuses to an entry of
 * another hall along with a regular heartbeat. For each receiver, two entries
 * of the hall take turns; an entry that is alone takes both.
 * @param receiver IP address of the receiving entry.
 * @param regular_number Count of the sender's regular heartbeats. */
[[nodiscard]] inline bool relays_digest_to(const relay_rank& own,
                                           const std::string& receiver,
                                           std::uint64_t regular_number)
{
    constexpr auto half_period = digest_period / 2;
    if (regular_number % half_period != 0)
        return false;
    const auto receiver_hash = std::hash<std::string>()(receiver);
    const auto turn = regular_number % digest_period / half_period;
    return (receiver_hash + turn) % own.entries == own.rank;
}

namespace internal
{

inline constexpr std::uint8_t open_flag = 1;
inline constexpr std::uint8_t reachable_flag = 2;

/*! @brief Narrows a value, clamped to the maximum of the narrow type. */
template <typename Narrow, typename Wide>
[[nodiscard]] Narrow saturated(Wide value)
{
    return static_cast<Narrow>(
        std::min<Wide>(value, std::numeric_limits<Narrow>::max()));
}

/*! @brief Returns the index of a model in a digest's list, to which it is added
 * if missing. */
[[nodiscard]] inline std::uint8_t model_index(std::vector<std::string>& models,
                                              const std::string& model)
{
    const auto found = std::find(models.begin(), models.end(), model);
    const auto index = found - models.begin();
    if (found == models.end())
        models.push_back(model);
    return static_cast<std::uint8_t>(index);
}

} // namespace internal

/*! @brief Adds a sidecar's status to a digest. */
inline void add_status(message::hall_digest& digest, std::uint32_t address,
                       milliseconds age, const message::upstream_status& status)
{
    using internal::saturated;
    message::relayed_status relayed;
    relayed.address = address;
    relayed.age_ms = saturated<std::uint16_t>(age.count());
    relayed.model = internal::model_index(digest.models, status.model);
    relayed.flags = static_cast<std::uint8_t>(
        (status.open ? internal::open_flag : 0) |
        (status.reachable ? internal::reachable_flag : 0));
    relayed.version = saturated<std::uint32_t>(status.version);
    relayed.side = status.side;
    relayed.sequence = saturated<std::uint32_t>(status.sequence);
    relayed.life = status.life;
    relayed.running = saturated<std::uint16_t>(status.running);
    relayed.waiting = saturated<std::uint16_t>(status.waiting);
    relayed.pace = static_cast<float>(status.pace);
    digest.sides.push_back(relayed);
}

/*! @brief Restores a relayed status; the figures of the engine's memory are not
 * relayed.
 * @param digest The digest that holds the status. */
[[nodiscard]] inline message::upstream_status
status_in(const message::hall_digest& digest,
          const message::relayed_status& relayed)
{
    message::upstream_status status;
    if (relayed.model < digest.models.size())
        status.model = digest.models[relayed.model];
    status.version = relayed.version;
    status.side = relayed.side;
    status.sequence = relayed.sequence;
    status.life = relayed.life;
    status.running = relayed.running;
    status.waiting = relayed.waiting;
    status.pace = relayed.pace;
    status.open = (relayed.flags & internal::open_flag) != 0;
    status.reachable = (relayed.flags & internal::reachable_flag) != 0;
    return status;
}

/*! @brief Returns the statuses of the live sidecars of a hall, in digests that
 * fit into one datagram each; empty if no sidecar is alive. */
[[nodiscard]] inline std::vector<message::hall_digest>
make_digests(const peer_directory& peers, const hall_id& hall, time_point now)
{
    std::vector<message::hall_digest> digests;
    for (const auto& [address, peer] : peers.all())
    {
        const auto number = parse_ipv4(address);
        if (peer.entry || peer.last_heartbeat.hall != hall.value() || !number ||
            !peer_directory::alive(peer, now))
            continue;
        if (digests.empty() ||
            digests.back().sides.size() == max_digest_statuses)
            digests.emplace_back();
        add_status(
            digests.back(), *number,
            std::chrono::duration_cast<milliseconds>(now - peer.heard_at),
            peer.last_heartbeat.upstream);
    }
    return digests;
}

} // namespace coursejunction

#endif
