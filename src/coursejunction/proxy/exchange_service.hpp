/*! @file
 * @brief Carries callers' requests to upstreams and their answers back.
 */
#ifndef COURSEJUNCTION_PROXY_EXCHANGE_SERVICE_HPP
#define COURSEJUNCTION_PROXY_EXCHANGE_SERVICE_HPP

#include <algorithm>
#include <array>
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
#include "coursejunction/proxy/crash_guard.hpp"
#include "coursejunction/proxy/exchange.hpp"
#include "coursejunction/proxy/exchange_facts.hpp"
#include "coursejunction/proxy/exchange_log.hpp"
#include "coursejunction/proxy/exchange_options.hpp"
#include "coursejunction/proxy/notice_intake.hpp"
#include "coursejunction/proxy/open_exchanges.hpp"
#include "coursejunction/proxy/request_codec.hpp"
#include "coursejunction/proxy/retry_budgets.hpp"
#include "coursejunction/route/dispatcher.hpp"
#include "coursejunction/route/placement_queue.hpp"
#include "coursejunction/route/upstream_registry.hpp"
#include "coursejunction/route/version_floor.hpp"

namespace coursejunction
{

/*! @brief Every request from its arrival to its final answer.
 * @tparam Codec A `Request_codec`. */
template <typename Codec>
class exchange_service
{
public:
    exchange_service(event_loop& owner, stream_client& carrier,
                     upstream_registry& known, metrics& counted, placer choice,
                     exchange_options set)
        : loop(owner), client(carrier), book(known), counters(counted),
          decisions(known, std::move(choice), set.dispatch), options(set),
          crashes(carrier, counted,
                  [this](const request_content& what) { quarantined(what); }),
          intake(known, counted), budgets(set)
    {
        ticking = loop.every(options.tick, [this] { tick(); });
    }

    /*! @brief Puts a configuration into force. */
    void configure(std::shared_ptr<const installation> next)
    {
        current = std::move(next);
        decisions.configure(*current);
    }

    /*! @brief Returns the bounds on versions, to be kept up by the owner. */
    [[nodiscard]] version_floor& floors() { return floor; }

    /*! @brief Returns what is known of requests that crash upstreams. */
    [[nodiscard]] crash_guard& crashing() { return crashes; }

    /*! @brief Tells how many entries share the upstreams. */
    void entries(std::size_t count) { budgets.entries(count); }

    /*! @brief Returns what callers ask of the engines here. */
    [[nodiscard]] request_rates rates(time_point now) const
    {
        return decisions.rates(now);
    }

    /*! @brief Tells what callers ask of the engines at all other entries. */
    void elsewhere(const request_rates& told, time_point now)
    {
        decisions.set_other_entries_rates(told, now);
    }

    /*! @brief Returns callers sent away that other entries were not told of,
     * and takes them for told. */
    [[nodiscard]] std::vector<refusal_record> news_of_refusals(std::size_t most)
    {
        return decisions.take_unsent_refusals(most);
    }

    /*! @brief Sets what is called while other entries were not told of some. It
     * is called soon: some callers come back without a pause. */
    void on_refusals(std::function<void()> call)
    {
        tell_refusals = std::move(call);
    }

    /*! @brief Takes in that another entry sent a caller away. */
    void sent_away_elsewhere(const refusal_record& one, time_point now)
    {
        decisions.record_remote_refusal(one, now);
    }

    /*! @brief Forgets callers that have left; called now and then. */
    void expire(time_point now) { decisions.expire(now); }

    /*! @brief Tells whether an engine takes new requests: those that do are
     * divided between the entries. */
    [[nodiscard]] bool takes_new(const known_upstream& one,
                                 time_point now) const
    {
        const auto* service =
            current ? current->service(one.record.service) : nullptr;
        if (service == nullptr || !service->engine || one.leaving() ||
            !one.status || !one.status->open || !one.status->reachable)
            return false;
        const auto& told = *one.status;
        return told.version >= floor.minimum(told.model, now);
    }

    /*! @brief Returns what takes in what upstreams say of themselves. */
    [[nodiscard]] notice_intake& notices() { return intake; }

    /*! @brief Tells whether others have known a newer state for long: what the
     * configuration here does not allow may be allowed by then. */
    void outdated(bool is) { rules_outdated = is; }

