/*! @file
 * @brief Items of the platform's store by which requests that crash upstreams
 * stay known when every entry starts again; pure.
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

/*! @brief Keys of these items begin so; the content follows. */
inline constexpr std::string_view quarantine_prefix = "quarantine/";

/*! @brief Returns the key of a content's item. */
[[nodiscard]] std::string quarantine_key(const request_content& what);

/*! @brief Makes an item's payload.
 * @param wall Unix time in milliseconds; other processes have no common clock
 * that outlasts a start. */
[[nodiscard]] std::string
quarantine_payload(const message::crash_record& record, std::int64_t wall);

/*! @brief Reads an item.
 * @param wall Unix time in milliseconds. Clocks differ by seconds: an end that
 * seems to be still to come has just been.
 * @return The record with its age, or `invalid`. */
[[nodiscard]] result<message::crash_record>
read_quarantine(std::string_view key, std::string_view payload,
                std::int64_t wall);

} // namespace coursejunction

#endif
