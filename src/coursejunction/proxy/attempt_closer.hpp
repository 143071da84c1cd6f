/*! @file
 * @brief Ends attempts at upstreams: cancels them, gives them up or continues
 * with the one that was silent. */
#ifndef COURSEJUNCTION_PROXY_ATTEMPT_CLOSER_HPP
#define COURSEJUNCTION_PROXY_ATTEMPT_CLOSER_HPP

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <string>
#include <utility>

#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/metrics.hpp"
#include "coursejunction/net/stream_client.hpp"
#include "coursejunction/proxy/crash_guard.hpp"
#include "coursejunction/proxy/exchange.hpp"
#include "coursejunction/proxy/exchange_facts.hpp"
#include "coursejunction/proxy/exchange_log.hpp"
#include "coursejunction/proxy/send_check.hpp"
#include "coursejunction/route/upstream_registry.hpp"

namespace coursejunction
{

/*! @brief Ends attempts and records it with the registry, the crash guard, the
 * counters and the log. */
class attempt_closer
{
public:
    attempt_closer(stream_client& upstream_client, upstream_registry& upstreams,
                   metrics& metric_counters, crash_guard& crashes)
        : client(upstream_client), book(upstreams), counters(metric_counters),
          guard(crashes)
    {
    }

    /*! @brief Returns whether an attempt is the silent attempt of a request:
     * the earlier of its two, whose upstream is silent or whose first event is
     * overdue. */
    [[nodiscard]] static bool is_silent_attempt(const exchange& request,
                                                std::uint64_t attempt)
    {
        return request.silent_attempt && request.silent_attempt->id == attempt;
    }

    /*! @brief Returns whether an attempt is one of those in progress. */
    [[nodiscard]] static bool is_in_flight(const exchange& request,
                                           std::uint64_t attempt)
    {
        return is_silent_attempt(request, attempt) ||
               (request.attempt.id == attempt && request.attempt.in_flight);
    }

    /*! @brief Cancels all attempts of a request. */
    void cancel_all(exchange& request)
    {
        cancel(request, request.attempt);
        cancel_silent(request);
    }

    /*! @brief Cancels the silent attempt, if there is one. */
    void cancel_silent(exchange& request)
    {
        if (request.silent_attempt)
            cancel(request, *request.silent_attempt);
        request.silent_attempt.reset();
    }

    /*! @brief Cancels an attempt. If it was in progress, it is reported as
     * lost, since its upstream may have crashed. */
    void cancel(const exchange& request, upstream_attempt& attempt)
    {
        if (attempt.id == 0)
            return;
        if (std::exchange(attempt.in_flight, false))
        {
            observe_hold(attempt, "cancelled");
            report_lost(request, attempt,
                        attempt.silent ? loss_cause::timed_out
                                       : loss_cause::cancelled);
        }
        client.cancel(attempt.call);
        book.cancel_attempt(attempt.choice.upstream, attempt.id);
    }

    /*! @brief Takes back an attempt that was not written to its connection. It
     * did not run, so it does not count as one. */
    void withdraw(exchange& request, upstream_attempt& attempt,
                  send_obstacle obstacle)
    {
        attempt.in_flight = false;
        client.cancel(attempt.call);
        book.cancel_attempt(attempt.choice.upstream, attempt.id);
        if (attempt.retry)
            attempt.retry->set_sent(false);
        auto& tried = request.tried_upstreams;
        const auto last =
            std::find(tried.rbegin(), tried.rend(), attempt.choice.upstream);
        if (last != tried.rend())
            tried.erase(std::prev(last.base()));
        counters.count("attempts_withdrawn_total", 1,
                       {{"reason", std::string(send_obstacle_name(obstacle))}});
        exchange_log::withdrawn(request, attempt, send_obstacle_name(obstacle),
                                event_loop::now());
    }

    /*! @brief Marks an attempt as silent. Its upstream is avoided, and counted
     * and logged once. */
    void mark_silent(const exchange& request, upstream_attempt& attempt,
                     time_point now)
    {
        if (std::exchange(attempt.silent, true))
            return;
        attempt.silent_since = now;
        attempt.copy_declined.reset();
        counters.count("attempts_silent_total");
        book.mark_silent(attempt.choice.upstream, now);
        exchange_log::upstream_silent(request, attempt, now);
    }

    /*! @brief Makes the silent attempt the current one again. */
    static void restore_silent(exchange& request)
    {
        request.attempt = std::move(*request.silent_attempt);
        request.silent_attempt.reset();
    }

