/*! @file
 * @brief Decides when a sidecar may ask the origin for a manifest. Does no
 * I/O.
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

/*! @brief Spreads the calls of sidecars that cannot get a manifest from others,
 * so that their total rate does not grow with their number. The first sidecar
 * of each hall may call at any time. */
class origin_schedule
{
public:
    /*! @param call_interval Mean time between two calls of all sidecars
     * together.
     * @param min_interval Minimum mean time between two calls of one sidecar.
     * @param seed Seed of the random delays; differs between sidecars. */
    origin_schedule(milliseconds call_interval, milliseconds min_interval,
                    std::uint32_t seed)
        : mean_interval(call_interval), min_own_interval(min_interval),
          random(seed)
    {
    }

    /*! @brief Returns whether this sidecar may call now.
     * @param first_of_hall Whether it is the first of its hall.
     * @param sidecars Number of sidecars that want the manifest. */
    [[nodiscard]] bool due(bool first_of_hall, std::size_t sidecars,
                           time_point now)
    {
        if (first_of_hall)
            return true;
        if (!next_call)
            next_call = now + random_delay(own_interval(sidecars), 0);
        return now >= *next_call;
    }

    /*! @brief Records a failed call. Each failure in a row doubles the time to
     * the next call, since a manifest may take longer to send than
     * `call_interval` assumes. */
    void record_failure(std::size_t sidecars, time_point now)
    {
        failures = std::min(failures + 1, max_doublings);
        next_call = now + random_delay(own_interval(sidecars),
                                       min_fraction_after_failure);
    }

    /*! @brief Starts over, because the manifest that arrived was wrong. */
    void reset() noexcept
    {
        failures = 0;
        next_call.reset();
    }

private:
    static constexpr int max_doublings = 4;
    static constexpr double min_fraction_after_failure = 0.5;

    [[nodiscard]] std::chrono::microseconds
    own_interval(std::size_t sidecars) const
    {
        const auto shared = mean_interval * static_cast<std::int64_t>(sidecars);
        return std::max<std::chrono::microseconds>(shared, min_own_interval) *
               (1 << failures);
    }

    /*! @brief Returns a random time between `min_fraction` and `min_fraction` +
     * 1 times the mean. */
    std::chrono::microseconds random_delay(std::chrono::microseconds mean,
                                           double min_fraction)
    {
        std::uniform_real_distribution<double> fraction(min_fraction,
                                                        min_fraction + 1);
        return from_seconds(to_seconds(mean) * fraction(random));
    }

    milliseconds mean_interval;
    milliseconds min_own_interval;
    std::minstd_rand random;
    std::optional<time_point> next_call;
    int failures{0};
};

} // namespace coursejunction

#endif
