/*! @file
 * @brief Ids, units and time used by every module.
 */
#ifndef COURSEJUNCTION_CORE_TYPES_HPP
#define COURSEJUNCTION_CORE_TYPES_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "coursejunction/core/strong.hpp"

namespace coursejunction
{

using instance_id = strong<struct instance_tag, std::string>;
using hall_id = strong<struct hall_tag, std::string>;
using region_id = strong<struct region_tag, std::string>;
using organisation_id = strong<struct organisation_tag, std::string>;
using deployment_name = strong<struct deployment_tag, std::string>;
using request_id = strong<struct request_tag, std::string>;

/*! @brief Number of a state of the whole configuration; only rises. */
using revision = strong<struct revision_tag, std::uint64_t>;

/*! @brief Strictly increasing number that orders the holders of an upstream. */
using fencing_token = strong<struct fencing_tag, std::uint64_t>;

/*! @brief One life of an instance: the Unix ms of its start, 0 when it is not
 * told. An instance that starts again under its id has a later one. */
using incarnation = strong<struct incarnation_tag, std::uint64_t>;

/*! @brief Unique id of one attempted write of the configuration. */
using write_id = strong<struct write_tag, std::string>;

using milliseconds = std::chrono::milliseconds;

/*! @brief Monotonic time that the core is given; it never reads a clock. */
using time_point = std::chrono::time_point<std::chrono::steady_clock,
                                           std::chrono::microseconds>;

/*! @brief Owned run of bytes. */
using byte_string = std::string;

/*! @brief Bytes a second. */
using byte_rate = double;

/*! @brief Returns a duration in seconds. */
template <typename Duration>
[[nodiscard]] double to_seconds(Duration value)
{
    return std::chrono::duration<double>(value).count();
}

/*! @brief Returns the duration of a number of seconds. */
[[nodiscard]] inline std::chrono::microseconds from_seconds(double seconds)
{
    return std::chrono::microseconds(
        static_cast<std::int64_t>(seconds * 1'000'000.0));
}

} // namespace coursejunction

#endif
