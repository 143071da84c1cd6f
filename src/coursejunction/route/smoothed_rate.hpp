/*! @file
 * @brief How many requests were sent lately; pure.
 */
#ifndef COURSEJUNCTION_ROUTE_SMOOTHED_RATE_HPP
#define COURSEJUNCTION_ROUTE_SMOOTHED_RATE_HPP

#include <algorithm>
#include <cmath>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief A smoothed rate of sends. */
class smoothed_rate
{
public:
    /*! @brief Time over which it is smoothed; bursts of the installations rise
     * within a second. */
    static constexpr milliseconds default_window{500};

    smoothed_rate() = default;

    /*! @param over Time over which it is smoothed instead. */
    explicit smoothed_rate(milliseconds over) : smoothing(over) {}

    void record(time_point now)
    {
        if (began == time_point{})
            began = now;
        recent = decayed(now) + 1;
        sent_at = now;
    }

    [[nodiscard]] double per_second(time_point now) const
    {
        return decayed(now) / to_seconds(smoothing);
    }

    /*! @brief Returns the rate since the first send, where that is not as long
     * ago as the rate is smoothed over: a smoothed rate begins at zero. */
    [[nodiscard]] double per_second_since_start(time_point now) const
    {
        constexpr double least_part = 0.1;
        const auto known =
            1 - std::exp(-to_seconds(now - began) / to_seconds(smoothing));
        return per_second(now) / std::max(known, least_part);
    }

private:
    [[nodiscard]] double decayed(time_point now) const
    {
        return recent *
               std::exp(-to_seconds(now - sent_at) / to_seconds(smoothing));
    }

    milliseconds smoothing{default_window};
    time_point began{};
    double recent{0}; /*!< Sends, each weighed by its age. */
    time_point sent_at{};
};

} // namespace coursejunction

#endif
