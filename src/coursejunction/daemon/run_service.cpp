#include "coursejunction/daemon/run_service.hpp"

#include <map>
#include <utility>

#include <nlohmann/json.hpp>

#include "coursejunction/core/log.hpp"
#include "coursejunction/daemon/internal/run_claims.hpp"
#include "coursejunction/daemon/node.hpp"
#include "coursejunction/daemon/upstream_client.hpp"
#include "coursejunction/run/lost_attempt_tracker.hpp"
#include "coursejunction/run/run_registry.hpp"

namespace coursejunction
{

namespace internal
{

constexpr std::size_t max_remembered_requests = 100'000;
/*! @brief Larger responses of not-repeatable requests are not cached. */
constexpr std::size_t max_cached_body = std::size_t{64} << 10U;
/*! @brief How long an upstream may send nothing during a run. */
constexpr std::chrono::seconds upstream_silence_timeout{300};
/*! @brief Retry-After when the outcome of a claim is not known. */
constexpr milliseconds claim_retry_after{1000};
/*! @brief Retry-After when the upstream cannot take the request now. */
constexpr milliseconds busy_retry_after{100};
/*! @brief Timeout of the state read that shows whether an upstream crashed. */
constexpr milliseconds crash_check_timeout{1000};
constexpr std::string_view weights_field = "\"weights\":\"";
constexpr std::string_view stream_end = "data: [DONE]";
constexpr std::size_t hash_digits = 64;
/*! @brief Bytes of a response's end that are searched for the end event. */
constexpr std::size_t max_tail = 128;

/*! @brief Returns whether a part of a response carries a weights hash other
 * than the expected one. */
bool has_foreign_weights(std::string_view part, const std::string& expected)
{
    auto at = part.find(weights_field);
    while (at != std::string_view::npos)
    {
        const auto hash = part.substr(at + weights_field.size(), hash_digits);
        if (hash.size() == hash_digits && hash != expected)
            return true;
        at = part.find(weights_field, at + weights_field.size());
    }
    return false;
}

} // namespace internal

struct run_service::implementation
{
    using run_key = std::pair<instance_id, std::uint64_t>;

    struct active_run
    {
        message::dispatch dispatch;
        instance_id entry;
        std::string body;
        request_content content;
        std::string expected_weights; /*!< Empty for a plain service. */
        std::string content_type;
        std::string tail;
        std::string cached_body;
        http_client::call_id call{0};
        std::uint32_t sent_parts{0};
        bool on_trial{false};
        bool claim_pending{false};
        bool entry_lost{false};
        bool foreign_weights{false}; /*!< Aborted because of them. */
        refusal refusal_reason{refusal::none};
        time_point started_at{};
    };

    using run_pointer = std::shared_ptr<active_run>;

    implementation(node& owner, upstream_client& target,
                   replica_callbacks callbacks)
        : host(owner), upstream(target), replica(std::move(callbacks)),
          registry(internal::max_remembered_requests),
          claims(owner, internal::max_remembered_requests)
    {
    }

    static time_point now() { return event_loop::now(); }

    // Claims and admission.

    void handle_dispatch(const instance_id& from, message::dispatch dispatch,
                         std::string body)
    {
        auto run = std::make_shared<active_run>();
        run->entry = from;
        run->content =
            request_content::of(dispatch.organisation, dispatch.path, body);
        run->on_trial = host.crashes().status(run->content, now()) ==
                        crash_status::on_trial;
        run->body = std::move(body);
        run->started_at = now();
        const auto reason = refusal_for(dispatch);
        run->dispatch = std::move(dispatch);
        if (reason != refusal::none)
            return refuse(run, reason, internal::busy_retry_after);
        runs[{from, run->dispatch.stream}] = run;
        if (run->dispatch.not_repeatable)
            return start_once(run);
        start(run);
    }

    refusal refusal_for(const message::dispatch& dispatch) const
    {
        if (host.is_leaving())
            return refusal::leaving;
        if (!replica.accepts_requests() ||
            (!dispatch.weights.empty() &&
             dispatch.weights != replica.serving_version().hex()))
            return refusal::closed;
        return runs.size() >= replica.slots() ? refusal::busy : refusal::none;
    }

    /*! @brief Ends an attempt that has not started and never will. */
    void refuse(const run_pointer& run, refusal reason,
                milliseconds retry_after)
    {
        run->refusal_reason = reason;
        send_end(run, outcome::not_run, 503, std::string(to_string(reason)),
                 retry_after);
    }