    /*! @brief Takes a request. */
    void request(stream_request from, stream_reply reply)
    {
        const auto number = ++last_number;
        auto one = std::make_shared<exchange>();
        one->number = number;
        one->arrived = event_loop::now();
        one->asked = Codec::decode(from);
        one->original = std::move(from);
        one->reply = std::move(reply);
        counters.count("requests_total");
        const auto refused = admit(*one);
        if (refused != 0)
            return reject(*one,
                          rules_outdated && exchange_facts::denies(refused)
                              ? 503
                              : refused);
        open.add(one);
        one->reply.on_left([this, number] { left(number); });
        arm_limit(*one);
        place(*one);
    }

    /*! @brief An upstream has started again: connections to its earlier life
     * are dead, and what went there may have run and is not answered any more.
     */
    void life_ended(const ended_incarnation& life)
    {
        client.forget(life.address);
        const auto& attempts = life.attempts;
        const auto lost = [&](const exchange& one)
        {
            return std::find(attempts.begin(), attempts.end(), one.attempt) !=
                   attempts.end();
        };
        for (const auto number : open.numbers_of(lost))
            open.with(number,
                      [&](exchange& one)
                      {
                          client.cancel(one.call);
                          crashes.lost(
                              exchange_facts::lost_attempt_of(
                                  one, life.life, attempt_loss::closed),
                              event_loop::now());
                          failed(one, attempt_reach::may_have_run,
                                 "upstream has started again");
                      });
        crashes.ended(life.upstream, "it has started again");
    }

    /*! @brief Looks at waiting requests again: an upstream may be free. */
    void tick()
    {
        for (const auto number : waiting.request_numbers())
            open.with(number, [this](exchange& one) { place(one); });
        if (tell_refusals && decisions.has_unsent_refusals())
            tell_refusals();
    }

    /*! @brief Returns how many requests are open. */
    [[nodiscard]] std::size_t size() const { return open.size(); }

    /*! @brief Returns how many requests wait for a place. */
    [[nodiscard]] std::size_t queued() const { return waiting.size(); }

private:
    // --- Admission -------------------------------------------------------

    /*! @brief Returns 0, or the status with which the request is refused. */
    int admit(exchange& one)
    {
        if (!current)
            return 503;
        one.rules = current;
        one.route = one.rules->route(one.asked.host, one.asked.path);
        if (one.route == nullptr)
            return 404;
        if (one.rules->keyed && !one.route->open)
        {
            const auto* owner =
                one.asked.key ? one.rules->owner(*one.asked.key) : nullptr;
            if (owner == nullptr)
                return 401;
            one.owner = owner->id;
        }
        if (one.asked.id.empty())
            return 400;
        one.content = exchange_facts::content_of(one);
        one.fingerprint = exchange_facts::fingerprint_of(one);
        const auto hash = std::hash<std::string>{}(one.asked.id.value());
        const auto* service = service_for(*one.route, hash);
        if (service == nullptr)
            return 503;
        one.service = *service;
        one.ends = one.arrived + one.route->timeout;
        if (one.asked.deadline)
            one.ends = std::min<time_point>(one.ends,
                                            one.arrived + *one.asked.deadline);
        budgets.of(one.service).request(one.arrived);
        one.standing = decisions.record_arrival(
            *one.route, exchange_facts::profile_of(one), one.fingerprint,
            one.asked.deadline, one.arrived);
        if (one.standing.is_retry())
            counters.count("requests_returned_total", 1,
                           {{"known_by", std::string(evidence_name(
                                             one.standing.history.known_by))}});
        return 0;
    }

    void reject(exchange& one, int status)
    {
        counters.count("requests_refused_total", 1,
                       {{"status", std::to_string(status)}});
        exchange_log::rejected(one, status, current.get());
        constexpr milliseconds soon{500};
        one.reply.send(
            status,
            status == 503 ? Codec::refusal_headers(soon) : header_list{}, "");
    }

    void arm_limit(exchange& one)
    {
        one.limit =
            loop.after(one.ends - one.arrived,
                       [this, number = one.number] { limit_reached(number); });
    }

    // --- Placement -------------------------------------------------------

    void place(exchange& one)
    {
        const auto now = event_loop::now();
        // After a suspension its time may have run out before its timer has.
        if (now >= one.ends)
            return limit_reached(one.number);
        if (one.runs > 0 && now - one.failed_at < options.verdict_time &&
            crashes.looking_into(one.content, now))
            return queue(one, {});
        if (!may_run_beside_copies(one, now))
            return;
        const auto what = decisions.decide(exchange_facts::profile_of(one),
                                           placement_of(one, now), now);
        if (const auto* to = std::get_if<send_to>(&what))
            return send(one, *to);
        if (const auto* waits = std::get_if<wait_for_slot>(&what))
            return queue(one, waits->reason);
        if (one.runs > 0)
            return give_up(one, "no other upstream takes it");
        refuse(one, std::get<refuse_request>(what));
    }

