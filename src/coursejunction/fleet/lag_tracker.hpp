/*! @file
 * @brief Tracks how long the mirror has lagged behind those of peers; pure.
 */
#ifndef COURSEJUNCTION_FLEET_LAG_TRACKER_HPP
#define COURSEJUNCTION_FLEET_LAG_TRACKER_HPP

#include <algorithm>

#include "coursejunction/core/store_position.hpp"
#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Measures the lag of the own mirror by the positions that peers
 * report. */
class lag_tracker
{
public:
    /*! @brief Records that a peer reports a position beyond the own mirror.
     * @param own Position of the own mirror. */
    void report_ahead(store_position position, store_position own,
                      time_point now)
    {
        if (own >= awaited)
        {
            awaited = position;
            since = now;
        }
        newest = std::max(newest, position);
    }

    /*! @brief Records that the own mirror reached a position. */
    void advance(store_position position, time_point now)
    {
        if (awaited == store_position{} || position < awaited)
            return;
        awaited = newest > position ? newest : store_position{};
        since = now;
    }

    /*! @brief Returns how long the mirror has been without a position that
     * peers reported; zero if none is missing. The time starts again when the
     * mirror reaches the first missing position but not the newest.
     * @param position Position of the own mirror. */
    [[nodiscard]] milliseconds lag(store_position position,
                                   time_point now) const
    {
        if (awaited == store_position{} || position >= awaited)
            return milliseconds(0);
        return std::chrono::duration_cast<milliseconds>(now - since);
    }

private:
    /*! @brief First reported position that the own mirror lacks. */
    store_position awaited;
    store_position newest;
    time_point since{};
};

} // namespace coursejunction

#endif
