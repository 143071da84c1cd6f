/*! @file
 * @brief Recognises a refused client that returns when it was told to; pure.
 * Load pattern: demand exceeds the engines' capacity, and refused clients retry
 * once. One that is refused again is lost, after its client waited in vain.
 */
#ifndef COURSEJUNCTION_ROUTE_RETURNING_CALLERS_HPP
#define COURSEJUNCTION_ROUTE_RETURNING_CALLERS_HPP

#include <algorithm>
#include <cstdint>
#include <optional>

#include "coursejunction/core/types.hpp"
#include "coursejunction/route/recent_refusals.hpp"

namespace coursejunction
{

/*! @brief Bounds of return times; the dispatcher sets them to those of
 * admission control. */
struct returning_options
{
    /*! @brief Smallest return time. */
    milliseconds min_retry_after{200};
    /*! @brief Largest return time, as a fraction of what is left of the
     * client's deadline; clients do not follow a larger one. */
    double retry_deadline_fraction{1.0 / 3};
};

/*! @brief Returns whether a client retry arrives when its client was told to
 * return, as far as the request shows it: neither at once nor later than
 * clients wait. Another entry may have refused the client, so that nothing else
 * is known.
 * @param waited Time since the client's first request.
 * @param left What is left of the client's deadline; nothing if unknown. */
[[nodiscard]] inline bool returns_in_time(milliseconds waited,
                                          std::optional<milliseconds> left,
                                          const returning_options& options = {})
{
    if (waited + recent_refusals::early_retry_tolerance <
        options.min_retry_after)
        return false;
    if (!left)
        return true;
    const auto longest = static_cast<double>((waited + *left).count()) *
                         options.retry_deadline_fraction;
    return waited <= std::max(milliseconds(static_cast<std::int64_t>(longest)),
                              options.min_retry_after) +
                         recent_refusals::retry_expiry;
}

} // namespace coursejunction

#endif