    /*! @brief Starts a not-repeatable request, unless it was started before
     * here or elsewhere. */
    void start_once(const run_pointer& run)
    {
        const request_id id(run->dispatch.request);
        switch (registry.begin_claim(id))
        {
        case start_decision::start:
            run->claim_pending = true;
            return request_claim(run);
        case start_decision::claim_pending:
        case start_decision::running:
            return end_duplicate(run, internal::claim_retry_after);
        case start_decision::finished:
            return replay_response(run, registry.find_response(id));
        case start_decision::claimed_elsewhere:
            return end_duplicate(run);
        case start_decision::forbidden:
            return refuse(run, refusal::cancelled, milliseconds(0));
        }
    }

    /*! @brief Ends an attempt of a request that was started before. */
    void end_duplicate(const run_pointer& run,
                       milliseconds retry_after = milliseconds(0))
    {
        run->refusal_reason = refusal::duplicate;
        send_end(run, outcome::unknown, 409,
                 std::string(to_string(refusal::duplicate)), retry_after);
    }

    /*! @brief Sends the cached response of a request that has already run; a
     * response that is not cached makes it a duplicate. */
    void replay_response(const run_pointer& run,
                         const cached_response* response)
    {
        if (response == nullptr)
            return end_duplicate(run);
        run->content_type = response->content_type;
        send_part(run, response->body);
        send_end(run, outcome::answered, response->status, "cached response");
    }

    void request_claim(const run_pointer& run)
    {
        claims.claim(request_id(run->dispatch.request),
                     [this, run](internal::claim_result result)
                     { handle_claim(run, result); });
    }

    void handle_claim(const run_pointer& run, internal::claim_result result)
    {
        const request_id id(run->dispatch.request);
        switch (result)
        {
        case internal::claim_result::won:
            run->claim_pending = false;
            if (registry.start_claimed(id))
                return start(run);
            return refuse(run, refusal::cancelled, milliseconds(0));
        case internal::claim_result::lost:
            run->claim_pending = false;
            registry.claim_lost(id);
            return end_duplicate(run);
        case internal::claim_result::unknown:
            return handle_unknown_claim(run);
        }
    }

    void handle_unknown_claim(const run_pointer& run)
    {
        run->claim_pending = false;
        registry.release_claim(request_id(run->dispatch.request));
        refuse(run, refusal::claim, internal::claim_retry_after);
    }

    // Running.

    void start(const run_pointer& run)
    {
        host.counters().count("runs_started_total");
        run->expected_weights = replica.serving_version().empty()
                                    ? ""
                                    : replica.serving_version().hex();
        http_call call;
        call.method = "POST";
        call.url = upstream.url() + run->dispatch.path;
        call.headers = {{"Content-Type", "application/json"},
                        {"Request-Id", run->dispatch.request},
                        {"Organisation", run->dispatch.organisation},
                        {"Priority", std::to_string(run->dispatch.priority)},
                        {"Seed", std::to_string(run->dispatch.seed)}};
        if (run->dispatch.resume_from > 0)
            call.headers["Resume-From"] =
                std::to_string(run->dispatch.resume_from);
        call.body = std::move(run->body);
        // No timeout for the whole call: the entry cancels late requests, and
        // a response that has begun may end after its deadline.
        call.new_connection = true;
        call.answer_time = internal::upstream_silence_timeout;
        call.stall_time = internal::upstream_silence_timeout;
        run->call = host.http().start(
            std::move(call),
            [this, run](const http_result& done)
            { handle_upstream_result(run, done); },
            [this, run](int, std::string bytes)
            { handle_bytes(run, std::move(bytes)); });
    }

    void handle_bytes(const run_pointer& run, std::string bytes)
    {
        if (run->foreign_weights)
            return;
        if (!run->expected_weights.empty() &&
            internal::has_foreign_weights(bytes, run->expected_weights))
            return abort_foreign_weights(run);
        if (run->sent_parts == 0 && !run->expected_weights.empty())
        {
            const auto took = now() - run->started_at;
            replica.record_first_token(took);
            host.counters().observe("first_token_seconds", to_seconds(took));
        }
        run->tail.append(bytes);
        if (run->tail.size() > internal::max_tail)
            run->tail.erase(0, run->tail.size() - internal::max_tail);
        send_part(run, bytes);
    }

    /*! @brief Aborts a response that was computed with other weights than the
     * expected ones, and has the state of the upstream read again. */
    void abort_foreign_weights(const run_pointer& run)
    {
        run->foreign_weights = true;
        host.counters().count("answers_foreign_weights_total");
        host.http().cancel(run->call);
        replica.invalidate();
        finish(run, outcome::unknown, 502,
               "the response came from unexpected weights");
    }

    void send_part(const run_pointer& run, std::string_view bytes)
    {
        if (run->dispatch.not_repeatable &&
            run->cached_body.size() <= internal::max_cached_body)
            run->cached_body.append(bytes);
        message::answer_part part;
        part.stream = run->dispatch.stream;
        part.attempt = run->dispatch.attempt;
        part.index = run->sent_parts++;
        if (!run->entry_lost)
            host.send(run->entry, part, bytes);
    }

