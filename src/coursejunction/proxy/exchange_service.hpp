/*! @file
 * @brief Forwards callers' requests to upstreams and returns their responses.
 */
#ifndef COURSEJUNCTION_PROXY_EXCHANGE_SERVICE_HPP
#define COURSEJUNCTION_PROXY_EXCHANGE_SERVICE_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "coursejunction/fleet/installation.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/metrics.hpp"
#include "coursejunction/net/stream_client.hpp"
#include "coursejunction/net/stream_server.hpp"
#include "coursejunction/proxy/attempt_closer.hpp"
#include "coursejunction/proxy/attempt_end.hpp"
#include "coursejunction/proxy/back_pressure.hpp"
#include "coursejunction/proxy/crash_guard.hpp"
#include "coursejunction/proxy/crash_permission.hpp"
#include "coursejunction/proxy/event_gap.hpp"
#include "coursejunction/proxy/exchange.hpp"
#include "coursejunction/proxy/exchange_facts.hpp"
#include "coursejunction/proxy/exchange_log.hpp"
#include "coursejunction/proxy/exchange_options.hpp"
#include "coursejunction/proxy/hedge_inputs.hpp"
#include "coursejunction/proxy/notice_intake.hpp"
#include "coursejunction/proxy/open_exchanges.hpp"
#include "coursejunction/proxy/placement_constraints.hpp"
#include "coursejunction/proxy/request_admission.hpp"
#include "coursejunction/proxy/request_codec.hpp"
#include "coursejunction/proxy/request_metrics.hpp"
#include "coursejunction/proxy/response_rules.hpp"
#include "coursejunction/proxy/retry_budgets.hpp"
#include "coursejunction/proxy/send_check.hpp"
#include "coursejunction/proxy/silence_rules.hpp"
#include "coursejunction/route/dispatcher.hpp"
#include "coursejunction/route/placement_queue.hpp"
#include "coursejunction/route/upstream_registry.hpp"
#include "coursejunction/route/version_floor.hpp"

namespace coursejunction
{

/*! @brief Handles each request from its arrival to its final response: admits
 * it, chooses an upstream, sends it there, resends it after a failed attempt
 * and logs the outcome. Runs on one event loop.
 * @tparam Codec A `Request_codec`. */
template <typename Codec>
class exchange_service
{
public:
    exchange_service(event_loop& owner, stream_client& upstream_client,
                     upstream_registry& upstreams, metrics& metric_counters,
                     placer placement, exchange_options chosen_options)
        : loop(owner), client(upstream_client), book(upstreams),
          counters(metric_counters),
          decisions(upstreams, std::move(placement), chosen_options.dispatch),
          options(chosen_options), guard(upstream_client, metric_counters,
                                         [this](const request_content& content)
                                         { on_quarantined(content); }),
          closer(upstream_client, upstreams, metric_counters, guard),
          pressure(
              owner, upstream_client, metric_counters, open_requests,
              [this](exchange& request) { arm_silence_timer(request); },
              [this](exchange& request) { cut_unread(request); }),
          intake(upstreams, metric_counters), budgets(chosen_options)
    {
        queue_timer = loop.every(options.queue_poll_interval,
                                 [this] { place_waiting(); });
    }

    /*! @brief Applies a configuration to requests that arrive from now on. */
    void configure(std::shared_ptr<const installation> next)
    {
        configuration = std::move(next);
        decisions.configure(*configuration);
    }

    /*! @brief Returns the minimum versions for new requests; the owner of this
     * object updates them. */
    [[nodiscard]] version_floor& minimum_versions() { return minimums; }

    /*! @brief Returns the guard against requests that crash upstreams. */
    [[nodiscard]] crash_guard& crashes() { return guard; }

    /*! @brief Sets the number of entries that share the upstreams. */
    void set_entry_count(std::size_t count, time_point now)
    {
        budgets.set_entry_count(count, now);
    }

    /*! @brief Returns the rates of requests for engines at this entry. */
    [[nodiscard]] request_rates rates(time_point now) const
    {
        return decisions.rates(now);
    }

    /*! @brief Sets the sum of the request rates at all other entries. */
    void set_other_entries_rates(const request_rates& reported, time_point now)
    {
        decisions.set_other_entries_rates(reported, now);
    }

    /*! @brief Returns the decisions, with which the owner of this object
     * exchanges refusals and rates of organisations with other entries. */
    [[nodiscard]] dispatcher& dispatching() { return decisions; }

    /*! @brief Sets a callback that is called every `queue_poll_interval` while
     * there are unsent refusals. That is soon enough for clients that retry
     * immediately. */
    void on_unsent_refusals(std::function<void()> callback)
    {
        refusals_callback = std::move(callback);
    }

    /*! @brief Drops refusals whose client retries are no longer expected; to be
     * called periodically. */
    void expire(time_point now)
    {
        decisions.expire(now);
        request_metrics::set_reserves(counters, decisions, configuration, now);
        request_metrics::set_shares(counters, decisions.organisations());
        request_metrics::set_retry_budgets(counters, budgets, now);
    }

    /*! @brief Returns whether an upstream has an engine that accepts new
     * requests. These engines are divided between the entries. */
    [[nodiscard]] bool accepts_new_requests(const known_upstream& upstream,
                                            time_point now) const
    {
        const auto* service =
            configuration ? configuration->service(upstream.record.service)
                          : nullptr;
        if (service == nullptr || !service->engine ||
            !upstream.accepts_requests() || !upstream.status ||
            !upstream.status->open || !upstream.status->reachable)
            return false;
        const auto& status = *upstream.status;
        return status.version >= minimums.minimum(status.model, now);
    }

    /*! @brief Returns the component that applies notices from upstreams. */
    [[nodiscard]] notice_intake& notices() { return intake; }

    /*! @brief Sets whether peers have had a newer state of the store for some
     * time. What this entry's configuration denies may be allowed by then. */
    void set_configuration_outdated(bool outdated)
    {
        configuration_outdated = outdated;
    }

