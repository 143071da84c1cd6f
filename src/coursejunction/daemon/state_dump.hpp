/*! @file
 * @brief What a process of an installation believes, as JSON on request.
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

/*! @brief Requests that an entry has in hand. */
struct entry_load
{
    std::size_t open{0};   /*!< Not answered yet. */
    std::size_t queued{0}; /*!< Of those, without a place at an upstream. */
};

/*! @brief Returns what an entry believes of its peers and of every upstream.
 * Ages are in ms. */
[[nodiscard]] std::string entry_state_json(const store_mirror& mirror,
                                           const peer_directory& peers,
                                           const upstream_registry& book,
                                           const entry_load& load,
                                           time_point now);

/*! @brief Returns what a side believes of its peers and of its upstream, and
 * how far each version is. */
[[nodiscard]] std::string side_state_json(const store_mirror& mirror,
                                          const peer_directory& peers,
                                          const agent_state& agent,
                                          time_point now);

} // namespace coursejunction

#endif
