/*! @file
 * @brief Remembers how long peers have known more than this process; pure.
 */
#ifndef COURSEJUNCTION_FLEET_LAG_TRACKER_HPP
#define COURSEJUNCTION_FLEET_LAG_TRACKER_HPP

#include <algorithm>

#include "coursejunction/core/store_position.hpp"
#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief How far the own mirror is behind what peers tell. */
class lag_tracker
{
public:
    /*! @brief A peer tells a position that the own mirror lacks.
     * @param own Revision of the own mirror. */
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

    /*! @brief The own mirror reached a position. */
    void advance(store_position position, time_point now)
    {
        if (awaited == store_position{} || position < awaited)
            return;
        awaited = newest > position ? newest : store_position{};
        since = now;
    }

    /*! @brief Returns for how long a position was awaited.
     * @param position Of the own mirror. */
    [[nodiscard]] milliseconds lag(store_position position,
                                   time_point now) const
    {
        if (awaited == store_position{} || position >= awaited)
            return milliseconds(0);
        return std::chrono::duration_cast<milliseconds>(now - since);
    }

private:
    store_position awaited; /*!< The first one that was told and lacked. */
    store_position newest;
    time_point since{};
};

} // namespace coursejunction

#endif