    /*! @brief Handles a new request; its response goes to `reply`. */
    void handle_request(stream_request from, stream_reply reply)
    {
        const auto number = ++last_number;
        auto request = std::make_shared<exchange>();
        request->number = number;
        request->arrived_at = from.arrived_at;
        request->read_at = event_loop::now();
        request->decoded = Codec::decode_request(from);
        request->original = std::move(from);
        request->reply = std::move(reply);
        counters.count("requests_total");
        counters.observe("request_age_seconds",
                         to_seconds(request->read_at - request->arrived_at));
        const auto status = admit(*request);
        if (status != 0)
            return reject(*request, configuration_outdated &&
                                            exchange_facts::is_denial(status)
                                        ? 503
                                        : status);
        open_requests.add(request);
        request->reply.on_disconnect([this, number]
                                     { on_caller_left(number); });
        arm_deadline_timer(*request);
        place(*request);
    }

    /*! @brief Fails all attempts that an upstream process held when it was
     * replaced by a new incarnation. They may have run, and their connections
     * are dead. */
    void upstream_restarted(const ended_incarnation& restarted)
    {
        client.close_idle(restarted.address);
        const auto& attempts = restarted.attempts;
        const auto was_lost = [&](const upstream_attempt& attempt)
        {
            return std::find(attempts.begin(), attempts.end(), attempt.id) !=
                   attempts.end();
        };
        const auto lost_any = [&](const exchange& request)
        {
            return was_lost(request.attempt) ||
                   (request.silent_attempt &&
                    was_lost(*request.silent_attempt));
        };
        for (const auto number : open_requests.numbers_of(lost_any))
            open_requests.with(
                number,
                [&](exchange& request)
                {
                    constexpr const char* reason = "upstream restarted";
                    const bool silent = !was_lost(request.attempt);
                    const auto& lost =
                        silent ? *request.silent_attempt : request.attempt;
                    client.cancel(lost.call);
                    guard.attempt_lost(
                        exchange_facts::lost_attempt_of(
                            request, lost, restarted.life, loss_cause::closed),
                        event_loop::now());
                    if (silent)
                        return closer.end_silent(
                            request, attempt_failure::may_have_run, reason);
                    on_attempt_failed(request, attempt_failure::may_have_run,
                                      reason);
                });
        guard.upstream_crashed(restarted.upstream, "upstream restarted");
    }

    /*! @brief Tries to place queued requests, since an upstream may have become
     * free. */
    void place_waiting()
    {
        for (const auto number : waiting.request_numbers())
            open_requests.with(number,
                               [this](exchange& request) { place(request); });
        if (refusals_callback && decisions.has_unsent_refusals())
            refusals_callback();
    }

    /*! @brief Sends the final response to all open requests, before the process
     * ends. */
    void end_all()
    {
        const auto any = [](const exchange&) { return true; };
        for (const auto number : open_requests.numbers_of(any))
            open_requests.with(number,
                               [this](exchange& request)
                               {
                                   if (request.attempt.in_flight)
                                       ++request.possible_runs;
                                   closer.cancel_all(request);
                                   give_up(request, "entry is shutting down");
                               });
    }

    /*! @brief Returns the number of requests without a final response. */
    [[nodiscard]] std::size_t size() const { return open_requests.size(); }

    /*! @brief Returns the number of requests that wait for an upstream. */
    [[nodiscard]] std::size_t queued_count() const { return waiting.size(); }

private:
    // --- Admission -------------------------------------------------------

    /*! @brief Admits a request and records its arrival.
     * @return 0, or the HTTP status with which to reject it. */
    int admit(exchange& request)
    {
        const auto status = admit_request(request, configuration);
        if (status != 0)
            return status;
        budgets.of(request.service).record_request(request.read_at);
        request.arrival = decisions.record_arrival(
            *request.route, exchange_facts::service_profile_of(request),
            request.fingerprint, request.decoded.deadline, request.read_at,
            request.owner, request.read_at - request.arrived_at);
        request_metrics::count_arrival(counters, request.arrival);
        exchange_log::returned(request);
        return 0;
    }

    void reject(exchange& request, int status)
    {
        counters.count("requests_refused_total", 1,
                       {{"status", std::to_string(status)}});
        exchange_log::rejected(request, status, configuration.get());
        constexpr milliseconds retry_after{500};
        request.reply.send(status,
                           status == 503 ? Codec::refusal_headers(retry_after)
                                         : header_list{},
                           "");
    }

    void arm_deadline_timer(exchange& request)
    {
        request.deadline_timer = loop.after(
            silence_rules::ends_at(request, options) - request.read_at,
            [this, number = request.number] { on_deadline(number); });
    }

    // --- Placement -------------------------------------------------------

    void place(exchange& request)
    {
        const auto now = event_loop::now();
        // After a suspension of this process the deadline may have passed
        // before its timer fires.
        if (now >= silence_rules::ends_at(request, options))
            return on_deadline(request.number);
        if (request.possible_runs > 0 && silence_rules::apply_to(request) &&
            now >= silence_rules::final_response_due(request, options))
            return end_late(request, no_event_in_time);
        if (request.possible_runs > 0 &&
            now - request.failed_at < options.crash_probe_time &&
            guard.has_unexplained_loss(request.content, now))
            return enqueue(request, {});
        if (!passes_crash_guard(request, now))
            return;
        const auto decision =
            decisions.decide(exchange_facts::service_profile_of(request),
                             placement_of(request, now), now);
        if (const auto* target = std::get_if<send_to>(&decision))
            return start_attempt(request, *target);
        if (const auto* wait = std::get_if<wait_for_slot>(&decision))
            return enqueue(request, wait->reason);
        const auto& refusal = std::get<refuse_request>(decision);
        if (refusal.reason.no_allowed_upstream)
            counters.count("requests_outside_regions_total");
        if (request.possible_runs > 0)
            return give_up(request,
                           exchange_log::not_resent_reason(refusal.reason));
        refuse(request, refusal);
    }

