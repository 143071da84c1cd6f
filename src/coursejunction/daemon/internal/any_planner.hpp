/*! @file
 * @brief A transfer planner for any of the policies that the settings can
 * select.
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

/*! @brief A planner with one of the four policies. */
using any_planner = std::variant<
    transfer_planner<swarm_policy>, transfer_planner<stripe_policy>,
    transfer_planner<chain_policy>, transfer_planner<origin_policy>>;

/*! @brief Makes the planner that the settings select.
 * @param objective Whether the deployment is to save time or origin bytes;
 * only the swarm policy uses it. */
[[nodiscard]] any_planner make_planner(const manifest& of,
                                       const node_settings& settings,
                                       rollout_objective objective,
                                       time_point now);

} // namespace coursejunction::internal

#endif
