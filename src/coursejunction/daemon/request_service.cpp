#include "coursejunction/daemon/request_service.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <unordered_map>
#include <variant>

#include <nlohmann/json.hpp>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/daemon/caller_request.hpp"
#include "coursejunction/daemon/node.hpp"
#include "coursejunction/route/fair_queue.hpp"
#include "coursejunction/route/upstream_table.hpp"
#include "coursejunction/run/retry_budget.hpp"

namespace coursejunction
{

namespace internal
{

using nlohmann::json;

constexpr std::size_t max_whole_answer = std::size_t{32} << 20U;
constexpr unsigned max_attempts = 4;
constexpr double retry_portion = 0.1;
constexpr double retry_depth = 20;
constexpr double deviations = 2;
constexpr milliseconds no_upstream_retry{1000};
constexpr milliseconds flush_interval{10};
constexpr std::string_view event_end = "\n\n";
constexpr std::string_view event_start = "data: {";

using any_policy =
    std::variant<scored_policy, least_loaded_policy, round_robin_policy>;

any_policy make_policy(routing_policy which)
{
    switch (which)
    {
    case routing_policy::scored:
        break;
    case routing_policy::least_loaded:
        return least_loaded_policy();
    case routing_policy::round_robin:
        return round_robin_policy();
    }
    return scored_policy();
}

} // namespace internal

struct request_service::implementation
{
    using queue_key = std::pair<std::string, std::string>;

    /*! @brief One request of a caller. */
    struct live_request : caller_request
    {
        std::uint64_t stream{0};
        std::uint32_t attempt{0};
        bool begun{false};
        bool running{false};
        bool maybe_ran{false}; /*!< An attempt may have run. */
        std::uint32_t parts{0};
        std::uint32_t events{0}; /*!< Whole events given to the caller. */
        std::string gathered;
        std::string pending; /*!< Start of an event that is not yet whole. */
        std::string held;    /*!< Whole events for the next flush. */
        time_point given_at{};
        instance_id upstream;
        time_point arrived{};
        time_point started{};
        time_point deadline{};
        std::shared_ptr<http_reply> reply;
    };

    using pointer = std::shared_ptr<live_request>;

    /*! @brief How an attempt, or the whole request, ended without answer. */
    struct attempt_end
    {
        outcome result{outcome::unknown};
        refusal refused{refusal::none};
        int status{0};
        std::string reason;
        milliseconds retry_after{0};
    };

    explicit implementation(node& owner)
        : host(owner), policy(internal::make_policy(owner.settings().routing)),
          flush_timer(
              owner.loop().every(internal::flush_interval, [this] { flush(); }))
    {
    }

    static time_point now() { return event_loop::now(); }

    // Arrival.

    void request(http_request from, const std::shared_ptr<http_reply>& reply)
    {
        auto parsed =
            parse_caller_request(from, host.settings().default_deadline);
        if (!parsed)
            return refuse_input(reply, parsed.error().message);
        auto one = std::make_shared<live_request>();
        static_cast<caller_request&>(*one) = std::move(parsed.value());
        one->reply = reply;
        one->arrived = now();
        one->deadline = one->arrived + one->allowed;
        if (host.is_leaving() && host.leaving_for() > leave_accept)
            return give_up(one, 503, "this entry is leaving",
                           milliseconds(100));
        if (live.size() >= host.settings().max_streams)
            return give_up(one, 503, "too many requests in progress",
                           milliseconds(500));
        one->stream = ++streams;
        host.counters().count("requests_total");
        budget.request();
        live.emplace(one->stream, one);
        reply->on_abandoned(
            [this, stream = one->stream]
            { host.loop().post([this, stream] { abandoned(stream); }); });
        place(one);
    }

    // Queue and routing.

    fair_queue& queue_of(const route_request& route)
    {
        const queue_key key(route.kind, route.model);
        const auto found = queues.find(key);
        if (found != queues.end())
            return found->second;
        return queues.emplace(key, fair_queue(host.settings().queue_limit))
            .first->second;
    }

    /*! @brief Smoothed time of a request and its mean deviation (as RFC 6298
     * does for round trips). */
    struct service_estimate
    {
        double mean{0};
        double deviation{0};
    };

    /*! @brief Returns the time that a request should be given. */
    std::chrono::microseconds service_time(const queue_key& key) const
    {
        const auto found = services.find(key);
        if (found == services.end())
            return std::chrono::microseconds(0);
        const auto& known = found->second;
        return from_seconds(known.mean +
                            internal::deviations * known.deviation);
    }

