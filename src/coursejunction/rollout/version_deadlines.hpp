/*! @file
 * @brief How the time that a named version has is divided; pure.
 */
#ifndef COURSEJUNCTION_ROLLOUT_VERSION_DEADLINES_HPP
#define COURSEJUNCTION_ROLLOUT_VERSION_DEADLINES_HPP

#include <algorithm>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Moments since a version was named. */
struct version_deadlines
{
    /*! @brief Upstreams that still serve older weights close now, whatever the
     * others do. */
    milliseconds close_deadline{0};

    /*! @brief Entries send no request to older weights any more. */
    milliseconds send_deadline{0};

    /*! @brief Divides the time that a version has.
     * @param allowed From the naming until no request may begin on older
     * weights.
     *
     * What is sent over a narrow link takes up to 2 s to arrive and may then
     * wait. Upstreams close 0.7 s earlier, so that their queues are empty by
     * then. Shorter times are divided in the same proportion. */
    [[nodiscard]] static version_deadlines of(milliseconds allowed)
    {
        constexpr milliseconds send_reserve{2000};
        constexpr milliseconds close_reserve{2700};
        constexpr milliseconds usual{8000};
        const auto part = [&](milliseconds reserve) {
            return std::min(reserve, allowed * reserve.count() / usual.count());
        };
        return {allowed - part(close_reserve), allowed - part(send_reserve)};
    }
};

} // namespace coursejunction

#endif
