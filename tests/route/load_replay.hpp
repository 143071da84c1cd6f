/*! @file
 * @brief Replays a load pattern in virtual time. Entries run the real
 * dispatcher, engines run the service's own engine model, and refused clients
 * retry once. Seeded, without input or output.
 */
#ifndef COURSEJUNCTION_TESTS_ROUTE_LOAD_REPLAY_HPP
#define COURSEJUNCTION_TESTS_ROUTE_LOAD_REPLAY_HPP

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "coursejunction/route/dispatcher.hpp"
#include "coursejunction/route/hedge_decision.hpp"
#include "coursejunction/route/placement_queue.hpp"
#include "route/load_engine.hpp"
#include "route/load_pattern.hpp"
#include "route/load_result.hpp"

namespace load_replay
{

namespace cj = coursejunction;

/*! @brief One entry with its own view of the engines. */
struct entry
{
    cj::upstream_registry registry;
    std::unique_ptr<cj::dispatcher> decisions;
    cj::placement_queue queue;
    std::map<std::uint64_t, request_ptr> waiting;
};

/*! @brief Runs one load pattern. */
class simulator
{
public:
    explicit simulator(load_pattern configured)
        : pattern(std::move(configured)), random(pattern.seed)
    {
        profile.name = cj::service_name("llm");
        profile.engine = pattern.engine;
        for (std::size_t at = 0; at < pattern.engines; ++at)
            engines.emplace_back(
                *profile.engine,
                [this](const request_ptr& one, double now)
                { on_first_event(one, now); },
                [this](const request_ptr& one, double now)
                { on_done(one, now); });
        for (std::size_t at = 0; at < pattern.entries; ++at)
            entries.push_back(make_entry());
    }

    result run()
    {
        const double end = pattern.seconds * 1000;
        double next = 0;
        // The sidecars have started before the traffic does.
        for (std::size_t at = 0; at < engines.size(); ++at)
            report(at, 0, true);
        // The extra time lets the last clients retry.
        for (double now = 0; now < end + 6000; now += 1)
        {
            while (now < end && next <= now)
            {
                arrive(new_request(next), now);
                next += next_gap(next);
            }
            step(now);
        }
        return results;
    }

private:
    static constexpr double own_hall_report_ms = 50;
    static constexpr double other_hall_report_ms = 400;
    static constexpr double latency_ms = 3;
    static constexpr double poll_ms = 15;
    static constexpr double min_copy_ms = 60;
    static constexpr double rates_interval_ms = 200;
    static constexpr double refusals_interval_ms = 15;
    static constexpr std::size_t max_refusals_sent = 48;
    static constexpr double deadline_ms = 6000;

    using event =
        std::tuple<double, std::uint64_t, std::function<void(double)>>;
    struct later
    {
        bool operator()(const event& a, const event& b) const
        {
            return std::tie(std::get<0>(a), std::get<1>(a)) >
                   std::tie(std::get<0>(b), std::get<1>(b));
        }
    };

