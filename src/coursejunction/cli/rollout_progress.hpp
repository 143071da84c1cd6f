/*! @file
 * @brief One line on how far a rollout is.
 */
#ifndef COURSEJUNCTION_CLI_ROLLOUT_PROGRESS_HPP
#define COURSEJUNCTION_CLI_ROLLOUT_PROGRESS_HPP

#include <cstdint>
#include <optional>
#include <string>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Figures of one look at a rollout. */
struct rollout_sample
{
    std::size_t wanted{0};
    std::size_t serving{0};
    std::uint64_t bytes_done{0};
    std::uint64_t bytes_total{0};
    std::uint64_t origin_bytes{0};
};

/*! @brief Turns looks at a rollout into a line with the expected end. */
class rollout_progress
{
public:
    /*! @brief Takes a look. */
    void add(const rollout_sample& sample, time_point now);

    /*! @brief Returns the line: replicas serving, portion of the bytes,
     * bytes from the origin, expected end. */
    [[nodiscard]] std::string line() const;

    /*! @brief Returns the seconds expected until the last byte, by the rate
     * since the first look; nothing while unknown. */
    [[nodiscard]] std::optional<double> seconds_left() const;

private:
    rollout_sample first;
    rollout_sample last;
    time_point began{};
    time_point seen{};
    bool started{false};
};

} // namespace coursejunction

#endif
