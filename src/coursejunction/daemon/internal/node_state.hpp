/*! @file
 * @brief Parts of a node's state as JSON; pure.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_NODE_STATE_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_NODE_STATE_HPP

#include <cstdint>

#include <nlohmann/json_fwd.hpp>

#include "coursejunction/core/types.hpp"
#include "coursejunction/member/member_table.hpp"
#include "coursejunction/net/peer_hub.hpp"

namespace coursejunction::internal
{

/*! @brief Returns the listed members and whether each may be sent work. */
[[nodiscard]] nlohmann::json members_json(const member_table& members,
                                          time_point now);

/*! @brief Returns the counts of what was sent and received. */
[[nodiscard]] nlohmann::json traffic_json(const hub_counters& counts,
                                          std::uint64_t gossip_bytes,
                                          std::uint64_t key_value_calls);

} // namespace coursejunction::internal

#endif
