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

constexpr std::size_t remembered_requests = 100'000;
constexpr std::size_t kept_body = std::size_t{64} << 10U;
constexpr std::chrono::seconds longest_silence{300};
constexpr milliseconds outage_retry{1000};
constexpr milliseconds busy_retry{100};
/*! @brief Time in which an upstream that lives answers for its state. */
constexpr milliseconds end_timeout{1000};
constexpr std::string_view weights_mark = "\"weights\":\"";
constexpr std::string_view done_mark = "data: [DONE]";
constexpr std::size_t hash_digits = 64;
constexpr std::size_t tail_kept = 128;

/*! @brief Looks in a part of an answer for weights other than expected. */
bool foreign_weights(std::string_view part, const std::string& expected)
{
    auto at = part.find(weights_mark);
    while (at != std::string_view::npos)
    {
        const auto hash = part.substr(at + weights_mark.size(), hash_digits);
        if (hash.size() == hash_digits && hash != expected)
            return true;
        at = part.find(weights_mark, at + weights_mark.size());
    }
    return false;
}

} // namespace internal

struct run_service::implementation
{
    using run_key = std::pair<instance_id, std::uint64_t>;

    struct run
    {
        message::dispatch ask;
        instance_id from;
        std::string body;
        request_content content;
        std::string expected;
        std::string content_type;
        std::string tail;
        std::string kept;
        http_client::call_id call{0};
        std::uint32_t parts{0};
        bool trial{false};
        bool claiming{false};
        bool orphan{false};
        bool mixed{false};
        refusal refused{refusal::none};
        time_point began{};
    };

    using run_pointer = std::shared_ptr<run>;

    implementation(node& owner, upstream_client& to, run_gate with)
        : host(owner), upstream(to), gate(std::move(with)),
          registry(internal::remembered_requests),
          claims(owner, internal::remembered_requests)
    {
    }

    static time_point now() { return event_loop::now(); }

    // Admission.

    void dispatched(const instance_id& from, message::dispatch ask,
                    std::string body)
    {
        auto one = std::make_shared<run>();
        one->from = from;
        one->content = request_content::of(ask.organisation, ask.path, body);
        one->trial = host.crashes().status(one->content, now()) ==
                     crash_status::on_trial;
        one->body = std::move(body);
        one->began = now();
        const auto why = refused(ask);
        one->ask = std::move(ask);
        if (why != refusal::none)
            return refuse(one, why, internal::busy_retry);
        runs[{from, one->ask.stream}] = one;
        if (one->ask.not_repeatable)
            return admit(one);
        start(one);
    }

    refusal refused(const message::dispatch& ask) const
    {
        if (host.is_leaving())
            return refusal::leaving;
        if (!gate.open() ||
            (!ask.weights.empty() && ask.weights != gate.weights().hex()))
            return refusal::closed;
        return runs.size() >= gate.slots() ? refusal::busy : refusal::none;
    }

    /*! @brief Ends an attempt that did not start and never will. */
    void refuse(const run_pointer& one, refusal why, milliseconds retry_after)
    {
        one->refused = why;
        end(one, outcome::not_run, 503, std::string(to_string(why)),
            retry_after);
    }

    void admit(const run_pointer& one)
    {
        const request_id id(one->ask.request);
        switch (registry.begin_claim(id))
        {
        case start_decision::start:
            one->claiming = true;
            return claim(one);
        case start_decision::claim_pending:
        case start_decision::running:
            return duplicate(one, internal::outage_retry);
        case start_decision::finished:
            return repeat(one, registry.find_response(id));
        case start_decision::claimed_elsewhere:
            return duplicate(one);
        case start_decision::forbidden:
            return refuse(one, refusal::cancelled, milliseconds(0));
        }
    }

    /*! @brief Ends an attempt of a request that was started before. */
    void duplicate(const run_pointer& one,
                   milliseconds retry_after = milliseconds(0))
    {
        one->refused = refusal::duplicate;
        end(one, outcome::unknown, 409,
            std::string(to_string(refusal::duplicate)), retry_after);
    }

    /*! @brief Gives the kept answer of a request that has run. */
    void repeat(const run_pointer& one, const cached_response* answer)
    {
        if (answer == nullptr)
            return duplicate(one);
        one->content_type = answer->content_type;
        part(one, answer->body);
        end(one, outcome::answered, answer->status, "repeated answer");
    }

    void claim(const run_pointer& one)
    {
        claims.claim(request_id(one->ask.request),
                     [this, one](internal::claim_result end)
                     { claimed(one, end); });
    }

    void claimed(const run_pointer& one, internal::claim_result end)
    {
        const request_id id(one->ask.request);
        switch (end)
        {
        case internal::claim_result::won:
            one->claiming = false;
            if (registry.start_claimed(id))
                return start(one);
            return refuse(one, refusal::cancelled, milliseconds(0));
        case internal::claim_result::lost:
            one->claiming = false;
            registry.claim_lost(id);
            return duplicate(one);
        case internal::claim_result::unknown:
            return unclaimed(one);
        }
    }

