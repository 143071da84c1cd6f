/*! @file
 * @brief When an entry polls the second source for the newest published
 * version; pure.
 */
#ifndef COURSEJUNCTION_FLEET_POLL_SCHEDULE_HPP
#define COURSEJUNCTION_FLEET_POLL_SCHEDULE_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <utility>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief The position of an entry among the live entries, those whose
 * heartbeats it receives, in the order of their addresses. */
struct entry_ranking
{
    std::size_t rank{0};   /*!< Live entries that come before it. */
    std::size_t others{0}; /*!< Live entries other than itself. */
};

/*! @brief Spreads the polls of all entries, so that they share the source's
 * link without coordination. Entries need not know each other's answers: the
 * entry of rank r polls every (r + 1) * (r + 1) intervals. All entries
 * together, however many, poll less than twice as often as the first alone, and
 * the next rank takes over where the first cannot reach the source.
 *
 * An entry that has just started, or whose process was suspended, has received
 * no heartbeats yet and would take itself for the first: a lower rank counts
 * only once it has held for a while. */
class poll_schedule
{
public:
    /*! @brief Shortest regular interval of the first entry. Rechecks and
     * confirmations may follow after 1 / `slots_per_interval` of it. */
    static constexpr milliseconds min_interval{1000};

    /*! @brief Fraction of the source's link that the answers to the first entry
     * may take. */
    static constexpr double max_link_fraction = 0.005;

    /*! @brief A recheck is staggered by rank: an interval has this many slots,
     * and an entry waits one for each entry before it. An isolated entry, whose
     * rank says nothing, spreads its recheck over a whole interval. */
    static constexpr int slots_per_interval = 4;

    /*! @brief An entry that no longer receives heartbeats from any other is
     * isolated, and cannot tell whether the others are, too. Its interval is
     * lengthened so that, if every entry is isolated, all together poll as
     * often as this many first ones. */
    static constexpr double isolated_entries = 5;

    /*! @brief A lower rank counts after it has held for this long. */
    static constexpr milliseconds settling_time{500};

    /*! @brief An entry that was suspended for this long has missed heartbeats
     * and assumes that live entries have stopped: a lower rank has to hold
     * again. */
    static constexpr milliseconds suspension_threshold{1000};

    /*! @brief An entry discovers all others within this time of its start;
     * before that, only the configured seeds. */
    static constexpr milliseconds discovery_time{1200};

    /*! @param random_seed Must differ between entries. */
    explicit poll_schedule(std::uint32_t random_seed) : random(random_seed) {}

    /*! @brief Requests a poll in this entry's next slot, ahead of the regular
     * interval: updates of the store may have been missed. */
    void request_recheck(time_point now)
    {
        if (recheck_since)
            return;
        recheck_since = now;
        jitter = std::uniform_real_distribution<double>(0, 1)(random);
    }

    /*! @brief Requests another poll soon, whatever the rank: an answer has to
     * be confirmed by a second one. */
    void request_confirmation() noexcept { confirmation_requested = true; }

    /*! @brief Returns whether to poll now; to be called several times a second
     * with the current ranking. */
    [[nodiscard]] bool due(const entry_ranking& self, time_point now)
    {
        update_rank(self, now);
        if (!settled_rank)
            return false;
        if (confirmation_requested &&
            now - interval_start >= min_interval / slots_per_interval)
            return true;
        const auto rank = static_cast<double>(*settled_rank);
        const auto elapsed = now - interval_start;
        const auto spread_interval = scaled(interval, isolation_factor);
        const auto slot = isolation_factor > 1
                              ? spread_interval
                              : spread_interval / slots_per_interval;
        const bool min_pause_over =
            elapsed >= min_interval / slots_per_interval;
        if (recheck_since && min_pause_over &&
            now - *recheck_since >= scaled(slot, slots_to_wait(rank)))
            return true;
        return elapsed >= scaled(spread_interval, (rank + 1) * (rank + 1));
    }

    /*! @brief Returns the time between two polls of this entry while no recheck
     * is requested. */
    [[nodiscard]] std::chrono::microseconds regular_interval() const
    {
        const auto position = static_cast<double>(settled_rank.value_or(0) + 1);
        return scaled(interval, isolation_factor * position * position);
    }

