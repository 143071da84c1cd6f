#include "coursejunction/daemon/request_service.hpp"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "coursejunction/core/log.hpp"
#include "coursejunction/core/rendezvous.hpp"
#include "coursejunction/daemon/entry_request.hpp"
#include "coursejunction/daemon/internal/live_request.hpp"
#include "coursejunction/daemon/internal/live_upstreams.hpp"
#include "coursejunction/daemon/internal/replicated_claims.hpp"
#include "coursejunction/daemon/internal/response_writer.hpp"
#include "coursejunction/daemon/internal/retry_policy.hpp"
#include "coursejunction/daemon/internal/service_times.hpp"
#include "coursejunction/daemon/node.hpp"
#include "coursejunction/route/fair_queue.hpp"

namespace coursejunction
{

namespace internal
{

/*! @brief Maximum size in bytes of a response that is buffered whole before
 * it is sent to the caller. */
constexpr std::size_t max_buffered_response = std::size_t{32} << 20U;

/*! @brief HTTP status of a quarantined request: a client retry is refused
 * again until the Retry-After time of the response has passed. */
constexpr int quarantined_status = 422;

/*! @brief How long a copy of a suspect request waits after its arrival
 * while another copy of it runs; the same as in exchange_options. */
constexpr milliseconds suspect_wait{250};

/*! @brief Retry-After for a request on trial; the same as in
 * exchange_options. */
constexpr milliseconds trial_retry_after{1000};

/*! @brief Retry-After when no upstream serves the model. */
constexpr milliseconds no_upstream_retry_after{1000};

} // namespace internal

struct request_service::implementation
{
    using queue_key = std::pair<std::string, std::string>;
    using live_request = internal::live_request;
    using attempt_failure = internal::attempt_failure;
    using request_pointer = internal::live_request_pointer;

    explicit implementation(node& owner)
        : host(owner), upstreams(owner.settings()), claims(owner),
          responses(owner, claims)
    {
    }

    static time_point now() { return event_loop::now(); }

    // Arrival.

    void handle_request(http_request incoming,
                        const std::shared_ptr<http_reply>& reply)
    {
        auto parsed =
            parse_entry_request(incoming, host.settings().default_deadline);
        if (!parsed)
            return internal::response_writer::reject_input(
                reply, parsed.error().message);
        auto request = std::make_shared<live_request>();
        static_cast<entry_request&>(*request) = std::move(parsed.value());
        request->reply = reply;
        request->content = request_content::of(request->organisation.value(),
                                               request->path, request->body);
        request->arrived_at = now();
        request->deadline = request->arrived_at + request->timeout;
        if (host.is_leaving() && host.leaving_for() > accept_while_leaving)
            return refuse(request, 503, "this entry is shutting down",
                          milliseconds(100));
        if (live_requests.size() >= host.settings().max_streams)
            return refuse(request, 503, "too many requests in progress",
                          milliseconds(500));
        request->stream = ++last_stream;
        host.counters().count("requests_total");
        retries.record_request();
        live_requests.emplace(request->stream, request);
        reply->on_disconnect(
            [this, stream = request->stream] {
                host.loop().post([this, stream] { handle_disconnect(stream); });
            });
        dispatch_or_queue(request);
    }

    // Queue and routing.

    static queue_key key_of(const route_request& route)
    {
        return {route.kind, route.model};
    }

    fair_queue& queue_of(const route_request& route)
    {
        const auto key = key_of(route);
        const auto found = queues.find(key);
        if (found != queues.end())
            return found->second;
        return queues.emplace(key, fair_queue(host.settings().queue_limit))
            .first->second;
    }

