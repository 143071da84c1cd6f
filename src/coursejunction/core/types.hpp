/*! @file
 * @brief Ids, units and time types that all modules use.
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

/*! @brief Revision number of the whole configuration; never decreases. */
using revision = strong<struct revision_tag, std::uint64_t>;

/*! @brief Strictly increasing number that orders successive holders of an
 * upstream. */
using fencing_token = strong<struct fencing_tag, std::uint64_t>;

/*! @brief Identifies one run of an instance by its start time in Unix
 * milliseconds; 0 if unknown. An instance that restarts under the same id has a
 * later incarnation. */
using incarnation = strong<struct incarnation_tag, std::uint64_t>;

/*! @brief Unique id of one attempt to write the configuration. */
using write_id = strong<struct write_tag, std::string>;

using milliseconds = std::chrono::milliseconds;

/*! @brief Monotonic time. Code that performs no I/O takes it as a parameter
 * and never reads a clock. */
using time_point = std::chrono::time_point<std::chrono::steady_clock,
                                           std::chrono::microseconds>;

/*! @brief An owned byte sequence. */
using byte_string = std::string;

/*! @brief Bytes per second. */
using byte_rate = double;

/*! @brief Converts a duration to seconds. */
template <typename Duration>
[[nodiscard]] double to_seconds(Duration value)
{
    return std::chrono::duration<double>(value).count();
}

/*! @brief Converts seconds to a duration, truncated to microseconds. */
[[nodiscard]] inline std::chrono::microseconds from_seconds(double seconds)
{
    return std::chrono::microseconds(
        static_cast<std::int64_t>(seconds * 1'000'000.0));
}

} // namespace coursejunction

#endif
