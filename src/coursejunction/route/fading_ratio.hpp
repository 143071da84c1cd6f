/*! @file
 * @brief A smoothed ratio that fades to one when nothing is seen; pure.
 */
#ifndef COURSEJUNCTION_ROUTE_FADING_RATIO_HPP
#define COURSEJUNCTION_ROUTE_FADING_RATIO_HPP

#include <cmath>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief How many times later than predicted something comes, as seen lately.
 *
 * One entry sends an engine of a large installation a request every two or
 * three seconds: without fading, what was seen while many engines were closed
 * would turn requests away for half a minute after. */
class fading_ratio
{
public:
    /*! @brief What was seen counts half after this long: a rollout's shortage
     * lasts 2 to 3 s. */
    static constexpr milliseconds half_life{2000};

    /*! @brief Takes in one ratio.
     * @param smoothing Its part of the new value. */
    void seen(double ratio, double smoothing, time_point now)
    {
        const auto before = value(now);
        ratio_seen = before + (ratio - before) * smoothing;
        seen_at = now;
    }

    [[nodiscard]] double value(time_point now) const
    {
        const auto halvings = to_seconds(now - seen_at) / to_seconds(half_life);
        return 1 + (ratio_seen - 1) * std::exp2(-halvings);
    }

private:
    double ratio_seen{1};
    time_point seen_at{};
};

} // namespace coursejunction

#endif
