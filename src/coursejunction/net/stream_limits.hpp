/*! @file
 * @brief What a caller may send and how long it may take.
 */
#ifndef COURSEJUNCTION_NET_STREAM_LIMITS_HPP
#define COURSEJUNCTION_NET_STREAM_LIMITS_HPP

#include <cstddef>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Limits of a caller's connection. The defaults hold until a
 * configuration tells others. */
struct stream_limits
{
    std::size_t head_bytes{16384};
    std::size_t body_bytes{std::size_t{4} << 20U};
    milliseconds head_time{3000};   /*!< For a whole head. */
    milliseconds idle_time{15'000}; /*!< Between two requests. */
};

} // namespace coursejunction

#endif