    /*! @brief Upstreams that end under a request get few copies of it. Sent on
     * without an end, one request ended 47 upstreams in 16 s.
     * @return Whether it may be placed now; otherwise it waits or is answered.
     */
    bool may_run_beside_copies(exchange& one, time_point now)
    {
        const auto standing = crashes.standing(one.content, now);
        one.trial = standing == crash_standing::on_trial;
        if (standing == crash_standing::clear)
            return true;
        const auto most = crashes.most_running(one.content, now);
        // A trial is one attempt: that it failed may be all it was to show.
        if (most == 0 || (one.trial && one.runs > 0))
        {
            turn_away(one, now);
            return false;
        }
        if (open.copies_running(one) < most)
            return true;
        wait_for_run(one, now);
        return false;
    }

    /*! @brief Enough upstreams ended under a request, whoever sent it on. */
    void turn_away(exchange& one, time_point now)
    {
        counters.count("requests_turned_away_total");
        if (one.runs > 0)
            return give_up(one, quarantine_reason);
        const auto left =
            std::max(crashes.left(one.content, now), options.trial_time);
        exchange_log::turned_away(one, left);
        send_refusal(one, left);
    }

    /*! @brief Returns the upstreams of requests that may be what ended one. The
     * next end then tells which of them it was: together they would all lose
     * a second upstream, as eight requests of a crash did within 0.15 s. */
    [[nodiscard]] std::vector<instance_id> with_suspects(const exchange& one,
                                                         time_point now) const
    {
        if (!crashes.suspect(one.content, now))
            return {};
        return open.upstreams_beside(
            one, [&](const exchange& other)
            { return crashes.suspect(other.content, now); });
    }

    /*! @brief Copies of a request that is doubted run one after the other:
     * each may end an upstream, and the first one tells. */
    void wait_for_run(exchange& one, time_point now)
    {
        const placement_failure nowhere;
        if (now - one.arrived < options.doubt_wait || one.runs > 0)
            return queue(one, nowhere);
        refuse(one, {nowhere, least_wait()});
    }

    /*! @brief A request was quarantined: its copies that wait at upstreams are
     * taken back before they begin. One that gives events goes on: its answer
     * would show that the request does no harm. */
    void quarantined(const request_content& what)
    {
        const auto waits = [&](const exchange& one)
        { return one.in_flight && !one.progressed && one.content == what; };
        for (const auto number : open.numbers_of(waits))
            open.with(number,
                      [this](exchange& one)
                      {
                          abandon_attempt(one);
                          ++one.runs;
                          give_up(one, quarantine_reason);
                      });
    }

    [[nodiscard]] placement_request placement_of(const exchange& one,
                                                 time_point now) const
    {
        placement_request wanted;
        wanted.service = one.service;
        wanted.model = one.asked.model;
        wanted.prompt_tokens = one.asked.prompt_tokens;
        wanted.target = one.route->target;
        wanted.arrival = one.standing;
        wanted.waiting_since = one.runs > 0 ? one.failed_at : one.arrived;
        wanted.deadline = one.ends;
        wanted.bypasses_limits = one.streaming;
        wanted.excluded = one.tried;
        wanted.avoided = with_suspects(one, now);
        wanted.may_reuse_excluded = one.answered_failure;
        if (!one.asked.model.empty())
            wanted.min_version = floor.minimum(one.asked.model, now);
        return wanted;
    }

    void queue(exchange& one, const placement_failure& why)
    {
        if (one.in_queue)
            return;
        one.in_queue = true;
        waiting.push(exchange_facts::place_in_line(one));
        exchange_log::queued(one, why);
    }

    void refuse(exchange& one, const refuse_request& how)
    {
        exchange_log::refused(one, how.reason, how.retry_after);
        send_refusal(one, how.retry_after);
    }

    /*! @brief The final answer of a request that has not run. */
    void send_refusal(exchange& one, milliseconds come_back)
    {
        counters.count("requests_refused_total", 1, {{"status", "503"}});
        one.reply.send(503, Codec::refusal_headers(come_back), "");
        remember_caller(one, come_back);
        forget(one);
    }

