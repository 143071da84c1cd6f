/*! @file
 * @brief Token bucket and link pacer: limits on rates.
 */
#ifndef COURSEJUNCTION_CORE_PACING_HPP
#define COURSEJUNCTION_CORE_PACING_HPP

#include <algorithm>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Admits units at a rate, with a burst. */
class token_bucket
{
public:
    /*! @param per_second Units that flow in a second.
     * @param burst Units that may be saved up. */
    token_bucket(double per_second, double burst)
        : flow(per_second), depth(burst), level(burst)
    {
    }

    /*! @brief Takes units when enough are there.
     * @return Whether they were taken. */
    [[nodiscard]] bool take(double units, time_point now)
    {
        refill(now);
        if (level < units)
            return false;
        level -= units;
        return true;
    }

    /*! @brief Returns how long until a number of units is there. */
    [[nodiscard]] std::chrono::microseconds wait_for(double units,
                                                     time_point now)
    {
        refill(now);
        if (level >= units || flow <= 0)
            return std::chrono::microseconds(0);
        return from_seconds((units - level) / flow);
    }

private:
    void refill(time_point now)
    {
        if (started && now > last)
            level = std::min(depth, level + flow * to_seconds(now - last));
        last = started ? std::max(last, now) : now;
        started = true;
    }

    double flow;
    double depth;
    double level;
    time_point last{};
    bool started{false};
};

/*! @brief Serializes bytes over a link of a given rate: each reservation
 * starts when the one before has passed. */
class link_pacer
{
public:
    /*! @param per_second Bytes a second; zero or less means no limit. */
    explicit link_pacer(byte_rate per_second) : rate(per_second) {}

    /*! @brief Reserves the link for some bytes.
     * @return The time at which the last byte has passed. */
    time_point reserve(double bytes, time_point now)
    {
        const auto start = std::max(now, free_at);
        free_at = start;
        if (rate > 0)
            free_at += from_seconds(bytes / (rate * portion));
        return free_at;
    }

    /*! @brief Returns how long bytes reserved now would wait. */
    [[nodiscard]] std::chrono::microseconds backlog(time_point now) const
    {
        return std::max(std::chrono::microseconds(0),
                        std::chrono::duration_cast<std::chrono::microseconds>(
                            free_at - now));
    }

    /*! @brief Sets the portion of the link that may be used, in (0, 1]. */
    void limit_to(double fraction) { portion = fraction; }

    /*! @brief Returns the portion of the link that may be used. */
    [[nodiscard]] double fraction() const noexcept { return portion; }

    /*! @brief Returns the full rate of the link. */
    [[nodiscard]] byte_rate full_rate() const noexcept { return rate; }

private:
    byte_rate rate;
    double portion{1.0};
    time_point free_at{};
};

} // namespace coursejunction

#endif
