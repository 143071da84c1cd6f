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
    /*! @brief Evacuated halls, whose upstreams were not considered. */
    std::size_t evacuated_halls{0};

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
     * all suitable ones are in a back-off, at their rate limits, cold or in
     * evacuated halls. The maximum if it is not known when any of them will. */
    std::optional<time_point> next_send_at;
    /*! @brief The request is restricted to regions without an upstream that
     * could take it, now or later: there is none, or all are leaving. */
    bool no_allowed_upstream{false};
    /*! @brief Evacuated halls, whose upstreams were not considered. */
    std::size_t evacuated_halls{0};

    /*! @brief Returns whether evacuations leave no upstream to wait for. */
    [[nodiscard]] bool evacuated() const
    {
        return evacuated_halls > 0 && next_send_at == time_point::max();
    }
    std::size_t held_back{0}; /*!< Upstreams that are cold and get none now. */
    /*! @brief An upstream would have taken it if it had been as urgent as any.
     */
    bool reserved{false};
    reserved_slots reserve; /*!< What it had to leave free. */
};

} // namespace coursejunction

#endif
