/*! @file
 * @brief Orders the requests that wait at one upstream; pure. Load pattern: all
 * slots are taken, and requests of kinds with different targets wait at an
 * engine, some of which can no longer meet them.
 */
#ifndef COURSEJUNCTION_ROUTE_URGENCY_HPP
#define COURSEJUNCTION_ROUTE_URGENCY_HPP

#include <algorithm>
#include <cstdint>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Order of waiting requests; 0 is served first, 9 last. */
using urgency = strong<struct urgency_tag, std::uint8_t>;

/*! @brief Urgency of a request that specifies none. */
inline const urgency usual_urgency{5};

/*! @brief Urgency of a stream that is resumed: its client is already reading.
 */
inline const urgency stream_urgency{0};

/*! @brief Urgency of a request that can no longer meet its target; those that
 * can go first. */
inline const urgency late_urgency{9};

/*! @brief Returns the urgency of a request that can still meet its target: one
 * step per 100 ms left, as the targets of engine services differ by that much.
 */
[[nodiscard]] inline urgency urgency_of(milliseconds left_of_target)
{
    constexpr milliseconds step{100};
    constexpr std::int64_t first = 1;
    constexpr std::int64_t last = 8;
    return urgency(static_cast<std::uint8_t>(
        std::clamp<std::int64_t>(left_of_target / step, first, last)));
}

} // namespace coursejunction

#endif