    /*! @brief Records that a poll was sent, which serves the requests so far.
     */
    void record_poll(time_point now)
    {
        interval_start = now;
        polled_for_recheck = recheck_since.has_value();
        confirmation_requested = false;
        recheck_since.reset();
    }

    /*! @brief Records that a poll failed. A recheck is repeated after a delay
     * that doubles with each failure in a row. */
    void record_failure(time_point now)
    {
        failures = std::min(failures + 1, max_doublings);
        if (!polled_for_recheck || recheck_since)
            return;
        request_recheck(now);
        recheck_since = now + interval * (1 << failures);
    }

    /*! @brief Sets the interval by the size of an answer, measured or expected,
     * and ends a run of failures.
     * @param rate Of the source's link, in bytes per second; 0 if unknown. */
    void set_answer_size(std::size_t bytes, byte_rate rate)
    {
        interval = min_interval;
        failures = 0;
        if (rate <= 0)
            return;
        const auto needed =
            static_cast<double>(bytes) / rate / max_link_fraction;
        interval =
            std::max<std::chrono::microseconds>(interval, from_seconds(needed));
    }

private:
    /*! @brief Limit on the doublings of the delay after failures in a row. */
    static constexpr int max_doublings = 3;

    [[nodiscard]] static std::chrono::microseconds
    scaled(std::chrono::microseconds duration, double factor)
    {
        return from_seconds(to_seconds(duration) * factor);
    }

    /*! @brief Returns the number of slots to wait before a recheck. The higher
     * the rank, the wider the random spread: entries that know few others often
     * have the same rank. */
    [[nodiscard]] double slots_to_wait(double rank) const
    {
        const auto width = 1 + rank / 2;
        return rank + jitter * width * width;
    }

    void update_rank(const entry_ranking& self, time_point now)
    {
        const auto rank = self.rank;
        update_isolation(self.others, now);
        if (!updated_at)
            interval_start = now;
        const bool suspended =
            updated_at && now - *updated_at >= suspension_threshold;
        updated_at = now;
        if (settled_rank && rank >= *settled_rank)
        {
            settled_rank = rank;
            lower_since.reset();
            return;
        }
        if (!lower_since || suspended)
        {
            lower_since = now;
            lower_rank = 0;
        }
        lower_rank = std::max(lower_rank, rank);
        const bool starting = !settled_rank && self.others > 0;
        if (now - *lower_since < (starting ? discovery_time : settling_time))
            return;
        settled_rank = lower_rank;
        lower_since.reset();
    }

    /*! @brief Restarts the interval when the entry becomes isolated: entries
     * that lose each other at the same moment spread their polls from there. */
    void update_isolation(std::size_t others, time_point now)
    {
        max_others = std::max(max_others, others);
        const auto previous = std::exchange(
            isolation_factor,
            others > 0 ? 1
                       : std::max(1.0, static_cast<double>(max_others) /
                                           isolated_entries));
        if (isolation_factor <= previous)
            return;
        interval_start = now;
        recheck_since.reset();
        request_recheck(now);
    }

    std::minstd_rand random;
    std::chrono::microseconds interval{min_interval};
    /*! @brief The last poll; at first the first call of `due()`, and restarted
     * when the entry becomes isolated. */
    time_point interval_start{};
    /*! @brief From when on the slots of a requested recheck are counted. */
    std::optional<time_point> recheck_since;
    bool polled_for_recheck{false}; /*!< The last poll served a recheck. */
    bool confirmation_requested{false};
    int failures{0};  /*!< Failed polls in a row. */
    double jitter{0}; /*!< Drawn for each recheck, between 0 and 1. */
    /*! @brief The rank in use; none at first. */
    std::optional<std::size_t> settled_rank;
    std::optional<time_point> updated_at; /*!< The last call of `due()`. */
    /*! @brief Since when the reported rank is below the settled one, or no rank
     * is settled. */
    std::optional<time_point> lower_since;
    std::size_t max_others{0};  /*!< Most others that were ever live. */
    double isolation_factor{1}; /*!< Lengthens the interval when isolated. */
    std::size_t lower_rank{0};  /*!< Highest rank since `lower_since`. */
};

} // namespace coursejunction

#endif