    /*! @brief Dispatches a request, queues it, or refuses it at once. */
    void place(const pointer& one)
    {
        // A queue is made only for what is served: names come from outside.
        if (!table.served(one->route, now()))
            return give_up(one, unserved_status(*one),
                           "no upstream serves " + one->route.model,
                           internal::no_upstream_retry);
        auto& queue = queue_of(one->route);
        if (queue.empty())
        {
            if (const auto to = choose(*one))
            {
                queue.charge(one->organisation);
                return dispatch(one, *to);
            }
        }
        const auto verdict = queue.offer(
            {one->stream, one->organisation, one->priority, one->deadline},
            service_time({one->route.kind, one->route.model}), now());
        if (!verdict.accepted)
        {
            host.counters().count("requests_refused_total");
            return give_up(one, 429, "no room before the deadline",
                           verdict.retry_after);
        }
        host.counters().count("requests_queued_total");
    }

    int unserved_status(const live_request& one) const
    {
        const auto& specs = host.view().current().deployments();
        const bool known =
            std::any_of(specs.begin(), specs.end(),
                        [&](const auto& spec)
                        { return spec.second.model == one.route.model; });
        const bool seen =
            std::any_of(table.all().begin(), table.all().end(),
                        [&](const auto& state)
                        { return state.second.model == one.route.model; });
        return known || seen ? 503 : 404;
    }

    std::optional<instance_id> choose(const live_request& one)
    {
        const auto& settings = host.settings();
        return std::visit(
            [&](auto& chosen)
            {
                return table.choose(chosen, one.route, settings.hall,
                                    settings.region, now());
            },
            policy);
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
        for (const auto& organisation : queue.order())
        {
            const auto* front = queue.front(organisation);
            const auto found = live.find(front->number);
            if (found == live.end())
            {
                queue.pop(organisation);
                return true;
            }
            const auto one = found->second;
            const auto to = choose(*one);
            if (!to)
                continue;
            queue.pop(organisation);
            queue.dispatched(organisation, now());
            dispatch(one, *to);
            return true;
        }
        return false;
    }

    // Attempts.

    void dispatch(const pointer& one, const instance_id& to)
    {
        one->upstream = to;
        one->running = true;
        one->started = now();
        ++one->attempt;
        one->parts = 0;
        one->gathered.clear();
        one->pending.clear();
        ++table[to].own;
        message::dispatch ask;
        ask.stream = one->stream;
        ask.attempt = one->attempt;
        ask.request = one->id.value();
        ask.organisation = one->organisation.value();
        ask.model = one->route.model;
        ask.path = one->path;
        ask.priority = one->priority;
        ask.deadline_ms = static_cast<std::uint32_t>(
            std::max<std::int64_t>(1, left(*one).count()));
        ask.not_repeatable = one->not_repeatable;
        ask.seed = stable_hash(one->id.value());
        ask.resume_from = one->events;
        ask.weights = one->route.weights;
        if (!host.send(to, ask, one->body))
            attempt_ended(one, {outcome::not_run, refusal::unreachable, 503,
                                "side is not known", milliseconds(100)});
    }

    static milliseconds left(const live_request& one)
    {
        return std::chrono::duration_cast<milliseconds>(one.deadline - now());
    }

    void leave_upstream(const pointer& one)
    {
        if (!one->running)
            return;
        one->running = false;
        auto* state = table.find(one->upstream);
        if (state != nullptr && state->own > 0)
            --state->own;
    }

    pointer attempt_of(const instance_id& from, std::uint64_t stream,
                       std::uint32_t attempt)
    {
        const auto found = live.find(stream);
        if (found == live.end() || found->second->attempt != attempt ||
            found->second->upstream != from || !found->second->running)
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
        if (head.index != one->parts ||
            one->gathered.size() + bytes.size() > internal::max_whole_answer)
            return broken(one, "parts of the answer are missing or too many");
        ++one->parts;
        if (!one->streamed)
        {
            one->gathered += bytes;
            return;
        }
        pass_events(one, bytes);
    }

    /*! @brief Gives the caller whole events only, so that a stream can be
     * resumed elsewhere exactly behind the last one. */
    void pass_events(const pointer& one, const std::string& bytes)
    {
        one->pending += bytes;
        const auto end = one->pending.rfind(internal::event_end);
        if (end == std::string::npos)
            return;
        const auto whole =
            one->pending.substr(0, end + internal::event_end.size());
        one->pending.erase(0, whole.size());
        if (!one->begun)
            begin(one);
        for (auto at = whole.find(internal::event_start);
             at != std::string::npos;
             at = whole.find(internal::event_start, at + 1))
            ++one->events;
        give(one, whole);
    }

    /*! @brief Gives events to the caller: at once, unless the last ones were
     * given so shortly before that the next flush does for both. */
    void give(const pointer& one, const std::string& events)
    {
        const bool soon = now() - one->given_at < internal::flush_interval;
        if (!soon && one->held.empty())
        {
            one->given_at = now();
            return one->reply->write(events);
        }
        if (one->held.empty())
            to_flush.push_back(one);
        one->held += events;
    }

