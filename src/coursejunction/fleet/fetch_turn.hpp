/*! @file
 * @brief Decides when this process fetches for its hall; pure.
 */
#ifndef COURSEJUNCTION_FLEET_FETCH_TURN_HPP
#define COURSEJUNCTION_FLEET_FETCH_TURN_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Where a process stands among the live ones of its hall. */
struct hall_standing
{
    std::size_t rank{0};     /*!< How many go before it. */
    std::size_t fetching{0}; /*!< Others that fetch for the hall now. */
};

/*! @brief Takes turns at a link that all of a hall share. What a hall lacks is
 * fetched over it by one process, the others hear it from that one. Whoever is
 * next takes over when nothing was begun for a turn, and nobody begins again at
 * once after a failure: 24 processes that each fetched 1.7 MB over 24 Mbit/s
 * kept the link full and none of them ended. */
class fetch_turn
{
public:
    /*! @brief How long each that goes before has to begin: it hears within a
     * heartbeat of 200 ms that something is lacking. */
    static constexpr milliseconds turn{300};

    /*! @brief How long one that fetches is waited for: a second one would only
     * halve its rate, and 2.3 MB take 0.8 s over 24 Mbit/s. Its own link may be
     * narrow, though, and a leaving upstream has two seconds. */
    static constexpr milliseconds hold{1200};

    /*! @brief Processes of a hall that fetch at once: one, and another one once
     * the first took too long. */
    static constexpr std::size_t most_at_once = 2;

    /*! @brief Between the beginnings of those that all waited for one that
     * ended; a datagram within a hall takes some 2 ms and tells the others. */
    static constexpr milliseconds stagger{25};

    /*! @brief Pause after a first failure; it doubles with each further one up
     * to the longest. A store that was away for seconds must be seen within a
     * second of its return, as a leaving upstream has two. */
    static constexpr milliseconds first_pause{150};
    static constexpr milliseconds longest_pause{1000};

    /*! @param seed Spreads the pauses of processes that fail together. */
    explicit fetch_turn(std::uint64_t seed = 0) : spread(seed) {}

    /*! @brief Notes whether something is lacking. */
    void lacking(bool is, time_point now)
    {
        if (!is)
            since.reset();
        else if (!since)
            since = now;
    }

    /*! @brief Tells whether this process begins to fetch now. */
    [[nodiscard]] bool due(const hall_standing& standing, time_point now)
    {
        if (standing.fetching != seen_fetching)
            seen_at = now;
        seen_fetching = standing.fetching;
        if (!since || now < not_before || standing.fetching >= most_at_once)
            return false;
        const auto rank = static_cast<std::int64_t>(standing.rank);
        const auto others = standing.fetching > 0 ? hold : milliseconds(0);
        return now - *since >= turn * rank + others &&
               now - seen_at >= stagger * rank;
    }

    /*! @brief A fetch ended well. */
    void succeeded()
    {
        failures = 0;
        not_before = {};
        since.reset();
    }

    /*! @brief A fetch failed. */
    void failed(time_point now)
    {
        const auto doublings = std::min<std::size_t>(failures, most_doublings);
        const auto pause = std::min(
            first_pause * (std::int64_t{1} << doublings), longest_pause);
        ++failures;
        not_before = now + pause + pause * jitter() / jitter_parts / 2;
        // The turns begin anew: what all lost together, one tries first.
        if (since)
            since = not_before;
    }

    /*! @brief Returns how many fetches failed in a row. */
    [[nodiscard]] std::size_t failed_in_row() const noexcept
    {
        return failures;
    }

private:
    static constexpr std::size_t most_doublings = 8;
    static constexpr std::int64_t jitter_parts = 1024;

    /*! @brief Returns a number below `jitter_parts`, another one for each
     * failure and process. */
    [[nodiscard]] std::int64_t jitter() const
    {
        // The multiplier of a linear congruential generator (Knuth, MMIX).
        constexpr std::uint64_t multiplier = 6364136223846793005U;
        const auto mixed = (spread + failures) * multiplier;
        return static_cast<std::int64_t>(
            (mixed >> 33U) % static_cast<std::uint64_t>(jitter_parts));
    }

    std::uint64_t spread;
    std::optional<time_point> since;
    time_point not_before{};
    time_point seen_at{}; /*!< Since when as many of the others fetch. */
    std::size_t seen_fetching{0};
    std::size_t failures{0};
};

} // namespace coursejunction

#endif
