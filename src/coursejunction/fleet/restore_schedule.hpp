/*! @file
 * @brief When a process writes again what the store lost by coming back from an
 * older copy; pure.
 */
#ifndef COURSEJUNCTION_FLEET_RESTORE_SCHEDULE_HPP
#define COURSEJUNCTION_FLEET_RESTORE_SCHEDULE_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

#include "coursejunction/core/store_position.hpp"
#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief All entries know the same, so that they write one after the other:
 * the later ones find it written. */
class restore_schedule
{
public:
    /*! @brief An entry waits this long for each entry before it. */
    static constexpr milliseconds rank_delay{500};

    /*! @brief Tells, once after each change of the store's era, that it is this
     * entry's turn.
     * @param position The position of the mirror.
     * @param rank How many entries come before this one. */
    [[nodiscard]] bool due(store_position position, std::size_t rank,
                           time_point now)
    {
        const auto before = std::exchange(last, position);
        if (before != store_position{} && before.era != position.era)
            changed_at = now;
        if (!changed_at ||
            now - *changed_at < rank_delay * static_cast<std::int64_t>(rank))
            return false;
        changed_at.reset();
        return true;
    }

private:
    store_position last;
    std::optional<time_point> changed_at;
};

} // namespace coursejunction

#endif
