/*! @file
 * @brief What a search for a place for a request ends with.
 */
#ifndef COURSEJUNCTION_ROUTE_UPSTREAM_CHOICE_HPP
#define COURSEJUNCTION_ROUTE_UPSTREAM_CHOICE_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "coursejunction/core/types.hpp"
#include "coursejunction/route/engine_estimate.hpp"

namespace coursejunction
{

/*! @brief A place for a request. */
struct upstream_choice
{
    instance_id upstream;
    hall_id hall;
    std::string address;
    double predicted_ms{0};
    double uncorrected_ms{0}; /*!< Before lateness was taken in. */
    std::uint64_t version{0};
    engine_load load; /*!< What the prediction was made from. */
};

/*! @brief Why nothing was placed. */
struct placement_failure
{
    std::size_t usable{0}; /*!< Upstreams that could take it at all. */
    double least_ms{0};    /*!< The soonest first event, when usable. */
    /*! @brief The soonest moment at which one takes a request of this entry,
     * where all that could take it rest or are at their limits. */
    std::optional<time_point> next_send_at;
};

} // namespace coursejunction

#endif
