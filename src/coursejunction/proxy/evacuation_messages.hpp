/*! @file
 * @brief Converts evacuations of halls to and from the messages that entries
 * exchange.
 */
#ifndef COURSEJUNCTION_PROXY_EVACUATION_MESSAGES_HPP
#define COURSEJUNCTION_PROXY_EVACUATION_MESSAGES_HPP

#include <cstddef>
#include <vector>

#include "coursejunction/route/evacuated_halls.hpp"
#include "coursejunction/wire/fleet_message.hpp"

namespace coursejunction
{

/*! @brief Maximum number of evacuations that one heartbeat carries, so that it
 * fits into a packet. */
inline constexpr std::size_t max_evacuations_per_heartbeat = 8;

/*! @brief Returns messages for evacuations that other entries may not know.
 * @param all Also returns all evacuations that last. */
[[nodiscard]] inline std::vector<message::hall_evacuation>
evacuations_to_report(evacuated_halls& halls, bool all, time_point now)
{
    std::vector<message::hall_evacuation> messages;
    for (const auto& change :
         halls.take_reports(max_evacuations_per_heartbeat, all, now))
        messages.push_back(
            {change.hall.value(), change.position, change.evacuated});
    return messages;
}

/*! @brief Returns the evacuation that another entry reported. */
[[nodiscard]] inline hall_evacuation
decode_evacuation(const message::hall_evacuation& received)
{
    return {hall_id(received.hall), received.position, received.evacuated};
}

} // namespace coursejunction

#endif
