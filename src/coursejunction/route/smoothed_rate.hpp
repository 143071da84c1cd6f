/*! @file
 * @brief Measures the recent rate of events, such as requests sent; pure.
 */
#ifndef COURSEJUNCTION_ROUTE_SMOOTHED_RATE_HPP
#define COURSEJUNCTION_ROUTE_SMOOTHED_RATE_HPP

#include <algorithm>
#include <cmath>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief An exponentially smoothed rate of events. */
class smoothed_rate
{
public:
    /*! @brief Time over which it is smoothed by default; bursts of requests
     * rise within a second. */
    static constexpr milliseconds default_window{500};

    smoothed_rate() = default;

    /*! @param over Time over which it is smoothed. */
    explicit smoothed_rate(milliseconds over) : window(over) {}

    void record(time_point now)
    {
        if (first_at == time_point{})
            first_at = now;
        weighted_count = decayed(now) + 1;
        last_at = now;
    }

    [[nodiscard]] double per_second(time_point now) const
    {
        return decayed(now) / to_seconds(window);
    }

    /*! @brief Returns the rate since the first event if that is more recent
     * than the smoothing time, as a smoothed rate starts at zero. */
    [[nodiscard]] double per_second_since_start(time_point now) const
    {
        constexpr double min_covered = 0.1;
        const auto covered =
            1 - std::exp(-to_seconds(now - first_at) / to_seconds(window));
        return per_second(now) / std::max(covered, min_covered);
    }

private:
    [[nodiscard]] double decayed(time_point now) const
    {
        return weighted_count *
               std::exp(-to_seconds(now - last_at) / to_seconds(window));
    }

    milliseconds window{default_window};
    time_point first_at{};
    double weighted_count{0}; /*!< Events weighted by their age. */
    time_point last_at{};
};

} // namespace coursejunction

#endif
