/*! @file
 * @brief Which other processes of the installation are there.
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

/*! @brief One other process, known by its IP address. */
struct peer_state
{
    message::fleet_heartbeat last_heartbeat;
    time_point heard_at{};      /*!< The epoch when never heard. */
    time_point referenced_at{}; /*!< When somebody last named it. */
    bool entry{false};
    bool seed{false};
};

/*! @brief Peers by address. A peer that is silent is kept for a while, since
 * silence may be a cut; it is forgotten when nobody names it any more. */
class peer_directory
{
public:
    /*! @brief Silent this long, a peer counts as not alive; three heartbeats
     * of 200 ms and a margin for lost datagrams. */
    static constexpr milliseconds liveness_timeout{1000};

    /*! @brief Not named for this long, a silent peer is forgotten. */
    static constexpr milliseconds retention{20'000};

    /*! @brief Notes an address from the settings; never forgotten. */
    void add_seed(const std::string& address, time_point now)
    {
        auto& one = peers[address];
        one.seed = true;
        one.entry = true;
        one.referenced_at = now;
    }

    /*! @brief Notes an entry that somebody else told. */
    void add_entry(const std::string& address, time_point now)
    {
        auto& one = peers[address];
        one.entry = true;
        one.referenced_at = now;
    }

    /*! @brief Notes a side that the store's records tell, with its hall. */
    void add_side(const std::string& address, const hall_id& hall,
                  time_point now)
    {
        auto& one = peers[address];
        one.entry = false;
        one.referenced_at = now;
        if (one.heard_at == time_point{})
            one.last_heartbeat.hall = hall.value();
    }

    /*! @brief Takes a heartbeat.
     * @return False for one that is older than the last. */
    bool record_heartbeat(const std::string& address,
                          const message::fleet_heartbeat& heartbeat,
                          time_point now)
    {
        auto& one = peers[address];
        const bool older =
            heartbeat.incarnation < one.last_heartbeat.incarnation ||
            (heartbeat.incarnation == one.last_heartbeat.incarnation &&
             heartbeat.sequence <= one.last_heartbeat.sequence);
        if (older && one.heard_at != time_point{})
            return false;
        one.last_heartbeat = heartbeat;
        one.entry = heartbeat.entry;
        one.heard_at = now;
        one.referenced_at = now;
        return true;
    }

    /*! @brief Forgets peers that nobody has named for long. */
    void expire(time_point now)
    {
        std::erase_if(peers,
                      [&](const auto& one) {
                          return !one.second.seed &&
                                 now - one.second.referenced_at > retention;
                      });
    }

    /*! @brief Tells whether a peer was heard lately. */
    [[nodiscard]] bool alive(const std::string& address, time_point now) const
    {
        const auto found = peers.find(address);
        return found != peers.end() && alive(found->second, now);
    }

    [[nodiscard]] static bool alive(const peer_state& one, time_point now)
    {
        return one.heard_at != time_point{} &&
               now - one.heard_at <= liveness_timeout;
    }

    /*! @brief Returns a peer, or null. */
    [[nodiscard]] const peer_state* find(const std::string& address) const
    {
        const auto found = peers.find(address);
        return found == peers.end() ? nullptr : &found->second;
    }

    [[nodiscard]] const std::map<std::string, peer_state>& all() const
    {
        return peers;
    }

    /*! @brief Returns how many live entries are known. */
    [[nodiscard]] std::size_t live_entries(time_point now) const
    {
        std::size_t count = 0;
        for (const auto& [address, one] : peers)
            count += one.entry && alive(one, now) ? 1 : 0;
        return count;
    }

    /*! @brief Returns how many live entries that do not leave come before an
     * address. */
    [[nodiscard]] std::size_t entries_before(const std::string& address,
                                             time_point now) const
    {
        std::size_t count = 0;
        for (const auto& [other, one] : peers)
            count += one.entry && other < address && alive(one, now) &&
                             !one.last_heartbeat.leaving
                         ? 1
                         : 0;
        return count;
    }

    /*! @brief Returns how many live entries watch the store. */
    [[nodiscard]] std::size_t watchers(time_point now) const
    {
        std::size_t count = 0;
        for (const auto& [address, one] : peers)
            count += one.entry && one.last_heartbeat.watching && alive(one, now)
                         ? 1
                         : 0;
        return count;
    }

    /*! @brief Returns how many live entries that watch the store are nearer to
     * it than this one or, as near, come before it.
     * @param distance Microseconds to the store; 0 when not known. */
    [[nodiscard]] std::size_t watchers_before(const std::string& address,
                                              std::uint32_t distance,
                                              time_point now) const
    {
        std::size_t count = 0;
        for (const auto& [other, one] : peers)
        {
            const auto& last = one.last_heartbeat;
            if (!one.entry || !alive(one, now) || !last.watching ||
                last.leaving)
                continue;
            const auto theirs = distance_bucket(last.store_distance);
            const auto ours = distance_bucket(distance);
            count += theirs < ours || (theirs == ours && other < address);
        }
        return count;
    }

    /*! @brief Returns the distance to the store of the nearest live entry of a
     * hall; 0 when none knows it. */
    [[nodiscard]] std::uint32_t store_distance(const hall_id& hall,
                                               time_point now) const
    {
        std::uint32_t nearest = 0;
        for (const auto& [other, one] : peers)
        {
            const auto told = one.last_heartbeat.store_distance;
            if (told == 0 || one.last_heartbeat.hall != hall.value() ||
                !alive(one, now))
                continue;
            nearest = nearest == 0 ? told : std::min(nearest, told);
        }
        return nearest;
    }

    /*! @brief Returns where a process stands in its hall: entries come before
     * sides, then the address counts. */
    [[nodiscard]] hall_fetch_state fetch_state(const std::string& address,
                                               const hall_id& hall, bool entry,
                                               time_point now) const
    {
        hall_fetch_state state;
        for (const auto& [other, one] : peers)
        {
            const auto& last = one.last_heartbeat;
            if (last.hall != hall.value() || !alive(one, now) || last.leaving)
                continue;
            const bool before =
                one.entry == entry ? other < address : one.entry;
            state.rank += before ? 1 : 0;
            state.fetching += last.fetching ? 1 : 0;
            state.probing += last.probing ? 1 : 0;
        }
        return state;
    }

    /*! @brief Tells whether no other process of a hall is known to live. */
    [[nodiscard]] bool has_no_live_peer(const hall_id& hall,
                                        time_point now) const
    {
        return std::none_of(peers.begin(), peers.end(),
                            [&](const auto& one)
                            {
                                const auto& last = one.second.last_heartbeat;
                                return last.hall == hall.value() &&
                                       !last.leaving && alive(one.second, now);
                            });
    }

    /*! @brief Returns a live peer that knows more than a position, an entry
     * before a side; empty when there is none.
     * @param own_hall Of this hall, or of any other one.
     * @param turn Chooses among equals, so that not all ask the same one. */
    [[nodiscard]] std::string
    find_peer_ahead(store_position position, const hall_id& hall, bool own_hall,
                    std::size_t tie_breaker, time_point now) const
    {
        std::vector<std::string> found;
        bool entries = false;
        for (const auto& [other, one] : peers)
        {
            const auto& last = one.last_heartbeat;
            const bool fits = (last.hall == hall.value()) == own_hall &&
                              alive(one, now) && !last.leaving &&
                              last.mirrored > position;
            if (!fits || (entries && !one.entry))
                continue;
            if (one.entry && !entries)
                found.clear();
            entries = one.entry;
            found.push_back(other);
        }
        return found.empty() ? std::string()
                             : found[tie_breaker % found.size()];
    }

    /*! @brief Tells whether a live entry watches the store and saw no outage:
     * then whoever lost the store was cut off itself. */
    [[nodiscard]] bool has_undisturbed_watcher(time_point now) const
    {
        return std::any_of(peers.begin(), peers.end(),
                           [&](const auto& one)
                           {
                               const auto& last = one.second.last_heartbeat;
                               return one.second.entry &&
                                      alive(one.second, now) && last.watching &&
                                      !last.store_returned;
                           });
    }

private:
    /*! @brief Distances within a millisecond count as alike: halls of a region
     * are some 2 ms apart, regions 4 ms and more. */
    static std::uint32_t distance_bucket(std::uint32_t distance)
    {
        constexpr std::uint32_t bucket_width = 1000;
        return distance / bucket_width;
    }

    std::map<std::string, peer_state> peers;
};

} // namespace coursejunction

#endif
