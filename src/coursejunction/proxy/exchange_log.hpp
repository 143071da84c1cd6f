/*! @file
 * @brief The log lines of a request, from its arrival to its final answer.
 */
#ifndef COURSEJUNCTION_PROXY_EXCHANGE_LOG_HPP
#define COURSEJUNCTION_PROXY_EXCHANGE_LOG_HPP

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

#include "coursejunction/core/log.hpp"
#include "coursejunction/proxy/exchange.hpp"

namespace coursejunction::exchange_log
{

/*! @brief Returns a figure without its fraction. */
[[nodiscard]] inline std::string whole(double value)
{
    return std::to_string(static_cast<std::int64_t>(value));
}

/*! @brief Returns the ms between two moments. */
[[nodiscard]] inline std::string ms_between(time_point from, time_point to)
{
    constexpr double ms = 1000;
    return whole(to_seconds(to - from) * ms);
}

/*! @brief Refused at once, by the configuration or the lack of one. */
inline void rejected(const exchange& one, int status,
                     const installation* configuration)
{
    log::problem("request_rejected",
                 {{"request", one.asked.id.value()},
                  {"status", std::to_string(status)},
                  {"configuration", configuration != nullptr
                                        ? std::to_string(configuration->version)
                                        : "none"},
                  {"host", one.asked.host},
                  {"path", one.asked.path}});
}

/*! @brief Waits for a place. */
inline void queued(const exchange& one, const placement_failure& why)
{
    log::decision("request_queued", {{"request", one.asked.id.value()},
                                     {"usable", std::to_string(why.usable)},
                                     {"least_ms", whole(why.least_ms)}});
}

/*! @brief Found no place in time. */
inline void refused(const exchange& one, const placement_failure& why,
                    milliseconds come_back)
{
    log::problem(
        "request_refused",
        {{"request", one.asked.id.value()},
         {"content", one.content.hex()},
         {"route", one.route->name},
         {"reason", why.next_send_at    ? "all upstreams rest or are limited"
                    : why.usable == 0   ? "no usable upstream"
                    : one.standing.late ? "came back late, no place is free"
                                        : "target would be missed"},
         {"waited_before_ms",
          std::to_string(one.standing.history.waited.count())},
         {"known_by",
          std::string(evidence_name(one.standing.history.known_by))},
         {"usable", std::to_string(why.usable)},
         {"least_ms", whole(why.least_ms)},
         {"target_ms", std::to_string(one.route->first_event_target.count())},
         {"retry_after_ms", std::to_string(come_back.count())}});
}

/*! @brief Not sent on, since upstreams ended under it before. */
inline void turned_away(const exchange& one, milliseconds left)
{
    log::problem("request_turned_away",
                 {{"request", one.asked.id.value()},
                  {"content", one.content.hex()},
                  {"route", one.route->name},
                  {"reason", "quarantined: upstreams ended under it"},
                  {"quarantine_left_ms", std::to_string(left.count())}});
}

/*! @brief An attempt goes out, with what the choice was made from. */
inline void sent(const exchange& one, milliseconds left)
{
    log::decision("request_sent",
                  {{"request", one.asked.id.value()},
                   {"content", one.content.hex()},
                   {"upstream", one.at.upstream.value()},
                   {"hall", one.at.hall.value()},
                   {"attempt", std::to_string(one.tried.size())},
                   {"predicted_ms", whole(one.at.predicted_ms)},
                   {"inside", whole(one.at.load.running)},
                   {"unread_tokens", whole(one.at.load.unread_tokens)},
                   {"load_age_ms", whole(one.at.load.age_ms)},
                   {"expected", whole(one.at.load.expected)},
                   {"version", std::to_string(one.at.version)},
                   {"left_ms", std::to_string(left.count())},
                   {"waited_before_ms",
                    std::to_string(one.standing.history.waited.count())},
                   {"known_by", std::string(evidence_name(
                                    one.standing.history.known_by))}});
}

/*! @brief The first event of an attempt came; of a stream that goes on, the
 * gap since the last attempt failed. */
inline void first_event(const exchange& one, time_point now)
{
    if (!one.streaming)
        return log::decision("first_event",
                             {{"request", one.asked.id.value()},
                              {"upstream", one.at.upstream.value()},
                              {"predicted_ms", whole(one.at.predicted_ms)},
                              {"seen_ms", ms_between(one.sent, now)}});
    log::decision("stream_resumed",
                  {{"request", one.asked.id.value()},
                   {"upstream", one.at.upstream.value()},
                   {"predicted_ms", whole(one.at.predicted_ms)},
                   {"gap_ms", ms_between(one.failed_at, now)}});
}

/*! @brief An upstream said something of itself in an answer. */
inline void noticed(const exchange& one, const upstream_notice& notice)
{
    log::state("upstream_notice",
               {{"request", one.asked.id.value()},
                {"upstream", one.at.upstream.value()},
                {"status", std::to_string(one.head.status)},
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

/*! @brief The terms on which an upstream takes requests changed. */
inline void terms_changed(const known_upstream& one, time_point now)
{
    const auto& limit = one.terms.limit();
    log::state(
        "upstream_terms",
        {{"upstream", one.record.id.value()},
         {"told_by", one.terms.told_by()},
         {"leaving", one.leaving() ? "true" : "false"},
         {"rest_ms", ms_between(now, std::max(now, one.terms.backoff_until()))},
         {"requests_per_second",
          limit ? std::to_string(limit->per_second()) : "unlimited"}});
}

/*! @brief An attempt failed. */
inline void attempt_failed(const exchange& one, const std::string& why,
                           bool may_have_run, bool sent_again, time_point now)
{
    log::problem("attempt_failed",
                 {{"request", one.asked.id.value()},
                  {"content", one.content.hex()},
                  {"upstream", one.at.upstream.value()},
                  {"why", why},
                  {"events", std::to_string(one.events.size())},
                  {"may_have_run", may_have_run ? "true" : "false"},
                  {"sent_again", sent_again ? "true" : "false"},
                  {"after_ms", ms_between(one.sent, now)}});
}

/*! @brief An upstream's answer was passed on. */
inline void answered(const exchange& one, const std::string& how,
                     time_point now)
{
    log::decision("request_answered",
                  {{"request", one.asked.id.value()},
                   {"upstream", one.at.upstream.value()},
                   {"status", std::to_string(one.head.status)},
                   {"outcome", how},
                   {"events", std::to_string(one.events.size())},
                   {"took_ms", ms_between(one.arrived, now)}});
}

/*! @brief The request ended without an upstream's answer. */
inline void failed(const exchange& one, std::string_view outcome,
                   const std::string& why, time_point now)
{
    log::problem("request_failed",
                 {{"request", one.asked.id.value()},
                  {"outcome", std::string(outcome)},
                  {"why", why},
                  {"attempts", std::to_string(one.tried.size())},
                  {"upstream", one.at.upstream.value()},
                  {"events", std::to_string(one.events.size())},
                  {"took_ms", ms_between(one.arrived, now)}});
}

} // namespace coursejunction::exchange_log

#endif
