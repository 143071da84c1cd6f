/*! @file
 * @brief How many requests were sent lately; pure.
 */
#ifndef COURSEJUNCTION_ROUTE_SEND_RATE_HPP
#define COURSEJUNCTION_ROUTE_SEND_RATE_HPP

#include <cmath>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief A smoothed rate of sends. */
class send_rate
{
public:
    /*! @brief Time over which it is smoothed; bursts of the installations rise
     * within a second. */
    static constexpr milliseconds span{500};

    void sent(time_point now)
    {
        recent = decayed(now) + 1;
        sent_at = now;
    }

    [[nodiscard]] double per_second(time_point now) const
    {
        return decayed(now) / to_seconds(span);
    }

private:
    [[nodiscard]] double decayed(time_point now) const
    {
        return recent * std::exp(-to_seconds(now - sent_at) / to_seconds(span));
    }

    double recent{0}; /*!< Sends, each weighed by its age. */
    time_point sent_at{};
};

} // namespace coursejunction

#endif