    /*! @brief Continues with the attempt that was silent and drops the other
     * one. */
    void resume_silent(exchange& request)
    {
        const auto now = event_loop::now();
        cancel(request, request.attempt);
        ++request.possible_runs;
        restore_silent(request);
        if (!request.attempt.silent)
            return count_hedge_won("first");
        observe_hold(request.attempt, "resumed");
        request.attempt.silent = false;
        counters.count("silent_attempts_resumed_total");
        exchange_log::silence_ended(request, now);
    }

    /*! @brief Ends the silent attempt as failed; the other one goes on.
     * @param reason For the log. */
    void end_silent(exchange& request, attempt_failure failure,
                    const std::string& reason)
    {
        const auto silent = std::move(*request.silent_attempt);
        request.silent_attempt.reset();
        observe_hold(silent, "ended");
        client.cancel(silent.call);
        const auto now = event_loop::now();
        const bool possible_run = may_have_run(failure);
        if (possible_run)
            ++request.possible_runs;
        book.end_attempt(silent.choice.upstream, silent.id, result_of(failure),
                         now);
        count_failed(possible_run);
        exchange_log::attempt_failed(request, silent, reason, possible_run,
                                     true, now);
    }

    /*! @brief Ends the silent attempt after the other one returned an event. If
     * it was not silent, it is cancelled only, as its upstream is slow but has
     * not failed. */
    void drop_silent(exchange& request)
    {
        if (request.silent_attempt->silent)
            return time_out_silent(request,
                                   "no event from the upstream in time");
        const auto& slow = *request.silent_attempt;
        const auto now = event_loop::now();
        constexpr double ms_per_second = 1000;
        book.record_pace(slow.choice.upstream, slow.choice.profiled_ms(),
                         to_seconds(now - slow.sent_at) * ms_per_second, now);
        cancel_silent(request);
        ++request.possible_runs;
        count_hedge_won("second");
    }

    /*! @brief Ends the silent attempt because nothing arrived in time. */
    void time_out_silent(exchange& request, const std::string& reason)
    {
        report_lost(request, *request.silent_attempt, loss_cause::timed_out);
        end_silent(request, attempt_failure::may_have_run, reason);
    }

    /*! @brief Returns what a failed attempt says of its upstream. */
    [[nodiscard]] static attempt_result result_of(attempt_failure failure)
    {
        switch (failure)
        {
        case attempt_failure::error_response:
            return attempt_result::answered_failure;
        case attempt_failure::stale_connection:
            return attempt_result::inconclusive;
        case attempt_failure::not_sent:
        case attempt_failure::not_run:
        case attempt_failure::may_have_run:
            break;
        }
        return attempt_result::failed;
    }

    /*! @brief Records for how long an attempt was held after its upstream was
     * found silent.
     * @param end `resumed`, `ended` or `cancelled`. */
    void observe_hold(const upstream_attempt& attempt, const std::string& end)
    {
        if (attempt.silent)
            counters.observe(
                "silent_attempts_held_seconds",
                to_seconds(event_loop::now() - attempt.silent_since),
                {{"end", end}});
    }

    /*! @brief Counts how the responses of upstreams are framed and end. */
    void count_end(const upstream_attempt& attempt)
    {
        counters.count(
            "upstream_responses_ended_total", 1,
            {{"framing",
              std::string(body_framing_name(attempt.response_head.framing))},
             {"end", exchange_log::end_text(attempt)},
             {"inside_event", attempt.events.inside_event() ? "yes" : "no"}});
    }

    /*! @brief Counts a failed attempt. */
    void count_failed(bool may_have_run)
    {
        counters.count("attempts_failed_total", 1,
                       {{"may_have_run", may_have_run ? "true" : "false"}});
    }

    /*! @brief Reports a lost attempt as a possible crash, unless the upstream
     * is leaving and may exit as planned. */
    void report_lost(const exchange& request, const upstream_attempt& lost,
                     loss_cause cause)
    {
        const auto* known = book.find(lost.choice.upstream);
        if (known != nullptr && known->announced_leaving())
            return;
        const auto known_incarnation =
            known != nullptr ? known->life : incarnation{};
        guard.attempt_lost(exchange_facts::lost_attempt_of(
                               request, lost, known_incarnation, cause),
                           event_loop::now());
    }

private:
    /*! @brief Counts which attempt returned the first event after a copy was
     * sent.
     * @param by `first` or `second`. */
    void count_hedge_won(const std::string& by)
    {
        counters.count("first_event_hedges_won_total", 1, {{"by", by}});
    }

    stream_client& client;
    upstream_registry& book;
    metrics& counters;
    crash_guard& guard;
};

} // namespace coursejunction

#endif
