/*! @file
 * @brief Records in the platform's store from which quarantines of requests
 * that crash upstreams are restored after every entry was restarted; pure.
 */
#ifndef COURSEJUNCTION_FLEET_QUARANTINE_ITEM_HPP
#define COURSEJUNCTION_FLEET_QUARANTINE_ITEM_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include "coursejunction/core/request_content.hpp"
#include "coursejunction/core/result.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/wire/crash_record.hpp"

namespace coursejunction
{

/*! @brief Prefix of the keys of quarantines; the request's content hash
 * follows. */
inline constexpr std::string_view quarantine_prefix = "quarantine/";

/*! @brief Returns the key of a request's quarantine. */
[[nodiscard]] std::string quarantine_key(const request_content& content);

/*! @brief Serializes a quarantine.
 * @param wall_ms The current Unix time in milliseconds; used because processes
 * share no monotonic clock that outlasts a restart. */
[[nodiscard]] std::string
quarantine_payload(const message::crash_record& record, std::int64_t wall_ms);

/*! @brief Parses a quarantine.
 * @param wall_ms The current Unix time in milliseconds. Clocks of instances
 * differ by seconds: a crash that appears to be in the future counts as having
 * just happened.
 * @return The record with its age, or `invalid`. */
[[nodiscard]] result<message::crash_record>
read_quarantine(std::string_view key, std::string_view payload,
                std::int64_t wall_ms);

} // namespace coursejunction

#endif
