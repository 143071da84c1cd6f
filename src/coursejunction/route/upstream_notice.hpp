/*! @file
 * @brief What an upstream says of itself beside its answer to a request.
 */
#ifndef COURSEJUNCTION_ROUTE_UPSTREAM_NOTICE_HPP
#define COURSEJUNCTION_ROUTE_UPSTREAM_NOTICE_HPP

#include <optional>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Back-pressure of an upstream, as one of its answers tells it. */
struct upstream_notice
{
    bool leaving{false}; /*!< It ends soon and wants no new work. */
    /*! @brief It wants no request of the receiver for so long. */
    std::optional<milliseconds> retry_after;
    /*! @brief Requests a second that it takes from all entries together, for
     * as long as its answers say so. */
    std::optional<double> requests_per_second;
    /*! @brief Something was told that can't be read. */
    bool unreadable{false};

    [[nodiscard]] bool empty() const
    {
        return !leaving && !retry_after && !requests_per_second && !unreadable;
    }
};

} // namespace coursejunction

#endif