    /*! @brief The caller may try again: whichever entry of the hall it comes
     * to should know since when it waits. */
    void remember_caller(const exchange& one, milliseconds come_back)
    {
        const auto now = event_loop::now();
        refusal_record made;
        made.fingerprint = one.fingerprint;
        made.first_arrival = one.arrived - one.standing.history.waited;
        if (one.asked.deadline)
            made.deadline = one.arrived + *one.asked.deadline;
        made.refused_at = now;
        made.retry_at = now + come_back;
        decisions.record_refusal(made, now);
    }

    // --- One attempt -----------------------------------------------------

    void send(exchange& one, const send_to& to)
    {
        const auto& at = to.choice;
        const auto now = event_loop::now();
        leave_queue(one);
        one.at = at;
        one.attempt = ++last_attempt;
        one.sent = now;
        one.head = {};
        one.body.clear();
        one.progressed = false;
        one.in_flight = true;
        one.tried.push_back(at.upstream);
        one.events.drop_rest();
        const auto left =
            std::chrono::duration_cast<milliseconds>(one.ends - now);
        attempt_facts facts;
        facts.upstream = at.upstream;
        facts.organisation = one.owner;
        facts.left = std::max(left, milliseconds(1));
        facts.version = at.version;
        facts.last_event =
            one.events.last_id() ? one.events.last_id() : one.asked.last_event;
        facts.rank = to.rank;
        stream_call call;
        call.address = at.address;
        call.method = one.original.method;
        call.target = one.original.target;
        call.headers = Codec::attempt_headers(one.original, facts);
        call.body = one.original.body;
        // What may run once goes out on a connection that cannot be half dead.
        call.repeatable = one.route->repeatable() && !ends_soon(one, now);
        book.begin_attempt(at.upstream, one.attempt, one.asked.prompt_tokens,
                           now);
        counters.count("attempts_total");
        exchange_log::sent(one, left);
        one.call = client.start(std::move(call), callbacks(one.number));
        arm_silence(one);
    }

    /*! @brief Tells whether the chosen weights soon become too old to begin a
     * request. Such an attempt goes out on a new connection: a link that holds
     * packets up shows in its opening, before anything is sent that would
     * arrive, and begin, too late. */
    [[nodiscard]] bool ends_soon(const exchange& one, time_point now) const
    {
        const auto ends = floor.superseded_at(one.asked.model, one.at.version);
        return ends && *ends - now < options.old_weights_notice;
    }

    stream_client::callbacks callbacks(std::uint64_t number)
    {
        stream_client::callbacks to;
        to.head = [this, number](const stream_head& head)
        { open.with(number, [&](exchange& one) { got_head(one, head); }); };
        to.data = [this, number](std::string_view bytes)
        { open.with(number, [&](exchange& one) { got_data(one, bytes); }); };
        to.ended = [this, number](stream_end how, const std::string& why)
        { open.with(number, [&](exchange& one) { got_end(one, how, why); }); };
        return to;
    }

    /*! @brief Gives a stream's upstream up when it is silent for too long. */
    void arm_silence(exchange& one)
    {
        if (one.route->kind != request_kind::stream || !one.route->resumable)
            return;
        one.silence = loop.after(
            one.progressed
                ? std::chrono::microseconds(options.dispatch.max_stream_pause)
                : first_event_limit(one),
            [this, number = one.number]
            {
                open.with(number,
                          [&](exchange& found)
                          {
                              client.cancel(found.call);
                              note_lost(found, attempt_loss::silent);
                              failed(found, attempt_reach::may_have_run,
                                     "upstream is silent");
                          });
            });
    }

    /*! @brief Returns how long an attempt's first event is waited for: a few
     * times its prediction, and no longer than its weights may begin requests,
     * since it may still stand in a queue when they have become too old. */
    [[nodiscard]] std::chrono::microseconds
    first_event_limit(const exchange& one) const
    {
        std::chrono::microseconds limit =
            milliseconds(static_cast<std::int64_t>(one.at.predicted_ms *
                                                   options.first_factor)) +
            options.first_slack;
        const auto ends = floor.superseded_at(one.asked.model, one.at.version);
        if (ends)
            limit = std::min(limit, *ends + options.old_weights_grace -
                                        event_loop::now());
        return std::max(limit, std::chrono::microseconds(0));
    }

    void got_head(exchange& one, const stream_head& head)
    {
        one.head = head;
        const auto facts = Codec::facts(head);
        if (facts.id == one.asked.id || facts.not_run)
            return intake.heard(one, facts.notice, event_loop::now());
        // The answer to another request: nothing on this connection is ours.
        client.cancel(one.call);
        failed(one, attempt_reach::may_have_run,
               "answer carries another request's id");
    }

