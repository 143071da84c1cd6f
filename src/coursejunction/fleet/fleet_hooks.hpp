/*! @file
 * @brief How a process finds its peers, and what its role adds to what it tells
 * them.
 */
#ifndef COURSEJUNCTION_FLEET_FLEET_HOOKS_HPP
#define COURSEJUNCTION_FLEET_FLEET_HOOKS_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/heartbeat_plan.hpp"
#include "coursejunction/fleet/item_rules.hpp"
#include "coursejunction/net/stream_server.hpp"
#include "coursejunction/wire/fleet_message.hpp"

namespace coursejunction
{

/*! @brief How a node finds its peers. */
struct fleet_options
{
    std::string address;
    std::uint16_t port{0}; /*!< Alike on every instance of an installation. */
    hall_id hall;
    bool entry{false};
    std::vector<std::string> seeds; /*!< IP addresses of entries. */
    item_rules items;               /*!< Of the store's keys. */
};

/*! @brief What a role adds to a node. */
struct fleet_hooks
{
    /*! @brief Keys changed.
     * @param store_returned Whether the store was away until just now, so that
     * records may have lapsed only. */
    std::function<void(const std::vector<std::string>& keys,
                       bool store_returned)>
        keys_changed;
    /*! @brief A value that another one replaced before it was read; called
     * before `keys_changed` reports the key. */
    std::function<void(const message::mirror_item&)> value_overwritten;
    std::function<void(const std::string& from,
                       const message::fleet_heartbeat&)>
        heartbeat_received;
    /*! @brief Adds what the role knows. */
    std::function<void(message::fleet_heartbeat&, chunk_detail)> fill_heartbeat;
    std::function<void(stream_request, stream_reply)> handle_request;
    /*! @brief Returns records of requests that crash upstreams, for other
     * entries; only an entry has any. */
    std::function<std::vector<message::crash_record>()> crash_records;
    /*! @brief Returns callers that this entry sent away, for the other entries
     * of its hall, each once. */
    std::function<std::vector<message::refused_caller>()> refused_callers;
    /*! @brief Returns what upstreams lately told this entry of their terms. */
    std::function<std::vector<message::upstream_terms>()> recent_terms;
    /*! @brief Tells whether weights are on their way to some side. */
    std::function<bool()> transfers_active;
};

} // namespace coursejunction

#endif
