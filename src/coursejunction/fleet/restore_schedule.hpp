/*! @file
 * @brief Decides when an entry rewrites the keys that the store lost in a
 * rollback; pure.
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

/*! @brief Staggers the entries by rank. All of them know the same keys, so the
 * later ones find them rewritten. */
class restore_schedule
{
public:
    /*! @brief An entry waits this long for each entry before it in rank. */
    static constexpr milliseconds rank_delay{500};

    /*! @brief Returns whether this entry should rewrite lost keys now; true
     * once after each change of the store's era.
     * @param position Position of the mirror.
     * @param rank Number of entries before this one. */
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