    static cj::time_point at(double ms)
    {
        // Starts at an hour, as the epoch means never.
        return cj::time_point{std::chrono::hours(1)} +
               std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000));
    }

    [[nodiscard]] static cj::instance_id id_of(std::size_t number)
    {
        return cj::instance_id("engine-" + std::to_string(number));
    }

    [[nodiscard]] static std::string host_of(std::size_t number)
    {
        return "10.1." + std::to_string(number / 250) + "." +
               std::to_string(number % 250);
    }

    [[nodiscard]] std::string hall_of(std::size_t number) const
    {
        return "hall-" + std::to_string(number % pattern.halls);
    }

    [[nodiscard]] entry make_entry() const
    {
        entry one;
        for (std::size_t other = 0; other < pattern.engines; ++other)
        {
            cj::upstream_record record;
            record.id = id_of(other);
            record.service = profile.name;
            record.address = host_of(other) + ":80";
            record.hall = cj::hall_id(hall_of(other));
            record.slots = profile.engine->slots;
            record.model_versions["m"] = 1;
            one.registry.apply_record(record);
        }
        one.registry.set_entry_count(pattern.entries);
        return one;
    }

    void open_entry(std::size_t number)
    {
        auto& one = entries[number];
        one.decisions = std::make_unique<cj::dispatcher>(
            one.registry,
            cj::placer(pattern.weights, cj::hall_id(hall_of(number)),
                       name_of(number)),
            pattern.options);
        one.decisions->configure(configuration_of(pattern, profile));
    }

    double next_gap(double now)
    {
        std::exponential_distribution<double> gaps(pattern.rate(now / 1000) /
                                                   1000);
        return gaps(random);
    }

    request_ptr new_request(double now)
    {
        std::vector<double> weights;
        for (const auto& one : pattern.kinds)
            weights.push_back(one.weight_at(now / 1000));
        auto load_by_entry = pattern.entry_weights;
        load_by_entry.resize(pattern.entries,
                             load_by_entry.empty() ? 1.0 : 0.0);
        auto one = std::make_shared<simulated_request>();
        one->number = ++last_number;
        one->kind = std::discrete_distribution<std::size_t>(
            weights.begin(), weights.end())(random);
        one->entry = std::discrete_distribution<std::size_t>(
            load_by_entry.begin(), load_by_entry.end())(random);
        one->first_arrival_ms = now;
        one->deadline_ms = deadline_ms;
        if (pattern.deadline_spread > 0)
            one->deadline_ms *= 1 - std::uniform_real_distribution<double>(
                                        0, pattern.deadline_spread)(random);
        if (pattern.fingerprints)
            one->fingerprint = fingerprint(one->number);
        const auto& kind = pattern.kinds[one->kind];
        std::gamma_distribution<double> spread(2, 0.5);
        one->prompt =
            std::clamp(kind.prompt * spread(random), 50.0, kind.prompt * 3);
        one->answer_tokens =
            std::clamp(kind.answer * spread(random), 6.0, kind.answer * 3);
        count(*one, [](tally& to) { ++to.requests; });
        return one;
    }

    cj::request_fingerprint fingerprint(std::uint64_t number)
    {
        const bool alike =
            pattern.identical_fraction > 0 &&
            std::bernoulli_distribution(pattern.identical_fraction)(random);
        return cj::request_fingerprint(alike ? 1 : number + 1);
    }

    template <typename Change>
    void count(const simulated_request& one, Change change)
    {
        change(results.all);
        if (pattern.counts_for_kind(one.first_arrival_ms / 1000))
            change(results.kinds[pattern.kinds[one.kind].name]);
        change(results.seconds[static_cast<std::size_t>(one.first_arrival_ms /
                                                        1000)]);
        change(results.entries[one.entry]);
    }

    void arrive(const request_ptr& one, double now)
    {
        auto& own_entry = entries[one->entry];
        if (!own_entry.decisions)
            open_entry(one->entry);
        one->arrived_ms = now;
        cj::route_rule route;
        route.name = pattern.kinds[one->kind].name;
        route.first_event_target = pattern.kinds[one->kind].target;
        route.priority = pattern.kinds[one->kind].rank;
        std::optional<cj::milliseconds> left;
        if (pattern.deadlines)
            left = cj::milliseconds(static_cast<std::int64_t>(
                one->deadline_ms - (now - one->first_arrival_ms)));
        one->arrival = own_entry.decisions->record_arrival(
            route, profile, one->fingerprint, left, at(now));
        count_recognition(*one);
        place(one, now);
    }

    void count_recognition(const simulated_request& one)
    {
        auto& known = results.retry_recognition;
        const bool taken_for_retry = one.arrival.is_retry();
        ++(one.retried ? known.retries : known.new_clients);
        if (one.retried && !taken_for_retry)
            ++known.retries_missed;
        if (!one.retried && taken_for_retry)
            ++known.new_mistaken;
    }

    void place(const request_ptr& one, double now)
    {
        auto& own_entry = entries[one->entry];
        const auto request = placement_of(*one);
        const auto decision =
            own_entry.decisions->decide(profile, request, at(now));
        const cj::waiting_request queue_entry{
            one->arrival.rank, one->arrival.late, one->arrival.is_unexpected(),
            at(one->first_arrival_ms) + request.target, one->number};
        if (std::holds_alternative<cj::wait_for_slot>(decision))
        {
            own_entry.queue.push(queue_entry);
            own_entry.waiting[one->number] = one;
            return;
        }
        own_entry.queue.erase(queue_entry);
        own_entry.waiting.erase(one->number);
        if (const auto* to = std::get_if<cj::send_to>(&decision))
            return send(one, *to, now);
        refuse(one, std::get<cj::refuse_request>(decision), now);
    }

    [[nodiscard]] cj::placement_request
    placement_of(const simulated_request& one) const
    {
        cj::placement_request request;
        request.uses_pace = pattern.uses_pace;
        request.service = profile.name;
        request.model = "m";
        request.min_version = 1;
        request.prompt_tokens = one.prompt;
        request.target = pattern.kinds[one.kind].target;
        request.arrival = one.arrival;
        request.waiting_since = at(one.arrived_ms);
        request.deadline = at(one.first_arrival_ms + one.deadline_ms);
        return request;
    }

    void send(const request_ptr& one, const cj::send_to& to, double now)
    {
        entries[one->entry].registry.begin_attempt(
            to.choice.upstream, one->number, one->prompt, at(now),
            to.choice.profiled_ms());
        one->engine = std::stoul(to.choice.upstream.value().substr(7));
        one->urgency = to.rank.value();
        one->unread_tokens = one->prompt;
        one->unwritten_tokens = one->answer_tokens;
        one->first_event_sent = false;
        predicted[one->number] = {to.choice, now};
        if (pattern.sends_copies)
            after(now + min_copy_ms,
                  [this, one](double then) { check_overdue(one, then); });
        after(now + latency_ms,
              [this, one](double) { engines[one->engine].enqueue(one); });
    }

    void refuse(const request_ptr& one, const cj::refuse_request& decision,
                double now)
    {
        if (one->retried)
            return count(*one, [](tally& to) { ++to.refused; });
        one->retried = true;
        record_refusal(*one, decision.retry_after, now);
        std::bernoulli_distribution retries_at_once(pattern.impatient_fraction);
        const auto wait =
            retries_at_once(random)
                ? 20.0
                : static_cast<double>(decision.retry_after.count());
        one->entry = next_entry(one->entry);
        after(now + wait + 2 * latency_ms,
              [this, one](double then) { arrive(one, then); });
    }

    void record_refusal(const simulated_request& one,
                        cj::milliseconds retry_after, double now)
    {
        cj::refusal_record refusal;
        refusal.fingerprint = one.fingerprint;
        refusal.first_arrival = at(one.arrived_ms) - one.arrival.history.waited;
        if (pattern.deadlines)
            refusal.deadline = at(one.first_arrival_ms + one.deadline_ms);
        refusal.refused_at = at(now);
        refusal.retry_at = at(now) + retry_after;
        entries[one.entry].decisions->record_refusal(refusal, at(now));
    }

    /*! @brief Returns the entry at which a refused client retries. */
    std::size_t next_entry(std::size_t from)
    {
        if (!pattern.retries_elsewhere)
            return from;
        const bool moves =
            std::bernoulli_distribution(pattern.moved_fraction)(random);
        std::vector<std::size_t> others;
        for (std::size_t to = 0; to < entries.size(); ++to)
            if (to != from && (hall_of(to) == hall_of(from)) != moves)
                others.push_back(to);
        if (others.empty())
            return from;
        return others[random() % others.size()];
    }

    void on_first_event(const request_ptr& one, double now)
    {
        auto& registry = entries[one->entry].registry;
        registry.mark_first_event(id_of(one->engine), one->number);
        const auto [choice, sent] = predicted[one->number];
        registry.record_first_event_time(id_of(one->engine),
                                         choice.uncorrected_ms, now - sent);
        registry.record_pace(id_of(one->engine), choice.profiled_ms(),
                             now - sent, at(now));
        if (const auto twin = one->twin.lock())
            cancel(twin, now);
        const auto took = now - one->first_arrival_ms + latency_ms;
        const bool in_time =
            took <=
            static_cast<double>(pattern.kinds[one->kind].target.count());
        count(*one,
              [in_time](tally& to) { ++(in_time ? to.in_time : to.late); });
    }

    /*! @brief Sends a copy of a request whose first event is overdue, as the
     * entry does. */
    void check_overdue(const request_ptr& one, double now)
    {
        if (one->first_event_sent || !one->twin.expired() ||
            predicted.count(one->number) == 0)
            return;
        auto& own_entry = entries[one->entry];
        const auto [choice, sent] = predicted[one->number];
        auto request = placement_of(*one);
        const cj::awaited_first_event awaited{
            static_cast<double>(request.target.count()),
            sent - one->first_arrival_ms, now - sent, choice.predicted_ms,
            choice.profiled_ms() *
                cj::pace_of(*own_entry.registry.find(choice.upstream),
                            at(now))};
        const auto overload =
            own_entry.decisions->overload_degree(profile, at(now));
        request.excluded = {choice.upstream};
        std::optional<cj::send_to> other;
        if (cj::judge_awaited(awaited, overload) == cj::hedge_verdict::send)
            other = own_entry.decisions->find_spare_upstream(
                profile, request, awaited.left_ms(),
                cj::hedge_options{}.max_fill, at(now));
        if (!other)
        {
            if (awaited.left_ms() > 0)
                after(now + 25,
                      [this, one](double then) { check_overdue(one, then); });
            return;
        }
        count(*one, [](tally& to) { ++to.copies; });
        auto copy = std::make_shared<simulated_request>(*one);
        copy->number = ++last_number;
        copy->twin = one;
        one->twin = copy;
        send(copy, *other, now);
    }

    /*! @brief Cancels the copy that did not return the first event. */
    void cancel(const request_ptr& one, double now)
    {
        one->twin.lock()->twin.reset();
        one->twin.reset();
        one->first_event_sent = true;
        auto& registry = entries[one->entry].registry;
        const auto [choice, sent] = predicted[one->number];
        registry.record_pace(choice.upstream, choice.profiled_ms(), now - sent,
                             at(now));
        registry.cancel_attempt(choice.upstream, one->number);
        predicted.erase(one->number);
        after(now + latency_ms,
              [this, one](double) { engines[one->engine].cancel(one); });
    }

    void on_done(const request_ptr& one, double now)
    {
        entries[one->entry].registry.end_attempt(
            id_of(one->engine), one->number, cj::attempt_result::succeeded,
            at(now));
        predicted.erase(one->number);
    }

    void step(double now)
    {
        while (!events.empty() && std::get<0>(events.top()) <= now)
        {
            const auto call = std::get<2>(events.top());
            events.pop();
            call(now);
        }
        for (std::size_t at = 0; at < engines.size(); ++at)
            engines[at].advance(now, slowness(at, now));
        // Reports are staggered, as the instances started at different times.
        for (std::size_t at = 0; at < engines.size(); ++at)
            if (is_due(now, own_hall_report_ms, at, 7))
                report(at, now, is_due(now, other_hall_report_ms, at, 7));
        if (pattern.shares_rates && is_due(now, rates_interval_ms, 1, 3))
            report_rates(now);
        for (std::size_t at = 0; at < entries.size(); ++at)
            if (is_due(now, refusals_interval_ms, at, 9))
                report_refusals(at, now);
        for (std::size_t at = 0; at < entries.size(); ++at)
            if (is_due(now, poll_ms, at, 4))
                retry_waiting(entries[at], now);
    }

    /*! @brief Returns whether a periodic event is due now; the events of
     * several sources are staggered by `apart` ms. */
    [[nodiscard]] static bool is_due(double now, double interval,
                                     std::size_t number, std::size_t apart)
    {
        const auto length = static_cast<std::size_t>(interval);
        return static_cast<std::size_t>(now) % length ==
               number * apart % length;
    }

    [[nodiscard]] double slowness(std::size_t number, double now) const
    {
        return pattern.slowness ? pattern.slowness(number, now) : 1;
    }

    void report(std::size_t number, double now, bool to_all_halls)
    {
        cj::message::upstream_status status;
        status.model = "m";
        status.version = 1;
        status.sequence = ++sequence;
        status.running = static_cast<std::uint32_t>(engines[number].running());
        status.waiting = static_cast<std::uint32_t>(engines[number].queued());
        status.open = true;
        status.reachable = true;
        status.pace = slowness(number, now);
        for (std::size_t to = 0; to < entries.size(); ++to)
            if (to_all_halls || hall_of(to) == hall_of(number))
                entries[to].registry.apply_status(host_of(number), status,
                                                  at(now));
    }

    [[nodiscard]] static std::string name_of(std::size_t entry)
    {
        return "entry-" + std::to_string(entry);
    }

    /*! @brief Reports to every entry the rates of the others, and divides the
     * engines. */
    void report_rates(double now)
    {
        std::vector<cj::entry_demand> demands;
        cj::request_rates sum;
        std::vector<cj::request_rates> rates;
        for (std::size_t from = 0; from < entries.size(); ++from)
        {
            if (!entries[from].decisions)
                open_entry(from);
            rates.push_back(entries[from].decisions->rates(at(now)));
            demands.push_back({cj::hall_id(hall_of(from)), name_of(from),
                               rates.back().demand});
            sum.arrived += rates.back().arrived;
            sum.refused += rates.back().refused;
        }
        for (std::size_t to = 0; to < entries.size(); ++to)
        {
            entries[to].decisions->set_other_entries_rates(
                {sum.arrived - rates[to].arrived,
                 sum.refused - rates[to].refused, 0},
                at(now));
            entries[to].registry.assign_engine_shares(
                cj::demand_interval_of(name_of(to), demands),
                [](const cj::known_upstream&) { return true; });
        }
    }

    /*! @brief Reports the refusals of an entry to those of its hall. */
    void report_refusals(std::size_t from, double now)
    {
        if (!entries[from].decisions)
            return;
        entries[from].decisions->expire(at(now));
        for (const auto& one :
             entries[from].decisions->take_unsent_refusals(max_refusals_sent))
            for (std::size_t to = 0; to < entries.size(); ++to)
                if (to != from && hall_of(to) == hall_of(from) &&
                    entries[to].decisions)
                    entries[to].decisions->record_remote_refusal(one, at(now));
    }

    void retry_waiting(entry& one, double now)
    {
        for (const auto number : one.queue.request_numbers())
        {
            const auto found = one.waiting.find(number);
            if (found != one.waiting.end())
                place(request_ptr(found->second), now);
        }
    }

    void after(double when, std::function<void(double)> call)
    {
        events.emplace(when, ++last_event, std::move(call));
    }

    load_pattern pattern;
    std::mt19937_64 random;
    cj::service_profile profile;
    std::vector<simulated_engine> engines;
    std::vector<entry> entries;
    std::priority_queue<event, std::vector<event>, later> events;
    std::map<std::uint64_t, std::pair<cj::upstream_choice, double>> predicted;
    std::uint64_t last_number{0};
    std::uint64_t last_event{0};
    std::uint64_t sequence{0};
    result results;
};

} // namespace load_replay

#endif
