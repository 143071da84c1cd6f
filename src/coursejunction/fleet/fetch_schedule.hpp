/*! @file
 * @brief Decides when this process fetches state on behalf of its hall; pure.
 */
#ifndef COURSEJUNCTION_FLEET_FETCH_SCHEDULE_HPP
#define COURSEJUNCTION_FLEET_FETCH_SCHEDULE_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief What the other live processes of a hall do, as seen by one of them.
 */
struct hall_fetch_state
{
    std::size_t rank{0}; /*!< Number of processes that come before this one. */
    std::size_t fetching{0}; /*!< Others that currently fetch for the hall. */
    std::size_t probing{0};  /*!< Others that only ask the store for changes,
                                with no answer so far. */
};

/*! @brief Lets the processes of a hall take turns at the link that they share.
 * One process fetches what the hall lacks, and the others get it from that one.
 * If it does not begin in time, the next in rank takes over, and after a
 * failure no process retries immediately. Without turns, 24 processes that each
 * fetched 1.7 MB over a 24 Mbit/s link kept it saturated, and none of them
 * finished. */
class fetch_schedule
{
public:
    /*! @brief A process waits this long for each process before it in rank to
     * begin. All learn within one heartbeat interval of 200 ms that something
     * is missing. */
    static constexpr milliseconds rank_delay{300};

    /*! @brief How long to wait for a fetch by another process before a second
     * one begins. A second fetch halves the rate of the first, and 2.3 MB take
     * 0.8 s over 24 Mbit/s. It is not worth waiting longer, since the first
     * process may have a slow link of its own and a leaving upstream is
     * unavailable after 2 s. */
    static constexpr milliseconds second_fetch_delay{1200};

    /*! @brief Processes of a hall that fetch at the same time: one, and a
     * second if the first takes too long. */
    static constexpr std::size_t max_concurrent = 2;

    /*! @brief If the number of fetching processes has not changed for this
     * long, one more begins in spite of `max_concurrent`. Fetches are aborted
     * only for lack of progress, and over a throttled link they may progress
     * without ever finishing. Two fetches of 2.3 MB take 4.9 s over 7.6 Mbit/s.
     */
    static constexpr milliseconds stalled_fetch_time{5000};

    /*! @brief Delay per rank between the starts of processes that all waited
     * for a fetch that has just ended. A datagram within a hall takes about 2
     * ms, so the later ones learn of the first before they begin. */
    static constexpr milliseconds restart_stagger{25};

    /*! @brief Back-off after the first failure, doubled after each further one
     * up to the maximum; a random part of up to half is added. The return of
     * the store after an outage of some seconds must be noticed within about 1
     * s, since a leaving upstream is unavailable after 2 s. */
    static constexpr milliseconds initial_backoff{150};
    static constexpr milliseconds max_backoff{1000};

    /*! @param seed Seed of the jitter, so that processes that fail together do
     * not retry together. */
    explicit fetch_schedule(std::uint64_t seed = 0) : jitter_seed(seed) {}

    /*! @brief Sets whether something has to be fetched. */
    void set_needed(bool needed, time_point now)
    {
        if (!needed)
            needed_since.reset();
        else if (!needed_since)
            needed_since = now;
    }

    /*! @brief Returns whether this process should begin to fetch now. Must be
     * called regularly, even when nothing is needed: it notes when the number
     * of fetching processes changes. */
    [[nodiscard]] bool due(const hall_fetch_state& hall, time_point now)
    {
        if (hall.fetching != last_fetching)
            fetching_changed_at = now;
        last_fetching = hall.fetching;
        if (!needed_since || now < not_before)
            return false;
        if (hall.fetching >= max_concurrent &&
            now - fetching_changed_at < stalled_fetch_time)
            return false;
        const auto rank = static_cast<std::int64_t>(hall.rank);
        const auto others =
            hall.fetching > 0 ? second_fetch_delay : milliseconds(0);
        return now - *needed_since >= rank_delay * rank + others &&
               now - fetching_changed_at >= restart_stagger * rank;
    }

    /*! @brief Records a successful fetch, which resets the back-off. */
    void record_success()
    {
        failures = 0;
        not_before = {};
        needed_since.reset();
    }

    /*! @brief Records a failed fetch and backs off. */
    void record_failure(time_point now)
    {
        const auto doublings = std::min<std::size_t>(failures, max_doublings);
        const auto backoff = std::min(
            initial_backoff * (std::int64_t{1} << doublings), max_backoff);
        ++failures;
        not_before = now + backoff + backoff * jitter() / jitter_parts / 2;
        // The delay by rank starts again after the back-off: if all processes
        // lost the link together, the first in rank retries first.
        if (needed_since)
            needed_since = not_before;
    }

    [[nodiscard]] std::size_t consecutive_failures() const noexcept
    {
        return failures;
    }

private:
    /*! @brief Keeps the shift in range; the maximum is reached earlier. */
    static constexpr std::size_t max_doublings = 8;
    static constexpr std::int64_t jitter_parts = 1024;

    /*! @brief Returns a number below `jitter_parts` that depends on the process
     * and the number of failures. */
    [[nodiscard]] std::int64_t jitter() const
    {
        // Multiplier of a linear congruential generator (Knuth, MMIX).
        constexpr std::uint64_t multiplier = 6364136223846793005U;
        const auto mixed = (jitter_seed + failures) * multiplier;
        return static_cast<std::int64_t>(
            (mixed >> 33U) % static_cast<std::uint64_t>(jitter_parts));
    }

    std::uint64_t jitter_seed;
    std::optional<time_point> needed_since;
    time_point not_before{};
    time_point fetching_changed_at{}; /*!< When the number of other fetching
                                         processes last changed. */
    std::size_t last_fetching{0};
    std::size_t failures{0};
};

} // namespace coursejunction

#endif
