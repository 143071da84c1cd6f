/*! @file
 * @brief The results of selecting an upstream for a request.
 */
#ifndef COURSEJUNCTION_ROUTE_UPSTREAM_CHOICE_HPP
#define COURSEJUNCTION_ROUTE_UPSTREAM_CHOICE_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "coursejunction/core/types.hpp"
#include "coursejunction/route/engine_estimate.hpp"
#include "coursejunction/route/reserved_slots.hpp"

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
};

/*! @brief Why no upstream was selected. */
struct placement_failure
{
    std::size_t usable{0}; /*!< Upstreams that could serve the request. */
    double least_ms{0};    /*!< Smallest predicted time, if one is usable. */
    /*! @brief When the first upstream accepts a request of this entry again, if
     * all suitable ones are in a back-off or at their rate limits. */
    std::optional<time_point> next_send_at;
    /*! @brief An upstream would have taken it if it had been as urgent as any.
     */
    bool reserved{false};
    reserved_slots reserve; /*!< What it had to leave free. */
};

} // namespace coursejunction

#endif
