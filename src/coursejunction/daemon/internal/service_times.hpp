/*! @file
 * @brief Estimates how long requests take at the upstreams.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_SERVICE_TIMES_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_SERVICE_TIMES_HPP

#include <chrono>
#include <cmath>
#include <map>

#include "coursejunction/core/types.hpp"

namespace coursejunction::internal
{

/*! @brief Smoothed service time and mean deviation for each kind of request, as
 * RFC 6298 computes them for round-trip times; pure.
 * @tparam Key Identifies a kind of request. */
template <typename Key>
class service_times
{
public:
    /*! @brief Adds the service time of a finished request. */
    void add_sample(const Key& key, double seconds)
    {
        constexpr double smoothing = 0.1;
        auto& current = estimates[key];
        if (current.mean == 0)
            current.mean = seconds;
        const auto error = seconds - current.mean;
        current.mean += error * smoothing;
        current.deviation += (std::abs(error) - current.deviation) * smoothing;
    }

    /*! @brief Returns the time to allow for a request; zero before the first
     * sample. */
    [[nodiscard]] std::chrono::microseconds operator[](const Key& key) const
    {
        const auto found = estimates.find(key);
        if (found == estimates.end())
            return std::chrono::microseconds(0);
        const auto& current = found->second;
        return from_seconds(current.mean + deviations * current.deviation);
    }

private:
    /*! @brief Mean deviations added to the mean; most requests take less. */
    static constexpr double deviations = 2;

    struct estimate
    {
        double mean{0};
        double deviation{0};
    };

    std::map<Key, estimate> estimates;
};

} // namespace coursejunction::internal

#endif
