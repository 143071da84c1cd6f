/*! @file
 * @brief What an upstream announces about itself in a response.
 */
#ifndef COURSEJUNCTION_ROUTE_UPSTREAM_NOTICE_HPP
#define COURSEJUNCTION_ROUTE_UPSTREAM_NOTICE_HPP

#include <optional>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Back-pressure that a response of an upstream announces. */
struct upstream_notice
{
    bool leaving{false}; /*!< It shuts down soon and accepts no new requests. */
    /*! @brief How long the receiver should send it no request. */
    std::optional<milliseconds> retry_after;
    /*! @brief Requests a second that it accepts from all entries together, for
     * as long as its responses say so. */
    std::optional<double> requests_per_second;
    /*! @brief Whether an announcement could not be parsed. */
    bool unreadable{false};

    [[nodiscard]] bool empty() const
    {
        return !leaving && !retry_after && !requests_per_second && !unreadable;
    }
};

} // namespace coursejunction

#endif
