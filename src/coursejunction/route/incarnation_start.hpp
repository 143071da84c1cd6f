/*! @file
 * @brief Resets what is known of an upstream when a later incarnation starts.
 */
#ifndef COURSEJUNCTION_ROUTE_INCARNATION_START_HPP
#define COURSEJUNCTION_ROUTE_INCARNATION_START_HPP

#include <optional>
#include <utility>

#include "coursejunction/core/types.hpp"
#include "coursejunction/route/known_upstream.hpp"

namespace coursejunction
{

/*! @brief Resets the state of an upstream when a later incarnation is reported.
 * Attempts sent before the last status of the earlier one went to it and get no
 * response any more; attempts sent since may have reached either. The later one
 * is cold, even before its record says so.
 * @param status_latency How long before its reception a status may have been
 * taken.
 * @param reported_at A time at which the later incarnation had already started.
 * @return The incarnation that ended, if any. */
[[nodiscard]] inline std::optional<ended_incarnation>
start_incarnation(known_upstream& upstream, const incarnation& reported,
                  milliseconds status_latency, time_point reported_at)
{
    if (reported.empty() || reported == upstream.life)
        return std::nullopt;
    const auto before = std::exchange(upstream.life, reported);
    if (before.empty())
        return std::nullopt;
    ended_incarnation result{
        upstream.record.address, {}, upstream.record.id, before};
    for (const auto& [number, attempt] : upstream.attempts)
    {
        if (upstream.status &&
            attempt.sent_at + status_latency < upstream.status_at)
            result.attempts.push_back(number);
    }
    for (const auto number : result.attempts)
        upstream.attempts.erase(number);
    upstream.status.reset();
    upstream.status_at = {};
    upstream.responded_at = {};
    upstream.ended_since_status = 0;
    upstream.failures = 0;
    upstream.fault_share = 0;
    upstream.lateness = 1;
    upstream.pace = {};
    upstream.avoid_until = {};
    upstream.terms = {};
    upstream.cold.extend_from(reported_at, cold_source::incarnation,
                              reported_at);
    return result;
}

} // namespace coursejunction

#endif
