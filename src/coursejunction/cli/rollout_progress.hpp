/*! @file
 * @brief Progress line of a rollout.
 */
#ifndef COURSEJUNCTION_CLI_ROLLOUT_PROGRESS_HPP
#define COURSEJUNCTION_CLI_ROLLOUT_PROGRESS_HPP

#include <cstdint>
#include <optional>
#include <string>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief State of a rollout, or the sum of several, at one time. */
struct rollout_sample
{
    std::size_t wanted{0};  /*!< Replicas that should serve. */
    std::size_t serving{0}; /*!< Replicas that do. */
    std::uint64_t bytes_done{0};
    std::uint64_t bytes_total{0};
    std::uint64_t origin_bytes{0};
};

/*! @brief Formats samples of a rollout as a progress line. */
class rollout_progress
{
public:
    /*! @brief Adds a sample; the first one is the base of the rate. */
    void add_sample(const rollout_sample& sample, time_point now);

    /*! @brief Returns the line: serving replicas, percentage of the bytes,
     * bytes from the origin, estimated time left. */
    [[nodiscard]] std::string line() const;

    /*! @brief Estimates the seconds until the last byte from the average rate
     * since the first sample; empty while no bytes have arrived since then. */
    [[nodiscard]] std::optional<double> seconds_left() const;

private:
    rollout_sample first;
    rollout_sample last;
    time_point first_at{};
    time_point last_at{};
    bool has_samples{false};
};

} // namespace coursejunction

#endif
