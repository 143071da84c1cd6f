/*! @file
 * @brief Limits how many replicas of a deployment are closed at the same time
 * in a hall.
 */
#ifndef COURSEJUNCTION_ROLLOUT_PERMIT_TABLE_HPP
#define COURSEJUNCTION_ROLLOUT_PERMIT_TABLE_HPP

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Permits to close a replica, kept in the memory of the entry that
 * is in charge of the hall. It needs no external service: an entry grants
 * permits only after it has received reports for a settling time, so that it
 * knows of the replicas that its predecessor let close. If two entries both act
 * as the one in charge, at most twice the limit is closed. */
class permit_table
{
public:
    /*! @brief A permit expires this long after it was granted, or after the
     * last report that the replica is closed. */
    static constexpr milliseconds validity{10'000};

    /*! @param start When this entry began to receive reports.
     * @param settling Time before it grants permits. */
    permit_table(time_point start, milliseconds settling)
        : grants_from(start + settling)
    {
    }

    /*! @brief Requests a permit; one that is granted already is renewed.
     * @param limit Replicas of the deployment that may be closed in the hall.
     * @return Whether it is granted. */
    [[nodiscard]] bool request(const deployment_name& deployment,
                               const instance_id& instance, std::size_t limit,
                               time_point now)
    {
        if (now < grants_from)
            return false;
        auto& permits = permits_by_deployment[deployment];
        std::erase_if(permits,
                      [&](const auto& one) { return one.second < now; });
        if (!permits.contains(instance) && permits.size() >= limit)
            return false;
        permits[instance] = now + validity;
        return true;
    }

    /*! @brief Applies a report. A closed replica counts, whichever entry
     * granted the permit; an open one gives its permit back, unless it is
     * waiting: its permit may still be on the way to it.
     * @param waiting The replica waits for a permit. */
    void update_replica(const deployment_name& deployment,
                        const instance_id& instance, bool is_closed,
                        bool waiting, time_point now)
    {
        auto& permits = permits_by_deployment[deployment];
        if (is_closed)
            permits[instance] = now + validity;
        else if (!waiting)
            permits.erase(instance);
    }

    /*! @brief Grants nothing before a time; for when the hall's entries
     * change. */
    void delay_grants_until(time_point when)
    {
        grants_from = std::max(grants_from, when);
    }

    /*! @brief Returns how many replicas count as closed, expired permits
     * included until the next request. */
    [[nodiscard]] std::size_t
    closed_count(const deployment_name& deployment) const
    {
        const auto found = permits_by_deployment.find(deployment);
        return found == permits_by_deployment.end() ? 0 : found->second.size();
    }

private:
    time_point grants_from;
    std::map<deployment_name, std::map<instance_id, time_point>>
        permits_by_deployment;
};

} // namespace coursejunction

#endif