    /*! @brief Asks the crash guard whether a request may be sent.
     * @return Whether it may be placed now; otherwise it was queued or
     * answered. */
    bool passes_crash_guard(exchange& request, time_point now)
    {
        auto permission =
            check_prompt_parts(guard, open_requests, request, now);
        if (permission.verdict == crash_verdict::send)
            permission = check_content(guard, open_requests, request, now);
        if (permission.verdict == crash_verdict::quarantined)
            refuse_quarantined(request, permission);
        if (permission.verdict == crash_verdict::wait)
            queue_suspect(request, now);
        return permission.verdict == crash_verdict::send;
    }

    /*! @brief Refuses a request that is quarantined, or whose trial is run
     * elsewhere or has failed. If one of its attempts may have run, `give_up()`
     * sends the final response. */
    void refuse_quarantined(exchange& request,
                            const crash_permission& permission)
    {
        counters.count("requests_turned_away_total");
        if (request.possible_runs > 0)
            return give_up(request, quarantine_reason);
        const auto left =
            std::max(permission.quarantine_left, options.trial_retry_after);
        exchange_log::refused_quarantined(request, left, permission.part);
        send_refusal(request, left);
    }

    /*! @brief Queues a copy of a suspect while another copy runs, since each
     * may crash an upstream and the first result shows whether the request is
     * harmful. Refuses it after `suspect_queue_time`, unless an attempt may
     * have run. */
    void queue_suspect(exchange& request, time_point now)
    {
        if (now - request.arrived_at < options.suspect_queue_time ||
            request.possible_runs > 0)
            return enqueue(request, {});
        refuse(request, {{}, default_retry_after()});
    }

    /*! @brief Cancels copies of a quarantined request, and requests with a
     * quarantined part of a prompt, that have not returned an event. A copy
     * that streams goes on: a complete response would show that the request is
     * harmless. */
    void on_quarantined(const request_content& content)
    {
        const auto may_cancel = [&](const exchange& request)
        {
            return request.attempt.in_flight && !request.attempt.has_events &&
                   is_quarantined_by(request, content);
        };
        for (const auto number : open_requests.numbers_of(may_cancel))
            open_requests.with(number, [this](exchange& request)
                               { cancel_quarantined(request); });
        // These are refused.
        const auto waits = [&](const exchange& request)
        { return request.queued && is_quarantined_by(request, content); };
        for (const auto number : open_requests.numbers_of(waits))
            open_requests.with(number,
                               [this](exchange& request) { place(request); });
    }

    /*! @brief Cancels the attempts of a quarantined request, except a silent
     * one that has returned events. */
    void cancel_quarantined(exchange& request)
    {
        closer.cancel(request, request.attempt);
        ++request.possible_runs;
        if (request.silent_attempt && request.silent_attempt->has_events)
        {
            closer.restore_silent(request);
            return arm_silence_timer(request);
        }
        closer.cancel_silent(request);
        give_up(request, quarantine_reason);
    }

    [[nodiscard]] placement_request placement_of(const exchange& request,
                                                 time_point now) const
    {
        return make_placement_request(
            request, minimums,
            upstreams_of_suspects(guard, open_requests, request, now), now);
    }

    void enqueue(exchange& request, const placement_failure& reason)
    {
        if (request.queued)
            return;
        request.queued = true;
        waiting.push(exchange_facts::queue_entry(request));
        exchange_log::enqueued(request, reason);
        intake.count_held_back(reason, "waits");
    }

    void refuse(exchange& request, const refuse_request& refusal)
    {
        exchange_log::refused(request, refusal.reason, refusal.retry_after);
        intake.count_held_back(refusal.reason, "refused");
        request_metrics::count_refusal(counters, request, refusal.reason);
        send_refusal(request, refusal.retry_after);
    }

    /*! @brief Sends 503 as the final response of a request that did not run. */
    void send_refusal(exchange& request, milliseconds retry_after)
    {
        counters.count("requests_refused_total", 1, {{"status", "503"}});
        request.reply.send(503, Codec::refusal_headers(retry_after), "");
        record_refusal(request, retry_after);
        erase(request);
    }

    /*! @brief Records a final response that a client retry is expected after: a
     * refusal, or the failure of a repeatable request. It is sent to the other
     * entries of the hall, and the one that receives the client retry counts
     * the time already waited. */
    void record_refusal(const exchange& request, milliseconds retry_after)
    {
        const auto now = event_loop::now();
        decisions.record_refusal(
            exchange_facts::refusal_of(request, retry_after, now), now);
    }

    // --- One attempt -----------------------------------------------------

    /*! @brief Sends a request to an upstream, unless its caller has left.
     * @param keeps_silent Whether its attempt at a silent upstream goes on. */
    void start_attempt(exchange& request, const send_to& target,
                       bool keeps_silent = false)
    {
        if (!is_caller_present(request))
            return;
        if (keeps_silent)
        {
            request.silent_attempt = request.attempt;
            counters.count("attempts_hedged_total");
        }
        const auto& choice = target.choice;
        const auto now = event_loop::now();
        dequeue(request);
        auto events = std::move(request.attempt.events);
        events.discard_incomplete();
        request.attempt = {};
        request.attempt.id = ++last_attempt_id;
        request.attempt.choice = choice;
        request.attempt.sent_at = now;
        request.attempt.events = std::move(events);
        request.attempt.in_flight = true;
        request.connection_was_stale = false;
        request.attempt.retry = std::move(request.paid_retry);
        if (request.attempt.retry)
            request.attempt.retry->set_sent(true);
        request.tried_upstreams.push_back(choice.upstream);
        const auto left = time_left(request, now);
        attempt_metadata metadata;
        metadata.upstream = choice.upstream;
        metadata.organisation = request.organisation;
        metadata.time_left = left;
        metadata.expected_version = choice.version;
        metadata.last_event_id = request.attempt.events.last_id()
                                     ? request.attempt.events.last_id()
                                     : request.decoded.last_event_id;
        metadata.priority = target.rank;
        stream_call call;
        call.address = choice.address;
        call.method = request.original.method;
        call.target = request.original.target;
        call.headers = Codec::attempt_headers(request.original, metadata);
        call.body = request.original.body;
        choose_connection(call, request, minimums, options, book.entry_count(),
                          now);
        book.begin_attempt(choice.upstream, request.attempt.id,
                           request.decoded.prompt_tokens, now,
                           choice.profiled_ms());
        const auto& upstream = *book.find(choice.upstream);
        request_metrics::count_attempt(counters, upstream, now);
        exchange_log::sent(request, left, upstream.last_heard_at());
        request.attempt.call =
            client.start(std::move(call),
                         make_callbacks(request.number, request.attempt.id));
        arm_silence_timer(request);
    }

