/*! @file
 * @brief The results of selecting an upstream for a request.
 */
#ifndef COURSEJUNCTION_ROUTE_UPSTREAM_CHOICE_HPP
#define COURSEJUNCTION_ROUTE_UPSTREAM_CHOICE_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "coursejunction/core/types.hpp"
#include "coursejunction/route/engine_estimate.hpp"

namespace coursejunction
{

/*! @brief The upstream selected for a request. */
struct upstream_choice
{
    instance_id upstream;
    hall_id hall;
    std::string address;
    double predicted_ms{0};
    double uncorrected_ms{0}; /*!< Without the lateness correction. */
    std::uint64_t version{0};
    engine_load load; /*!< What the prediction was based on. */

    /*! @brief Returns the prediction in ms for the profiled pace. */
    [[nodiscard]] double profiled_ms() const
    {
        return uncorrected_ms / std::max(load.pace, 1.0);
    }
};

/*! @brief Why no upstream was selected. */
struct placement_failure
{
    std::size_t usable{0}; /*!< Upstreams that could serve the request. */
    double least_ms{0};    /*!< Smallest predicted time, if one is usable. */
    /*! @brief When the first upstream accepts a request of this entry again, if
     * all suitable ones are in a back-off or at their rate limits. */
    std::optional<time_point> next_send_at;
};

} // namespace coursejunction

#endif
