/*! @file
 * @brief Estimates the current load of an engine; pure. Load pattern: many
 * entries send to an engine between two of its status reports.
 */
#ifndef COURSEJUNCTION_ROUTE_LOAD_ESTIMATE_HPP
#define COURSEJUNCTION_ROUTE_LOAD_ESTIMATE_HPP

#include <algorithm>

#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/installation.hpp"
#include "coursejunction/route/engine_estimate.hpp"
#include "coursejunction/route/known_upstream.hpp"

namespace coursejunction
{

namespace load_estimate
{

/*! @brief Age above which a status no longer describes the load. Other halls
 * report every 400 ms, so that one report may be lost. */
inline constexpr milliseconds status_validity{1000};
/*! @brief A status may have been taken this long before it was received, so
 * that attempts sent shortly before are not in it. */
inline constexpr milliseconds status_latency{10};
/*! @brief Prompts sent longer ago are assumed to have been read: two passes of
 * a busy engine. */
inline constexpr double unread_window_ms = 150;

} // namespace load_estimate

/*! @brief Estimates the current load of an engine from its last status and the
 * requests sent since. Requests of this entry represent those of all entries,
 * as they see the same loads and choose alike; less so where the engine belongs
 * to this entry's share. What `others` predicts beyond these is added, which
 * matters most where this entry has sent none yet, as to an upstream that has
 * just opened.
 * @param effective_entries Entries that choose the same upstream, this one
 * included.
 * @param others Requests a second that other entries are expected to send there
 * beyond an equal share. */
[[nodiscard]] inline engine_load estimate_load(const known_upstream& upstream,
                                               const engine_profile& engine,
                                               double effective_entries,
                                               double others, time_point now)
{
    engine_load result;
    const auto scale = 1 + (effective_entries - 1) * (1 - upstream.share);
    const bool fresh = upstream.status && now - upstream.status_at <=
                                              load_estimate::status_validity;
    double reported_unread_tokens = 0;
    double unreported_unread_tokens = 0;
    double unreported_attempts = 0;
    double own_awaiting_first_event = 0;
    for (const auto& [number, attempt] : upstream.attempts)
    {
        const bool unreported =
            !fresh || attempt.sent_at + load_estimate::status_latency >
                          upstream.status_at;
        unreported_attempts += unreported ? 1 : 0;
        if (attempt.first_event_seen)
            continue;
        own_awaiting_first_event += 1;
        (unreported ? unreported_unread_tokens : reported_unread_tokens) +=
            attempt.prompt_tokens;
    }
    // Scale the requests of this entry up to all entries.
    result.running = unreported_attempts * scale;
    result.unread_tokens =
        reported_unread_tokens + unreported_unread_tokens * scale;
    if (!fresh)
        return result;
    const auto reported = static_cast<double>(upstream.status->running +
                                              upstream.status->waiting);
    result.running += std::max(
        0.0, reported - static_cast<double>(upstream.ended_since_status));
    result.pace = upstream.status->pace;
    constexpr double ms_per_second = 1000;
    result.age_ms = to_seconds(now - upstream.status_at) * ms_per_second;
    // Prompts of other entries are not reported: assume a typical length.
    const auto waiting =
        std::max(0.0, static_cast<double>(upstream.status->waiting) -
                          own_awaiting_first_event);
    result.unread_tokens += waiting * engine.typical_prompt_tokens;
    result.expected = others * result.age_ms / ms_per_second;
    result.running +=
        std::max(0.0, result.expected - unreported_attempts * (scale - 1));
    const auto expected_unread =
        others * std::min(result.age_ms, load_estimate::unread_window_ms) /
        ms_per_second * engine.typical_prompt_tokens;
    result.unread_tokens +=
        std::max(0.0, expected_unread - unreported_unread_tokens * (scale - 1));
    return result;
}

} // namespace coursejunction

#endif
