/*! @file
 * @brief Exponential backoff with jitter between failed attempts; performs no
 * I/O.
 */
#ifndef COURSEJUNCTION_CORE_BACKOFF_HPP
#define COURSEJUNCTION_CORE_BACKOFF_HPP

#include <algorithm>
#include <cstdint>
#include <random>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Returns delays whose mean doubles up to a limit. The jitter keeps
 * processes that failed at the same time from retrying at the same time. */
class backoff
{
public:
    /*! @param first Mean of the first delay.
     * @param max_mean Upper limit of the mean.
     * @param seed Must differ between processes that may fail together. */
    backoff(milliseconds first, milliseconds max_mean, std::uint32_t seed)
        : first_mean(first), mean_limit(max_mean), mean(first), random(seed)
    {
    }

    /*! @brief Returns the delay before the next attempt, uniformly distributed
     * between 0.5 and 1.5 times its mean. */
    [[nodiscard]] std::chrono::microseconds next()
    {
        std::uniform_real_distribution<double> jitter(0.5, 1.5);
        const auto delay = from_seconds(to_seconds(mean) * jitter(random));
        mean = std::min(mean * 2, mean_limit);
        return delay;
    }

    /*! @brief Call after a success: the next delay is a first one again. */
    void reset() noexcept { mean = first_mean; }

private:
    milliseconds first_mean;
    milliseconds mean_limit;
    milliseconds mean;
    std::minstd_rand random;
};

} // namespace coursejunction

#endif