    void unclaimed(const run_pointer& one)
    {
        one->claiming = false;
        registry.release_claim(request_id(one->ask.request));
        refuse(one, refusal::claim, internal::outage_retry);
    }

    // Running.

    void start(const run_pointer& one)
    {
        host.counters().count("runs_started_total");
        one->expected = gate.weights().empty() ? "" : gate.weights().hex();
        http_call call;
        call.method = "POST";
        call.url = upstream.url() + one->ask.path;
        call.headers = {{"Content-Type", "application/json"},
                        {"Request-Id", one->ask.request},
                        {"Organisation", one->ask.organisation},
                        {"Priority", std::to_string(one->ask.priority)},
                        {"Seed", std::to_string(one->ask.seed)}};
        if (one->ask.resume_from > 0)
            call.headers["Resume-From"] = std::to_string(one->ask.resume_from);
        call.body = std::move(one->body);
        // The entry ends what is late; a begun answer may be late and whole.
        call.new_connection = true;
        call.answer_time = internal::longest_silence;
        call.stall_time = internal::longest_silence;
        one->call = host.http().start(
            std::move(call),
            [this, one](const http_result& done) { ended(one, done); },
            [this, one](int, std::string bytes)
            { streamed(one, std::move(bytes)); });
    }

    void streamed(const run_pointer& one, std::string bytes)
    {
        if (one->mixed)
            return;
        if (!one->expected.empty() &&
            internal::foreign_weights(bytes, one->expected))
            return mixed(one);
        if (one->parts == 0 && !one->expected.empty())
        {
            const auto took = now() - one->began;
            gate.first_token(took);
            host.counters().observe("first_token_seconds", to_seconds(took));
        }
        one->tail.append(bytes);
        if (one->tail.size() > internal::tail_kept)
            one->tail.erase(0, one->tail.size() - internal::tail_kept);
        part(one, bytes);
    }

    /*! @brief An answer was computed with other weights than intended: it is
     * cut here and the upstream is read again. */
    void mixed(const run_pointer& one)
    {
        one->mixed = true;
        host.counters().count("answers_foreign_weights_total");
        host.http().cancel(one->call);
        gate.doubt();
        finish(one, outcome::unknown, 502, "answer with unintended weights");
    }

    void part(const run_pointer& one, std::string_view bytes)
    {
        if (one->ask.not_repeatable && one->kept.size() <= internal::kept_body)
            one->kept.append(bytes);
        message::answer_part part;
        part.stream = one->ask.stream;
        part.attempt = one->ask.attempt;
        part.index = one->parts++;
        if (!one->orphan)
            host.send(one->from, part, bytes);
    }

    void ended(const run_pointer& one, const http_result& done)
    {
        if (done.reach == http_reach::not_sent)
            return unreached(one);
        if (done.reach == http_reach::interrupted)
        {
            const bool served = !one->expected.empty() && gate.open();
            gate.doubt();
            look_for_end(*one, served);
            return finish(one, outcome::unknown, 502,
                          "the upstream broke off: " + done.fault);
        }
        const auto type = done.headers.find("content-type");
        one->content_type = type == done.headers.end() ? "" : type->second;
        if (done.status == 503 && !one->expected.empty())
        {
            gate.doubt();
            return refuse(one, refusal::closed, internal::busy_retry);
        }
        const auto weights = done.headers.find("weights");
        if (!one->expected.empty() && done.ok() &&
            (weights == done.headers.end() || weights->second != one->expected))
            return mixed(one);
        const bool stream =
            one->content_type.rfind("text/event-stream", 0) == 0;
        if (stream && one->tail.find(internal::done_mark) == std::string::npos)
            return finish(one, outcome::unknown, 502, "the stream has no end");
        if (!done.ok() && !done.body.empty())
            part(one, done.body);
        finish(one, outcome::answered, static_cast<std::uint16_t>(done.status),
               "");
    }

    /*! @brief A run broke off. Whether its upstream ended is asked there: it
     * did when nobody listens any more, or when it serves nothing where it
     * served weights.
     * @param served Whether it served until then. The order to load again goes
     * out at once; without it, an upstream that already loads was ordered to
     * while the run was under way, and may have cut it. */
    void look_for_end(const run& one, bool served)
    {
        const instance_id life(host.settings().instance.value() + "/" +
                               std::to_string(host.incarnation()));
        const auto end = crash_id_of(life, incarnation(ends + 1));
        const auto evidence = one.trial       ? crash_evidence::trial
                              : one.parts > 0 ? crash_evidence::mid_response
                                              : crash_evidence::before_response;
        if (!witness.add_lost_attempt({host.settings().instance,
                                       upstream.url(),
                                       {one.content, end, evidence}},
                                      now()))
            return;
        http_call call;
        call.url = upstream.url() + "/v1/state";
        call.timeout = internal::end_timeout;
        host.http().start(std::move(call),
                          [this, engine = !one.expected.empty(),
                           served](const http_result& done)
                          {
                              if (has_ended(done, engine, served))
                                  upstream_ended();
                          });
    }

