/*! @file
 * @brief Timers and clocks of an instance that may be suspended; performs no
 * I/O.
 *
 * While an instance is suspended, the clock that timers wait on stops, but the
 * clock that ages and deadlines are computed from (CLOCK_BOOTTIME) goes on.
 */
#ifndef COURSEJUNCTION_CORE_SUSPENSION_HPP
#define COURSEJUNCTION_CORE_SUSPENSION_HPP

#include <algorithm>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Maximum time for which a timer waits before it checks the clock
 * again, so that a deadline that passed during a suspension is detected within
 * a second of its end. */
inline constexpr milliseconds max_timer_wait{1000};

/*! @brief Returns how long a timer may wait before it checks the clock again.
 */
[[nodiscard]] inline std::chrono::microseconds timer_wait(time_point due,
                                                          time_point now)
{
    return std::clamp<std::chrono::microseconds>(
        due - now, std::chrono::microseconds(0), max_timer_wait);
}

/*! @brief A timer that is at least this late indicates that the process was
 * suspended: in a busy process, timers are about 20 ms late. */
inline constexpr milliseconds suspension_lateness{250};

/*! @brief Time after a suspension in which pending input is read before timers
 * act. Otherwise upstreams would be treated as silent and requests as overdue
 * although their responses are already in the socket buffers: an entry that had
 * been suspended resent every stream to a second upstream. */
inline constexpr milliseconds resume_read_time{100};

/*! @brief Returns whether a timer is late enough to indicate that the process
 * was suspended. */
[[nodiscard]] inline bool indicates_suspension(time_point due, time_point now)
{
    return now - due >= suspension_lateness;
}

/*! @brief Measures suspensions by the drift between a clock that runs while
 * suspended and one that does not. */
class suspension_meter
{
public:
    /*! @brief Drift below this is ignored: the clocks are read one after the
     * other, so it is never exactly zero. */
    static constexpr milliseconds min_drift{100};

    /*! @brief Compares the clocks.
     * @param with_suspension Clock that runs while suspended.
     * @param without Clock that stops while suspended.
     * @return Length of the suspension since the last call; zero if there was
     * none or on the first call. */
    [[nodiscard]] milliseconds note(std::chrono::microseconds with_suspension,
                                    std::chrono::microseconds without)
    {
        const auto offset = with_suspension - without;
        const auto drift = measured ? offset - last_offset : offset - offset;
        measured = true;
        last_offset = offset;
        const auto drift_ms = std::chrono::duration_cast<milliseconds>(drift);
        return drift_ms >= min_drift ? drift_ms : milliseconds(0);
    }

private:
    std::chrono::microseconds last_offset{0};
    bool measured{false};
};

} // namespace coursejunction

#endif
