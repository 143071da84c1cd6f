/*! @file
 * @brief When a side may ask the origin for a manifest; pure.
 */
#ifndef COURSEJUNCTION_TRANSFER_ORIGIN_SCHEDULE_HPP
#define COURSEJUNCTION_TRANSFER_ORIGIN_SCHEDULE_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Spreads the calls of sides that cannot get a manifest from others, so
 * that all together ask at a rate that does not grow with their number. The
 * first side of each hall may ask at any time. */
class origin_schedule
{
public:
    /*! @param between Mean time between two calls of all sides together.
     * @param least Mean time between two calls of one side.
     * @param seed Another one for every side. */
    origin_schedule(milliseconds between, milliseconds least,
                    std::uint32_t seed)
        : gap(between), shortest(least), random(seed)
    {
    }

    /*! @brief Tells whether this side may ask now.
     * @param root Whether it is the first of its hall.
     * @param sides Number of those that want the manifest. */
    [[nodiscard]] bool due(bool root, std::size_t sides, time_point now)
    {
        if (root)
            return true;
        if (!next)
            next = now + drawn(spacing(sides), 0);
        return now >= *next;
    }

    /*! @brief The origin did not give it: each failure in a row doubles the
     * time to the next call, since manifests may be larger than foreseen. */
    void record_failure(std::size_t sides, time_point now)
    {
        failures = std::min(failures + 1, most_doublings);
        next = now + drawn(spacing(sides), half);
    }

    /*! @brief The manifest that came was wrong: turns begin anew. */
    void reset() noexcept
    {
        failures = 0;
        next.reset();
    }

private:
    static constexpr int most_doublings = 4;
    static constexpr double half = 0.5;

    [[nodiscard]] std::chrono::microseconds spacing(std::size_t sides) const
    {
        const auto all = gap * static_cast<std::int64_t>(sides);
        return std::max<std::chrono::microseconds>(all, shortest) *
               (1 << failures);
    }

    /*! @param from Least part of the mean. */
    std::chrono::microseconds drawn(std::chrono::microseconds mean, double from)
    {
        std::uniform_real_distribution<double> part(from, from + 1);
        return from_seconds(to_seconds(mean) * part(random));
    }

    milliseconds gap;
    milliseconds shortest;
    std::minstd_rand random;
    std::optional<time_point> next;
    int failures{0};
};

} // namespace coursejunction

#endif
