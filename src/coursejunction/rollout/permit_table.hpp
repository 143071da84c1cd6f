/*! @file
 * @brief Limits how many replicas of a deployment are closed in a hall.
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

/*! @brief Grants permits to close, in the memory of one entry of the hall. It
 * needs no service: an entry grants only after it has listened for a settling
 * time, so it knows of replicas that another entry let close. Two entries that
 * both think they are first overshoot to at most twice the limit. */
class permit_table
{
public:
    /*! @brief How long a permit counts when nothing more is heard. */
    static constexpr milliseconds validity{10'000};

    /*! @param start When this entry started to hear reports.
     * @param settling How long it listens before it grants. */
    permit_table(time_point start, milliseconds settling)
        : grants_from(start + settling)
    {
    }

    /*! @brief Asks for a permit.
     * @param limit Replicas of the deployment that may be closed in the hall.
     * @return Whether it is granted. */
    [[nodiscard]] bool request(const deployment_name& deployment,
                               const instance_id& instance, std::size_t limit,
                               time_point now)
    {
        if (now < grants_from)
            return false;
        auto& held = closed[deployment];
        std::erase_if(held, [&](const auto& one) { return one.second < now; });
        if (!held.contains(instance) && held.size() >= limit)
            return false;
        held[instance] = now + validity;
        return true;
    }

    /*! @brief Takes a report: a closed replica counts, whoever let it close;
     * one that is open again counts no more once it has changed. */
    void update_replica(const deployment_name& deployment,
                        const instance_id& instance, bool is_closed,
                        bool waiting, time_point now)
    {
        auto& held = closed[deployment];
        if (is_closed)
            held[instance] = now + validity;
        else if (!waiting)
            held.erase(instance);
    }

    /*! @brief Starts the settling time anew, when the hall's entries change. */
    void delay_grants_until(time_point when)
    {
        grants_from = std::max(grants_from, when);
    }

    /*! @brief Returns how many replicas count as closed. */
    [[nodiscard]] std::size_t
    closed_count(const deployment_name& deployment) const
    {
        const auto found = closed.find(deployment);
        return found == closed.end() ? 0 : found->second.size();
    }

private:
    time_point grants_from;
    std::map<deployment_name, std::map<instance_id, time_point>> closed;
};

} // namespace coursejunction

#endif