    void handle_upstream_result(const run_pointer& run, const http_result& done)
    {
        if (done.reach == http_reach::not_sent)
            return end_unreached(run);
        if (done.reach == http_reach::interrupted)
        {
            const bool was_serving =
                !run->expected_weights.empty() && replica.accepts_requests();
            replica.invalidate();
            check_for_crash(*run, was_serving);
            return finish(run, outcome::unknown, 502,
                          "the upstream connection was interrupted: " +
                              done.fault);
        }
        const auto type = done.headers.find("content-type");
        run->content_type = type == done.headers.end() ? "" : type->second;
        const bool stream =
            run->content_type.rfind("text/event-stream", 0) == 0;
        if (done.unframed && !stream)
            return confirm_end(run, done);
        end_answered(run, done);
    }

    /*! @brief Finds out whether the upstream crashed when it ended the
     * connection of a response that nothing else delimits. */
    void confirm_end(const run_pointer& run, const http_result& done)
    {
        const bool engine = !run->expected_weights.empty();
        const bool was_serving = engine && replica.accepts_requests();
        run->call = host.http().start(
            make_state_call(),
            [this, run, done, engine, was_serving](const http_result& state)
            {
                if (!has_crashed(state, engine, was_serving))
                    return end_answered(run, done);
                check_for_crash(*run, was_serving);
                finish(run, outcome::unknown, 502,
                       "the upstream crashed while its response ended");
            });
    }

    void end_answered(const run_pointer& run, const http_result& done)
    {
        if (done.status == 503 && !run->expected_weights.empty())
        {
            replica.invalidate();
            return refuse(run, refusal::closed, internal::busy_retry_after);
        }
        const auto weights = done.headers.find("weights");
        if (!run->expected_weights.empty() && done.ok() &&
            (weights == done.headers.end() ||
             weights->second != run->expected_weights))
            return abort_foreign_weights(run);
        const bool stream =
            run->content_type.rfind("text/event-stream", 0) == 0;
        if (stream && run->tail.find(internal::stream_end) == std::string::npos)
            return finish(run, outcome::unknown, 502,
                          "the stream ended without [DONE]");
        if (!done.ok() && !done.body.empty())
            send_part(run, done.body);
        finish(run, outcome::answered, static_cast<std::uint16_t>(done.status),
               "");
    }

    /*! @brief Asks an upstream that interrupted a run whether it has crashed:
     * it has when it accepts no connection, or when an engine serves no version
     * any more.
     * @param was_serving Whether it served a version until then. If so, an
     * engine that is loading has crashed too, since the load command is sent
     * again immediately. If not, the load may have begun during the run and cut
     * it. */
    void check_for_crash(const active_run& run, bool was_serving)
    {
        const instance_id process_id(host.settings().instance.value() + "/" +
                                     std::to_string(host.incarnation()));
        const auto crash =
            crash_id_of(process_id, incarnation(crash_count + 1));
        const auto evidence = evidence_of(run.on_trial, run.sent_parts > 0);
        if (!crash_tracker.add_lost_attempt({host.settings().instance,
                                             upstream.url(),
                                             {run.content, crash, evidence}},
                                            now()))
            return;
        host.http().start(make_state_call(),
                          [this, engine = !run.expected_weights.empty(),
                           was_serving](const http_result& done)
                          {
                              if (has_crashed(done, engine, was_serving))
                                  record_upstream_crash();
                          });
    }

    [[nodiscard]] http_call make_state_call() const
    {
        http_call call;
        call.url = upstream.url() + "/v1/state";
        call.timeout = internal::crash_check_timeout;
        return call;
    }

    [[nodiscard]] static bool has_crashed(const http_result& done, bool engine,
                                          bool was_serving)
    {
        if (done.reach == http_reach::not_sent)
            return true;
        const auto body = nlohmann::json::parse(done.body, nullptr, false);
        return engine && done.ok() && body.is_object() &&
               body.value("serving", "").empty() &&
               (was_serving || !body.value("loading", false));
    }

    void record_upstream_crash()
    {
        ++crash_count;
        const auto reports = crash_tracker.confirm_crash(
            host.settings().instance, crash_proof::confirmed, now());
        host.counters().count("upstreams_ended_under_requests_total");
        log::warning("upstream_ended",
                     {{"requests", std::to_string(reports.size())}});
        host.crashes().record_crashes(reports, now());
    }

