/*! @file
 * @brief Size and time limits for client connections.
 */
#ifndef COURSEJUNCTION_NET_STREAM_LIMITS_HPP
#define COURSEJUNCTION_NET_STREAM_LIMITS_HPP

#include <cstddef>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Limits of a client's connection. The defaults apply until the
 * configuration replaces them. */
struct stream_limits
{
    std::size_t head_bytes{16384};
    std::size_t body_bytes{std::size_t{4} << 20U};
    milliseconds head_time{3000};   /*!< To receive a whole request head. */
    milliseconds idle_time{15'000}; /*!< Between two requests, and for a
                                       request body. */
};

/*! @brief Returns limits for requests that have no body. */
[[nodiscard]] inline stream_limits without_body()
{
    stream_limits limits;
    limits.body_bytes = 0;
    return limits;
}

} // namespace coursejunction

#endif
