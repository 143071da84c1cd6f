/*! @file
 * @brief Formats the state of an entry or a sidecar as JSON, for `/dump`.
 */
#ifndef COURSEJUNCTION_DAEMON_STATE_DUMP_HPP
#define COURSEJUNCTION_DAEMON_STATE_DUMP_HPP

#include <cstddef>
#include <string>

#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/peer_directory.hpp"
#include "coursejunction/fleet/store_mirror.hpp"
#include "coursejunction/rollout/agent_state.hpp"
#include "coursejunction/route/upstream_registry.hpp"

namespace coursejunction
{

/*! @brief Numbers of requests in progress at an entry. */
struct entry_load
{
    std::size_t open{0};   /*!< Without a final response. */
    std::size_t queued{0}; /*!< Of those, waiting for a slot of an upstream. */
};

/*! @brief Returns what an entry knows of its peers and of every upstream. Ages
 * are in ms. */
[[nodiscard]] std::string entry_state_json(const store_mirror& mirror,
                                           const peer_directory& peers,
                                           const upstream_registry& upstreams,
                                           const entry_load& load,
                                           time_point now);

/*! @brief Returns what a sidecar knows of its peers and its upstream, and the
 * transfer progress of each version. */
[[nodiscard]] std::string side_state_json(const store_mirror& mirror,
                                          const peer_directory& peers,
                                          const agent_state& agent,
                                          time_point now);

} // namespace coursejunction

#endif
