/*! @file
 * @brief Converts departures of upstreams to and from the messages that entries
 * exchange.
 */
#ifndef COURSEJUNCTION_PROXY_DEPARTURE_MESSAGES_HPP
#define COURSEJUNCTION_PROXY_DEPARTURE_MESSAGES_HPP

#include <cstddef>
#include <vector>

#include "coursejunction/route/upstream_registry.hpp"
#include "coursejunction/wire/fleet_message.hpp"

namespace coursejunction
{

/*! @brief Maximum number of departures that one heartbeat carries, so that it
 * fits into a packet. */
inline constexpr std::size_t max_departures_per_heartbeat = 12;

/*! @brief Returns messages for departures that other entries may not know. */
[[nodiscard]] inline std::vector<message::upstream_departure>
departures_to_report(upstream_registry& book, time_point now)
{
    std::vector<message::upstream_departure> messages;
    for (const auto& departure :
         book.departures_to_report(max_departures_per_heartbeat, now))
        messages.push_back(
            {departure.id.value(), departure.position, departure.removed});
    return messages;
}

/*! @brief Returns the departure that another entry reported. */
[[nodiscard]] inline upstream_departure
decode_departure(const message::upstream_departure& received)
{
    return {instance_id(received.upstream), received.position,
            received.removed};
}

} // namespace coursejunction

#endif
