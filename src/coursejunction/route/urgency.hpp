/*! @file
 * @brief Orders the requests that wait at one upstream; pure. Load pattern: all
 * slots are taken, and requests of kinds with different targets wait at an
 * engine, some of which can no longer meet them, or of different ranks.
 */
#ifndef COURSEJUNCTION_ROUTE_URGENCY_HPP
#define COURSEJUNCTION_ROUTE_URGENCY_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "coursejunction/core/types.hpp"
#include "coursejunction/route/priority.hpp"

namespace coursejunction
{

/*! @brief Order of waiting requests; 0 is served first, 9 last. */
using urgency = strong<struct urgency_tag, std::uint8_t>;

/*! @brief Urgency of a request that specifies none. */
inline const urgency usual_urgency{5};

/*! @brief Urgency of a stream that is resumed: its client is already reading.
 */
inline const urgency stream_urgency{0};

/*! @brief Most and least urgent value of requests that are not resumed streams.
 */
inline constexpr std::size_t first_urgency = 1;
inline constexpr std::size_t last_urgency = 9;

/*! @brief Part of the scale that requests of one rank use. */
struct urgency_range
{
    std::size_t first{first_urgency};
    std::size_t last{last_urgency}; /*!< For requests that can no longer meet
                                       their target. */
};

/*! @brief Returns the part of the scale of a rank: the ranks of the service
 * divide it evenly. With more ranks than values, neighbours share one. */
[[nodiscard]] inline urgency_range range_of(const rank_order& order,
                                            const request_rank& rank)
{
    constexpr std::size_t values = last_urgency - first_urgency + 1;
    const auto at = order.position(rank);
    const auto first = first_urgency + at * values / order.size();
    const auto next = first_urgency + (at + 1) * values / order.size();
    return {first, std::max(first, next - 1)};
}

/*! @brief Urgency of a request that can no longer meet its target; those of its
 * rank that can go first. */
[[nodiscard]] inline urgency late_urgency(const urgency_range& range = {})
{
    return urgency(static_cast<std::uint8_t>(range.last));
}

/*! @brief Returns the urgency of a request that can still meet its target. With
 * one rank it is one step per 100 ms left, as the targets of engine services
 * differ by that much; with several ranks the steps are larger. */
[[nodiscard]] inline urgency urgency_of(milliseconds left_of_target,
                                        const urgency_range& range = {})
{
    constexpr milliseconds step{100};
    constexpr std::int64_t steps = last_urgency - first_urgency;
    const auto step_number = static_cast<std::size_t>(
        std::clamp<std::int64_t>(left_of_target / step - 1, 0, steps - 1));
    return urgency(static_cast<std::uint8_t>(
        range.first + step_number * (range.last - range.first) / steps));
}

} // namespace coursejunction

#endif
