/*! @file
 * @brief Ranks requests that wait at one upstream; pure.
 *
 * Load pattern: places are taken, and requests of kinds with unlike targets
 * wait at an engine together with some that are late already.
 */
#ifndef COURSEJUNCTION_ROUTE_URGENCY_HPP
#define COURSEJUNCTION_ROUTE_URGENCY_HPP

#include <algorithm>
#include <cstdint>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Rank among requests that wait; 0 is taken first, 9 last. */
using urgency = strong<struct urgency_tag, std::uint8_t>;

/*! @brief A request that says nothing of its urgency. */
inline const urgency usual_urgency{5};

/*! @brief A stream that goes on: its caller reads already. */
inline const urgency stream_urgency{0};

/*! @brief A request whose target is lost: whoever can be in time goes first. */
inline const urgency late_urgency{9};

/*! @brief Returns the urgency of a request that may still be in time: a rank
 * for each 100 ms that are left of its target, as targets of engines differ
 * by that much. */
[[nodiscard]] inline urgency urgency_of(milliseconds left_of_target)
{
    constexpr milliseconds rank{100};
    constexpr std::int64_t first = 1;
    constexpr std::int64_t last = 8;
    return urgency(static_cast<std::uint8_t>(
        std::clamp<std::int64_t>(left_of_target / rank, first, last)));
}

} // namespace coursejunction

#endif