    /*! @brief Returns whether the caller of a request is still there; to be
     * asked before anything is sent for it. Its close may be in the kernel for
     * long when the loop is behind. If it has left, the request has ended. */
    [[nodiscard]] bool is_caller_present(exchange& request)
    {
        if (request.reply.check_connected())
            return true;
        counters.count("callers_left_before_sending_total");
        return false;
    }

    /*! @brief Checks an attempt whose connection is up before it is written: it
     * was placed some time ago. */
    void on_connected(exchange& request, std::uint64_t attempt,
                      stream_call& call)
    {
        if (!is_caller_present(request))
            return;
        const auto now = event_loop::now();
        if (now >= silence_rules::ends_at(request, options))
            return on_deadline(request.number);
        const bool silent = attempt_closer::is_silent_attempt(request, attempt);
        const auto obstacle = check_send(
            request, silent ? *request.silent_attempt : request.attempt, book,
            minimums, now);
        if (obstacle != send_obstacle::none)
            return withdraw(request, silent, obstacle);
        Codec::assign_time_left(call.headers, time_left(request, now));
    }

    /*! @brief Takes back an attempt that was not written, and places its
     * request again unless another attempt goes on. */
    void withdraw(exchange& request, bool silent, send_obstacle obstacle)
    {
        closer.withdraw(request,
                        silent ? *request.silent_attempt : request.attempt,
                        obstacle);
        if (silent)
            return request.silent_attempt.reset();
        request.silence_timer.stop();
        take_back_retry(request, attempt_failure::not_sent);
        if (!request.silent_attempt)
            return place(request);
        request.paid_retry.reset();
        request.hedged = false;
        closer.restore_silent(request);
        arm_silence_timer(request);
    }

    /*! @brief Returns how long the caller of a request still waits. */
    [[nodiscard]] static milliseconds time_left(const exchange& request,
                                                time_point now)
    {
        return std::max(
            std::chrono::duration_cast<milliseconds>(request.deadline - now),
            milliseconds(1));
    }

    stream_client::callbacks make_callbacks(std::uint64_t number,
                                            std::uint64_t attempt)
    {
        stream_client::callbacks handlers;
        handlers.connected = [this, number, attempt](stream_call& call)
        {
            open_requests.with(number, [&](exchange& request)
                               { on_connected(request, attempt, call); });
        };
        handlers.head = [this, number, attempt](const stream_head& head)
        {
            open_requests.with(number, [&](exchange& request)
                               { on_head(request, attempt, head); });
        };
        handlers.data = [this, number, attempt](std::string_view bytes)
        {
            open_requests.with(number, [&](exchange& request)
                               { on_data(request, attempt, bytes); });
        };
        handlers.ended =
            [this, number, attempt](stream_end end, const std::string& reason)
        {
            open_requests.with(number, [&](exchange& request)
                               { on_end(request, attempt, end, reason); });
        };
        return handlers;
    }

    // --- Silence ---------------------------------------------------------

    /*! @brief Starts the timer of a stream for the next time at which its
     * attempts have to be checked. */
    void arm_silence_timer(exchange& request)
    {
        if (!silence_rules::apply_to(request))
            return;
        const auto now = event_loop::now();
        const auto due = std::min(
            {silence_rules::next_check(request, minimums, options, now),
             std::max<time_point>(hedge_inputs::next_check(request, now), now),
             std::max<time_point>(event_gap::exceeded_at(request), now)});
        request.silence_timer =
            loop.after(due - now,
                       [this, number = request.number]
                       {
                           open_requests.with(number, [this](exchange& found)
                                              { check_silence(found); });
                       });
    }

    /*! @brief Returns whether an attempt must not start to run any more. */
    [[nodiscard]] bool is_past_start(const exchange& request,
                                     const upstream_attempt& attempt,
                                     time_point now) const
    {
        return silence_rules::start_limit(request, attempt, minimums,
                                          options) <= now;
    }

    /*! @brief Ends attempts that must not start any more or are given up, and
     * looks for another upstream while the current one is silent. */
    void check_silence(exchange& request)
    {
        const auto now = event_loop::now();
        constexpr const char* superseded =
            "model version was superseded before the first event";
        if (request.silent_attempt &&
            is_past_start(request, *request.silent_attempt, now))
            closer.time_out_silent(request, superseded);
        if (is_past_start(request, request.attempt, now))
            return time_out(request, superseded);
        if (event_gap::exceeded_at(request) <= now)
            on_event_gap(request, now);
        if (request.silent_attempt)
            mark_if_silent(request, *request.silent_attempt, now);
        mark_if_silent(request, request.attempt, now);
        if (request.silent_attempt &&
            is_given_up(request, *request.silent_attempt, now))
            closer.time_out_silent(request, no_event_in_time);
        if (is_given_up(request, request.attempt, now))
            return time_out(request, no_event_in_time);
        if (request.attempt.silent)
            on_silence(request, now);
        else
            check_overdue(request, now);
        arm_silence_timer(request);
    }

