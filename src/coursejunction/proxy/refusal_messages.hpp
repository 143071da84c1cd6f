/*! @file
 * @brief Turns refusals into what entries of a hall tell each other; pure.
 * Steady clocks differ between processes, so times go as spans.
 */
#ifndef COURSEJUNCTION_PROXY_REFUSAL_MESSAGES_HPP
#define COURSEJUNCTION_PROXY_REFUSAL_MESSAGES_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>

#include "coursejunction/route/recent_refusals.hpp"
#include "coursejunction/wire/fleet_message.hpp"

namespace coursejunction
{

/*! @brief Returns a span in whole ms, from none to what the wire carries. */
[[nodiscard]] inline std::uint32_t wire_ms(std::chrono::microseconds span)
{
    const auto ms = std::chrono::duration_cast<milliseconds>(span).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        ms, 0, std::numeric_limits<std::uint32_t>::max()));
}

/*! @brief Returns what to tell of a refusal. */
[[nodiscard]] inline message::refused_caller
encode_refusal(const refusal_record& one, time_point now)
{
    message::refused_caller made;
    made.fingerprint = one.fingerprint.value();
    made.waited_ms = wire_ms(now - one.first_arrival);
    if (one.deadline)
        made.left_ms = std::max(wire_ms(*one.deadline - now), 1U);
    made.due_ms = wire_ms(one.retry_at - now);
    return made;
}

/*! @brief Reads what another entry told of a refusal. */
[[nodiscard]] inline refusal_record
decode_refusal(const message::refused_caller& told, time_point now)
{
    refusal_record made;
    made.fingerprint = request_fingerprint(told.fingerprint);
    made.first_arrival = now - milliseconds(told.waited_ms);
    if (told.left_ms > 0)
        made.deadline = now + milliseconds(told.left_ms);
    made.refused_at = now;
    made.retry_at = now + milliseconds(told.due_ms);
    return made;
}

} // namespace coursejunction

#endif
