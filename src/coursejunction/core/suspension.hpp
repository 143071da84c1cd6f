/*! @file
 * @brief What an instance that was suspended must do about its clocks; pure.
 *
 * While an instance is suspended the clock that timers wait by stands, and the
 * one that ages are taken from goes on.
 */
#ifndef COURSEJUNCTION_CORE_SUSPENSION_HPP
#define COURSEJUNCTION_CORE_SUSPENSION_HPP

#include <algorithm>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief A timer looks at its time at least so often, so that after a
 * suspension a limit that has passed is found within a second. */
inline constexpr milliseconds max_timer_wait{1000};

/*! @brief Returns how long a timer may wait before it looks again. */
[[nodiscard]] inline std::chrono::microseconds timer_wait(time_point due,
                                                          time_point now)
{
    return std::clamp<std::chrono::microseconds>(
        due - now, std::chrono::microseconds(0), max_timer_wait);
}

/*! @brief A timer that is found late by so much shows that the process stood
 * still: a busy one is late by some 20 ms. */
inline constexpr milliseconds suspension_lateness{250};

/*! @brief After a standstill, what came meanwhile is read for so long before
 * anything is decided by the time. Otherwise upstreams count as silent, and
 * requests as late, whose answers wait in the sockets: a frozen entry sent
 * every stream on to a second upstream. */
inline constexpr milliseconds resume_read_time{100};

/*! @brief Tells whether a timer that is due shows a standstill. */
[[nodiscard]] inline bool indicates_suspension(time_point due, time_point now)
{
    return now - due >= suspension_lateness;
}

/*! @brief Tells how long an instance was suspended, by its two clocks. */
class suspension_meter
{
public:
    /*! @brief Clocks that are read one after the other differ by less. */
    static constexpr milliseconds least{100};

    /*! @brief Compares the clocks.
     * @param with_suspension Time that goes on while suspended.
     * @param without Time that stands.
     * @return How long it was suspended since the last call; zero if it was
     * not. */
    [[nodiscard]] milliseconds note(std::chrono::microseconds with_suspension,
                                    std::chrono::microseconds without)
    {
        const auto apart = with_suspension - without;
        const auto grown = known ? apart - last : apart - apart;
        known = true;
        last = apart;
        const auto whole = std::chrono::duration_cast<milliseconds>(grown);
        return whole >= least ? whole : milliseconds(0);
    }

private:
    std::chrono::microseconds last{0};
    bool known{false};
};

} // namespace coursejunction

#endif
