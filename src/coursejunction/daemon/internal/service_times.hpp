/*! @file
 * @brief How long requests take at the upstreams.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_SERVICE_TIMES_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_SERVICE_TIMES_HPP

#include <chrono>
#include <cmath>
#include <map>

#include "coursejunction/core/types.hpp"

namespace coursejunction::internal
{

/*! @brief Smoothed time of a request and its mean deviation (as RFC 6298
 * does for round trips), for each kind of request; pure.
 * @tparam Key What requests of one kind have in common. */
template <typename Key>
class service_times
{
public:
    /*! @brief Takes the time that a request took. */
    void add_sample(const Key& key, double seconds)
    {
        constexpr double smoothing = 0.1;
        auto& known = estimates[key];
        if (known.mean == 0)
            known.mean = seconds;
        const auto off = seconds - known.mean;
        known.mean += off * smoothing;
        known.deviation += (std::abs(off) - known.deviation) * smoothing;
    }

    /*! @brief Returns the time that a request should be given. */
    [[nodiscard]] std::chrono::microseconds operator[](const Key& key) const
    {
        const auto found = estimates.find(key);
        if (found == estimates.end())
            return std::chrono::microseconds(0);
        const auto& known = found->second;
        return from_seconds(known.mean + deviations * known.deviation);
    }

private:
    /*! @brief Mean deviations above the mean; most requests take less. */
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
