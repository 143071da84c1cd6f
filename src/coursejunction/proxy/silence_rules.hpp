/*! @file
 * @brief Decides when the attempts of a stream count as silent, when they are
 * given up and when they have to be checked again; pure. Load pattern: an
 * upstream is suspended or cut off, while its connections stay open and no
 * other upstream has a free slot. What it has received cannot be taken back, so
 * that it would run requests whose callers have left.
 */
#ifndef COURSEJUNCTION_PROXY_SILENCE_RULES_HPP
#define COURSEJUNCTION_PROXY_SILENCE_RULES_HPP

#include <algorithm>
#include <cstdint>

#include "coursejunction/proxy/exchange.hpp"
#include "coursejunction/proxy/exchange_options.hpp"
#include "coursejunction/route/hedge_decision.hpp"
#include "coursejunction/route/version_floor.hpp"

namespace coursejunction::silence_rules
{

/*! @brief Fraction of a caller's wait that an earlier end may take. */
inline constexpr int part_of_wait = 8;

/*! @brief Returns whether the attempts of a request are watched for silence: it
 * is a stream, and is being read. */
[[nodiscard]] inline bool apply_to(const exchange& request)
{
    return request.route->kind == request_kind::stream && !request.paused;
}

/*! @brief Returns when the caller of a stream disconnects if it receives no
 * event until then. */
[[nodiscard]] inline time_point caller_leaves_at(const exchange& request)
{
    const auto patience = request.route->caller_patience;
    return patience.count() > 0
               ? std::min<time_point>(request.deadline,
                                      request.last_progress + patience)
               : request.deadline;
}

/*! @brief Returns when the final response of a stream without progress has to
 * be sent for its caller to receive it. A caller that waits for a short time
 * only still waits for most of it. */
[[nodiscard]] inline time_point
final_response_due(const exchange& request, const exchange_options& options)
{
    const auto leaves_at = caller_leaves_at(request);
    const auto wait = leaves_at - request.last_progress;
    return leaves_at - std::min<time_point::duration>(
                           options.final_response_time, wait / part_of_wait);
}

/*! @brief Returns when a request ends at the latest. The caller of a stream
 * disconnects at its deadline, so that an end sent then does not arrive. */
[[nodiscard]] inline time_point ends_at(const exchange& request,
                                        const exchange_options& options)
{
    if (request.route->kind != request_kind::stream ||
        !request.decoded.deadline)
        return request.deadline;
    const auto wait = *request.decoded.deadline;
    return std::min<time_point>(
        request.deadline,
        request.arrived_at + wait -
            std::min(options.deadline_margin, wait / part_of_wait));
}

/*! @brief Returns whether the first event of another upstream is predicted only
 * after the caller has disconnected. */
[[nodiscard]] inline bool is_too_late(const exchange& request,
                                      const upstream_choice& other,
                                      time_point now)
{
    return now + milliseconds(static_cast<std::int64_t>(other.predicted_ms)) >=
           caller_leaves_at(request);
}

/*! @brief Returns since when an attempt counts as silent if nothing more
 * arrives. The first event may take a multiple of the predicted time, unless
 * its caller disconnects before. */
[[nodiscard]] inline time_point silent_from(const exchange& request,
                                            const upstream_attempt& attempt,
                                            const exchange_options& options)
{
    if (attempt.has_events)
        return attempt.last_event_at + options.dispatch.max_stream_pause;
    const auto predicted_at = [&](double factor)
    {
        return attempt.sent_at + milliseconds(static_cast<std::int64_t>(
                                     attempt.choice.predicted_ms * factor));
    };
    const time_point late =
        predicted_at(options.first_event_factor) + options.first_event_slack;
    const time_point before_due =
        final_response_due(request, options) - options.silence_poll_interval;
    return std::min<time_point>(
        late, std::max<time_point>(
                  before_due, predicted_at(hedge_options{}.overdue_factor)));
}

/*! @brief Returns whether to give up an attempt at an upstream that is silent:
 * its caller is about to disconnect, or no event has arrived and the upstream's
 * sidecar is silent as well, which shows that their instance is suspended or
 * cut off. A stream that has begun may still be continued there, and its caller
 * would lose what it has received.
 * @param sidecar_silent Whether the sidecar has reported before but not lately.
 */
[[nodiscard]] inline bool is_given_up(const exchange& request,
                                      const upstream_attempt& attempt,
                                      bool sidecar_silent,
                                      const exchange_options& options,
                                      time_point now)
{
    // When this process goes on after a suspension, its timers run before it
    // has read what arrived meanwhile.
    if (!attempt.silent ||
        now - attempt.silent_since < options.silence_poll_interval)
        return false;
    return now >= final_response_due(request, options) ||
           (sidecar_silent && !request.response_begun);
}

/*! @brief Returns until when an attempt may be queued at its upstream: until
 * `old_weights_cancel_delay` after its model version is superseded, as it must
 * not start to run there any more. Only a stream that may be sent elsewhere has
 * this limit. */
[[nodiscard]] inline time_point start_limit(const exchange& request,
                                            const upstream_attempt& attempt,
                                            const version_floor& minimums,
                                            const exchange_options& options)
{
    if (attempt.has_events || !request.route->resumable)
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
    auto due = silent_from(request, request.attempt, options);
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
