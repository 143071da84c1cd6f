/*! @file
 * @brief Remembers outages of the platform's store; pure.
 */
#ifndef COURSEJUNCTION_FLEET_STORE_OUTAGE_HPP
#define COURSEJUNCTION_FLEET_STORE_OUTAGE_HPP

#include <optional>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Records of upstreams may lapse while the store is away and are back
 * soon after its return. A single failed call, or a history that is gone, is no
 * such outage: what is missing after it has really left. */
class store_outage
{
public:
    /*! @brief Failures for at least this long are an outage; a record lapses
     * after three heartbeats, of which the first may be due at once. */
    static constexpr milliseconds min_duration{1000};

    /*! @brief After its return the store counts as unsettled for this long;
     * the platform's rules count nothing against us for as long. */
    static constexpr milliseconds settle_time{3000};

    /*! @brief A call failed. */
    void record_failure(time_point now)
    {
        if (!failing_since)
            failing_since = now;
    }

    /*! @brief A call was answered. */
    void record_success(time_point now)
    {
        if (failing_since && now - *failing_since >= min_duration)
            ended_at = now;
        failing_since.reset();
    }

    /*! @brief Tells whether an outage ended just now. */
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