    void mark_if_silent(const exchange& request, upstream_attempt& attempt,
                        time_point now)
    {
        if (silence_rules::silent_from(request, attempt, options) <= now)
            closer.mark_silent(request, attempt, now);
    }

    [[nodiscard]] bool is_given_up(const exchange& request,
                                   const upstream_attempt& attempt,
                                   time_point now) const
    {
        const auto* known = book.find(attempt.choice.upstream);
        return silence_rules::is_given_up(
            request, attempt,
            known != nullptr && upstream_registry::side_silent(*known, now),
            options, now);
    }

    /*! @brief Ends the current attempt because nothing arrived in time. */
    void time_out(exchange& request, const std::string& reason)
    {
        if (!request.silent_attempt &&
            silence_rules::final_response_due(request, options) <=
                event_loop::now())
            return end_late(request, reason);
        closer.observe_hold(request.attempt, "ended");
        client.cancel(request.attempt.call);
        closer.report_lost(request, request.attempt, loss_cause::timed_out);
        on_attempt_failed(request, attempt_failure::may_have_run, reason);
    }

    /*! @brief Handles an upstream that has been silent for too long. It may be
     * paused and go on, so its attempt is kept until it is given up; another
     * upstream that returns an event earlier takes over. */
    void on_silence(exchange& request, time_point now)
    {
        if (request.silent_attempt)
            return;
        std::optional<send_to> other;
        const auto verdict = find_copy_upstream(request, other, now);
        if (verdict != hedge_verdict::send)
            return note_copy_declined(request, verdict);
        request.failed_at = now;
        send_copy(request, *other);
    }

    /*! @brief Looks for an upstream for a copy of a request whose upstream is
     * silent, and pays for it.
     * @return Whether the copy is sent to `other`, or why it is not. */
    [[nodiscard]] hedge_verdict
    find_copy_upstream(exchange& request, std::optional<send_to>& other,
                       time_point now)
    {
        if (!may_hedge(request, now))
            return hedge_verdict::barred;
        request.upstream_errored = false;
        other =
            decisions.find_upstream(exchange_facts::service_profile_of(request),
                                    placement_of(request, now), now);
        if (!other)
            return hedge_verdict::no_upstream;
        if (silence_rules::is_too_late(request, other->choice, now))
            return hedge_verdict::too_late;
        return pay_for_retry(request, "silence", now)
                   ? hedge_verdict::send
                   : hedge_verdict::over_budget;
    }

    /*! @brief Counts and logs once for each reason why a request stays at its
     * silent upstream alone. */
    void note_copy_declined(exchange& request, hedge_verdict verdict)
    {
        auto& declined = request.attempt.copy_declined;
        if (declined == verdict)
            return;
        declined = verdict;
        counters.count("silent_attempts_alone_total", 1,
                       {{"reason", std::string(verdict_name(verdict))}});
        exchange_log::copy_declined(request, verdict);
    }

    /*! @brief Sends a copy of a request to a second upstream. */
    void send_copy(exchange& request, const send_to& other)
    {
        constexpr bool keeps_silent = true;
        start_attempt(request, other, keeps_silent);
    }

    /*! @brief Sends a copy of a request to a second upstream if its first event
     * is overdue and the other upstream is expected to return it in time. */
    void check_overdue(exchange& request, time_point now)
    {
        if (!hedge_inputs::apply_to(request))
            return;
        const auto& service = exchange_facts::service_profile_of(request);
        const auto& choice = request.attempt.choice;
        const auto* known = book.find(choice.upstream);
        const auto awaited = hedge_inputs::awaited_of(
            request,
            known != nullptr ? choice.profiled_ms() * pace_of(*known, now)
                             : choice.predicted_ms,
            now);
        auto verdict = judge_awaited(
            awaited, decisions.overload_degree(service, now), hedging);
        std::optional<send_to> other;
        if (verdict == hedge_verdict::send)
            verdict = find_second_upstream(request, awaited, other, now);
        const bool declined = verdict != hedge_verdict::send;
        if (verdict == hedge_verdict::in_time ||
            (declined && std::exchange(request.hedge_declined, true)))
            return;
        counters.count("first_event_hedges_total", 1,
                       {{"outcome", std::string(verdict_name(verdict))}});
        if (declined)
            return;
        request.hedged = true;
        exchange_log::hedged(request, awaited, other->choice);
        send_copy(request, *other);
    }

    /*! @brief Looks for an upstream for a copy of a request and spends a part
     * of the retry budget on it.
     * @return Whether the copy is sent to `other`, or why it is not. */
    [[nodiscard]] hedge_verdict
    find_second_upstream(exchange& request, const awaited_first_event& awaited,
                         std::optional<send_to>& other, time_point now)
    {
        if (!may_hedge(request, now) || request.is_trial ||
            guard.is_suspect(request.content, now))
            return hedge_verdict::barred;
        auto placement = placement_of(request, now);
        placement.may_reuse_excluded = false;
        other = decisions.find_spare_upstream(
            exchange_facts::service_profile_of(request), std::move(placement),
            awaited.left_ms(), hedging.max_fill, now);
        if (!other)
            return hedge_verdict::no_upstream;
        return pay_for_retry(request, "overdue", now, hedging.kept_budget)
                   ? hedge_verdict::send
                   : hedge_verdict::over_budget;
    }

    /*! @brief Takes a retry from the budget of the request's service.
     * @param cause Why it is due, for the counters.
     * @param kept Fraction of the budget that is left to other retries.
     * @return Whether the budget allows it. */
    [[nodiscard]] bool pay_for_retry(exchange& request,
                                     const std::string& cause, time_point now,
                                     double kept = 0)
    {
        request.paid_retry = budgets.pay(request.service, now, kept);
        const bool allowed = request.paid_retry != nullptr;
        request_metrics::count_retry(counters, request.service, cause, allowed);
        return allowed;
    }