    /*! @brief Ends a run that did not start, as the upstream accepted no
     * connection. */
    void end_unreached(const run_pointer& run)
    {
        if (run->dispatch.not_repeatable)
            registry.upstream_unreached(request_id(run->dispatch.request));
        replica.invalidate();
        refuse(run, refusal::unreachable, internal::busy_retry_after);
    }

    void finish(const run_pointer& run, outcome result, std::uint16_t status,
                const std::string& reason)
    {
        if (run->dispatch.not_repeatable)
        {
            const bool cacheable =
                result == outcome::answered &&
                run->cached_body.size() <= internal::max_cached_body;
            registry.finish(request_id(run->dispatch.request),
                            cacheable
                                ? cached_response{status, run->content_type,
                                                  run->cached_body}
                                : cached_response{});
        }
        send_end(run, result, status, reason);
    }

    void send_end(const run_pointer& run, outcome result, std::uint16_t status,
                  const std::string& reason,
                  milliseconds retry_after = milliseconds(0))
    {
        const auto found = runs.find({run->entry, run->dispatch.stream});
        if (found != runs.end() && found->second == run)
            runs.erase(found);
        host.counters().count("runs_ended_total", 1,
                              {{"outcome", std::string(to_string(result))}});
        if (run->entry_lost)
            return;
        message::answer_end end;
        end.stream = run->dispatch.stream;
        end.attempt = run->dispatch.attempt;
        end.result = result;
        end.refused = run->refusal_reason;
        end.status = status;
        end.parts = run->sent_parts;
        end.retry_after_ms = static_cast<std::uint32_t>(retry_after.count());
        end.load = static_cast<std::uint32_t>(runs.size());
        end.content_type = run->content_type;
        end.weights = run->expected_weights;
        end.reason = reason;
        host.send(run->entry, end);
    }

    // Cancellation.

    void handle_cancel(const instance_id& from, const message::cancel& cancel)
    {
        const auto found = runs.find({from, cancel.stream});
        if (found == runs.end() ||
            found->second->dispatch.attempt != cancel.attempt)
            return;
        // Copied, since ending the run erases it from the map.
        const auto run = found->second;
        cancel_run(run);
    }

    /*! @brief Cancels a run that no caller waits for; a not-repeatable request
     * that has started runs to its end. */
    void cancel_run(const run_pointer& run)
    {
        if (run->claim_pending)
        {
            // It has not started: makes sure that it never will.
            static_cast<void>(
                registry.forbid(request_id(run->dispatch.request)));
            return;
        }
        if (run->dispatch.not_repeatable)
            return;
        host.counters().count("runs_cancelled_total");
        host.http().cancel(run->call);
        finish(run, outcome::unknown, 499, "cancelled");
    }

    void peer_lost(const instance_id& peer)
    {
        claims.peer_lost(peer);
        std::vector<run_pointer> affected;
        for (const auto& [key, run] : runs)
        {
            if (key.first == peer)
                affected.push_back(run);
        }
        for (const auto& run : affected)
        {
            run->entry_lost = true;
            cancel_run(run);
        }
    }

    node& host;
    upstream_client& upstream;
    replica_callbacks replica;
    run_registry registry;
    internal::run_claims claims;
    lost_attempt_tracker crash_tracker;
    std::uint64_t crash_count{0}; /*!< Crashes of the upstream seen here. */
    std::map<run_key, run_pointer> runs;
};

run_service::run_service(node& owner, upstream_client& upstream,
                         replica_callbacks replica)
    : self(
          std::make_unique<implementation>(owner, upstream, std::move(replica)))
{
}

run_service::~run_service() = default;

bool run_service::handle_frame(const instance_id& from, frame& received)
{
    if (received.type == frame_type::dispatch)
    {
        auto dispatch = decode<message::dispatch>(received.head);
        if (dispatch)
            self->handle_dispatch(from, std::move(dispatch.value()),
                                  std::move(received.payload));
        return true;
    }
    if (received.type == frame_type::cancel)
    {
        const auto cancel = decode<message::cancel>(received.head);
        if (cancel)
            self->handle_cancel(from, cancel.value());
        return true;
    }
    return self->claims.handle_frame(from, received);
}

void run_service::peer_lost(const instance_id& peer)
{
    self->peer_lost(peer);
}

std::size_t run_service::size() const
{
    return self->runs.size();
}

std::string run_service::dump() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [key, run] : self->runs)
        list.push_back({{"entry", key.first.value()},
                        {"stream", key.second},
                        {"request", run->dispatch.request},
                        {"organisation", run->dispatch.organisation},
                        {"parts", run->sent_parts},
                        {"not_repeatable", run->dispatch.not_repeatable},
                        {"claiming", run->claim_pending}});
    return nlohmann::json{{"runs", std::move(list)},
                          {"remembered", self->registry.size()}}
        .dump();
}

} // namespace coursejunction
