/*! @file
 * @brief Bounds retries over a sliding window of time; pure.
 */
#ifndef COURSEJUNCTION_RUN_RETRY_WINDOW_HPP
#define COURSEJUNCTION_RUN_RETRY_WINDOW_HPP

#include <deque>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief How many retries a window may hold. */
struct retry_limits
{
    /*! @brief Length of the window. */
    milliseconds window{10'000};
    /*! @brief Retries for each request of the window. */
    double retry_ratio{0};
    /*! @brief Retries of a window beside those. */
    double reserve{0};
};

/*! @brief Counts requests and retries of the last while, so that a burst of
 * failures may spend what the whole window earned. Both are counted in slots;
 * a slot that is partly outside the window still counts for the retries and no
 * longer for the requests, so that the limit holds for every window. */
class retry_window
{
public:
    explicit retry_window(retry_limits set) : limits(set) {}

    /*! @brief Replaces the reserve: the number of those who share it changed.
     */
    void set_reserve(double most) { limits.reserve = most; }

    /*! @brief A request came. */
    void record_request(time_point now) { ++slot_at(now).requests; }

    /*! @brief Spends one retry.
     * @return Whether one was left. */
    [[nodiscard]] bool try_spend(time_point now)
    {
        auto& current = slot_at(now);
        double requests = 0;
        double spent = 1;
        for (const auto& one : slots)
        {
            spent += one.spent;
            if (one.began > now - limits.window)
                requests += one.requests;
        }
        if (spent > limits.retry_ratio * requests + limits.reserve)
            return false;
        ++current.spent;
        return true;
    }

private:
    /*! @brief Slots of a window. */
    static constexpr int parts = 20;

    struct slot
    {
        time_point began{};
        double requests{0};
        double spent{0};
    };

    slot& slot_at(time_point now)
    {
        const std::chrono::microseconds length = limits.window / parts;
        while (!slots.empty() &&
               slots.front().began + length <= now - limits.window)
            slots.pop_front();
        if (slots.empty() || now >= slots.back().began + length)
            slots.push_back({now, 0, 0});
        return slots.back();
    }

    retry_limits limits;
    std::deque<slot> slots;
};

} // namespace coursejunction

#endif
