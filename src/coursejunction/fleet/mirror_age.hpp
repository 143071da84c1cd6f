/*! @file
 * @brief Remembers how long peers have known more than this process; pure.
 */
#ifndef COURSEJUNCTION_FLEET_MIRROR_AGE_HPP
#define COURSEJUNCTION_FLEET_MIRROR_AGE_HPP

#include <algorithm>
#include <cstdint>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief How far the own mirror is behind what peers tell. */
class mirror_age
{
public:
    /*! @brief A peer tells a revision that the own mirror lacks.
     * @param own Revision of the own mirror. */
    void told(std::uint64_t revision, std::uint64_t own, time_point now)
    {
        if (own >= awaited)
        {
            awaited = revision;
            since = now;
        }
        newest = std::max(newest, revision);
    }

    /*! @brief The own mirror reached a revision. */
    void advanced(std::uint64_t revision, time_point now)
    {
        if (awaited == 0 || revision < awaited)
            return;
        awaited = newest > revision ? newest : 0;
        since = now;
    }

    /*! @brief Returns for how long a revision was awaited.
     * @param revision Of the own mirror. */
    [[nodiscard]] milliseconds behind_for(std::uint64_t revision,
                                          time_point now) const
    {
        if (awaited == 0 || revision >= awaited)
            return milliseconds(0);
        return std::chrono::duration_cast<milliseconds>(now - since);
    }

private:
    std::uint64_t awaited{0}; /*!< The first one that was told and lacked. */
    std::uint64_t newest{0};
    time_point since{};
};

} // namespace coursejunction

#endif
