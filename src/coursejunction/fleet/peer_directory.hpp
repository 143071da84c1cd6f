/*! @file
 * @brief Directory of the other processes of the installation.
 */
#ifndef COURSEJUNCTION_FLEET_PEER_DIRECTORY_HPP
#define COURSEJUNCTION_FLEET_PEER_DIRECTORY_HPP

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/fetch_schedule.hpp"
#include "coursejunction/wire/fleet_message.hpp"

namespace coursejunction
{

/*! @brief One other process, identified by its IP address. */
struct peer_state
{
    message::fleet_heartbeat last_heartbeat;
    time_point heard_at{}; /*!< The epoch if no heartbeat was received yet. */
    /*! @brief When a heartbeat, another entry's list, a store record or the
     * settings last gave its address. */
    time_point referenced_at{};
    bool entry{false}; /*!< An entry; otherwise a sidecar. */
    bool seed{false};  /*!< Given in the settings. */
};

/*! @brief Peers by IP address. A silent peer is kept for a while, since it may
 * only be cut off by a network partition. It is removed once its address has
 * not been given by anyone for `retention`. */
class peer_directory
{
public:
    /*! @brief After this long without a heartbeat a peer counts as dead: three
     * intervals of 200 ms, and a margin for lost datagrams. */
    static constexpr milliseconds liveness_timeout{1000};

