/*! @file
 * @brief When an entry asks another source which version was named last; pure.
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

/*! @brief An entry among those that it hears. */
struct entry_ranking
{
    std::size_t rank{0};   /*!< How many come before it. */
    std::size_t others{0}; /*!< How many it hears at all. */
};

/*! @brief Spreads the questions of all entries over a source's link. Entries
 * need not hear of each other's answers: the one of rank r asks every
 * (r + 1) * (r + 1) intervals, so that all together, however many, ask less
 * than twice as often as the first alone, and the next rank goes on where the
 * first cannot reach the source.
 *
 * An entry that has just started, or was frozen, has heard nobody and takes
 * itself for the first: a rank counts as lower once it has been for a while. */
class poll_schedule
{
public:
    /*! @brief Time between two questions of the first entry. */
    static constexpr milliseconds least_interval{1000};

    /*! @brief Part of the source's link that the first entry's answers may
     * take. */
    static constexpr double link_share = 0.005;

    /*! @brief After a doubt, an entry waits this part of an interval for each
     * entry before it. */
    static constexpr int turns_per_interval = 4;

    /*! @brief An entry that hears none of those it knew cannot tell whether
     * they hear each other: it leaves the link to so many as if they did not.
     */
    static constexpr double lone_entries = 5;

    /*! @brief A rank that fell counts after this time. */
    static constexpr milliseconds settling_time{500};

    /*! @brief An entry that did nothing for so long takes others for gone. */
    static constexpr milliseconds frozen_time{1000};

    /*! @brief Entries that start hear of all others within this time; before
     * that they hear of those that are named to them from the first. */
    static constexpr milliseconds starting_time{1200};

    /*! @param seed Another one for each entry. */
    explicit poll_schedule(std::uint32_t seed) : random(seed) {}

    /*! @brief What is known may be incomplete: the source is asked as soon as
     * it is this entry's turn. */
    void doubt(time_point now)
    {
        if (doubted_at)
            return;
        doubted_at = now;
        part = std::uniform_real_distribution<double>(0, 1)(random);
    }

    /*! @brief An answer has to be told a second time: this entry asks again
     * soon, whatever its rank. */
    void repeat() noexcept { repeats = true; }

    /*! @brief Tells whether to ask now; called often. */
    [[nodiscard]] bool due(const entry_ranking& at, time_point now)
    {
        note(at, now);
        if (!settled)
            return false;
        if (repeats && now - asked_at >= least_interval / turns_per_interval)
            return true;
        const auto before = static_cast<double>(*settled);
        const auto passed = now - asked_at;
        const auto whole = times(interval, spread);
        const auto turn = spread > 1 ? whole : whole / turns_per_interval;
        const bool rested = passed >= least_interval / turns_per_interval;
        if (doubted_at && rested &&
            now - *doubted_at >= times(turn, turns_waited(before)))
            return true;
        return passed >= times(whole, (before + 1) * (before + 1));
    }

    /*! @brief Returns the time between two questions without a doubt. */
    [[nodiscard]] std::chrono::microseconds regular_gap() const
    {
        const auto place = static_cast<double>(settled.value_or(0) + 1);
        return times(interval, spread * place * place);
    }

    /*! @brief A question is sent: whatever was doubted until now is asked. */
    void asked(time_point now)
    {
        asked_at = now;
        asked_in_doubt = doubted_at.has_value();
        repeats = false;
        doubted_at.reset();
    }

    /*! @brief A question was not answered: what was doubted still is, after a
     * pause that doubles. */
    void failed(time_point now)
    {
        failures = std::min(failures + 1, most_doublings);
        if (!asked_in_doubt || doubted_at)
            return;
        doubt(now);
        doubted_at = now + interval * (1 << failures);
    }

    /*! @brief Notes what an answer costs, or is expected to.
     * @param rate Of the source's link; 0 when it is not known. */
    void costs(std::size_t bytes, byte_rate rate)
    {
        interval = least_interval;
        failures = 0;
        if (rate <= 0)
            return;
        const auto takes = static_cast<double>(bytes) / rate / link_share;
        interval =
            std::max<std::chrono::microseconds>(interval, from_seconds(takes));
    }

private:
    /*! @brief Of the pause after questions that failed in a row. */
    static constexpr int most_doublings = 3;

    [[nodiscard]] static std::chrono::microseconds
    times(std::chrono::microseconds one, double count)
    {
        return from_seconds(to_seconds(one) * count);
    }

    /*! @brief Returns how many turns pass after a doubt. The later the rank,
     * the wider it is spread: entries that know few others have many of the
     * same rank. */
    [[nodiscard]] double turns_waited(double before) const
    {
        const auto width = 1 + before / 2;
        return before + part * width * width;
    }

    void note(const entry_ranking& at, time_point now)
    {
        const auto rank = at.rank;
        note_others(at.others, now);
        if (!noted_at)
            asked_at = now;
        const bool frozen = noted_at && now - *noted_at >= frozen_time;
        noted_at = now;
        if (settled && rank >= *settled)
        {
            settled = rank;
            lower_since.reset();
            return;
        }
        if (!lower_since || frozen)
        {
            lower_since = now;
            lower = 0;
        }
        lower = std::max(lower, rank);
        const bool starting = !settled && at.others > 0;
        if (now - *lower_since < (starting ? starting_time : settling_time))
            return;
        settled = lower;
        lower_since.reset();
    }

    /*! @brief Questions of entries that lose each other at the same moment are
     * spread from there on. */
    void note_others(std::size_t others, time_point now)
    {
        most_others = std::max(most_others, others);
        const auto before = std::exchange(
            spread, others > 0
                        ? 1
                        : std::max(1.0, static_cast<double>(most_others) /
                                            lone_entries));
        if (spread <= before)
            return;
        asked_at = now;
        doubted_at.reset();
        doubt(now);
    }

    std::minstd_rand random;
    std::chrono::microseconds interval{least_interval};
    time_point asked_at{};
    std::optional<time_point> doubted_at;
    bool asked_in_doubt{false};
    bool repeats{false}; /*!< The last answer has to be told again. */
    int failures{0};     /*!< Questions in a row without an answer. */
    double part{0};      /*!< Drawn for the doubt, between 0 and 1. */
    std::optional<std::size_t> settled; /*!< The rank that counts. */
    std::optional<time_point> noted_at;
    std::optional<time_point> lower_since;
    std::size_t most_others{0}; /*!< That were ever heard. */
    double spread{1};           /*!< Of the questions of an entry alone. */
    std::size_t lower{0};       /*!< The highest rank noted since then. */
};

} // namespace coursejunction

#endif