    /*! @brief Dispatches a request immediately, queues it, or refuses it when
     * no upstream serves it or no slot is expected before its deadline. */
    void dispatch_or_queue(const request_pointer& request)
    {
        if (withhold_suspect(request))
            return;
        // Model names come from callers: a queue is created only for a model
        // that is served, so that requests cannot create queues without end.
        if (!upstreams.is_served(request->route, now()))
            return refuse(request, unserved_status(*request),
                          "no upstream serves " + request->route.model,
                          internal::no_upstream_retry_after);
        auto& queue = queue_of(request->route);
        if (queue.empty())
        {
            if (const auto to = upstreams.choose(request->route, now()))
            {
                queue.charge(request->organisation);
                return dispatch(request, *to);
            }
        }
        const auto verdict =
            queue.offer({request->stream, request->organisation,
                         request->priority, request->deadline},
                        estimates[key_of(request->route)], now());
        if (!verdict.accepted)
        {
            host.counters().count("requests_refused_total");
            return refuse(request, 429,
                          "no free slot expected before the deadline",
                          verdict.retry_after);
        }
        host.counters().count("requests_queued_total");
    }

    /*! @brief Limits how many copies of a request run at the same time when
     * upstreams have crashed under it.
     * @return Whether the request was refused or held; false when it may be
     * dispatched now. */
    bool withhold_suspect(const request_pointer& request)
    {
        const auto status = host.crashes().status(request->content, now());
        if (status == crash_status::clear)
            return false;
        const bool on_trial = status == crash_status::on_trial;
        const auto max_running = host.crashes().max_running(
            request->content,
            on_trial &&
                host.crashes().may_run_trial(
                    request->content, trial_rank(request->content), now()),
            now());
        // A trial is a single attempt whose failure may already be its result:
        // a request on trial that may have run is not sent again.
        if (max_running == 0 || (on_trial && request->may_have_run))
            refuse_quarantined(request);
        else if (running_copies(*request) < max_running)
            return false;
        else if (now() - request->arrived_at < internal::suspect_wait ||
                 request->may_have_run)
            held_requests.push_back(request->stream);
        else
            refuse(request, 503, "another copy of the request is running",
                   internal::suspect_wait);
        return true;
    }

    /*! @brief Returns the place of this entry among those that run the trials
     * of a request: the usable ones by rendezvous hashing. */
    [[nodiscard]] std::size_t trial_rank(const request_content& content) const
    {
        const auto& members = host.members();
        std::vector<instance_id> entries;
        for (const auto& [id, member] : members.all())
        {
            if (member.kind == role::entry && members.usable(id, now()))
                entries.push_back(id);
        }
        const auto ranked =
            rendezvous_rank(content.hex(), entries, entries.size());
        const auto own =
            std::find(ranked.begin(), ranked.end(), host.settings().instance);
        return static_cast<std::size_t>(own - ranked.begin());
    }

    [[nodiscard]] std::size_t running_copies(const live_request& request) const
    {
        return static_cast<std::size_t>(
            std::count_if(live_requests.begin(), live_requests.end(),
                          [&](const auto& other)
                          {
                              return other.first != request.stream &&
                                     other.second->attempt_running &&
                                     other.second->content == request.content;
                          }));
    }

    /*! @brief Sends held requests again where they may run now; those past
     * their deadline are refused. */
    void resend_held()
    {
        for (const auto stream : std::exchange(held_requests, {}))
        {
            const auto found = live_requests.find(stream);
            if (found == live_requests.end())
                continue;
            const auto request = found->second;
            if (request->deadline <= now())
                refuse(request, 504, "the deadline has passed",
                       milliseconds(0));
            else
                resend(request);
        }
    }

    /*! @brief Sends the final response to a request that is quarantined. */
    void refuse_quarantined(const request_pointer& request)
    {
        host.counters().count("requests_turned_away_total");
        log::problem("request_turned_away",
                     {{"request", request->id.value()},
                      {"content", request->content.hex()}});
        refuse(request, internal::quarantined_status,
               "the request is quarantined: upstreams crashed while running it",
               std::max(host.crashes().records().quarantine_left(
                            request->content, now()),
                        internal::trial_retry_after));
    }