    /*! @brief A peer whose address has not been given for this long is removed.
     */
    static constexpr milliseconds retention{20'000};

    /*! @brief Adds an entry from the settings; it is never removed. */
    void add_seed(const std::string& address, time_point now)
    {
        auto& peer = peers[address];
        peer.seed = true;
        peer.entry = true;
        peer.referenced_at = now;
    }

    /*! @brief Adds an entry that another process listed in a heartbeat. */
    void add_entry(const std::string& address, time_point now)
    {
        auto& peer = peers[address];
        peer.entry = true;
        peer.referenced_at = now;
    }

    /*! @brief Adds a sidecar from an upstream's record in the store.
     * @param hall Hall of the record; used until the first heartbeat arrives.
     */
    void add_side(const std::string& address, const hall_id& hall,
                  time_point now)
    {
        auto& peer = peers[address];
        peer.entry = false;
        peer.referenced_at = now;
        if (peer.heard_at == time_point{})
            peer.last_heartbeat.hall = hall.value();
    }

    /*! @brief Records a heartbeat.
     * @return False if it is not newer than the last one. */
    bool record_heartbeat(const std::string& address,
                          const message::fleet_heartbeat& heartbeat,
                          time_point now)
    {
        auto& peer = peers[address];
        const bool older =
            heartbeat.incarnation < peer.last_heartbeat.incarnation ||
            (heartbeat.incarnation == peer.last_heartbeat.incarnation &&
             heartbeat.sequence <= peer.last_heartbeat.sequence);
        if (older && peer.heard_at != time_point{})
            return false;
        peer.last_heartbeat = heartbeat;
        peer.entry = heartbeat.entry;
        peer.heard_at = now;
        peer.referenced_at = now;
        return true;
    }

    /*! @brief Removes peers, other than seeds, whose address has not been given
     * for `retention`. */
    void expire(time_point now)
    {
        std::erase_if(peers,
                      [&](const auto& peer) {
                          return !peer.second.seed &&
                                 now - peer.second.referenced_at > retention;
                      });
    }

    /*! @brief Returns whether a heartbeat arrived within `liveness_timeout`. */
    [[nodiscard]] bool alive(const std::string& address, time_point now) const
    {
        const auto found = peers.find(address);
        return found != peers.end() && alive(found->second, now);
    }

    [[nodiscard]] static bool alive(const peer_state& peer, time_point now)
    {
        return peer.heard_at != time_point{} &&
               now - peer.heard_at <= liveness_timeout;
    }

    /*! @brief Returns a peer, or null if it is unknown. */
    [[nodiscard]] const peer_state* find(const std::string& address) const
    {
        const auto found = peers.find(address);
        return found == peers.end() ? nullptr : &found->second;
    }

    [[nodiscard]] const std::map<std::string, peer_state>& all() const
    {
        return peers;
    }

    /*! @brief Returns the number of live entries, not counting this process. */
    [[nodiscard]] std::size_t live_entries(time_point now) const
    {
        std::size_t count = 0;
        for (const auto& [address, peer] : peers)
            count += peer.entry && alive(peer, now) ? 1 : 0;
        return count;
    }

    /*! @brief Returns the number of live entries with a lower address that are
     * not leaving. */
    [[nodiscard]] std::size_t entries_before(const std::string& address,
                                             time_point now) const
    {
        std::size_t count = 0;
        for (const auto& [other, peer] : peers)
            count += peer.entry && other < address && alive(peer, now) &&
                             !peer.last_heartbeat.leaving
                         ? 1
                         : 0;
        return count;
    }

    /*! @brief Returns the number of live entries that watch the store. */
    [[nodiscard]] std::size_t watchers(time_point now) const
    {
        std::size_t count = 0;
        for (const auto& [address, peer] : peers)
            count +=
                peer.entry && peer.last_heartbeat.watching && alive(peer, now)
                    ? 1
                    : 0;
        return count;
    }

    /*! @brief Returns the number of live, not leaving entries that watch the
     * store and are nearer to it than this process, or equally near with a
     * lower address.
     * @param address IP address of this process.
     * @param distance_us Time to connect to the store from here; 0 if unknown,
     * which ranks as nearest. */
    [[nodiscard]] std::size_t watchers_before(const std::string& address,
                                              std::uint32_t distance_us,
                                              time_point now) const
    {
        std::size_t count = 0;
        for (const auto& [other, peer] : peers)
        {
            const auto& last = peer.last_heartbeat;
            if (!peer.entry || !alive(peer, now) || !last.watching ||
                last.leaving)
                continue;
            const auto theirs = distance_bucket(last.store_distance);
            const auto ours = distance_bucket(distance_us);
            count += theirs < ours || (theirs == ours && other < address);
        }
        return count;
    }

    /*! @brief Returns the lowest distance to the store that a live process of a
     * hall reports; 0 if none knows it. */
    [[nodiscard]] std::uint32_t store_distance_us(const hall_id& hall,
                                                  time_point now) const
    {
        std::uint32_t nearest = 0;
        for (const auto& [other, peer] : peers)
        {
            const auto told = peer.last_heartbeat.store_distance;
            if (told == 0 || peer.last_heartbeat.hall != hall.value() ||
                !alive(peer, now))
                continue;
            nearest = nearest == 0 ? told : std::min(nearest, told);
        }
        return nearest;
    }

    /*! @brief Returns the rank of a process in its hall and how many of the
     * others there fetch or probe. Entries rank before sidecars, then the lower
     * address goes first. */
    [[nodiscard]] hall_fetch_state fetch_state(const std::string& address,
                                               const hall_id& hall, bool entry,
                                               time_point now) const
    {
        hall_fetch_state state;
        for (const auto& [other, peer] : peers)
        {
            const auto& last = peer.last_heartbeat;
            if (last.hall != hall.value() || !alive(peer, now) || last.leaving)
                continue;
            const bool before =
                peer.entry == entry ? other < address : peer.entry;
            state.rank += before ? 1 : 0;
            state.fetching += last.fetching ? 1 : 0;
            state.probing += last.probing ? 1 : 0;
        }
        return state;
    }

    /*! @brief Returns whether no other live process of a hall is known. */
    [[nodiscard]] bool has_no_live_peer(const hall_id& hall,
                                        time_point now) const
    {
        return std::none_of(peers.begin(), peers.end(),
                            [&](const auto& peer)
                            {
                                const auto& last = peer.second.last_heartbeat;
                                return last.hall == hall.value() &&
                                       !last.leaving && alive(peer.second, now);
                            });
    }

    /*! @brief Returns a live peer whose mirror is ahead of a position, entries
     * preferred; empty if there is none.
     * @param own_hall Whether to search in this hall or in all others.
     * @param tie_breaker Selects one of several candidates, so that not all
     * processes ask the same peer. */
    [[nodiscard]] std::string
    find_peer_ahead(store_position position, const hall_id& hall, bool own_hall,
                    std::size_t tie_breaker, time_point now) const
    {
        std::vector<std::string> found;
        bool entries = false;
        for (const auto& [other, peer] : peers)
        {
            const auto& last = peer.last_heartbeat;
            const bool fits = (last.hall == hall.value()) == own_hall &&
                              alive(peer, now) && !last.leaving &&
                              last.mirrored > position;
            if (!fits || (entries && !peer.entry))
                continue;
            if (peer.entry && !entries)
                found.clear();
            entries = peer.entry;
            found.push_back(other);
        }
        return found.empty() ? std::string()
                             : found[tie_breaker % found.size()];
    }

    /*! @brief Returns whether some live entry watches the store and saw no
     * outage. Then a process that lost the store was cut off itself. */
    [[nodiscard]] bool has_undisturbed_watcher(time_point now) const
    {
        return std::any_of(peers.begin(), peers.end(),
                           [&](const auto& peer)
                           {
                               const auto& last = peer.second.last_heartbeat;
                               return peer.second.entry &&
                                      alive(peer.second, now) &&
                                      last.watching &&
                                      last.lapse_window_ms == 0;
                           });
    }

private:
    /*! @brief Returns a distance in whole milliseconds, within which distances
     * count as equal. Halls of a region are about 2 ms apart, regions 4 ms and
     * more. */
    static std::uint32_t distance_bucket(std::uint32_t distance_us)
    {
        constexpr std::uint32_t bucket_width_us = 1000;
        return distance_us / bucket_width_us;
    }

    std::map<std::string, peer_state> peers;
};

} // namespace coursejunction

#endif
