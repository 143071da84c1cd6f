/*! @file
 * @brief Limits retries within a sliding time window; pure.
 */
#ifndef COURSEJUNCTION_RUN_RETRY_WINDOW_HPP
#define COURSEJUNCTION_RUN_RETRY_WINDOW_HPP

#include <deque>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Limits of a retry window. */
struct retry_limits
{
    /*! @brief Length of the window. */
    milliseconds window{10'000};
    /*! @brief Retries allowed for each request in the window. */
    double retry_ratio{0};
    /*! @brief Retries allowed in the window in addition. */
    double reserve{0};
};

/*! @brief How much of a retry window is used. */
struct retry_usage
{
    double used{0};    /*!< Retries that count in the window, with those under
                          way. */
    double allowed{0}; /*!< Retries that the limits allow in it. */
};

/*! @brief Counts requests and retries within the window, so that a burst of
 * failures may use what the whole window allows. Both are counted in slots of
 * time. A slot that is partly outside the window still counts for the retries
 * but not for the requests, so that the limit holds for every window. */
class retry_window
{
public:
    explicit retry_window(retry_limits initial) : limits(initial) {}

    /*! @brief Replaces the reserve when the number of entries that share it
     * changes.
     */
    void set_reserve(double retries) { limits.reserve = retries; }

    /*! @brief Counts a request. */
    void record_request(time_point now) { ++slot_at(now).requests; }

    /*! @brief Counts a retry that is about to be sent if the limits allow it.
     * It counts until a window after `record_arrival`, since retries that are
     * held up on their way may arrive together.
     * @param kept Fraction of what they allow that is kept for other retries.
     * @return Whether they do. */
    [[nodiscard]] bool try_start(time_point now, double kept = 0)
    {
        const auto before = usage(now);
        if (before.used + 1 > before.allowed * (1 - kept))
            return false;
        ++under_way;
        return true;
    }

    /*! @brief Counts a retry that was started as arrived. */
    void record_arrival(time_point now)
    {
        --under_way;
        ++slot_at(now).retries_used;
    }

    /*! @brief Takes back a retry that was started and never sent. */
    void cancel_start() { --under_way; }

    /*! @brief Counts a retry that arrives at once if the limits allow it.
     * @return Whether they do. */
    [[nodiscard]] bool try_spend(time_point now, double kept = 0)
    {
        if (!try_start(now, kept))
            return false;
        record_arrival(now);
        return true;
    }

    /*! @brief Returns how much of the window is used. */
    [[nodiscard]] retry_usage usage(time_point now) const
    {
        retry_usage result;
        double requests = 0;
        result.used = under_way;
        for (const auto& one : slots)
        {
            if (one.started_at + slot_length() > now - limits.window)
                result.used += one.retries_used;
            if (one.started_at > now - limits.window)
                requests += one.requests;
        }
        result.allowed = limits.retry_ratio * requests + limits.reserve;
        return result;
    }

private:
    static constexpr int slots_per_window = 20;

    struct slot
    {
        time_point started_at{};
        double requests{0};
        double retries_used{0};
    };

    /*! @brief Returns the current slot; drops those outside the window. */
    slot& slot_at(time_point now)
    {
        while (!slots.empty() &&
               slots.front().started_at + slot_length() <= now - limits.window)
            slots.pop_front();
        if (slots.empty() || now >= slots.back().started_at + slot_length())
            slots.push_back({now, 0, 0});
        return slots.back();
    }

    [[nodiscard]] std::chrono::microseconds slot_length() const
    {
        return std::chrono::microseconds(limits.window) / slots_per_window;
    }

    retry_limits limits;
    std::deque<slot> slots;
    double under_way{0}; /*!< Retries that were started and have not arrived. */
};

} // namespace coursejunction

#endif