    /*! @brief Returns the HTTP status for a model that no upstream serves: 503
     * when it is deployed or was reported before, else 404. */
    int unserved_status(const live_request& request) const
    {
        const auto& specs = host.view().current().deployments();
        const bool known =
            std::any_of(specs.begin(), specs.end(),
                        [&](const auto& spec)
                        { return spec.second.model == request.route.model; });
        return known || upstreams.has_reported_model(request.route.model) ? 503
                                                                          : 404;
    }

    void dispatch_queued()
    {
        for (auto& [key, queue] : queues)
        {
            while (!queue.empty() && dispatch_next(queue))
            {
            }
        }
    }

    /*! @brief Takes the first request, in service order of the organisations,
     * that can be dispatched, is withheld or has ended already.
     * @return Whether a request was taken from the queue. */
    bool dispatch_next(fair_queue& queue)
    {
        for (const auto& organisation : queue.service_order())
        {
            const auto* front = queue.front(organisation);
            const auto found = live_requests.find(front->number);
            if (found == live_requests.end())
            {
                queue.pop(organisation);
                return true;
            }
            const auto request = found->second;
            if (withhold_suspect(request))
            {
                queue.pop(organisation);
                return true;
            }
            const auto to = upstreams.choose(request->route, now());
            if (!to)
                continue;
            queue.pop(organisation);
            queue.record_dispatch(organisation, now());
            dispatch(request, *to);
            return true;
        }
        return false;
    }

    // Attempts.

    void dispatch(const request_pointer& request, const instance_id& to)
    {
        request->upstream = to;
        request->attempt_running = true;
        request->attempt_started_at = now();
        ++request->attempt;
        request->received_parts = 0;
        request->buffered_body.clear();
        request->events.discard_partial();
        upstreams.begin_request(to);
        if (!host.send(to, make_dispatch(*request, time_left(*request)),
                       request->body))
            handle_failed_attempt(
                request, {outcome::not_run, refusal::unreachable, 503,
                          "no connection to the sidecar", milliseconds(100)});
    }

    static milliseconds time_left(const live_request& request)
    {
        return std::chrono::duration_cast<milliseconds>(request.deadline -
                                                        now());
    }

    void release_upstream(const request_pointer& request)
    {
        if (!request->attempt_running)
            return;
        request->attempt_running = false;
        upstreams.end_request(request->upstream);
    }

    request_pointer find_attempt(const instance_id& from, std::uint64_t stream,
                                 std::uint32_t attempt)
    {
        const auto found = live_requests.find(stream);
        if (found == live_requests.end() || found->second->attempt != attempt ||
            found->second->upstream != from || !found->second->attempt_running)
        {
            // The frame belongs to an attempt that was cancelled or replaced.
            host.counters().count("late_frames_total");
            return nullptr;
        }
        return found->second;
    }

    void handle_part(const instance_id& from, const message::answer_part& head,
                     const std::string& bytes)
    {
        const auto request = find_attempt(from, head.stream, head.attempt);
        if (!request)
            return;
        if (head.index != request->received_parts ||
            request->buffered_body.size() + bytes.size() >
                internal::max_buffered_response)
            return fail_attempt(
                request,
                "parts of the response are missing or it is too large");
        ++request->received_parts;
        if (!request->streamed)
        {
            request->buffered_body += bytes;
            return;
        }
        forward_events(request, request->events.feed(bytes));
    }

    void forward_events(const request_pointer& request,
                        const std::string& whole_events)
    {
        if (whole_events.empty())
            return;
        if (!request->stream_begun)
        {
            const auto* weights = upstreams.served_version(request->upstream);
            if (weights != nullptr)
                request->route.weights = *weights;
            responses.begin_stream(*request);
        }
        responses.write_events(request, whole_events);
    }

