/*! @file
 * @brief Converts refusals to and from the messages that entries of a hall
 * exchange. Steady clocks differ between processes, so messages carry durations
 * instead of times. */
#ifndef COURSEJUNCTION_PROXY_REFUSAL_MESSAGES_HPP
#define COURSEJUNCTION_PROXY_REFUSAL_MESSAGES_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

#include "coursejunction/route/dispatcher.hpp"
#include "coursejunction/route/recent_refusals.hpp"
#include "coursejunction/wire/fleet_message.hpp"

namespace coursejunction
{

/*! @brief Returns a duration in whole milliseconds, limited to the range of the
 * message field. */
[[nodiscard]] inline std::uint32_t wire_ms(std::chrono::microseconds span)
{
    const auto ms = std::chrono::duration_cast<milliseconds>(span).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        ms, 0, std::numeric_limits<std::uint32_t>::max()));
}

/*! @brief Returns the message for a refusal. */
[[nodiscard]] inline message::refused_caller
encode_refusal(const refusal_record& refusal, time_point now)
{
    message::refused_caller encoded;
    encoded.fingerprint = refusal.fingerprint.value();
    encoded.waited_ms = wire_ms(now - refusal.first_arrival);
    if (refusal.deadline) // 0 means no deadline.
        encoded.remaining_ms = std::max(wire_ms(*refusal.deadline - now), 1U);
    encoded.retry_in_ms = wire_ms(refusal.retry_at - now);
    return encoded;
}

/*! @brief Returns the refusal that another entry reported. */
[[nodiscard]] inline refusal_record
decode_refusal(const message::refused_caller& received, time_point now)
{
    refusal_record refusal;
    refusal.fingerprint = request_fingerprint(received.fingerprint);
    refusal.first_arrival = now - milliseconds(received.waited_ms);
    if (received.remaining_ms > 0)
        refusal.deadline = now + milliseconds(received.remaining_ms);
    refusal.refused_at = now;
    refusal.retry_at = now + milliseconds(received.retry_in_ms);
    return refusal;
}

/*! @brief Maximum number of refusals in one heartbeat, so that it fits into a
 * packet. The rest goes with the next one, which is requested within
 * `queue_poll_interval`. */
inline constexpr std::size_t max_refusals_per_heartbeat = 48;

/*! @brief Returns messages for refusals not yet sent to the other entries, and
 * marks them as sent. */
[[nodiscard]] inline std::vector<message::refused_caller>
take_refusals_to_send(dispatcher& decisions, time_point now)
{
    std::vector<message::refused_caller> messages;
    for (const auto& refusal :
         decisions.take_unsent_refusals(max_refusals_per_heartbeat))
        messages.push_back(encode_refusal(refusal, now));
    return messages;
}

} // namespace coursejunction

#endif