    void flush(live_request& one)
    {
        if (one.held.empty())
            return;
        one.reply->write(one.held);
        one.held.clear();
        one.given_at = now();
    }

    /*! @brief Gives all events that were held back. */
    void flush()
    {
        for (const auto& one : to_flush)
            flush(*one);
        to_flush.clear();
    }

    void begin(const pointer& one)
    {
        one->begun = true;
        const auto* state = table.find(one->upstream);
        if (state != nullptr)
            one->route.weights = state->weights;
        one->reply->begin(200, "text/event-stream",
                          {{"Request-Id", one->id.value()}});
        host.counters().observe("time_to_first_token_seconds",
                                to_seconds(now() - one->arrived));
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
            (head.parts != one->parts || !one->pending.empty()))
            return broken(one, "parts of the answer are missing");
        if (head.result == outcome::answered)
            return answered(one, head);
        attempt_ended(one, {head.result, head.refused, head.status, head.reason,
                            milliseconds(head.retry_after_ms)});
    }

    void answered(const pointer& one, const message::answer_end& head)
    {
        const auto took = now() - one->started;
        table.succeeded(
            one->upstream,
            std::chrono::duration_cast<std::chrono::microseconds>(took));
        learn(one->route, to_seconds(took));
        queue_of(one->route).served(now());
        leave_upstream(one);
        live.erase(one->stream);
        host.counters().count("answers_total", 1, {{"outcome", "answered"}});
        if (one->begun)
        {
            flush(*one);
            one->reply->write("event: outcome\ndata: answered\n\n");
            one->reply->finish();
        }
        else
        {
            header_map headers{{"Outcome", "answered"},
                               {"Request-Id", one->id.value()}};
            if (!head.weights.empty())
                headers["Weights"] = head.weights;
            one->reply->send(head.status, head.content_type, headers,
                             one->gathered);
        }
        pump();
    }

    void learn(const route_request& route, double seconds)
    {
        constexpr double smoothing = 0.1;
        auto& known = services[{route.kind, route.model}];
        if (known.mean == 0)
            known.mean = seconds;
        const auto off = seconds - known.mean;
        known.mean += off * smoothing;
        known.deviation += (std::abs(off) - known.deviation) * smoothing;
    }

    /*! @brief An attempt gave no answer: try elsewhere, or say so. */
    void attempt_ended(const pointer& one, const attempt_end& end)
    {
        leave_upstream(one);
        one->maybe_ran = one->maybe_ran || end.result == outcome::unknown;
        if (end.refused == refusal::busy)
            note_full(one->upstream);
        else if (is_fault_of_upstream(end.refused))
            table.failed(one->upstream, now());
        one->route.excluded.push_back(one->upstream);
        if (may_retry(*one, end))
        {
            host.counters().count("retries_total");
            return retry(one);
        }
        live.erase(one->stream);
        conclude(one, end);
        pump();
    }

    static bool is_fault_of_upstream(refusal why)
    {
        return why != refusal::claim && why != refusal::cancelled &&
               why != refusal::duplicate;
    }

    /*! @brief The side had no room although it seemed so here: other entries
     * use it too. */
    void note_full(const instance_id& upstream)
    {
        auto* state = table.find(upstream);
        if (state == nullptr)
            return;
        state->reported = std::max(state->reported, state->slots);
        state->own_at_report = state->own;
    }

    /*! @brief Being refused by a gate or a full side costs nobody work, so it
     * spends none of the budget. */
    bool may_retry(const live_request& one, const attempt_end& end)
    {
        // A begun stream goes on only with the same weights and sampling.
        if (one.begun && (one.route.weights.empty() || one.not_repeatable))
            return false;
        if (one.attempt >= internal::max_attempts || left(one).count() <= 0)
            return false;
        if (end.result == outcome::unknown && one.not_repeatable)
            return false;
        switch (end.refused)
        {
        case refusal::busy:
        case refusal::closed:
        case refusal::leaving:
            return true;
        case refusal::claim:
        case refusal::cancelled:
        case refusal::duplicate:
            return false;
        case refusal::none:
        case refusal::unreachable:
            return budget.spend();
        }
        return false;
    }

    /*! @brief A begun stream is cut rather than queued: its weights may be
     * gone by the time there is room. */
    void retry(const pointer& one)
    {
        if (const auto to = choose(*one))
            return dispatch(one, *to);
        if (one->begun)
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
        conclude(one, {outcome::not_run, refusal::none, status, reason,
                       retry_after});
    }

