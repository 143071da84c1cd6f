/*! @file
 * @brief When a side may close its upstream to load new weights; pure.
 */
#ifndef COURSEJUNCTION_ROLLOUT_CLOSE_POLICY_HPP
#define COURSEJUNCTION_ROLLOUT_CLOSE_POLICY_HPP

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

#include "coursejunction/core/rendezvous.hpp"
#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Limits of a rollout inside one hall. */
struct close_limits
{
    /*! @brief Part of a hall's upstreams that may be closed at once. */
    double max_closed_fraction{0.34};
    /*! @brief Time after which an upstream closes whatever the others do:
     * `version_deadlines::close_deadline`. */
    milliseconds close_deadline{5300};
};

/*! @brief Another side of the same hall, as it last told. */
struct hall_peer
{
    instance_id id;
    bool closed{false}; /*!< Takes nothing new. */
    bool ready{false};  /*!< Has the wanted version, but does not serve it. */
};

/*! @brief Tells whether a side may close now. Nobody grants it: each side
 * counts those that it hears, and ties go by rank. Sides that do not hear each
 * other may close together, which costs room for a moment but no rule.
 * @param known How long ago the version was named. */
[[nodiscard]] inline bool may_close(const close_limits& limits,
                                    const instance_id& own,
                                    const std::vector<hall_peer>& others,
                                    const std::string& version,
                                    std::chrono::microseconds known)
{
    if (known >= limits.close_deadline)
        return true;
    const auto size = static_cast<double>(others.size() + 1);
    const auto most = std::max<std::size_t>(
        1, static_cast<std::size_t>(size * limits.max_closed_fraction + 0.5));
    std::size_t closed = 0;
    std::size_t before = 0;
    const auto rank = rendezvous_weight(version, own.value());
    for (const auto& one : others)
    {
        if (one.closed)
            ++closed;
        else if (one.ready && rendezvous_weight(version, one.id.value()) > rank)
            ++before;
    }
    // Those before us may close first, as long as there is room for all.
    return closed < most && before < most - closed;
}

} // namespace coursejunction

#endif