    void fail_attempt(const request_pointer& request, const std::string& reason)
    {
        cancel(request);
        handle_failed_attempt(request, {outcome::unknown, refusal::none, 502,
                                        reason, milliseconds(0)});
    }

    void cancel(const request_pointer& request)
    {
        message::cancel cancel;
        cancel.stream = request->stream;
        cancel.attempt = request->attempt;
        host.send(request->upstream, cancel);
    }

    void handle_end(const instance_id& from, const message::answer_end& head)
    {
        const auto request = find_attempt(from, head.stream, head.attempt);
        if (!request)
            return;
        if (head.result == outcome::answered &&
            (head.parts != request->received_parts ||
             !request->events.at_boundary()))
            return fail_attempt(request, "parts of the response are missing");
        if (head.result == outcome::answered)
            return complete(request, head);
        handle_failed_attempt(request,
                              {head.result, head.refused, head.status,
                               head.reason, milliseconds(head.retry_after_ms)});
    }

    void complete(const request_pointer& request,
                  const message::answer_end& head)
    {
        const auto took = now() - request->attempt_started_at;
        upstreams.record_success(
            request->upstream,
            std::chrono::duration_cast<std::chrono::microseconds>(took));
        host.crashes().record_response(request->content, now());
        estimates.add_sample(key_of(request->route), to_seconds(took));
        queue_of(request->route).record_completion(now());
        release_upstream(request);
        live_requests.erase(request->stream);
        responses.finish_answered(*request, head);
        dispatch_queued();
    }

    /*! @brief Handles an attempt that ended without a response: the request
     * goes to another upstream where the retry policy allows it, else the
     * failure is its final response. */
    void handle_failed_attempt(const request_pointer& request,
                               const attempt_failure& end)
    {
        release_upstream(request);
        request->may_have_run =
            request->may_have_run || end.result == outcome::unknown;
        upstreams.record_failure(request->upstream, end.refused, now());
        request->route.excluded.push_back(request->upstream);
        if (retries.allows(*request, end, time_left(*request)))
        {
            host.counters().count("retries_total");
            return resend(request);
        }
        live_requests.erase(request->stream);
        responses.finish_failed(request, end);
        dispatch_queued();
    }

    /*! @brief Sends a request to another upstream, or queues it. A stream that
     * has begun is cut rather than queued: by the time a slot is free, no
     * upstream may serve its weights any more. */
    void resend(const request_pointer& request)
    {
        if (withhold_suspect(request))
            return;
        if (const auto to = upstreams.choose(request->route, now()))
            return dispatch(request, *to);
        if (request->stream_begun)
            return refuse(request, 502,
                          "no upstream available to resume the stream",
                          milliseconds(0));
        // No other upstream has a free slot: allow those tried before again.
        request->route.excluded.clear();
        dispatch_or_queue(request);
    }

    // Responses without an attempt.

    void refuse(const request_pointer& request, int status,
                const std::string& reason, milliseconds retry_after)
    {
        live_requests.erase(request->stream);
        responses.finish_failed(request, {outcome::not_run, refusal::none,
                                          status, reason, retry_after});
    }

    void handle_disconnect(std::uint64_t stream)
    {
        const auto found = live_requests.find(stream);
        if (found == live_requests.end())
            return;
        const auto request = found->second;
        host.counters().count("callers_left_total");
        live_requests.erase(found);
        if (request->attempt_running)
        {
            cancel(request);
            release_upstream(request);
        }
        else
        {
            queue_of(request->route).remove(request->organisation, stream);
        }
        dispatch_queued();
    }

    // Sidecars.

    void handle_report(const message::report& report)
    {
        upstreams.apply_report(report, now());
        dispatch_queued();
    }

    void peer_lost(const instance_id& peer)
    {
        claims.peer_lost(peer);
        upstreams.peer_lost(peer);
        std::vector<request_pointer> affected;
        for (const auto& [stream, request] : live_requests)
        {
            if (request->attempt_running && request->upstream == peer)
                affected.push_back(request);
        }
        for (const auto& request : affected)
            handle_failed_attempt(request,
                                  {outcome::unknown, refusal::none, 502,
                                   "the connection to the sidecar was lost",
                                   milliseconds(0)});
    }