    /*! @brief Counts and logs a pause that is longer than the route's target.
     * It says of the pace of the upstream what a late first event says. */
    void on_event_gap(exchange& request, time_point now)
    {
        auto& attempt = request.attempt;
        constexpr double ms = 1000;
        attempt.gap_known = true;
        counters.count("event_gaps_exceeded_total");
        book.record_pace(
            attempt.choice.upstream,
            event_gap::usual_ms(request,
                                exchange_facts::service_profile_of(request)),
            to_seconds(now - attempt.last_event_at) * ms, now);
        if (!std::exchange(attempt.gap_logged, true))
            exchange_log::event_gap(request, now);
    }

    /*! @brief Returns whether a request may be at two upstreams at once. A
     * request that may crash upstreams may not. */
    [[nodiscard]] bool may_hedge(const exchange& request, time_point now) const
    {
        return !request.silent_attempt && exchange_facts::may_repeat(request) &&
               request.tried_upstreams.size() < max_total_attempts &&
               guard.may_hedge(request.content, now) &&
               !guard.blocked_part(request.shared_parts);
    }

    // --- Response --------------------------------------------------------

    void on_head(exchange& request, std::uint64_t attempt,
                 const stream_head& head)
    {
        const bool silent = attempt_closer::is_silent_attempt(request, attempt);
        auto& received = silent ? *request.silent_attempt : request.attempt;
        received.response_head = head;
        book.record_response(received.choice.upstream, attempt,
                             event_loop::now());
        if (received.retry)
            received.retry->settle();
        const auto metadata = Codec::decode_response(head);
        const auto* const reason =
            response_rules::distrust(request.decoded.id, head.status, metadata);
        if (reason == nullptr)
            return intake.apply_notice(request, received, metadata.notice,
                                       event_loop::now());
        // Nothing on this connection can be trusted.
        if (silent)
            return closer.end_silent(request, attempt_failure::may_have_run,
                                     reason);
        client.cancel(request.attempt.call);
        // The upstream is sound but for its answer, if that is the request's.
        on_attempt_failed(request,
                          metadata.id == request.decoded.id
                              ? attempt_failure::error_response
                              : attempt_failure::may_have_run,
                          reason);
    }

    void on_data(exchange& request, std::uint64_t attempt,
                 std::string_view bytes)
    {
        const bool silent = attempt_closer::is_silent_attempt(request, attempt);
        auto& receiving = silent ? *request.silent_attempt : request.attempt;
        book.record_response(receiving.choice.upstream, attempt,
                             event_loop::now());
        if (pressure.exceeds_kept(receiving, bytes))
            return on_response_too_large(request, silent);
        if (!exchange_facts::forwards_events(request, receiving))
        {
            receiving.response_body.append(bytes);
            return;
        }
        const auto events = receiving.events.append(bytes);
        if (events.empty())
            return;
        if (silent)
            closer.resume_silent(request);
        else if (request.silent_attempt)
            closer.drop_silent(request);
        closer.observe_hold(request.attempt, "resumed");
        if (!request.attempt.has_events)
            on_first_event(request);
        request.attempt.last_event_at = event_loop::now();
        request.last_progress = request.attempt.last_event_at;
        request.attempt.silent = false;
        request.attempt.gap_known = false;
        begin_response(request);
        request.reply.write(events);
        pressure.pause_if_unread(request);
        arm_silence_timer(request);
    }

    /*! @brief Ends the attempt, as its response is not kept any further. Its
     * upstream may be in trouble and send without end; as one that answers with
     * an error, it is used less but not avoided. */
    void on_response_too_large(exchange& request, bool silent)
    {
        constexpr const char* reason = "response is too large to be kept";
        if (silent)
            return closer.end_silent(request, attempt_failure::may_have_run,
                                     reason);
        client.cancel(request.attempt.call);
        on_attempt_failed(request, attempt_failure::error_response, reason);
    }

    /*! @brief Ends a response that its caller does not read. */
    void cut_unread(exchange& request)
    {
        closer.cancel_all(request);
        request.reply.drop();
        log_failure(request, "unread", "caller did not read the response");
        erase(request);
    }

    void on_first_event(exchange& request)
    {
        request.attempt.has_events = true;
        book.mark_first_event(request.attempt.choice.upstream,
                              request.attempt.id);
        const auto now = event_loop::now();
        const auto took = to_seconds(now - request.attempt.sent_at);
        constexpr double ms = 1000;
        book.record_first_event_time(request.attempt.choice.upstream,
                                     request.attempt.choice.uncorrected_ms,
                                     took * ms);
        book.record_pace(request.attempt.choice.upstream,
                         request.attempt.choice.profiled_ms(), took * ms, now);
        counters.observe("first_event_seconds", took);
        exchange_log::first_event(request, now);
    }

    void begin_response(exchange& request)
    {
        if (request.response_begun)
            return;
        request.response_begun = true;
        request.reply.begin(
            request.attempt.response_head.status,
            Codec::response_headers(request.attempt.response_head));
    }

    void on_end(exchange& request, std::uint64_t attempt, stream_end end,
                const std::string& reason)
    {
        auto& ended = attempt_closer::is_silent_attempt(request, attempt)
                          ? *request.silent_attempt
                          : request.attempt;
        ended.response_end = end;
        closer.count_end(ended);
        const auto verdict = judge(response_rules::describe_end(
            request, ended, Codec::decode_response(ended.response_head),
            book.find(ended.choice.upstream)));
        if (verdict == end_verdict::unconfirmed)
            return probe_after_end(request, ended);
        conclude_attempt(request, attempt, verdict,
                         reason.empty() ? "stream ended inside an event"
                                        : reason);
    }

