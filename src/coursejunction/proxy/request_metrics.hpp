/*! @file
 * @brief Metrics of arriving and refused requests. */
#ifndef COURSEJUNCTION_PROXY_REQUEST_METRICS_HPP
#define COURSEJUNCTION_PROXY_REQUEST_METRICS_HPP

#include <algorithm>
#include <memory>
#include <string>

#include "coursejunction/net/metrics.hpp"
#include "coursejunction/proxy/exchange.hpp"
#include "coursejunction/proxy/retry_budgets.hpp"
#include "coursejunction/route/dispatcher.hpp"
#include "coursejunction/route/upstream_registry.hpp"

namespace coursejunction::request_metrics
{

/*! @brief Counts a request that is recognised as a client retry, and whether
 * its client returns when it was told to. */
inline void count_arrival(metrics& counters, const arrival_state& arrival)
{
    if (arrival.is_retry())
        counters.count("requests_returned_total", 1,
                       {{"known_by", std::string(evidence_name(
                                         arrival.history.known_by))}});
    if (arrival.returning)
        counters.count("clients_returned_in_time_total");
}

/*! @brief Counts a complete response by its status. */
inline void count_answer(metrics& counters, const exchange& request)
{
    counters.count(
        "requests_answered_total", 1,
        {{"status", std::to_string(request.attempt.response_head.status)}});
    if (request.arrival.returning)
        counters.count("clients_served_on_return_total");
}

/*! @brief Returns what the caller of an open request waits for. */
[[nodiscard]] inline std::string awaited_by_caller(const exchange& request)
{
    if (request.queued || !request.attempt.in_flight)
        return "slot";
    if (request.attempt.silent)
        return "silent_upstream";
    if (request.route->kind != request_kind::stream)
        return "response";
    return request.response_begun ? "event" : "first_event";
}

/*! @brief Counts a caller that left, by what it waited for, and how long before
 * its request was sent last; to be called before its attempts are cancelled. */
inline void count_caller_left(metrics& counters, const exchange& request,
                              time_point now)
{
    if (request.attempt.in_flight)
        counters.observe("caller_left_after_sending_seconds",
                         to_seconds(now - request.attempt.sent_at));
    counters.count("callers_left_total", 1,
                   {{"awaited", awaited_by_caller(request)}});
}

/*! @brief Returns how long ago an upstream was heard, as a label. */
[[nodiscard]] inline std::string heard_text(const known_upstream& upstream,
                                            time_point now)
{
    const auto heard_at = upstream.last_heard_at();
    if (!heard_at)
        return "never";
    const auto ago = now - *heard_at;
    if (ago < milliseconds(250))
        return "under_250ms";
    if (ago < milliseconds(500))
        return "under_500ms";
    return ago < milliseconds(1000) ? "under_1s" : "over_1s";
}

/*! @brief Counts an attempt by how long ago its upstream was heard. */
inline void count_attempt(metrics& counters, const known_upstream& upstream,
                          time_point now)
{
    counters.count("attempts_total");
    counters.count("attempts_by_silence_total", 1,
                   {{"heard", heard_text(upstream, now)}});
}

/*! @brief Counts a request that ended without its caller receiving the rest,
 * if one of its attempts was at an upstream that may be suspended: the upstream
 * runs what it has received when it goes on.
 * @param end `caller_left` or `deadline`. */
inline void count_left_at_silent(metrics& counters, const exchange& request,
                                 const upstream_registry& book,
                                 const std::string& end, time_point now)
{
    const auto silent = [&](const instance_id& id)
    {
        const auto* known = book.find(id);
        return known != nullptr && upstream_registry::is_unheard(*known, now);
    };
    if (std::any_of(request.tried_upstreams.begin(),
                    request.tried_upstreams.end(), silent))
        counters.count("requests_left_at_silent_upstreams_total", 1,
                       {{"end", end}});
}

/*! @brief Counts a refused request by the reason of its refusal. */
inline void count_refusal(metrics& counters, const exchange& request,
                          const placement_failure& failure)
{
    const auto* reason = request.arrival.share.beyond ? "beyond_share"
                         : failure.reserved           ? "reserved"
                         : failure.usable == 0        ? "no_upstream"
                         : request.arrival.late       ? "late"
                                                      : "full";
    counters.count(
        "requests_refused_by_reason_total", 1,
        {{"reason", reason}, {"rank", rank_text(request.arrival.rank)}});
    if (request.arrival.is_retry())
        counters.count("clients_refused_again_total", 1,
                       {{"in_time", request.arrival.returning ? "yes" : "no"}});
}

/*! @brief Sets the gauges of the slots that each rank leaves free.
 * @param rules The configuration; null if there is none yet. */
inline void set_reserves(metrics& counters, const dispatcher& decisions,
                         const std::shared_ptr<const installation>& rules,
                         time_point now)
{
    if (!rules)
        return;
    for (const auto& one : decisions.reserves_by_rank(*rules, now))
    {
        const metrics::labels labels{{"service", one.service.value()},
                                     {"rank", rank_text(one.rank)}};
        counters.set("reserved_slots", one.reserved.slots * one.reserved.degree,
                     labels);
        counters.set("rank_served_ratio", one.reserved.served_ratio, labels);
    }
}

/*! @brief Sets the gauges of the shares of organisations. */
inline void set_shares(metrics& counters, const organisation_limits& limits)
{
    for (const auto& service : limits.names())
    {
        const auto& shares = *limits.shares_of(service);
        counters.set("organisations_refused_per_second",
                     shares.refused_amount(), {{"service", service.value()}});
        for (const auto& [id, one] : shares.decisions())
            counters.set(
                "organisation_refused_fraction", one.fraction,
                {{"service", service.value()}, {"organisation", id.value()}});
    }
}

/*! @brief Counts a retry that was due, and whether the budget allowed it.
 * @param cause `failure`, `silence` or `overdue`. */
inline void count_retry(metrics& counters, const service_name& service,
                        const std::string& cause, bool allowed)
{
    counters.count("upstream_retries_total", 1,
                   {{"service", service.value()},
                    {"cause", cause},
                    {"outcome", allowed ? "paid" : "over_budget"}});
}

/*! @brief Sets the gauges of the retry budgets. */
inline void set_retry_budgets(metrics& counters, const retry_budgets& budgets,
                              time_point now)
{
    budgets.for_each(
        [&](const service_name& service, const retry_window& window)
        {
            const metrics::labels labels{{"service", service.value()}};
            const auto usage = window.usage(now);
            counters.set("retry_budget_used", usage.used, labels);
            counters.set("retry_budget_allowed", usage.allowed, labels);
        });
}

} // namespace coursejunction::request_metrics

#endif