    void got_data(exchange& one, std::string_view bytes)
    {
        if (!exchange_facts::passes_events(one))
        {
            one.body.append(bytes);
            return;
        }
        const auto events = one.events.take(bytes);
        if (events.empty())
            return;
        if (!one.progressed)
            first_event(one);
        begin_stream(one);
        one.reply.write(events);
        arm_silence(one);
    }

    void first_event(exchange& one)
    {
        one.progressed = true;
        book.mark_first_event(one.at.upstream, one.attempt);
        const auto now = event_loop::now();
        const auto took = to_seconds(now - one.sent);
        constexpr double ms = 1000;
        book.record_first_event_time(one.at.upstream, one.at.uncorrected_ms,
                                     took * ms);
        counters.observe("first_event_seconds", took);
        exchange_log::first_event(one, now);
    }

    void begin_stream(exchange& one)
    {
        if (one.streaming)
            return;
        one.streaming = true;
        one.reply.begin(one.head.status, Codec::answer_headers(one.head));
    }

    void got_end(exchange& one, stream_end how, const std::string& why)
    {
        if (how == stream_end::closed)
            note_lost(one, attempt_loss::closed);
        if (how != stream_end::whole)
            return failed(one,
                          how == stream_end::not_sent
                              ? attempt_reach::not_sent
                              : attempt_reach::may_have_run,
                          why);
        const auto facts = Codec::facts(one.head);
        if (facts.not_run)
            return failed(one, attempt_reach::not_run,
                          "upstream did not run it (" +
                              std::to_string(one.head.status) + ")");
        if (facts.id != one.asked.id)
            return failed(one, attempt_reach::may_have_run,
                          "answer carries another request's id");
        if (exchange_facts::passes_events(one))
            return finish_stream(one);
        answered(one);
    }

    /*! @brief An attempt was lost. An upstream that is leaving may end. */
    void note_lost(const exchange& one, attempt_loss how)
    {
        const auto* known = book.find(one.at.upstream);
        if (known != nullptr && known->leaving())
            return;
        const auto life = known != nullptr ? known->life : incarnation{};
        crashes.lost(exchange_facts::lost_attempt_of(one, life, how),
                     event_loop::now());
    }

    void finish_stream(exchange& one)
    {
        const auto rest = one.events.rest();
        begin_stream(one);
        one.reply.write(rest);
        one.reply.finish();
        settle(one, true, "answered");
    }

    /*! @brief A whole answer that is not a stream. */
    void answered(exchange& one)
    {
        const int status = one.head.status;
        constexpr int server_error = 500;
        if (status >= server_error && !one.streaming &&
            exchange_facts::may_repeat(one))
        {
            one.own_failure = one.head;
            one.own_failure_body = std::move(one.body);
            return failed(one, attempt_reach::answered,
                          "upstream answered " + std::to_string(status));
        }
        if (one.streaming)
            return cut(one, "upstream answered " + std::to_string(status) +
                                " to a stream that goes on");
        // These would promise that the request did not run; only an upstream
        // that says so may be passed on.
        constexpr std::array<int, 4> promises{408, 421, 429, 503};
        if (std::find(promises.begin(), promises.end(), status) !=
            promises.end())
        {
            one.reply.send(502, {}, "");
            return settle(one, false,
                          "upstream answered " + std::to_string(status) +
                              " without proof that it did not run");
        }
        one.reply.send(status, Codec::answer_headers(one.head), one.body);
        settle(one, status < server_error, "answered");
    }

    // --- Failure ---------------------------------------------------------

    /*! @brief An attempt failed: it is sent again where that is allowed. */
    void failed(exchange& one, attempt_reach reach, const std::string& why)
    {
        const auto now = event_loop::now();
        const bool may_have_run = reach == attempt_reach::may_have_run ||
                                  reach == attempt_reach::answered;
        one.silence.stop();
        one.in_flight = false;
        one.answered_failure = reach == attempt_reach::answered;
        book.end_attempt(one.at.upstream, one.attempt,
                         one.answered_failure ? attempt_result::answered_failure
                                              : attempt_result::failed,
                         now);
        counters.count("attempts_failed_total", 1,
                       {{"may_have_run", may_have_run ? "true" : "false"}});
        const bool again = may_have_run ? exchange_facts::may_repeat(one)
                                        : one.tried.size() < most_tries;
        one.failed_at = now;
        if (may_have_run)
            ++one.runs;
        // What never arrived costs the service nothing.
        const bool paid = again && (reach == attempt_reach::not_sent ||
                                    budgets.of(one.service).spend(now));
        exchange_log::attempt_failed(one, why, may_have_run, paid, now);
        if (paid)
            return place(one);
        give_up(one, again ? "retry budget is spent" : why);
    }

