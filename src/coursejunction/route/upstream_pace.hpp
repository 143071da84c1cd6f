/*! @file
 * @brief Estimates how much slower than its profile an upstream is right now;
 * pure.
 * Load pattern: one upstream in several is a few times slower for several
 * hundred ms, each in turn. Evidence therefore counts by its age: a slow phase
 * is to be noticed within about 150 ms and forgotten soon after it.
 */
#ifndef COURSEJUNCTION_ROUTE_UPSTREAM_PACE_HPP
#define COURSEJUNCTION_ROUTE_UPSTREAM_PACE_HPP

#include <algorithm>
#include <cmath>
#include <optional>
#include <vector>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Parameters of the estimate. */
struct pace_options
{
    /*! @brief Age at which a first event counts 1/e. A fraction of a slow phase
     * of 600 ms, so that it is forgotten soon after the phase. */
    milliseconds memory{150};
    /*! @brief Age at which the logarithm of a reported factor counts 1/e. Other
     * halls receive reports a few times a second; with a shorter time they
     * place requests at upstreams that are still slow. */
    milliseconds report_memory{1000};
    /*! @brief Weight of the assumption that the upstream is as fast as
     * profiled, in first events. One late event alone may be due to the
     * requests of other entries. */
    double prior_weight{0.5};
    /*! @brief Limits of one piece of evidence. */
    double min_factor{0.5};
    double max_factor{8};
};

/*! @brief What an upstream last reported of its own pace. */
struct reported_pace
{
    double factor{1};
    time_point at{};
};

/*! @brief Recent first events of one upstream, as factors by which they were
 * slower than its profile. Factors are averaged as logarithms, so that twice as
 * slow and twice as fast cancel out. */
class upstream_pace
{
public:
    upstream_pace() = default;

    explicit upstream_pace(pace_options configured) : options(configured) {}

    /*! @brief Records a first event, or an attempt that was cancelled before
     * its first event, which is at least as late.
     * @param factor Observed divided by profiled time. */
    void record(double factor, time_point now)
    {
        const auto kept = weight_at(last_at, now, options.memory);
        log_sum = log_sum * kept + log_of(factor);
        weight = weight * kept + 1;
        last_at = now;
    }

    /*! @brief Returns the factor by which the upstream is slower than its
     * profile, at least 1.
     * @param report Nothing without a report.
     * @param awaited For each attempt without a first event its age divided by
     * the profiled time. It is evidence once it exceeds the rest. */
    [[nodiscard]] double factor(const std::optional<reported_pace>& report,
                                const std::vector<double>& awaited,
                                time_point now) const
    {
        auto weights = weight * weight_at(last_at, now, options.memory) +
                       options.prior_weight;
        auto logs = log_sum * weight_at(last_at, now, options.memory);
        const auto reported =
            report ? log_of(report->factor) *
                         weight_at(report->at, now, options.report_memory)
                   : 0.0;
        const auto known = std::max({logs / weights, reported, 0.0});
        for (const auto one : awaited)
        {
            if (log_of(one) <= known)
                continue;
            logs += log_of(one);
            weights += 1;
        }
        // The larger one, as a report may be older than a slow phase, and first
        // events may be older than the report.
        return std::exp(std::max({logs / weights, reported, 0.0}));
    }

private:
    [[nodiscard]] static double weight_at(time_point when, time_point now,
                                          milliseconds memory)
    {
        return std::exp(-to_seconds(std::max(now, when) - when) /
                        to_seconds(memory));
    }

    [[nodiscard]] double log_of(double factor) const
    {
        return std::log(
            std::clamp(factor, options.min_factor, options.max_factor));
    }

    pace_options options;
    double log_sum{0}; /*!< Of the factors, weighted by age at `last_at`. */
    double weight{0};
    time_point last_at{};
};

} // namespace coursejunction

#endif