    /*! @brief Gives the final answer at once. "Not run" is said only when no
     * attempt may have run; for a request that may run only once, when nobody
     * else has claimed its id either. */
    void conclude(const pointer& one, attempt_end end)
    {
        if (one->maybe_ran || one->begun)
            end.result = outcome::unknown;
        if (end.result != outcome::not_run || !one->not_repeatable)
            return answer(*one, end);
        host.key_values().read(
            claim_key(one->id),
            [this, one, end](const result<stored_value>& got) mutable
            {
                if (!got || got.value().index != 0)
                    end.result = outcome::unknown;
                answer(*one, end);
            });
    }

    /*! @brief Sends a final answer that is no answer of an upstream; a stream
     * that has begun is cut so that nobody takes it for whole. */
    void answer(live_request& one, const attempt_end& end)
    {
        const auto name = std::string(to_string(end.result));
        host.counters().count("answers_total", 1, {{"outcome", name}});
        if (one.begun)
        {
            flush(one);
            one.reply->write("event: outcome\ndata: " + name + "\n\n");
            return one.reply->cut();
        }
        header_map headers{{"Outcome", name}, {"Request-Id", one.id.value()}};
        if (end.retry_after.count() > 0)
        {
            constexpr std::int64_t second = 1000;
            headers["Retry-After"] =
                std::to_string((end.retry_after.count() + second - 1) / second);
            headers["Retry-After-Ms"] = std::to_string(end.retry_after.count());
        }
        const internal::json body{{"outcome", name}, {"error", end.reason}};
        one.reply->send(end.status == 0 ? 502 : end.status, "application/json",
                        headers, body.dump());
    }

    static void refuse_input(const std::shared_ptr<http_reply>& reply,
                             const std::string& fault)
    {
        const internal::json body{{"outcome", "not_run"}, {"error", fault}};
        reply->send(400, "application/json", {{"Outcome", "not_run"}},
                    body.dump());
    }

    void abandoned(std::uint64_t stream)
    {
        const auto found = live.find(stream);
        if (found == live.end())
            return;
        const auto one = found->second;
        host.counters().count("callers_left_total");
        live.erase(found);
        if (one->running)
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
        auto& state = table[instance_id(one.instance)];
        state.hall = hall_id(one.hall);
        state.region = region_id(one.region);
        state.model = one.model;
        state.kind = one.kind;
        state.weights = one.serving;
        state.slots = one.slots;
        state.reported = one.running;
        state.own_at_report = state.own;
        state.open = one.phase != "unreachable" &&
                     (one.kind == "plain" || !one.serving.empty());
        state.leaving = one.leaving;
        state.heard = now();
        state.cached = {one.cached_prefixes.begin(), one.cached_prefixes.end()};
        pump();
    }

    void peer_lost(const instance_id& peer)
    {
        auto* state = table.find(peer);
        if (state != nullptr)
            state->open = false;
        std::vector<pointer> affected;
        for (const auto& [stream, one] : live)
        {
            if (one->running && one->upstream == peer)
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
            const auto service = service_time(key);
            for (const auto& late : queue.expire(service, now()))
                expired(late.number, queue);
        }
        if (now() - deadlines_checked > deadline_interval)
            check_deadlines();
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
            if (one->running && !one->begun && one->deadline <= now())
                late.push_back(one);
        }
        for (const auto& one : late)
        {
            cancel(one);
            leave_upstream(one);
            live.erase(one->stream);
            conclude(one, {outcome::unknown, refusal::none, 504,
                           "the deadline has passed", milliseconds(0)});
        }
    }

    static constexpr milliseconds leave_accept{3000};
    static constexpr milliseconds deadline_interval{50};

    node& host;
    upstream_table table;
    internal::any_policy policy;
    retry_budget budget{internal::retry_portion, internal::retry_depth};
    std::map<queue_key, fair_queue> queues;
    std::map<queue_key, service_estimate> services;
    std::unordered_map<std::uint64_t, pointer> live;
    std::vector<pointer> to_flush;
    timer flush_timer;
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
    return false;
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
    using internal::json;
    json upstreams = json::array();
    for (const auto& [id, one] : self->table.all())
        upstreams.push_back({{"instance", id.value()},
                             {"model", one.model},
                             {"open", one.open},
                             {"leaving", one.leaving},
                             {"slots", one.slots},
                             {"load", one.load()},
                             {"own", one.own},
                             {"failures", one.failures},
                             {"service_s", one.service_s}});
    json waiting = json::array();
    for (const auto& [key, queue] : self->queues)
        waiting.push_back({{"kind", key.first},
                           {"model", key.second},
                           {"waiting", queue.size()}});
    return json{{"requests", self->live.size()},
                {"upstreams", std::move(upstreams)},
                {"queues", std::move(waiting)}}
        .dump();
}

} // namespace coursejunction
