/*! @file
 * @brief Decides when the attempts of a resumable stream count as silent and
 * when they have to be checked again; pure. Load pattern: an upstream is
 * paused or cut off, while its connections stay open.
 */
#ifndef COURSEJUNCTION_PROXY_SILENCE_RULES_HPP
#define COURSEJUNCTION_PROXY_SILENCE_RULES_HPP

#include <algorithm>
#include <cstdint>

#include "coursejunction/proxy/exchange.hpp"
#include "coursejunction/proxy/exchange_options.hpp"
#include "coursejunction/route/version_floor.hpp"

namespace coursejunction::silence_rules
{

/*! @brief Returns whether the attempts of a request are watched for silence:
 * its stream can be resumed at another upstream, and is being read. */
[[nodiscard]] inline bool apply_to(const exchange& request)
{
    return request.route->kind == request_kind::stream &&
           request.route->resumable && !request.paused;
}

/*! @brief Returns since when an attempt counts as silent if nothing more
 * arrives. The first event may take a multiple of the predicted time. */
[[nodiscard]] inline time_point silent_from(const upstream_attempt& attempt,
                                            const exchange_options& options)
{
    if (attempt.has_events)
        return attempt.last_event_at + options.dispatch.max_stream_pause;
    return attempt.sent_at +
           milliseconds(static_cast<std::int64_t>(attempt.choice.predicted_ms *
                                                  options.first_event_factor)) +
           options.first_event_slack;
}

/*! @brief Returns until when an attempt may be queued at its upstream: until
 * `old_weights_cancel_delay` after its model version is superseded, as it must
 * not start to run there any more. */
[[nodiscard]] inline time_point start_limit(const exchange& request,
                                            const upstream_attempt& attempt,
                                            const version_floor& minimums,
                                            const exchange_options& options)
{
    if (attempt.has_events)
        return time_point::max();
    const auto superseded_at =
        minimums.superseded_at(request.decoded.model, attempt.choice.version);
    return superseded_at ? *superseded_at + options.old_weights_cancel_delay
                         : time_point::max();
}

/*! @brief Returns when the attempts of a request have to be checked next. */
[[nodiscard]] inline time_point next_check(const exchange& request,
                                           const version_floor& minimums,
                                           const exchange_options& options,
                                           time_point now)
{
    const time_point next_poll = now + options.silence_poll_interval;
    auto due = silent_from(request.attempt, options);
    if (due <= now)
        due = next_poll;
    due =
        std::min(due, start_limit(request, request.attempt, minimums, options));
    if (request.silent_attempt)
        due = std::min(due, next_poll);
    return std::max(due, now);
}

} // namespace coursejunction::silence_rules

#endif
