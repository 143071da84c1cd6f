/*! @file
 * @brief The idle times that clients of a server may go by.
 */
#ifndef COURSEJUNCTION_NET_INTERNAL_IDLE_TIMES_IN_FORCE_HPP
#define COURSEJUNCTION_NET_INTERNAL_IDLE_TIMES_IN_FORCE_HPP

#include <algorithm>
#include <vector>

#include "coursejunction/core/types.hpp"

namespace coursejunction::internal
{

/*! @brief The idle time of connections and the ones that it replaced recently.
 * Clients learn of a change at their own pace, and reuse a connection as long
 * as the idle time that they know allows. */
class idle_times_in_force
{
public:
    /*! @brief By this time after a change all clients go by the new idle time.
     */
    static constexpr milliseconds notice_time{10'000};

    void set(milliseconds idle_time, time_point now)
    {
        std::erase_if(replaced, [&](const replaced_time& one)
                      { return one.until <= now; });
        if (current.count() > 0 && current != idle_time)
            replaced.push_back({current, now + notice_time});
        current = idle_time;
    }

    /*! @brief Returns the longest one that a client may go by. */
    [[nodiscard]] milliseconds longest(time_point now) const
    {
        auto found = current;
        for (const auto& one : replaced)
        {
            if (one.until > now)
                found = std::max(found, one.idle_time);
        }
        return found;
    }

private:
    struct replaced_time
    {
        milliseconds idle_time{0};
        time_point until{};
    };

    milliseconds current{0};
    std::vector<replaced_time> replaced;
};

} // namespace coursejunction::internal

#endif
