/*! @file
 * @brief Assigns deployments to upstreams; pure, so that every process with
 * the same configuration and instances computes the same assignment.
 */
#ifndef COURSEJUNCTION_ROLLOUT_ASSIGNMENT_HPP
#define COURSEJUNCTION_ROLLOUT_ASSIGNMENT_HPP

#include <map>
#include <string>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/resource/configuration.hpp"

namespace coursejunction
{

/*! @brief An upstream that a deployment may be assigned to. */
struct upstream_candidate
{
    instance_id instance;
    hall_id hall;
    region_id region;
    std::vector<std::string> labels;
};

/*! @brief Assigns deployments in order of name. In each hall a deployment gets
 * the upstreams that rank first by rendezvous hashing among those that match
 * its labels and are still free, so that the loss of an upstream moves only the
 * deployment that ran on it. */
[[nodiscard]] std::map<instance_id, deployment_name>
assign_deployments(const configuration& config,
                   const std::vector<upstream_candidate>& upstreams);

} // namespace coursejunction

#endif