    /*! @brief Finds out whether an upstream crashed when it ended the
     * connection of a response that nothing else delimits. */
    void probe_after_end(exchange& request, const upstream_attempt& ended)
    {
        counters.count("upstream_responses_probed_total");
        if (!attempt_closer::is_silent_attempt(request, ended.id))
            request.silence_timer.stop();
        client.probe(
            ended.choice.address,
            [this, number = request.number, attempt = ended.id](bool refused)
            {
                open_requests.with(
                    number,
                    [&](exchange& found)
                    {
                        if (attempt_closer::is_in_flight(found, attempt))
                            conclude_attempt(
                                found, attempt, confirm(refused),
                                "upstream refuses connections after the "
                                "response ended");
                    });
            });
    }

    /*! @brief Acts on the end of an attempt. */
    void conclude_attempt(exchange& request, std::uint64_t attempt,
                          end_verdict verdict, const std::string& reason)
    {
        if (attempt_closer::is_silent_attempt(request, attempt))
        {
            if (verdict != end_verdict::complete ||
                !response_rules::is_final(
                    request, *request.silent_attempt,
                    Codec::decode_response(
                        request.silent_attempt->response_head)))
                return on_silent_attempt_lost(request, verdict, reason);
            closer.resume_silent(request);
        }
        if (response_rules::may_be_crash(verdict))
            closer.report_lost(request, request.attempt, loss_cause::closed);
        if (verdict != end_verdict::complete)
            return on_attempt_failed(
                request, response_rules::failure_of(verdict), reason);
        const auto metadata =
            Codec::decode_response(request.attempt.response_head);
        if (metadata.not_run)
            return on_attempt_failed(
                request, attempt_failure::not_run,
                "upstream did not run the request (" +
                    std::to_string(request.attempt.response_head.status) + ")");
        if (metadata.id != request.decoded.id)
            return on_attempt_failed(request, attempt_failure::may_have_run,
                                     "response carries another request's id");
        if (exchange_facts::forwards_events(request, request.attempt))
            return finish_stream(request);
        on_response(request);
    }

    /*! @brief Handles a silent attempt that ended without the rest of the
     * stream. */
    void on_silent_attempt_lost(exchange& request, end_verdict verdict,
                                const std::string& reason)
    {
        auto& silent = *request.silent_attempt;
        if (verdict == end_verdict::complete)
        {
            const auto metadata = Codec::decode_response(silent.response_head);
            response_rules::keep_error_response(request, silent, metadata);
            return closer.end_silent(
                request,
                metadata.not_run ? attempt_failure::not_run
                                 : attempt_failure::may_have_run,
                "upstream answered " +
                    std::to_string(silent.response_head.status));
        }
        if (response_rules::may_be_crash(verdict))
            closer.report_lost(request, silent, loss_cause::closed);
        closer.end_silent(request, response_rules::failure_of(verdict), reason);
    }

    void finish_stream(exchange& request)
    {
        const auto empty_lines = request.attempt.events.incomplete();
        begin_response(request);
        request.reply.write(empty_lines);
        request.reply.finish();
        complete(request, true, "answered");
    }

    /*! @brief Handles a complete response that is not forwarded as a stream of
     * events. */
    void on_response(exchange& request)
    {
        const int status = request.attempt.response_head.status;
        if (status >= response_rules::server_error && !request.response_begun &&
            exchange_facts::may_repeat(request))
        {
            response_rules::keep_error_response(
                request, request.attempt,
                Codec::decode_response(request.attempt.response_head));
            return on_attempt_failed(request, attempt_failure::error_response,
                                     "upstream answered " +
                                         std::to_string(status));
        }
        if (request.response_begun)
        {
            const auto reason = "upstream answered " + std::to_string(status) +
                                " to an attempt to continue a stream";
            if (request.silent_attempt)
                return on_attempt_failed(
                    request, attempt_failure::error_response, reason);
            return abort_response(request, reason);
        }
        // The upstream has not stated here that the request did not run
        // (on_end() handles those that do), so 502 is sent.
        if (response_rules::promises_not_run(status))
        {
            const auto reason = "upstream answered " + std::to_string(status) +
                                " without stating that the request did not run";
            if (request.silent_attempt)
                return on_attempt_failed(request, attempt_failure::may_have_run,
                                         reason);
            request.reply.send(502, {}, "");
            return complete(request, false, reason);
        }
        request.reply.send(
            status, Codec::response_headers(request.attempt.response_head),
            request.attempt.response_body);
        complete(request, status < response_rules::server_error, "answered");
    }

    // --- Failure ---------------------------------------------------------

    /*! @brief Handles a failed attempt: sends the request again where the route
     * and the retry budget allow it, or the final response otherwise. */
    void on_attempt_failed(exchange& request, attempt_failure failure,
                           const std::string& reason)
    {
        const auto now = event_loop::now();
        const bool possible_run = may_have_run(failure);
        request.silence_timer.stop();
        request.attempt.in_flight = false;
        request.upstream_errored = failure == attempt_failure::error_response;
        request.connection_was_stale =
            failure == attempt_failure::stale_connection;
        book.end_attempt(request.attempt.choice.upstream, request.attempt.id,
                         attempt_closer::result_of(failure), now);
        closer.count_failed(possible_run);
        const bool may_resend =
            possible_run ? exchange_facts::may_repeat(request)
                         : request.tried_upstreams.size() < max_total_attempts;
        request.failed_at = now;
        if (possible_run)
            ++request.possible_runs;
        if (request.silent_attempt)
            return fall_back(request, possible_run, reason);
        take_back_retry(request, failure);
        // An attempt that was never sent adds no load, so it needs no budget.
        const bool resending =
            may_resend && (failure == attempt_failure::not_sent ||
                           pay_for_retry(request, "failure", now));
        exchange_log::attempt_failed(request, request.attempt, reason,
                                     possible_run, resending, now);
        if (resending)
            return place(request);
        give_up(request, may_resend ? "retry budget is exhausted" : reason);
    }

