/*! @file
 * @brief Deadlines that follow from how soon a published version is enforced;
 * pure.
 */
#ifndef COURSEJUNCTION_ROLLOUT_VERSION_DEADLINES_HPP
#define COURSEJUNCTION_ROLLOUT_VERSION_DEADLINES_HPP

#include <algorithm>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Times since a version was published. */
struct version_deadlines
{
    /*! @brief After this, an upstream that still serves older weights closes
     * whatever the others do. */
    milliseconds close_deadline{0};

    /*! @brief After this, entries send no more requests to older weights. */
    milliseconds send_deadline{0};

    /*! @brief Computes the deadlines.
     * @param allowed Time from the publication until no request may begin on
     * older weights.
     *
     * A request on a slow link takes up to 2 s to arrive and may then wait in
     * the upstream's queue. Upstreams close another 0.7 s earlier, so that
     * their queues are empty by then. Below 8 s both reserves shrink in
     * proportion to the allowed time. */
    [[nodiscard]] static version_deadlines of(milliseconds allowed)
    {
        constexpr milliseconds send_reserve{2000};
        constexpr milliseconds close_reserve{2700};
        constexpr milliseconds reference{8000};
        const auto scaled = [&](milliseconds reserve) {
            return std::min(reserve,
                            allowed * reserve.count() / reference.count());
        };
        return {allowed - scaled(close_reserve),
                allowed - scaled(send_reserve)};
    }
};

} // namespace coursejunction

#endif
