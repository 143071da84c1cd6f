/*! @file
 * @brief When an entry asks another source which version was named last; pure.
 */
#ifndef COURSEJUNCTION_FLEET_INQUIRY_SCHEDULE_HPP
#define COURSEJUNCTION_FLEET_INQUIRY_SCHEDULE_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Spreads the questions of all entries over a source's link. Entries
 * need not hear of each other's answers: the one of rank r asks every
 * (r + 1) * (r + 1) intervals, so that all together, however many, ask less
 * than twice as often as the first alone, and the next rank goes on where the
 * first cannot reach the source. */
class inquiry_schedule
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

    /*! @param seed Another one for each entry. */
    explicit inquiry_schedule(std::uint32_t seed) : random(seed) {}

    /*! @brief What is known may be incomplete: the source is asked as soon as
     * it is this entry's turn. */
    void doubt(time_point now)
    {
        if (!doubted_at)
            doubted_at = now + drawn(interval / turns_per_interval);
    }

    /*! @brief Tells whether to ask now.
     * @param rank How many entries come before this one. */
    [[nodiscard]] bool due(std::size_t rank, time_point now) const
    {
        const auto before = static_cast<std::int64_t>(rank);
        if (doubted_at &&
            now - *doubted_at >= interval / turns_per_interval * before &&
            now - asked_at >= least_interval / turns_per_interval)
            return true;
        return now - asked_at >= interval * (before + 1) * (before + 1);
    }

    /*! @brief A question is sent: whatever was doubted until now is asked. */
    void asked(time_point now)
    {
        asked_at = now;
        asked_in_doubt = doubted_at.has_value();
        doubted_at.reset();
    }

    /*! @brief A question was not answered: what was doubted still is. */
    void failed(time_point now)
    {
        failures = std::min(failures + 1, most_doublings);
        if (asked_in_doubt && !doubted_at)
            doubted_at = now + drawn(interval * (1 << failures));
    }

    /*! @brief Notes what an answer costs.
     * @param rate Of the source's link; 0 when it is not known. */
    void answered(std::size_t bytes, byte_rate rate)
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

    [[nodiscard]] std::chrono::microseconds
    drawn(std::chrono::microseconds longest)
    {
        std::uniform_real_distribution<double> part(0, 1);
        return from_seconds(to_seconds(longest) * part(random));
    }

    std::minstd_rand random;
    std::chrono::microseconds interval{least_interval};
    time_point asked_at{};
    std::optional<time_point> doubted_at; /*!< With this entry's own delay. */
    bool asked_in_doubt{false};
    int failures{0}; /*!< Questions in a row without an answer. */
};

} // namespace coursejunction

#endif
