/*! @file
 * @brief Learns the shortest deadline with which new clients of a route begin;
 * pure.
 * Load pattern: client retries that match no known refusal, because the client
 * moved to another hall or its entry ended. The rest of their deadline still
 * shows them if it is shorter than that of any new client.
 */
#ifndef COURSEJUNCTION_ROUTE_DEADLINE_FLOOR_HPP
#define COURSEJUNCTION_ROUTE_DEADLINE_FLOOR_HPP

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief The lower end of the deadlines seen recently on one route. The floor
 * is the lowest of them after `ignored_lowest` others. */
class deadline_floor
{
public:
    /*! @brief Number of recent deadlines that are kept. */
    static constexpr std::size_t max_samples = 128;

    /*! @brief Number of the lowest samples that are ignored: client retries
     * that nothing recognised are among the samples. */
    static constexpr std::size_t ignored_lowest = 3;

    /*! @brief A deadline at most this much below the floor does not count as a
     * client retry. Where the deadlines of new clients are spread, few are
     * further below it. */
    static constexpr milliseconds tolerance{50};

    /*! @brief If no deadline of a new client came for this long, clients are
     * assumed to begin with shorter deadlines than before, and learning starts
     * again. */
    static constexpr milliseconds max_time_without_new{30'000};

    /*! @brief Records the deadline of a request that matches no refusal.
     * @param no_recent_refusals Whether no client was refused recently: a
     * shorter deadline then belongs to a new client.
     * @return How long its client has waited at least; zero if it is new or too
     * little is known. */
    milliseconds observe(milliseconds deadline, bool no_recent_refusals,
                         time_point now)
    {
        const auto waited = distance_below(deadline);
        if (waited > milliseconds(0) && !no_recent_refusals &&
            now - last_new_at < max_time_without_new)
            return waited;
        if (now - last_new_at >= max_time_without_new)
            count = 0;
        last_new_at = now;
        samples[next] = static_cast<std::uint32_t>(deadline.count());
        next = (next + 1) % max_samples;
        count = std::min(count + 1, max_samples);
        return milliseconds(0);
    }

private:
    [[nodiscard]] milliseconds distance_below(milliseconds deadline) const
    {
        if (count < max_samples)
            return milliseconds(0);
        std::array<std::uint32_t, ignored_lowest + 1> lowest{};
        std::partial_sort_copy(samples.begin(), samples.end(), lowest.begin(),
                               lowest.end());
        const auto waited = milliseconds(lowest.back()) - deadline;
        return waited > tolerance ? waited : milliseconds(0);
    }

    std::array<std::uint32_t, max_samples> samples{};
    std::size_t next{0};
    std::size_t count{0};
    time_point last_new_at{}; /*!< Last deadline of a new client. */
};

} // namespace coursejunction

#endif
