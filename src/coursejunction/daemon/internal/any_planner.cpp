#include "coursejunction/daemon/internal/any_planner.hpp"

#include "coursejunction/core/digest.hpp"

namespace coursejunction::internal
{

any_planner make_planner(const manifest& of, const node_settings& settings,
                         rollout_objective objective, time_point now)
{
    planner_limits limits;
    limits.seed =
        static_cast<std::uint32_t>(stable_hash(settings.instance.value())) | 1U;
    const auto& own = settings.instance;
    switch (settings.policy)
    {
    case transfer_policy::stripes:
        limits.max_waiting_requests = of.size();
        return transfer_planner<stripe_policy>(of, own, limits, {}, now);
    case transfer_policy::chain:
        limits.max_waiting_requests = of.size();
        return transfer_planner<chain_policy>(of, own, limits, {}, now);
    case transfer_policy::origin_only:
        return transfer_planner<origin_policy>(of, own, limits, {}, now);
    case transfer_policy::swarm:
        break;
    }
    const double origin_extra = objective == rollout_objective::time
                                    ? settings.origin_extra_fraction
                                    : 0;
    return transfer_planner<swarm_policy>(of, own, limits,
                                          swarm_policy(origin_extra), now);
}

} // namespace coursejunction::internal
