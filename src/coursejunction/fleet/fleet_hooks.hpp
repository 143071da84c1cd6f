/*! @file
 * @brief Settings of a fleet node and the callbacks of its role.
 */
#ifndef COURSEJUNCTION_FLEET_FLEET_HOOKS_HPP
#define COURSEJUNCTION_FLEET_FLEET_HOOKS_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/heartbeat_plan.hpp"
#include "coursejunction/fleet/item_rules.hpp"
#include "coursejunction/net/stream_server.hpp"
#include "coursejunction/wire/fleet_message.hpp"

namespace coursejunction
{

/*! @brief Identity of a fleet node and the addresses where it finds its peers.
 */
struct fleet_options
{
    std::string address;   /*!< IP address of this process. */
    std::uint16_t port{0}; /*!< UDP and TCP port; the same on every instance of
                              an installation. */
    hall_id hall;
    bool entry{false};
    /*! @brief IP addresses of entries that are contacted first. */
    std::vector<std::string> seeds;
    /*! @brief Bound on the open connections of peers; 0: none. */
    std::size_t max_peer_connections{0};
    item_rules items; /*!< How values of the store's keys are compared. */
};

/*! @brief Callbacks of a node's role (entry or sidecar); each may be empty. */
struct fleet_hooks
{
    /*! @brief Keys of the mirror changed.
     * @param lapse_deadline Set shortly after an outage or rollback of the
     * store: until then missing records may come back. */
    std::function<void(const std::vector<std::string>& keys,
                       std::optional<time_point> lapse_deadline)>
        keys_changed;
    /*! @brief A page of the store holds this value and a newer one of the same
     * key, and the mirror has none as recent; called before `keys_changed`
     * reports the key. Not called for removals. */
    std::function<void(const message::mirror_item&)> value_overwritten;
    /*! @brief A peer sent a heartbeat that is newer than its last one; called
     * after the node has handled it.
     * @param from IP address of the peer. */
    std::function<void(const std::string& from,
                       const message::fleet_heartbeat&)>
        heartbeat_received;
    /*! @brief Adds the role's own fields to an outgoing heartbeat. */
    std::function<void(message::fleet_heartbeat&, chunk_detail)> fill_heartbeat;
    /*! @brief Answers a peer's request for anything but the mirror. */
    std::function<void(stream_request, stream_reply)> handle_request;
    /*! @brief Returns records of requests that crash upstreams, for other
     * entries; only an entry has any. */
    std::function<std::vector<message::crash_record>()> crash_records;
    /*! @brief Returns callers that this entry refused, for the other entries of
     * its hall; each is returned once. */
    std::function<std::vector<message::refused_caller>()> refused_callers;
    /*! @brief Returns the terms (limits, back-off) that upstreams recently
     * reported to this entry. */
    std::function<std::vector<message::upstream_terms>()> recent_terms;
    /*! @brief Adds changes of the store that other entries may not know:
     * upstreams that departed and halls that are evacuated.
     * @param all Also adds older changes that are still in effect. */
    std::function<void(message::fleet_heartbeat&, bool all)> add_store_changes;
    /*! @brief Returns whether some sidecar is downloading weights. */
    std::function<bool()> transfers_active;
};

} // namespace coursejunction

#endif
