/*! @file
 * @brief Which upstream runs which deployment; the same in every process
 * that sees the same configuration and instances.
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

/*! @brief An upstream that may run a deployment. */
struct upstream_candidate
{
    instance_id instance;
    hall_id hall;
    region_id region;
    std::vector<std::string> labels;
};

/*! @brief Places deployments on upstreams: deployments in order of name, in
 * each hall the first ranks of a rendezvous over upstreams still free. An
 * upstream that dies moves only its own deployment. */
[[nodiscard]] std::map<instance_id, deployment_name>
assign_deployments(const configuration& wanted,
                   const std::vector<upstream_candidate>& upstreams);

} // namespace coursejunction

#endif
