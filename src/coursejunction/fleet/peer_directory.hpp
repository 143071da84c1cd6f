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
#include "coursejunction/wire/fleet_message.hpp"

namespace coursejunction
{

/*! @brief One other process, known by its IP address. */
struct peer_state
{
    message::fleet_heartbeat last;
    time_point heard{}; /*!< The epoch when never heard. */
    time_point named{}; /*!< When somebody last named it. */
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
    static constexpr milliseconds silence{1000};

    /*! @brief Not named for this long, a silent peer is forgotten. */
    static constexpr milliseconds memory{20'000};

    /*! @brief Notes an address from the settings; never forgotten. */
    void seed(const std::string& address, time_point now)
    {
        auto& one = peers[address];
        one.seed = true;
        one.entry = true;
        one.named = now;
    }

    /*! @brief Notes an entry that somebody else told. */
    void name_entry(const std::string& address, time_point now)
    {
        auto& one = peers[address];
        one.entry = true;
        one.named = now;
    }

    /*! @brief Notes a side that the store's records tell, with its hall. */
    void name_side(const std::string& address, const hall_id& hall,
                   time_point now)
    {
        auto& one = peers[address];
        one.entry = false;
        one.named = now;
        if (one.heard == time_point{})
            one.last.hall = hall.value();
    }

    /*! @brief Takes a heartbeat.
     * @return False for one that is older than the last. */
    bool heard(const std::string& address, const message::fleet_heartbeat& beat,
               time_point now)
    {
        auto& one = peers[address];
        const bool older = beat.incarnation < one.last.incarnation ||
                           (beat.incarnation == one.last.incarnation &&
                            beat.sequence <= one.last.sequence);
        if (older && one.heard != time_point{})
            return false;
        one.last = beat;
        one.entry = beat.entry;
        one.heard = now;
        one.named = now;
        return true;
    }

    /*! @brief Forgets peers that nobody has named for long. */
    void expire(time_point now)
    {
        std::erase_if(
            peers, [&](const auto& one)
            { return !one.second.seed && now - one.second.named > memory; });
    }

    /*! @brief Tells whether a peer was heard lately. */
    [[nodiscard]] bool alive(const std::string& address, time_point now) const
    {
        const auto found = peers.find(address);
        return found != peers.end() && alive(found->second, now);
    }

    [[nodiscard]] static bool alive(const peer_state& one, time_point now)
    {
        return one.heard != time_point{} && now - one.heard <= silence;
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
    [[nodiscard]] std::size_t entries(time_point now) const
    {
        std::size_t count = 0;
        for (const auto& [address, one] : peers)
            count += one.entry && alive(one, now) ? 1 : 0;
        return count;
    }

    /*! @brief Returns how many live entries that watch the store come before
     * an address. */
    [[nodiscard]] std::size_t watchers_before(const std::string& address,
                                              time_point now) const
    {
        std::size_t count = 0;
        for (const auto& [other, one] : peers)
        {
            if (other < address && one.entry && alive(one, now) &&
                one.last.watching && !one.last.leaving)
                ++count;
        }
        return count;
    }

    /*! @brief Tells whether a live entry watches the store and saw no outage:
     * then whoever lost the store was cut off itself. */
    [[nodiscard]] bool steady_watcher(time_point now) const
    {
        return std::any_of(peers.begin(), peers.end(),
                           [&](const auto& one)
                           {
                               const auto& last = one.second.last;
                               return one.second.entry &&
                                      alive(one.second, now) && last.watching &&
                                      !last.store_returned;
                           });
    }

private:
    std::map<std::string, peer_state> peers;
};

} // namespace coursejunction

#endif
