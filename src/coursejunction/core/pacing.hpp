/*! @file
 * @brief Rate limits: token bucket and link pacer; neither reads a clock.
 */
#ifndef COURSEJUNCTION_CORE_PACING_HPP
#define COURSEJUNCTION_CORE_PACING_HPP

#include <algorithm>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Token bucket: admits a rate of tokens and a burst above it. */
class token_bucket
{
public:
    /*! @param per_second Tokens added per second.
     * @param burst Capacity of the bucket, which starts full. */
    token_bucket(double per_second, double burst)
        : rate_per_second(per_second), capacity(burst), available(burst)
    {
    }

    /*! @brief Takes tokens if enough are available, otherwise none.
     * @return Whether they were taken. */
    [[nodiscard]] bool take(double tokens, time_point now)
    {
        refill(now);
        if (available < tokens)
            return false;
        available -= tokens;
        return true;
    }

    /*! @brief Returns the time until a number of tokens is available; zero if
     * they are, or if none are ever added. */
    [[nodiscard]] std::chrono::microseconds wait_for(double tokens,
                                                     time_point now)
    {
        refill(now);
        if (available >= tokens || rate_per_second <= 0)
            return std::chrono::microseconds(0);
        return from_seconds((tokens - available) / rate_per_second);
    }

private:
    void refill(time_point now)
    {
        if (started && now > last_refill)
            available = std::min(capacity,
                                 available + rate_per_second *
                                                 to_seconds(now - last_refill));
        last_refill = started ? std::max(last_refill, now) : now;
        started = true;
    }

    double rate_per_second;
    double capacity;
    double available;
    time_point last_refill{};
    bool started{false};
};

/*! @brief Schedules transfers over a link of a given rate one after the other:
 * each reservation starts when the previous one ends. */
class link_pacer
{
public:
    /*! @param per_second Bytes per second; zero or less means no limit. */
    explicit link_pacer(byte_rate per_second) : rate(per_second) {}

    /*! @brief Reserves the link for a number of bytes.
     * @return The time at which the last byte is sent. */
    time_point reserve(double bytes, time_point now)
    {
        const auto start = std::max(now, free_at);
        free_at = start;
        if (rate > 0)
            free_at += from_seconds(bytes / (rate * usable_fraction));
        return free_at;
    }

    /*! @brief Returns how long a reservation made now would wait to start. */
    [[nodiscard]] std::chrono::microseconds backlog(time_point now) const
    {
        return std::max(std::chrono::microseconds(0),
                        std::chrono::duration_cast<std::chrono::microseconds>(
                            free_at - now));
    }

    /*! @brief Sets the fraction of the rate that may be used, in (0, 1]. */
    void limit_to(double fraction) { usable_fraction = fraction; }

    /*! @brief Returns the fraction of the rate that may be used. */
    [[nodiscard]] double fraction() const noexcept { return usable_fraction; }

    /*! @brief Returns the rate of the whole link in bytes per second. */
    [[nodiscard]] byte_rate full_rate() const noexcept { return rate; }

private:
    byte_rate rate;
    double usable_fraction{1.0};
    time_point free_at{};
};

} // namespace coursejunction

#endif
