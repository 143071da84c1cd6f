/*! @file
 * @brief Decides when this process fetches for its hall; pure.
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

/*! @brief Where a process stands among the live ones of its hall. */
struct hall_fetch_state
{
    std::size_t rank{0};     /*!< How many go before it. */
    std::size_t fetching{0}; /*!< Others that fetch for the hall now. */
    std::size_t probing{0};  /*!< Others that ask the store for news only. */
};

/*! @brief Takes turns at a link that all of a hall share. What a hall lacks is
 * fetched over it by one process, the others hear it from that one. Whoever is
 * next takes over when nothing was begun for a turn, and nobody begins again at
 * once after a failure: 24 processes that each fetched 1.7 MB over 24 Mbit/s
 * kept the link full and none of them ended. */
class fetch_schedule
{
public:
    /*! @brief How long each that goes before has to begin: it hears within a
     * heartbeat of 200 ms that something is lacking. */
    static constexpr milliseconds rank_delay{300};

    /*! @brief How long one that fetches is waited for: a second one would only
     * halve its rate, and 2.3 MB take 0.8 s over 24 Mbit/s. Its own link may be
     * narrow, though, and a leaving upstream has two seconds. */
    static constexpr milliseconds second_fetch_delay{1200};

    /*! @brief Processes of a hall that fetch at once: one, and another one once
     * the first took too long. */
    static constexpr std::size_t max_concurrent = 2;

    /*! @brief After as many fetch for this long one more begins: pulls end for
     * lack of progress only, and over squeezed links they move and never end.
     * Two of 2.3 MB take 4.9 s over 7.6 Mbit/s. */
    static constexpr milliseconds stalled_fetch_time{5000};

    /*! @brief Between the beginnings of those that all waited for one that
     * ended; a datagram within a hall takes some 2 ms and tells the others. */
    static constexpr milliseconds restart_stagger{25};

    /*! @brief Pause after a first failure; it doubles with each further one up
     * to the longest. A store that was away for seconds must be seen within a
     * second of its return, as a leaving upstream has two. */
    static constexpr milliseconds initial_backoff{150};
    static constexpr milliseconds max_backoff{1000};

    /*! @param seed Spreads the pauses of processes that fail together. */
    explicit fetch_schedule(std::uint64_t seed = 0) : jitter_seed(seed) {}

    /*! @brief Notes whether something is lacking. */
    void set_needed(bool needed, time_point now)
    {
        if (!needed)
            needed_since.reset();
        else if (!needed_since)
            needed_since = now;
    }

    /*! @brief Tells whether this process begins to fetch now. */
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

    /*! @brief A fetch ended well. */
    void record_success()
    {
        failures = 0;
        not_before = {};
        needed_since.reset();
    }

    /*! @brief A fetch failed. */
    void record_failure(time_point now)
    {
        const auto doublings = std::min<std::size_t>(failures, max_doublings);
        const auto backoff = std::min(
            initial_backoff * (std::int64_t{1} << doublings), max_backoff);
        ++failures;
        not_before = now + backoff + backoff * jitter() / jitter_parts / 2;
        // The turns begin anew: what all lost together, one tries first.
        if (needed_since)
            needed_since = not_before;
    }

    /*! @brief Returns how many fetches failed in a row. */
    [[nodiscard]] std::size_t consecutive_failures() const noexcept
    {
        return failures;
    }

private:
    static constexpr std::size_t max_doublings = 8;
    static constexpr std::int64_t jitter_parts = 1024;

    /*! @brief Returns a number below `jitter_parts`, another one for each
     * failure and process. */
    [[nodiscard]] std::int64_t jitter() const
    {
        // The multiplier of a linear congruential generator (Knuth, MMIX).
        constexpr std::uint64_t multiplier = 6364136223846793005U;
        const auto mixed = (jitter_seed + failures) * multiplier;
        return static_cast<std::int64_t>(
            (mixed >> 33U) % static_cast<std::uint64_t>(jitter_parts));
    }

    std::uint64_t jitter_seed;
    std::optional<time_point> needed_since;
    time_point not_before{};
    time_point
        fetching_changed_at{}; /*!< Since when as many of the others fetch. */
    std::size_t last_fetching{0};
    std::size_t failures{0};
};

} // namespace coursejunction

#endif
