#include "coursejunction/rollout/assignment.hpp"

#include <algorithm>

#include "coursejunction/core/rendezvous.hpp"

namespace coursejunction
{

namespace internal
{

bool matches(const upstream_candidate& upstream, const placement& where)
{
    if (upstream.hall != where.hall)
        return false;
    return std::all_of(where.selector.begin(), where.selector.end(),
                       [&](const std::string& label)
                       {
                           return std::find(upstream.labels.begin(),
                                            upstream.labels.end(),
                                            label) != upstream.labels.end();
                       });
}

} // namespace internal

std::map<instance_id, deployment_name>
assign_deployments(const configuration& config,
                   const std::vector<upstream_candidate>& upstreams)
{
    std::map<instance_id, deployment_name> assigned;
    for (const auto& [name, spec] : config.deployments())
    {
        for (const auto& where : spec.placements)
        {
            std::vector<instance_id> free;
            for (const auto& upstream : upstreams)
            {
                if (internal::matches(upstream, where) &&
                    !assigned.contains(upstream.instance))
                    free.push_back(upstream.instance);
            }
            for (const auto& id :
                 rendezvous_rank(name.value(), free, where.count))
                assigned.emplace(id, name);
        }
    }
    return assigned;
}

} // namespace coursejunction
