/*! @file
 * @brief The planner of a transfer, whichever way the settings name.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_ANY_PLANNER_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_ANY_PLANNER_HPP

#include <variant>

#include "coursejunction/core/types.hpp"
#include "coursejunction/resource/deployment.hpp"
#include "coursejunction/settings/node_settings.hpp"
#include "coursejunction/transfer/manifest.hpp"
#include "coursejunction/transfer/source_policy.hpp"
#include "coursejunction/transfer/transfer_planner.hpp"

namespace coursejunction::internal
{

/*! @brief A planner of one of the four ways. */
using any_planner = std::variant<
    transfer_planner<swarm_policy>, transfer_planner<stripe_policy>,
    transfer_planner<chain_policy>, transfer_planner<origin_policy>>;

/*! @brief Makes the planner that the settings name.
 * @param weigh What the deployment weighs more; only a swarm heeds it. */
[[nodiscard]] any_planner make_planner(const manifest& of,
                                       const node_settings& settings,
                                       rollout_objective weigh, time_point now);

} // namespace coursejunction::internal

#endif
