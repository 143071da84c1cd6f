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

/*! @brief Age above which a status becomes uncertain. Other halls report every
 * 400 ms, so that one report may be lost. */
inline constexpr milliseconds status_validity{1000};
/*! @brief From `status_validity` on, what a status reported counts less and
 * less for this long, after which its requests have ended if the engine runs.
 * If it counted fully until one moment, all entries would take a full engine
 * for idle at once. */
inline constexpr milliseconds status_fade{2000};
/*! @brief A status may have been taken this long before it was received, so
 * that attempts sent shortly before are not in it. */
inline constexpr milliseconds status_latency{10};
/*! @brief Prompts sent longer ago are assumed to have been read: two passes of
 * a busy engine. */
inline constexpr double unread_window_ms = 150;

/*! @brief Returns the fraction, 0 to 1, to which a status of an age still
 * describes the load. */
[[nodiscard]] inline double status_weight(time_point::duration age)
{
    return std::clamp(1 - to_seconds(age - status_validity) /
                              to_seconds(status_fade),
                      0.0, 1.0);
}

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
    const auto age = now - upstream.status_at;
    const auto weight =
        upstream.status ? load_estimate::status_weight(age) : 0.0;
    double reported_unread_tokens = 0;
    double unreported_unread_tokens = 0;
    double unreported_attempts = 0;
    double own_awaiting_first_event = 0;
    for (const auto& [number, attempt] : upstream.attempts)
    {
        const bool reported = attempt.sent_at + load_estimate::status_latency <=
                              upstream.status_at;
        // As far as the status no longer counts, the attempts in it do.
        const auto unreported = reported ? 1 - weight : 1.0;
        unreported_attempts += unreported;
        if (attempt.first_event_seen)
            continue;
        own_awaiting_first_event += 1;
        reported_unread_tokens += (1 - unreported) * attempt.prompt_tokens;
        unreported_unread_tokens += unreported * attempt.prompt_tokens;
    }
    // Scale the requests of this entry up to all entries.
    result.running = unreported_attempts * scale;
    result.unread_tokens =
        reported_unread_tokens + unreported_unread_tokens * scale;
    if (weight == 0)
        return result;
    const auto reported = static_cast<double>(upstream.status->running +
                                              upstream.status->waiting);
    result.running +=
        weight * std::max(0.0, reported - static_cast<double>(
                                              upstream.ended_since_status));
    result.pace = 1 + weight * (upstream.status->pace - 1);
    constexpr double ms_per_second = 1000;
    // Beyond the validity of a status, its age says nothing more of what others
    // send.
    result.age_ms = to_seconds(std::min<time_point::duration>(
                        age, load_estimate::status_validity)) *
                    ms_per_second;
    // Prompts of other entries are not reported: assume a typical length.
    const auto waiting =
        std::max(0.0, static_cast<double>(upstream.status->waiting) -
                          own_awaiting_first_event);
    result.unread_tokens += weight * waiting * engine.typical_prompt_tokens;
    result.expected = weight * others * result.age_ms / ms_per_second;
    result.running +=
        std::max(0.0, result.expected - unreported_attempts * (scale - 1));
    const auto expected_unread =
        weight * others *
        std::min(result.age_ms, load_estimate::unread_window_ms) /
        ms_per_second * engine.typical_prompt_tokens;
    result.unread_tokens +=
        std::max(0.0, expected_unread - unreported_unread_tokens * (scale - 1));
    return result;
}

} // namespace coursejunction

#endif
