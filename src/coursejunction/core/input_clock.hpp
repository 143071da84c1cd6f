/*! @file
 * @brief Bounds the age of input that an event loop comes to late; performs no
 * I/O.
 *
 * Input waits in the kernel while a loop is busy or gets no processor time.
 * Limits that a peer states relative to its sending would begin anew if its
 * input counted as new when it is read.
 */
#ifndef COURSEJUNCTION_CORE_INPUT_CLOCK_HPP
#define COURSEJUNCTION_CORE_INPUT_CLOCK_HPP

#include <algorithm>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Bounds the age of input by the times at which a periodic timer of the
 * loop was run. */
class input_clock
{
public:
    /*! @brief Interval of the timer. Ages are known to within twice this time,
     * which is small beside the half second in which work for a caller that has
     * left must end. */
    static constexpr milliseconds interval{25};

    /*! @brief Records that the timer was run. */
    void record_turn(time_point now)
    {
        before_last = last;
        last = now;
        turns = std::min(turns + 1, 2);
    }

    /*! @brief Returns a time after which input that is read now has arrived.
     * What had arrived by the turn before the last one has been read, as timers
     * are run after the input of their turn. */
    [[nodiscard]] time_point arrived_after(time_point now) const
    {
        return turns < 2 ? now : std::min<time_point>(now, before_last + usual);
    }

    /*! @brief Returns how far the loop is behind. */
    [[nodiscard]] std::chrono::microseconds lag(time_point now) const
    {
        return now - arrived_after(now);
    }

private:
    static constexpr milliseconds usual = 2 * interval;

    time_point before_last{};
    time_point last{};
    int turns{0};
};

} // namespace coursejunction

#endif
