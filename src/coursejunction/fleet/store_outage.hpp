/*! @file
 * @brief Detects outages of the platform's store; pure.
 */
#ifndef COURSEJUNCTION_FLEET_STORE_OUTAGE_HPP
#define COURSEJUNCTION_FLEET_STORE_OUTAGE_HPP

#include <optional>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Upstreams cannot renew their records during an outage of the store;
 * records that expired then come back soon after it ends. A single failed call,
 * or a watch from a position whose history the store has dropped, is no outage:
 * what is missing after it has really been removed. */
class store_outage
{
public:
    /*! @brief Calls must fail for at least this long to count as an outage. A
     * record expires after three missed renewals by its upstream, of which the
     * first may be due immediately. */
    static constexpr milliseconds min_duration{1000};

    /*! @brief For this long after an outage missing records may still come
     * back. The platform does not count failed requests of the installation
     * during the same time. */
    static constexpr milliseconds settle_time{3000};

    /*! @brief Records a failed call. */
    void record_failure(time_point now)
    {
        if (!failing_since)
            failing_since = now;
    }

    /*! @brief Records an answered call, which ends an outage.
     * @return Whether one ended. */
    bool record_success(time_point now)
    {
        const bool ends = failing_since && now - *failing_since >= min_duration;
        if (ends)
            ended_at = now;
        failing_since.reset();
        return ends;
    }

    /*! @brief Returns whether an outage ended less than `settle_time` ago. */
    [[nodiscard]] bool recently_ended(time_point now) const
    {
        return ended_at && now - *ended_at < settle_time;
    }

private:
    std::optional<time_point> failing_since;
    std::optional<time_point> ended_at;
};

} // namespace coursejunction

#endif