    [[nodiscard]] static bool has_ended(const http_result& done, bool engine,
                                        bool served)
    {
        if (done.reach == http_reach::not_sent)
            return true;
        const auto body = nlohmann::json::parse(done.body, nullptr, false);
        return engine && done.ok() && body.is_object() &&
               body.value("serving", "").empty() &&
               (served || !body.value("loading", false));
    }

    void upstream_ended()
    {
        ++ends;
        const auto accused = witness.confirm_crash(
            host.settings().instance, crash_proof::confirmed, now());
        host.counters().count("upstreams_ended_under_requests_total");
        log::warning("upstream_ended",
                     {{"requests", std::to_string(accused.size())}});
        host.crashes().record_crashes(accused, now());
    }

    /*! @brief The upstream was never connected to: it did not run. */
    void unreached(const run_pointer& one)
    {
        if (one->ask.not_repeatable)
            registry.upstream_unreached(request_id(one->ask.request));
        gate.doubt();
        refuse(one, refusal::unreachable, internal::busy_retry);
    }

    void finish(const run_pointer& one, outcome what, std::uint16_t status,
                const std::string& reason)
    {
        if (one->ask.not_repeatable)
        {
            const bool whole = what == outcome::answered &&
                               one->kept.size() <= internal::kept_body;
            registry.finish(
                request_id(one->ask.request),
                whole ? cached_response{status, one->content_type, one->kept}
                      : cached_response{});
        }
        end(one, what, status, reason);
    }

    void end(const run_pointer& one, outcome what, std::uint16_t status,
             const std::string& reason,
             milliseconds retry_after = milliseconds(0))
    {
        const auto found = runs.find({one->from, one->ask.stream});
        if (found != runs.end() && found->second == one)
            runs.erase(found);
        host.counters().count("runs_ended_total", 1,
                              {{"outcome", std::string(to_string(what))}});
        if (one->orphan)
            return;
        message::answer_end end;
        end.stream = one->ask.stream;
        end.attempt = one->ask.attempt;
        end.result = what;
        end.refused = one->refused;
        end.status = status;
        end.parts = one->parts;
        end.retry_after_ms = static_cast<std::uint32_t>(retry_after.count());
        end.load = static_cast<std::uint32_t>(runs.size());
        end.content_type = one->content_type;
        end.weights = one->expected;
        end.reason = reason;
        host.send(one->from, end);
    }

    // Cancelling.

    void cancelled(const instance_id& from, const message::cancel& cancel)
    {
        const auto found = runs.find({from, cancel.stream});
        if (found == runs.end() || found->second->ask.attempt != cancel.attempt)
            return;
        // Ending the run takes it out of the map: hold it meanwhile.
        const auto one = found->second;
        withdraw(one);
    }

    /*! @brief Ends a run whose caller has left. */
    void withdraw(const run_pointer& one)
    {
        if (one->claiming)
        {
            // Not started: promise that it never will be.
            static_cast<void>(registry.forbid(request_id(one->ask.request)));
            return;
        }
        if (one->ask.not_repeatable)
            return;
        host.counters().count("runs_cancelled_total");
        host.http().cancel(one->call);
        finish(one, outcome::unknown, 499, "cancelled");
    }

    void peer_lost(const instance_id& peer)
    {
        claims.peer_lost(peer);
        std::vector<run_pointer> affected;
        for (const auto& [key, one] : runs)
        {
            if (key.first == peer)
                affected.push_back(one);
        }
        for (const auto& one : affected)
        {
            one->orphan = true;
            withdraw(one);
        }
    }

    node& host;
    upstream_client& upstream;
    run_gate gate;
    run_registry registry;
    internal::run_claims claims;
    lost_attempt_tracker witness;
    std::uint64_t ends{0}; /*!< Of the upstream, as far as they were seen. */
    std::map<run_key, run_pointer> runs;
};

run_service::run_service(node& owner, upstream_client& upstream, run_gate gate)
    : self(std::make_unique<implementation>(owner, upstream, std::move(gate)))
{
}

run_service::~run_service() = default;

bool run_service::received(const instance_id& from, frame& one)
{
    if (one.type == frame_type::dispatch)
    {
        auto ask = decode<message::dispatch>(one.head);
        if (ask)
            self->dispatched(from, std::move(ask.value()),
                             std::move(one.payload));
        return true;
    }
    if (one.type == frame_type::cancel)
    {
        const auto cancel = decode<message::cancel>(one.head);
        if (cancel)
            self->cancelled(from, cancel.value());
        return true;
    }
    return self->claims.handle_frame(from, one);
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
    for (const auto& [key, one] : self->runs)
        list.push_back({{"entry", key.first.value()},
                        {"stream", key.second},
                        {"request", one->ask.request},
                        {"organisation", one->ask.organisation},
                        {"parts", one->parts},
                        {"not_repeatable", one->ask.not_repeatable},
                        {"claiming", one->claiming}});
    return nlohmann::json{{"runs", std::move(list)},
                          {"remembered", self->registry.size()}}
        .dump();
}

} // namespace coursejunction
