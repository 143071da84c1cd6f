/*! @file
 * @brief Learns the shortest deadline with which new callers of a route begin;
 * pure.
 *
 * Load pattern: callers that come back where nobody was told of their refusal,
 * since they moved to another hall or their entry ended. What is left of their
 * deadline still tells, where it is shorter than any new caller's.
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

/*! @brief The lower end of the deadlines seen lately on one route. */
class deadline_floor
{
public:
    /*! @brief Deadlines remembered. */
    static constexpr std::size_t max_samples = 128;

    /*! @brief Deadlines below the floor that are taken for chance: returns that
     * nobody recognised stand among the remembered ones. */
    static constexpr std::size_t ignored_lowest = 3;

    /*! @brief Differences below this are no earlier try: of new callers with
     * spread deadlines, few lie further below all but `passed_over` of `most`
     * others. */
    static constexpr milliseconds tolerance{50};

    /*! @brief When no deadline of a new caller has come for so long, callers
     * begin with less than before. */
    static constexpr milliseconds max_age{30'000};

    /*! @brief Notes the deadline of a caller that is not known to return.
     * @param calm Whether nobody was refused lately: a shorter deadline is then
     * what new callers bring.
     * @return How long its caller has waited at least; zero while too little is
     * known. */
    milliseconds observe(milliseconds deadline, bool calm, time_point now)
    {
        const auto gone = below(deadline);
        if (gone > milliseconds(0) && !calm && now - fits_at < max_age)
            return gone;
        if (now - fits_at >= max_age)
            count = 0;
        fits_at = now;
        seen[next] = static_cast<std::uint32_t>(deadline.count());
        next = (next + 1) % max_samples;
        count = std::min(count + 1, max_samples);
        return milliseconds(0);
    }

private:
    [[nodiscard]] milliseconds below(milliseconds deadline) const
    {
        if (count < max_samples)
            return milliseconds(0);
        std::array<std::uint32_t, ignored_lowest + 1> least{};
        std::partial_sort_copy(seen.begin(), seen.end(), least.begin(),
                               least.end());
        const auto gone = milliseconds(least.back()) - deadline;
        return gone > tolerance ? gone : milliseconds(0);
    }

    std::array<std::uint32_t, max_samples> seen{};
    std::size_t next{0};
    std::size_t count{0};
    time_point fits_at{}; /*!< When a new caller's deadline was last seen. */
};

} // namespace coursejunction

#endif