    /*! @brief Returns when a caller may come back that no overload refused. */
    [[nodiscard]] milliseconds least_wait() const
    {
        return options.dispatch.admission.min_retry_after;
    }

    /*! @brief No attempt is left: the final answer, at once. */
    void give_up(exchange& one, const std::string& why)
    {
        if (one.streaming)
            return cut(one, why);
        if (one.own_failure && one.own_failure->status != 503)
        {
            one.reply.send(one.own_failure->status,
                           Codec::answer_headers(*one.own_failure),
                           one.own_failure_body);
            finish_log(one, "failed", why);
            return forget(one);
        }
        const bool not_run = one.runs == 0;
        one.reply.send(
            not_run ? 503 : 502,
            not_run ? Codec::refusal_headers(least_wait()) : header_list{}, "");
        if (not_run || one.route->repeatable())
            remember_caller(one, not_run ? least_wait() : milliseconds(0));
        finish_log(one, not_run ? "not run" : "unknown", why);
        forget(one);
    }

    void cut(exchange& one, const std::string& why)
    {
        one.reply.cut();
        finish_log(one, "cut", why);
        forget(one);
    }

    void limit_reached(std::uint64_t number)
    {
        open.with(number,
                  [&](exchange& one)
                  {
                      abandon_attempt(one);
                      if (one.streaming)
                          return cut(one, "time limit");
                      const bool not_run = one.tried.empty();
                      one.reply.send(not_run ? 503 : 504,
                                     not_run
                                         ? Codec::refusal_headers(least_wait())
                                         : header_list{},
                                     "");
                      finish_log(one, "late", "time limit");
                      forget(one);
                  });
    }

    void left(std::uint64_t number)
    {
        open.with(number,
                  [&](exchange& one)
                  {
                      abandon_attempt(one);
                      finish_log(one, "cancelled", "caller left");
                      forget(one);
                  });
    }

    void abandon_attempt(exchange& one)
    {
        if (one.attempt == 0)
            return;
        if (std::exchange(one.in_flight, false))
            note_lost(one, attempt_loss::withdrawn);
        client.cancel(one.call);
        book.cancel_attempt(one.at.upstream, one.attempt);
    }

    // --- End -------------------------------------------------------------

    void settle(exchange& one, bool good, const std::string& how)
    {
        if (good)
            crashes.answered(one.content);
        book.end_attempt(one.at.upstream, one.attempt,
                         good ? attempt_result::succeeded
                              : attempt_result::answered_failure,
                         event_loop::now());
        counters.count("requests_answered_total", 1,
                       {{"status", std::to_string(one.head.status)}});
        exchange_log::answered(one, how, event_loop::now());
        forget(one);
    }

    void finish_log(exchange& one, std::string_view outcome,
                    const std::string& why)
    {
        counters.count("requests_failed_total", 1,
                       {{"outcome", std::string(outcome)}});
        exchange_log::failed(one, outcome, why, event_loop::now());
    }

    void leave_queue(exchange& one)
    {
        if (!one.in_queue)
            return;
        one.in_queue = false;
        waiting.erase(exchange_facts::place_in_line(one));
    }

    void forget(exchange& one)
    {
        leave_queue(one);
        one.limit.stop();
        one.silence.stop();
        open.erase(one.number);
    }

    static constexpr const char* quarantine_reason =
        "the request is quarantined: upstreams ended under it";

    /*! @brief Attempts at most, those that certainly did not run included. */
    static constexpr std::size_t most_tries = 3;

    event_loop& loop;
    stream_client& client;
    upstream_registry& book;
    metrics& counters;
    dispatcher decisions;
    exchange_options options;
    crash_guard crashes;
    version_floor floor;
    std::shared_ptr<const installation> current;
    open_exchanges open;
    placement_queue waiting;
    notice_intake intake;
    retry_budgets budgets;
    std::function<void()> tell_refusals;
    std::uint64_t last_number{0};
    std::uint64_t last_attempt{0};
    bool rules_outdated{false};
    timer ticking;
};

} // namespace coursejunction

#endif