    /*! @brief Ends the retry that paid for a failed attempt. If the attempt was
     * never sent, the request keeps the retry. */
    static void take_back_retry(exchange& request, attempt_failure failure)
    {
        auto retry = std::move(request.attempt.retry);
        if (!retry || failure != attempt_failure::not_sent)
            return;
        retry->set_sent(false);
        request.paid_retry = std::move(retry);
    }

    /*! @brief Waits for the silent attempt alone after the other one failed. */
    void fall_back(exchange& request, bool may_have_run,
                   const std::string& reason)
    {
        exchange_log::attempt_failed(request, request.attempt, reason,
                                     may_have_run, false, event_loop::now());
        closer.restore_silent(request);
        arm_silence_timer(request);
    }

    /*! @brief Returns the Retry-After time for refusals that are not due to
     * overload. */
    [[nodiscard]] milliseconds default_retry_after() const
    {
        return options.dispatch.admission.min_retry_after;
    }

    /*! @brief Sends the final response when no further attempt is possible. */
    void give_up(exchange& request, const std::string& reason)
    {
        if (request.response_begun)
            return abort_response(request, reason);
        if (forward_kept_error(request, reason))
            return;
        const bool not_run = request.possible_runs == 0;
        request.reply.send(not_run ? 503 : 502,
                           not_run
                               ? Codec::refusal_headers(default_retry_after())
                               : header_list{},
                           "");
        if (not_run || request.route->repeatable())
            record_refusal(request,
                           not_run ? default_retry_after() : milliseconds(0));
        log_failure(request, not_run ? "not run" : "unknown", reason);
        erase(request);
    }

    /*! @brief Forwards the server error that was kept of an earlier attempt.
     * @return False if there is none. */
    bool forward_kept_error(exchange& request, const std::string& reason)
    {
        // A 503 would promise that the request did not run.
        if (!request.error_response_head ||
            request.error_response_head->status == 503)
            return false;
        request.reply.send(
            request.error_response_head->status,
            Codec::response_headers(*request.error_response_head),
            request.error_response_body);
        log_failure(request, "failed", reason);
        erase(request);
        return true;
    }

    void abort_response(exchange& request, const std::string& reason)
    {
        request.reply.cut();
        log_failure(request, "cut", reason);
        erase(request);
    }

    void on_deadline(std::uint64_t number)
    {
        open_requests.with(number,
                           [this](exchange& request)
                           {
                               request_metrics::count_left_at_silent(
                                   counters, request, book, "deadline",
                                   event_loop::now());
                               end_late(request, "deadline exceeded");
                           });
    }

    /*! @brief Sends the final response of a request for which no time is left.
     */
    void end_late(exchange& request, const std::string& reason)
    {
        closer.cancel_all(request);
        if (request.response_begun)
            return abort_response(request, reason);
        if (forward_kept_error(request, reason))
            return;
        const bool not_run = request.tried_upstreams.empty();
        request.reply.send(not_run ? 503 : 504,
                           not_run
                               ? Codec::refusal_headers(default_retry_after())
                               : header_list{},
                           "");
        // The caller of a stream may return, if its own deadline has not
        // passed.
        if (request.route->repeatable() && event_loop::now() < request.deadline)
            record_refusal(request, milliseconds(0));
        log_failure(request, "late", reason);
        erase(request);
    }

    void on_caller_left(std::uint64_t number)
    {
        open_requests.with(
            number,
            [&](exchange& request)
            {
                request_metrics::count_caller_left(counters, request,
                                                   event_loop::now());
                request_metrics::count_left_at_silent(
                    counters, request, book, "caller_left", event_loop::now());
                closer.cancel_all(request);
                log_failure(request, "cancelled", "caller disconnected");
                erase(request);
            });
    }

    // --- End -------------------------------------------------------------

    void complete(exchange& request, bool succeeded,
                  const std::string& description)
    {
        if (succeeded)
            guard.record_response(request.content, request.shared_parts);
        book.end_attempt(request.attempt.choice.upstream, request.attempt.id,
                         succeeded ? attempt_result::succeeded
                                   : attempt_result::answered_failure,
                         event_loop::now());
        request_metrics::count_answer(counters, request);
        exchange_log::answered(request, description, event_loop::now());
        erase(request);
    }

    void log_failure(exchange& request, std::string_view outcome,
                     const std::string& reason)
    {
        counters.count("requests_failed_total", 1,
                       {{"outcome", std::string(outcome)}});
        exchange_log::failed(request, outcome, reason, event_loop::now());
    }

    void dequeue(exchange& request)
    {
        if (!request.queued)
            return;
        request.queued = false;
        waiting.erase(exchange_facts::queue_entry(request));
    }

    void erase(exchange& request)
    {
        dequeue(request);
        closer.cancel_silent(request);
        request.deadline_timer.stop();
        request.silence_timer.stop();
        open_requests.erase(request.number);
    }

    static constexpr const char* no_event_in_time =
        "no event from the upstream in time";

    static constexpr const char* quarantine_reason =
        "the request or a part of its prompt is quarantined: upstreams crashed "
        "while running it";

    /*! @brief Maximum number of attempts of a request, including attempts that
     * provably did not run. */
    static constexpr std::size_t max_total_attempts = 3;

    event_loop& loop;
    stream_client& client;
    upstream_registry& book;
    metrics& counters;
    dispatcher decisions;
    exchange_options options;
    hedge_options hedging;
    crash_guard guard;
    attempt_closer closer;
    version_floor minimums;
    std::shared_ptr<const installation> configuration;
    open_exchanges open_requests;
    back_pressure pressure;
    placement_queue waiting;
    notice_intake intake;
    retry_budgets budgets;
    std::function<void()> refusals_callback;
    std::uint64_t last_number{0};
    std::uint64_t last_attempt_id{0};
    bool configuration_outdated{false};
    timer queue_timer;
};

} // namespace coursejunction

#endif
