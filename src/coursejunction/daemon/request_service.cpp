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

/*! @brief Bytes of an answer that is gathered before it is given. */
constexpr std::size_t max_whole_answer = std::size_t{32} << 20U;

/*! @brief Status of a request that is quarantined: asking again is no use
 * before the time that goes with it. */
constexpr int quarantined_status = 422;

/*! @brief Another copy of a request that is doubted waits so long for the one
 * that runs; as at the entries of the platform. */
constexpr milliseconds doubt_wait{250};

/*! @brief A caller whose request is on trial comes back after so long; as at
 * the entries of the platform. */
constexpr milliseconds trial_time{1000};

/*! @brief When to come back if nobody serves the model. */
constexpr milliseconds no_upstream_retry{1000};

} // namespace internal

struct request_service::implementation
{
    using queue_key = std::pair<std::string, std::string>;
    using live_request = internal::live_request;
    using attempt_failure = internal::attempt_failure;
    using pointer = internal::live_request_pointer;

    explicit implementation(node& owner)
        : host(owner), upstreams(owner.settings()), claims(owner),
          answers(owner, claims)
    {
    }

    static time_point now() { return event_loop::now(); }

    // Arrival.

    void request(http_request from, const std::shared_ptr<http_reply>& reply)
    {
        auto parsed =
            parse_entry_request(from, host.settings().default_deadline);
        if (!parsed)
            return internal::response_writer::reject_input(
                reply, parsed.error().message);
        auto one = std::make_shared<live_request>();
        static_cast<entry_request&>(*one) = std::move(parsed.value());
        one->reply = reply;
        one->content = request_content::of(one->organisation.value(), one->path,
                                           one->body);
        one->arrived_at = now();
        one->deadline = one->arrived_at + one->allowed;
        if (host.is_leaving() && host.leaving_for() > leave_accept)
            return give_up(one, 503, "this entry is leaving",
                           milliseconds(100));
        if (live.size() >= host.settings().max_streams)
            return give_up(one, 503, "too many requests in progress",
                           milliseconds(500));
        one->stream = ++streams;
        host.counters().count("requests_total");
        retries.record_request();
        live.emplace(one->stream, one);
        reply->on_abandoned(
            [this, stream = one->stream]
            { host.loop().post([this, stream] { abandoned(stream); }); });
        place(one);
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

    /*! @brief Dispatches a request, queues it, or refuses it at once. */
    void place(const pointer& one)
    {
        if (kept_from_upstreams(one))
            return;
        // A queue is made only for what is served: names come from outside.
        if (!upstreams.is_served(one->route, now()))
            return give_up(one, unserved_status(*one),
                           "no upstream serves " + one->route.model,
                           internal::no_upstream_retry);
        auto& queue = queue_of(one->route);
        if (queue.empty())
        {
            if (const auto to = upstreams.choose(one->route, now()))
            {
                queue.charge(one->organisation);
                return dispatch(one, *to);
            }
        }
        const auto verdict = queue.offer(
            {one->stream, one->organisation, one->priority, one->deadline},
            times[key_of(one->route)], now());
        if (!verdict.accepted)
        {
            host.counters().count("requests_refused_total");
            return give_up(one, 429, "no room before the deadline",
                           verdict.retry_after);
        }
        host.counters().count("requests_queued_total");
    }

    /*! @brief Upstreams that end under a request get few copies of it.
     * @return Whether it was answered or waits for a copy that runs. */
    bool kept_from_upstreams(const pointer& one)
    {
        const auto standing = host.crashes().status(one->content, now());
        if (standing == crash_status::clear)
            return false;
        const bool trial = standing == crash_status::on_trial;
        const auto most = host.crashes().max_running(
            one->content, trial && owns_trials(one->content), now());
        // A trial is one attempt: that it failed may be all it was to show.
        if (most == 0 || (trial && one->may_have_run))
            turn_away(one);
        else if (copies_running(*one) < most)
            return false;
        else if (now() - one->arrived_at < internal::doubt_wait ||
                 one->may_have_run)
            held.push_back(one->stream);
        else
            give_up(one, 503, "another copy of the request runs",
                    internal::doubt_wait);
        return true;
    }

    /*! @brief All entries agree on the one that runs the trials of a request,
     * by a rendezvous among those that are usable. */
    [[nodiscard]] bool owns_trials(const request_content& what) const
    {
        const auto& members = host.members();
        std::vector<instance_id> entries;
        for (const auto& [id, one] : members.all())
        {
            if (one.kind == role::entry && members.usable(id, now()))
                entries.push_back(id);
        }
        const auto first = rendezvous_rank(what.hex(), entries, 1);
        return !first.empty() && first.front() == host.settings().instance;
    }

    [[nodiscard]] std::size_t copies_running(const live_request& one) const
    {
        return static_cast<std::size_t>(
            std::count_if(live.begin(), live.end(),
                          [&](const auto& other)
                          {
                              return other.first != one.stream &&
                                     other.second->attempt_running &&
                                     other.second->content == one.content;
                          }));
    }

    /*! @brief Looks again at requests that wait for a copy of theirs. */
    void release_held()
    {
        for (const auto stream : std::exchange(held, {}))
        {
            const auto found = live.find(stream);
            if (found == live.end())
                continue;
            const auto one = found->second;
            if (one->deadline <= now())
                give_up(one, 504, "the deadline has passed", milliseconds(0));
            else
                retry(one);
        }
    }

    /*! @brief Enough upstreams ended under a request: its final answer. */
    void turn_away(const pointer& one)
    {
        host.counters().count("requests_turned_away_total");
        log::problem("request_turned_away", {{"request", one->id.value()},
                                             {"content", one->content.hex()}});
        give_up(one, internal::quarantined_status,
                "the request is quarantined: upstreams ended under it",
                std::max(host.crashes().records().quarantine_left(one->content,
                                                                  now()),
                         internal::trial_time));
    }

    int unserved_status(const live_request& one) const
    {
        const auto& specs = host.view().current().deployments();
        const bool known =
            std::any_of(specs.begin(), specs.end(),
                        [&](const auto& spec)
                        { return spec.second.model == one.route.model; });
        return known || upstreams.has_reported_model(one.route.model) ? 503
                                                                      : 404;
    }

    void pump()
    {
        for (auto& [key, queue] : queues)
        {
            while (!queue.empty() && pump_one(queue))
            {
            }
        }
    }

    /*! @brief Dispatches the request that is due first and has an upstream. */
    bool pump_one(fair_queue& queue)
    {
        for (const auto& organisation : queue.service_order())
        {
            const auto* front = queue.front(organisation);
            const auto found = live.find(front->number);
            if (found == live.end())
            {
                queue.pop(organisation);
                return true;
            }
            const auto one = found->second;
            if (kept_from_upstreams(one))
            {
                queue.pop(organisation);
                return true;
            }
            const auto to = upstreams.choose(one->route, now());
            if (!to)
                continue;
            queue.pop(organisation);
            queue.record_dispatch(organisation, now());
            dispatch(one, *to);
            return true;
        }
        return false;
    }

    // Attempts.

    void dispatch(const pointer& one, const instance_id& to)
    {
        one->upstream = to;
        one->attempt_running = true;
        one->attempt_started_at = now();
        ++one->attempt;
        one->received_parts = 0;
        one->buffered_body.clear();
        one->events.discard_partial();
        upstreams.begin_request(to);
        if (!host.send(to, make_dispatch(*one, left(*one)), one->body))
            attempt_ended(one, {outcome::not_run, refusal::unreachable, 503,
                                "side is not known", milliseconds(100)});
    }

    static milliseconds left(const live_request& one)
    {
        return std::chrono::duration_cast<milliseconds>(one.deadline - now());
    }

    void leave_upstream(const pointer& one)
    {
        if (!one->attempt_running)
            return;
        one->attempt_running = false;
        upstreams.end_request(one->upstream);
    }

    pointer attempt_of(const instance_id& from, std::uint64_t stream,
                       std::uint32_t attempt)
    {
        const auto found = live.find(stream);
        if (found == live.end() || found->second->attempt != attempt ||
            found->second->upstream != from || !found->second->attempt_running)
        {
            // Late: of an attempt that was given up.
            host.counters().count("late_frames_total");
            return nullptr;
        }
        return found->second;
    }

    void part(const instance_id& from, const message::answer_part& head,
              const std::string& bytes)
    {
        const auto one = attempt_of(from, head.stream, head.attempt);
        if (!one)
            return;
        if (head.index != one->received_parts ||
            one->buffered_body.size() + bytes.size() >
                internal::max_whole_answer)
            return broken(one, "parts of the answer are missing or too many");
        ++one->received_parts;
        if (!one->streamed)
        {
            one->buffered_body += bytes;
            return;
        }
        pass_events(one, one->events.feed(bytes));
    }

    void pass_events(const pointer& one, const std::string& whole)
    {
        if (whole.empty())
            return;
        if (!one->stream_begun)
        {
            const auto* weights = upstreams.served_version(one->upstream);
            if (weights != nullptr)
                one->route.weights = *weights;
            answers.begin_stream(*one);
        }
        answers.write_events(one, whole);
    }

    void broken(const pointer& one, const std::string& reason)
    {
        cancel(one);
        attempt_ended(one, {outcome::unknown, refusal::none, 502, reason,
                            milliseconds(0)});
    }

    void cancel(const pointer& one)
    {
        message::cancel cancel;
        cancel.stream = one->stream;
        cancel.attempt = one->attempt;
        host.send(one->upstream, cancel);
    }

    void end(const instance_id& from, const message::answer_end& head)
    {
        const auto one = attempt_of(from, head.stream, head.attempt);
        if (!one)
            return;
        if (head.result == outcome::answered &&
            (head.parts != one->received_parts || !one->events.at_boundary()))
            return broken(one, "parts of the answer are missing");
        if (head.result == outcome::answered)
            return answered(one, head);
        attempt_ended(one, {head.result, head.refused, head.status, head.reason,
                            milliseconds(head.retry_after_ms)});
    }

    void answered(const pointer& one, const message::answer_end& head)
    {
        const auto took = now() - one->attempt_started_at;
        upstreams.record_success(
            one->upstream,
            std::chrono::duration_cast<std::chrono::microseconds>(took));
        host.crashes().record_response(one->content, now());
        times.add_sample(key_of(one->route), to_seconds(took));
        queue_of(one->route).record_completion(now());
        leave_upstream(one);
        live.erase(one->stream);
        answers.finish_answered(*one, head);
        pump();
    }

    /*! @brief An attempt gave no answer: try elsewhere, or say so. */
    void attempt_ended(const pointer& one, const attempt_failure& end)
    {
        leave_upstream(one);
        one->may_have_run = one->may_have_run || end.result == outcome::unknown;
        upstreams.record_failure(one->upstream, end.refused, now());
        one->route.excluded.push_back(one->upstream);
        if (retries.allows(*one, end, left(*one)))
        {
            host.counters().count("retries_total");
            return retry(one);
        }
        live.erase(one->stream);
        answers.finish_failed(one, end);
        pump();
    }

    /*! @brief A begun stream is cut rather than queued: its weights may be
     * gone by the time there is room. */
    void retry(const pointer& one)
    {
        if (kept_from_upstreams(one))
            return;
        if (const auto to = upstreams.choose(one->route, now()))
            return dispatch(one, *to);
        if (one->stream_begun)
            return give_up(one, 502, "no upstream to resume the stream",
                           milliseconds(0));
        // Everybody else is full: all may be asked again.
        one->route.excluded.clear();
        place(one);
    }

    // Answers without a run.

    void give_up(const pointer& one, int status, const std::string& reason,
                 milliseconds retry_after)
    {
        live.erase(one->stream);
        answers.finish_failed(one, {outcome::not_run, refusal::none, status,
                                    reason, retry_after});
    }

    void abandoned(std::uint64_t stream)
    {
        const auto found = live.find(stream);
        if (found == live.end())
            return;
        const auto one = found->second;
        host.counters().count("callers_left_total");
        live.erase(found);
        if (one->attempt_running)
        {
            cancel(one);
            leave_upstream(one);
        }
        else
        {
            queue_of(one->route).remove(one->organisation, stream);
        }
        pump();
    }

    // Sides.

    void reported(const message::report& one)
    {
        upstreams.apply_report(one, now());
        pump();
    }

    void peer_lost(const instance_id& peer)
    {
        claims.peer_lost(peer);
        upstreams.peer_lost(peer);
        std::vector<pointer> affected;
        for (const auto& [stream, one] : live)
        {
            if (one->attempt_running && one->upstream == peer)
                affected.push_back(one);
        }
        for (const auto& one : affected)
            attempt_ended(one, {outcome::unknown, refusal::none, 502,
                                "the connection to the side was lost",
                                milliseconds(0)});
    }

    // Time.

    void tick()
    {
        for (auto& [key, queue] : queues)
        {
            for (const auto& late : queue.remove_late(times[key], now()))
                expired(late.number, queue);
        }
        if (now() - deadlines_checked > deadline_interval)
            check_deadlines();
        release_held();
        pump();
    }

    void expired(std::uint64_t stream, const fair_queue& queue)
    {
        const auto found = live.find(stream);
        if (found == live.end())
            return;
        const auto one = found->second;
        host.counters().count("requests_expired_total");
        give_up(one, 429, "no room before the deadline",
                fair_queue::retry_after(
                    queue.expected_wait(one->organisation, now())));
    }

    /*! @brief Ends attempts whose deadline has passed before a first part. */
    void check_deadlines()
    {
        deadlines_checked = now();
        std::vector<pointer> late;
        for (const auto& [stream, one] : live)
        {
            if (one->attempt_running && !one->stream_begun &&
                one->deadline <= now())
                late.push_back(one);
        }
        for (const auto& one : late)
        {
            cancel(one);
            leave_upstream(one);
            live.erase(one->stream);
            answers.finish_failed(one,
                                  {outcome::unknown, refusal::none, 504,
                                   "the deadline has passed", milliseconds(0)});
        }
    }

    static constexpr milliseconds leave_accept{3000};
    static constexpr milliseconds deadline_interval{50};

    node& host;
    internal::live_upstreams upstreams;
    internal::replicated_claims claims;
    internal::response_writer answers;
    internal::retry_policy retries;
    internal::service_times<queue_key> times;
    std::map<queue_key, fair_queue> queues;
    std::unordered_map<std::uint64_t, pointer> live;
    std::vector<std::uint64_t> held; /*!< They wait for a copy of theirs. */
    std::uint64_t streams{0};
    time_point deadlines_checked{};
};

request_service::request_service(node& owner)
    : self(std::make_unique<implementation>(owner))
{
}

request_service::~request_service() = default;

void request_service::request(http_request from,
                              const std::shared_ptr<http_reply>& reply)
{
    self->request(std::move(from), reply);
}

void request_service::reported(const message::report& one)
{
    self->reported(one);
}

bool request_service::received(const instance_id& from, frame& one)
{
    if (one.type == frame_type::answer_part)
    {
        const auto head = decode<message::answer_part>(one.head);
        if (head)
            self->part(from, head.value(), one.payload);
        return true;
    }
    if (one.type == frame_type::answer_end)
    {
        const auto head = decode<message::answer_end>(one.head);
        if (head)
            self->end(from, head.value());
        return true;
    }
    return self->claims.handle_frame(from, one);
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
    return self->live.size();
}

std::string request_service::dump() const
{
    using nlohmann::json;
    json waiting = json::array();
    for (const auto& [key, queue] : self->queues)
        waiting.push_back({{"kind", key.first},
                           {"model", key.second},
                           {"waiting", queue.size()}});
    return json{{"requests", self->live.size()},
                {"upstreams", self->upstreams.dump()},
                {"queues", std::move(waiting)}}
        .dump();
}

} // namespace coursejunction
