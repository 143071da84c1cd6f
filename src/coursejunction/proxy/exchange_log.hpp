/*! @file
 * @brief Log lines of a request, from its arrival to its final response. */
#ifndef COURSEJUNCTION_PROXY_EXCHANGE_LOG_HPP
#define COURSEJUNCTION_PROXY_EXCHANGE_LOG_HPP

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "coursejunction/core/log.hpp"
#include "coursejunction/proxy/exchange.hpp"
#include "coursejunction/proxy/exchange_facts.hpp"
#include "coursejunction/route/hedge_decision.hpp"

namespace coursejunction::exchange_log
{

/*! @brief Returns a number as text, without its fraction. */
[[nodiscard]] inline std::string integer_text(double value)
{
    return std::to_string(static_cast<std::int64_t>(value));
}

/*! @brief Returns a number as text, with two digits after the point. */
[[nodiscard]] inline std::string hundredths_text(double value)
{
    constexpr double scale = 100;
    constexpr std::size_t digits = 2;
    const auto text = std::to_string(std::round(value * scale) / scale);
    return text.substr(0, text.find('.') + 1 + digits);
}

/*! @brief Returns the milliseconds between two times as text. */
[[nodiscard]] inline std::string ms_between(time_point from, time_point to)
{
    constexpr double ms = 1000;
    return integer_text(to_seconds(to - from) * ms);
}

/*! @brief Logs a request that was rejected on arrival, before an upstream was
 * chosen. */
inline void rejected(const exchange& request, int status,
                     const installation* configuration)
{
    log::problem("request_rejected",
                 {{"request", request.decoded.id.value()},
                  {"status", std::to_string(status)},
                  {"configuration", configuration != nullptr
                                        ? std::to_string(configuration->version)
                                        : "none"},
                  {"host", request.decoded.host},
                  {"path", request.decoded.path}});
}

/*! @brief Logs a request that waits for an upstream. */
inline void enqueued(const exchange& request, const placement_failure& reason)
{
    log::decision("request_queued",
                  {{"request", request.decoded.id.value()},
                   {"usable", std::to_string(reason.usable)},
                   {"cold", std::to_string(reason.held_back)},
                   {"least_ms", integer_text(reason.least_ms)}});
}

/*! @brief Returns why a request that may have run is not sent again. */
[[nodiscard]] inline std::string
not_resent_reason(const placement_failure& failure)
{
    return failure.no_allowed_upstream
               ? "no other upstream in the allowed regions can take the request"
               : "no other upstream can take the request";
}

/*! @brief Logs a request that is restricted to regions without an upstream that
 * could take it. */
inline void refused_in_regions(const exchange& request,
                               milliseconds retry_after)
{
    log::problem(
        "request_refused",
        {{"request", request.decoded.id.value()},
         {"content", request.content.hex()},
         {"route", request.route->name},
         {"reason", "no upstream in the allowed regions can take the request"},
         {"allowed_regions", exchange_facts::regions_of(request).text()},
         {"organisation",
          request.owner != nullptr ? request.owner->id.value() : "none"},
         {"service", request.service.value()},
         {"attempts", std::to_string(request.tried_upstreams.size())},
         {"retry_after_ms", std::to_string(retry_after.count())}});
}

/*! @brief Logs a request beyond the share of its organisation. */
inline void refused_beyond_share(const exchange& request,
                                 milliseconds retry_after)
{
    const auto& share = request.arrival.share;
    log::problem(
        "request_refused",
        {{"request", request.decoded.id.value()},
         {"content", request.content.hex()},
         {"route", request.route->name},
         {"reason", "beyond the share of its organisation under overload"},
         {"organisation", request.owner->id.value()},
         {"service", request.service.value()},
         {"per_second", hundredths_text(share.per_second)},
         {"usual_per_second", hundredths_text(share.usual)},
         {"level_per_second", hundredths_text(share.level)},
         {"fraction", hundredths_text(share.fraction)},
         {"refused_within_shares", hundredths_text(share.refused_within)},
         {"rates_age_ms", integer_text(share.rates_age_ms)},
         {"retry_after_ms", std::to_string(retry_after.count())}});
}

/*! @brief Logs a request that no upstream could take in time. */
inline void refused(const exchange& request, const placement_failure& reason,
                    milliseconds retry_after)
{
    if (request.arrival.share.beyond)
        return refused_beyond_share(request, retry_after);
    if (reason.no_allowed_upstream)
        return refused_in_regions(request, retry_after);
    log::problem(
        "request_refused",
        {{"request", request.decoded.id.value()},
         {"content", request.content.hex()},
         {"route", request.route->name},
         {"reason",
          reason.evacuated()
              ? "all upstreams are in evacuated halls or limit this entry to 0"
          : reason.next_send_at
              ? "all upstreams are backing off, at their rate limit or cold"
          : reason.usable == 0 ? "no usable upstream"
          : reason.reserved ? "free slots are reserved for more urgent requests"
          : request.arrival.late
              ? "client retry is too late for its target, no upstream is free"
              : "no upstream would meet the target"},
         {"waited_before_ms",
          std::to_string(request.arrival.history.waited.count())},
         {"known_by",
          std::string(evidence_name(request.arrival.history.known_by))},
         {"usable", std::to_string(reason.usable)},
         {"evacuated_halls", std::to_string(reason.evacuated_halls)},
         {"cold", std::to_string(reason.held_back)},
         {"least_ms", integer_text(reason.least_ms)},
         {"rank", rank_text(request.arrival.rank)},
         {"reserved_slots", hundredths_text(reason.reserve.slots)},
         {"urgent_per_second",
          hundredths_text(reason.reserve.urgent_per_second)},
         {"served_ratio", hundredths_text(reason.reserve.served_ratio)},
         {"overload", hundredths_text(reason.reserve.degree)},
         {"rates_age_ms", integer_text(reason.reserve.rates_age_ms)},
         {"target_ms",
          std::to_string(request.route->first_event_target.count())},
         {"retry_after_ms", std::to_string(retry_after.count())}});
}

/*! @brief Logs a request that is recognised as a client retry, and whether it
 * is preferred because its client returns when it was told to. */
inline void returned(const exchange& request)
{
    const auto& arrival = request.arrival;
    if (!arrival.is_retry())
        return;
    log::decision(
        "client_returned",
        {{"request", request.decoded.id.value()},
         {"in_time", arrival.returning ? "true" : "false"},
         {"late", arrival.late ? "true" : "false"},
         {"waited_before_ms", std::to_string(arrival.history.waited.count())},
         {"left_ms", ms_between(request.arrived_at, request.deadline)},
         {"known_by", std::string(evidence_name(arrival.history.known_by))},
         {"rank", rank_text(arrival.rank)}});
}

/*! @brief Logs a request that was refused because it is quarantined. */
inline void refused_quarantined(const exchange& request, milliseconds left,
                                const std::optional<request_content>& part)
{
    log::problem("request_turned_away",
                 {{"request", request.decoded.id.value()},
                  {"content", request.content.hex()},
                  {"part", part ? part->hex() : std::string()},
                  {"route", request.route->name},
                  {"reason", "quarantined: upstreams crashed while running it"},
                  {"quarantine_left_ms", std::to_string(left.count())}});
}

/*! @brief Logs an attempt with the data that its upstream was chosen by. */
inline void sent(const exchange& request, milliseconds left,
                 std::optional<time_point> heard_at)
{
    log::decision(
        "request_sent",
        {{"request", request.decoded.id.value()},
         {"content", request.content.hex()},
         {"upstream", request.attempt.choice.upstream.value()},
         {"hall", request.attempt.choice.hall.value()},
         {"evacuated_halls",
          std::to_string(request.attempt.choice.evacuated_halls)},
         {"attempt", std::to_string(request.tried_upstreams.size())},
         {"predicted_ms", integer_text(request.attempt.choice.predicted_ms)},
         {"inside", integer_text(request.attempt.choice.load.running)},
         {"unread_tokens",
          integer_text(request.attempt.choice.load.unread_tokens)},
         {"load_age_ms", integer_text(request.attempt.choice.load.age_ms)},
         {"heard_ms_ago",
          heard_at ? ms_between(*heard_at, request.attempt.sent_at) : "never"},
         {"expected", integer_text(request.attempt.choice.load.expected)},
         {"version", std::to_string(request.attempt.choice.version)},
         {"left_ms", std::to_string(left.count())},
         {"waited_before_ms",
          std::to_string(request.arrival.history.waited.count())},
         {"known_by",
          std::string(evidence_name(request.arrival.history.known_by))}});
}

/*! @brief Logs the first event of an attempt or, when it continues a stream,
 * the gap since the previous attempt failed. */
inline void first_event(const exchange& request, time_point now)
{
    if (!request.response_begun)
        return log::decision(
            "first_event",
            {{"request", request.decoded.id.value()},
             {"upstream", request.attempt.choice.upstream.value()},
             {"predicted_ms",
              integer_text(request.attempt.choice.predicted_ms)},
             {"seen_ms", ms_between(request.attempt.sent_at, now)}});
    log::decision(
        "stream_resumed",
        {{"request", request.decoded.id.value()},
         {"upstream", request.attempt.choice.upstream.value()},
         {"predicted_ms", integer_text(request.attempt.choice.predicted_ms)},
         {"gap_ms", ms_between(request.failed_at, now)}});
}

/*! @brief Logs what an upstream reported about itself in a response. */
inline void notice_received(const exchange& request,
                            const upstream_attempt& attempt,
                            const upstream_notice& notice)
{
    log::state("upstream_notice",
               {{"request", request.decoded.id.value()},
                {"upstream", attempt.choice.upstream.value()},
                {"status", std::to_string(attempt.response_head.status)},
                {"leaving", notice.leaving ? "true" : "false"},
                {"rest_ms", notice.retry_after
                                ? std::to_string(notice.retry_after->count())
                                : "none"},
                {"requests_per_second",
                 notice.requests_per_second
                     ? std::to_string(*notice.requests_per_second)
                     : "none"},
                {"unreadable", notice.unreadable ? "true" : "false"}});
}

/*! @brief Logs a change of the terms on which an upstream takes requests. */
inline void terms_changed(const known_upstream& upstream, time_point now)
{
    const auto& limit = upstream.terms.limit();
    log::state(
        "upstream_terms",
        {{"upstream", upstream.record.id.value()},
         {"told_by", upstream.terms.told_by()},
         {"leaving", upstream.leaving() ? "true" : "false"},
         {"rest_ms",
          ms_between(now, std::max(now, upstream.terms.backoff_until()))},
         {"requests_per_second",
          limit ? std::to_string(limit->per_second()) : "unlimited"}});
}

/*! @brief Returns how an attempt's response was framed; "none" without one. */
[[nodiscard]] inline std::string framing_text(const upstream_attempt& attempt)
{
    return std::string(body_framing_name(attempt.response_head.framing));
}

/*! @brief Returns how an attempt's call ended; "open" for one that did not end
 * by itself. */
[[nodiscard]] inline std::string end_text(const upstream_attempt& attempt)
{
    return std::string(
        attempt.response_end ? stream_end_name(*attempt.response_end) : "open");
}

/*! @brief Returns the number of bytes after the last complete event. */
[[nodiscard]] inline std::string
unfinished_bytes_text(const upstream_attempt& attempt)
{
    return std::to_string(attempt.events.incomplete().size());
}

/*! @brief Logs a failed attempt. */
inline void attempt_failed(const exchange& request,
                           const upstream_attempt& attempt,
                           const std::string& why, bool may_have_run,
                           bool resending, time_point now)
{
    log::problem("attempt_failed",
                 {{"request", request.decoded.id.value()},
                  {"content", request.content.hex()},
                  {"upstream", attempt.choice.upstream.value()},
                  {"why", why},
                  {"events", std::to_string(attempt.events.event_count())},
                  {"framing", framing_text(attempt)},
                  {"end", end_text(attempt)},
                  {"unfinished_bytes", unfinished_bytes_text(attempt)},
                  {"may_have_run", may_have_run ? "true" : "false"},
                  {"sent_again", resending ? "true" : "false"},
                  {"after_ms", ms_between(attempt.sent_at, now)}});
}

/*! @brief Logs an attempt that was not written, since its upstream does not
 * accept it any more. */
inline void withdrawn(const exchange& request, const upstream_attempt& attempt,
                      std::string_view why, time_point now)
{
    log::problem("attempt_withdrawn",
                 {{"request", request.decoded.id.value()},
                  {"upstream", attempt.choice.upstream.value()},
                  {"why", std::string(why)},
                  {"after_ms", ms_between(attempt.sent_at, now)}});
}

/*! @brief Logs an attempt whose upstream has been silent for too long. */
inline void upstream_silent(const exchange& request,
                            const upstream_attempt& attempt, time_point now)
{
    log::problem(
        "upstream_silent",
        {{"request", request.decoded.id.value()},
         {"upstream", attempt.choice.upstream.value()},
         {"events", std::to_string(attempt.events.event_count())},
         {"silent_ms", ms_between(attempt.has_events ? attempt.last_event_at
                                                     : attempt.sent_at,
                                  now)}});
}

/*! @brief Logs why a request stays at its silent upstream alone. */
inline void copy_declined(const exchange& request, hedge_verdict verdict)
{
    log::problem(
        "silent_upstream_not_left",
        {{"request", request.decoded.id.value()},
         {"upstream", request.attempt.choice.upstream.value()},
         {"reason", std::string(verdict_name(verdict))},
         {"attempts", std::to_string(request.tried_upstreams.size())},
         {"events", std::to_string(request.attempt.events.event_count())}});
}

/*! @brief Logs a second copy of a request, which is sent because the first
 * event of the attempt in progress is overdue. */
inline void hedged(const exchange& request, const awaited_first_event& awaited,
                   const upstream_choice& other)
{
    log::decision("request_hedged",
                  {{"request", request.decoded.id.value()},
                   {"upstream", request.attempt.choice.upstream.value()},
                   {"other", other.upstream.value()},
                   {"elapsed_ms", integer_text(awaited.elapsed_ms)},
                   {"waited_before_ms", integer_text(awaited.waited_ms)},
                   {"predicted_ms", integer_text(awaited.predicted_ms)},
                   {"expected_ms", integer_text(awaited.expected_ms)},
                   {"predicted_elsewhere_ms", integer_text(other.predicted_ms)},
                   {"load_age_ms", integer_text(other.load.age_ms)},
                   {"target_ms", integer_text(awaited.target_ms)}});
}

/*! @brief Logs the first pause of an attempt that is longer than the target of
 * its route. */
inline void event_gap(const exchange& request, time_point now)
{
    const auto& attempt = request.attempt;
    log::problem("stream_slow",
                 {{"request", request.decoded.id.value()},
                  {"upstream", attempt.choice.upstream.value()},
                  {"events", std::to_string(attempt.events.event_count())},
                  {"gap_ms", ms_between(attempt.last_event_at, now)},
                  {"target_ms",
                   std::to_string(request.route->event_gap_target.count())}});
}

/*! @brief Logs a silent attempt that returned an event before any other
 * upstream did. */
inline void silence_ended(const exchange& request, time_point now)
{
    const auto& attempt = request.attempt;
    log::decision(
        "upstream_resumed",
        {{"request", request.decoded.id.value()},
         {"upstream", attempt.choice.upstream.value()},
         {"silent_ms", ms_between(attempt.has_events ? attempt.last_event_at
                                                     : attempt.sent_at,
                                  now)}});
}

/*! @brief Logs a request that ended with a complete response of an upstream,
 * even if 502 was sent to the caller instead. */
inline void answered(const exchange& request, const std::string& outcome,
                     time_point now)
{
    log::decision(
        "request_answered",
        {{"request", request.decoded.id.value()},
         {"upstream", request.attempt.choice.upstream.value()},
         {"status", std::to_string(request.attempt.response_head.status)},
         {"outcome", outcome},
         {"events", std::to_string(request.attempt.events.event_count())},
         {"framing", framing_text(request.attempt)},
         {"end", end_text(request.attempt)},
         {"unfinished_bytes", unfinished_bytes_text(request.attempt)},
         {"took_ms", ms_between(request.arrived_at, now)}});
}

/*! @brief Logs a request that failed: no attempt gave a complete response that
 * could be forwarded, or only a server error. */
inline void failed(const exchange& request, std::string_view outcome,
                   const std::string& why, time_point now)
{
    log::problem(
        "request_failed",
        {{"request", request.decoded.id.value()},
         {"outcome", std::string(outcome)},
         {"why", why},
         {"attempts", std::to_string(request.tried_upstreams.size())},
         {"upstream", request.attempt.choice.upstream.value()},
         {"events", std::to_string(request.attempt.events.event_count())},
         {"silent_ms", request.attempt.silent
                           ? ms_between(request.attempt.silent_since, now)
                           : "none"},
         {"age_ms", ms_between(request.arrived_at, request.read_at)},
         {"since_sent_ms", request.tried_upstreams.empty()
                               ? "none"
                               : ms_between(request.attempt.sent_at, now)},
         {"took_ms", ms_between(request.arrived_at, now)}});
}

} // namespace coursejunction::exchange_log

#endif