    // Timers.

    void tick()
    {
        for (auto& [key, queue] : queues)
        {
            for (const auto& late : queue.remove_late(estimates[key], now()))
                refuse_expired(late.number, queue);
        }
        if (now() - last_deadline_check > deadline_check_interval)
            check_deadlines();
        resend_held();
        dispatch_queued();
    }

    void refuse_expired(std::uint64_t stream, const fair_queue& queue)
    {
        const auto found = live_requests.find(stream);
        if (found == live_requests.end())
            return;
        const auto request = found->second;
        host.counters().count("requests_expired_total");
        refuse(request, 429, "no free slot expected before the deadline",
               fair_queue::retry_after(
                   queue.expected_wait(request->organisation, now())));
    }

    /*! @brief Cancels attempts whose deadline has passed before the response to
     * the caller has begun. */
    void check_deadlines()
    {
        last_deadline_check = now();
        std::vector<request_pointer> late;
        for (const auto& [stream, request] : live_requests)
        {
            if (request->attempt_running && !request->stream_begun &&
                request->deadline <= now())
                late.push_back(request);
        }
        for (const auto& request : late)
        {
            cancel(request);
            release_upstream(request);
            live_requests.erase(request->stream);
            responses.finish_failed(request, {outcome::unknown, refusal::none,
                                              504, "the deadline has passed",
                                              milliseconds(0)});
        }
    }

    /*! @brief How long an entry that is leaving still accepts requests. */
    static constexpr milliseconds accept_while_leaving{3000};
    static constexpr milliseconds deadline_check_interval{50};

    node& host;
    internal::live_upstreams upstreams;
    internal::replicated_claims claims;
    internal::response_writer responses;
    internal::retry_policy retries;
    internal::service_times<queue_key> estimates;
    std::map<queue_key, fair_queue> queues;
    std::unordered_map<std::uint64_t, request_pointer> live_requests;
    /*! @brief Streams of requests that wait while a copy of them runs. */
    std::vector<std::uint64_t> held_requests;
    std::uint64_t last_stream{0};
    time_point last_deadline_check{};
};

request_service::request_service(node& owner)
    : self(std::make_unique<implementation>(owner))
{
}

request_service::~request_service() = default;

void request_service::handle_request(http_request incoming,
                                     const std::shared_ptr<http_reply>& reply)
{
    self->handle_request(std::move(incoming), reply);
}

void request_service::handle_report(const message::report& report)
{
    self->handle_report(report);
}

bool request_service::handle_frame(const instance_id& from, frame& received)
{
    if (received.type == frame_type::answer_part)
    {
        const auto head = decode<message::answer_part>(received.head);
        if (head)
            self->handle_part(from, head.value(), received.payload);
        return true;
    }
    if (received.type == frame_type::answer_end)
    {
        const auto head = decode<message::answer_end>(received.head);
        if (head)
            self->handle_end(from, head.value());
        return true;
    }
    return self->claims.handle_frame(from, received);
}

void request_service::peer_lost(const instance_id& peer)
{
    self->peer_lost(peer);
}

void request_service::tick()
{
    self->tick();
}

std::size_t request_service::size() const
{
    return self->live_requests.size() + self->responses.undecided();
}

std::string request_service::dump() const
{
    using nlohmann::json;
    json waiting = json::array();
    for (const auto& [key, queue] : self->queues)
        waiting.push_back({{"kind", key.first},
                           {"model", key.second},
                           {"waiting", queue.size()}});
    return json{{"requests", self->live_requests.size()},
                {"upstreams", self->upstreams.dump()},
                {"queues", std::move(waiting)}}
        .dump();
}

} // namespace coursejunction
