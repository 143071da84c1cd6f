/*! @file
 * @brief Replays a pattern of load in virtual time: entries that run the real
 * decisions, engines that run the product's own model of an engine, callers
 * that come back once. Seeded, without input or output.
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
#include "coursejunction/route/placement_queue.hpp"
#include "route/load_engine.hpp"

namespace load_replay
{

namespace cj = coursejunction;

/*! @brief One kind of request. */
struct request_kind
{
    std::string name;
    double weight{1};
    cj::milliseconds target{400};
    double prompt{1000}; /*!< Mean tokens. */
    double answer{120};  /*!< Mean tokens. */
};

/*! @brief What is played. */
struct load_pattern
{
    std::size_t halls{3};
    std::size_t entries{5};
    std::size_t engines{12};
    double seconds{20};
    /*! @brief New requests a second, by the second. */
    std::function<double(double)> rate;
    /*! @brief Part of the callers that come back at once when refused. */
    double impatient_fraction{0};
    /*! @brief Entries' parts of the load; alike when empty. */
    std::vector<double> entry_weights;
    std::vector<request_kind> kinds{
        {"long", 74, cj::milliseconds(400), 1290, 144},
        {"middle", 53, cj::milliseconds(400), 787, 144},
        {"short", 62, cj::milliseconds(300), 607, 70}};
    cj::engine_profile engine{fast_engine_profile()};
    cj::dispatch_options options;
    cj::placement_weights weights;
    bool shares_rates{
        true}; /*!< Entries tell each other what they are asked for. */
    bool deadlines{true}; /*!< Callers tell what they will wait. */
    /*! @brief New callers wait for 6 s less up to this part of it. */
    double deadline_spread{0};
    /*! @brief Requests can be known again, and refusals are told in a hall. */
    bool fingerprints{true};
    /*! @brief Refused callers come back to another entry of their hall. */
    bool retries_elsewhere{false};
    double moved_fraction{
        0}; /*!< Part of them that come back in another hall. */
    double identical_fraction{
        0}; /*!< Part of the requests that are all alike. */
    std::uint64_t seed{1};
};

/*! @brief Sets engines of 8 places, and callers with longer targets. */
inline void use_slow_engines(load_pattern& to)
{
    to.engine = slow_engine_profile();
    to.kinds = {{"long", 341, cj::milliseconds(800), 1290, 74},
                {"middle", 250, cj::milliseconds(600), 787, 74},
                {"short", 189, cj::milliseconds(500), 607, 70}};
}

/*! @brief Gives entries uneven parts of the load, from 0.5 to 1.5. */
inline void make_uneven(load_pattern& to)
{
    constexpr std::size_t steps = 101;
    constexpr std::size_t stride = 7919;
    to.entry_weights.clear();
    for (std::size_t at = 0; at < to.entries; ++at)
        to.entry_weights.push_back(
            0.5 + static_cast<double>(at * stride % steps) / (steps - 1));
}

/*! @brief How requests ended. */
struct tally
{
    double requests{0};
    double in_time{0};
    double late{0};
    double refused{0}; /*!< Twice. */

    [[nodiscard]] double in_time_fraction() const { return in_time / requests; }
};

/*! @brief How well callers that come back were told from new ones. */
struct recognition
{
    double new_callers{0};
    double new_mistaken{0}; /*!< New, and taken for one that comes back. */
    double retries{0};
    double retries_missed{0}; /*!< Came back, and taken for a new one. */

    [[nodiscard]] double recognised_fraction() const
    {
        return 1 - retries_missed / std::max(retries, 1.0);
    }

    [[nodiscard]] double mistaken_fraction() const
    {
        return new_mistaken / std::max(new_callers, 1.0);
    }
};

/*! @brief Results by kind, by the second of the first try and by entry. */
struct result
{
    recognition retry_recognition;
    tally all;
    std::map<std::string, tally> kinds;
    std::map<std::size_t, tally> seconds;
    std::map<std::size_t, tally> entries;

    /*! @brief Returns the tally of the seconds from one to before another. */
    [[nodiscard]] tally between(std::size_t from, std::size_t to) const
    {
        tally sum;
        for (const auto& [second, one] : seconds)
        {
            if (second < from || second >= to)
                continue;
            sum.requests += one.requests;
            sum.in_time += one.in_time;
            sum.late += one.late;
            sum.refused += one.refused;
        }
        return sum;
    }
};

/*! @brief One entry with its own view of the engines. */
struct entry
{
    cj::upstream_registry book;
    std::unique_ptr<cj::dispatcher> decisions;
    cj::placement_queue line;
    std::map<std::uint64_t, request_ptr> waiting;
};

/*! @brief Plays one pattern. */
class simulator
{
public:
    explicit simulator(load_pattern set)
        : played(std::move(set)), random(played.seed)
    {
        profile.name = cj::service_name("llm");
        profile.engine = played.engine;
        for (std::size_t at = 0; at < played.engines; ++at)
            engines.emplace_back(
                *profile.engine,
                [this](const request_ptr& one, double now) { first(one, now); },
                [this](const request_ptr& one, double now) { done(one, now); });
        for (std::size_t at = 0; at < played.entries; ++at)
            entries.push_back(make_entry());
    }

    result run()
    {
        const double end = played.seconds * 1000;
        double next = 0;
        // The rest of the time lets the last callers come back.
        for (double now = 0; now < end + 6000; now += 1)
        {
            while (now < end && next <= now)
            {
                arrive(fresh(next), now);
                next += gap(next);
            }
            step(now);
        }
        return made;
    }

private:
    static constexpr double near_report_ms = 50;
    static constexpr double far_report_ms = 400;
    static constexpr double travel_ms = 3;
    static constexpr double tick_ms = 15;
    static constexpr double telling_ms = 200;
    static constexpr double news_ms = 15;
    static constexpr std::size_t most_news = 48;
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
        // An hour in, since the epoch means never.
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
        return "hall-" + std::to_string(number % played.halls);
    }

    [[nodiscard]] entry make_entry() const
    {
        entry one;
        for (std::size_t other = 0; other < played.engines; ++other)
        {
            cj::upstream_record record;
            record.id = id_of(other);
            record.service = profile.name;
            record.address = host_of(other) + ":80";
            record.hall = cj::hall_id(hall_of(other));
            record.slots = profile.engine->slots;
            record.model_versions["m"] = 1;
            one.book.apply_record(record);
        }
        one.book.set_entry_count(played.entries);
        return one;
    }

    void open_entry(std::size_t number)
    {
        auto& one = entries[number];
        one.decisions = std::make_unique<cj::dispatcher>(
            one.book,
            cj::placer(played.weights, cj::hall_id(hall_of(number)),
                       name_of(number)),
            played.options);
    }

    double gap(double now)
    {
        std::exponential_distribution<double> gaps(played.rate(now / 1000) /
                                                   1000);
        return gaps(random);
    }

    request_ptr fresh(double now)
    {
        std::vector<double> weights;
        for (const auto& one : played.kinds)
            weights.push_back(one.weight);
        auto weights_by_entry = played.entry_weights;
        weights_by_entry.resize(played.entries,
                                weights_by_entry.empty() ? 1.0 : 0.0);
        auto one = std::make_shared<simulated_request>();
        one->number = ++last_number;
        one->kind = std::discrete_distribution<std::size_t>(
            weights.begin(), weights.end())(random);
        one->entry = std::discrete_distribution<std::size_t>(
            weights_by_entry.begin(), weights_by_entry.end())(random);
        one->first_arrival_ms = now;
        one->deadline_ms = deadline_ms;
        if (played.deadline_spread > 0)
            one->deadline_ms *= 1 - std::uniform_real_distribution<double>(
                                        0, played.deadline_spread)(random);
        if (played.fingerprints)
            one->fingerprint = fingerprint(one->number);
        const auto& kind = played.kinds[one->kind];
        std::gamma_distribution<double> spread(2, 0.5);
        one->prompt =
            std::clamp(kind.prompt * spread(random), 50.0, kind.prompt * 3);
        one->answer_tokens =
            std::clamp(kind.answer * spread(random), 6.0, kind.answer * 3);
        note(*one, [](tally& to) { ++to.requests; });
        return one;
    }

    cj::request_fingerprint fingerprint(std::uint64_t number)
    {
        const bool alike =
            played.identical_fraction > 0 &&
            std::bernoulli_distribution(played.identical_fraction)(random);
        return cj::request_fingerprint(alike ? 1 : number + 1);
    }

    template <typename Change>
    void note(const simulated_request& one, Change change)
    {
        change(made.all);
        change(made.kinds[played.kinds[one.kind].name]);
        change(made.seconds[static_cast<std::size_t>(one.first_arrival_ms /
                                                     1000)]);
        change(made.entries[one.entry]);
    }

    void arrive(const request_ptr& one, double now)
    {
        auto& here = entries[one->entry];
        if (!here.decisions)
            open_entry(one->entry);
        one->arrived_ms = now;
        cj::route_rule route;
        route.name = played.kinds[one->kind].name;
        route.first_event_target = played.kinds[one->kind].target;
        std::optional<cj::milliseconds> left;
        if (played.deadlines)
            left = cj::milliseconds(static_cast<std::int64_t>(
                one->deadline_ms - (now - one->first_arrival_ms)));
        one->arrival = here.decisions->record_arrival(
            route, profile, one->fingerprint, left, at(now));
        count_recognition(*one);
        place(one, now);
    }

    void count_recognition(const simulated_request& one)
    {
        auto& known = made.retry_recognition;
        const bool taken = one.arrival.is_retry();
        ++(one.retried ? known.retries : known.new_callers);
        if (one.retried && !taken)
            ++known.retries_missed;
        if (!one.retried && taken)
            ++known.new_mistaken;
    }

    void place(const request_ptr& one, double now)
    {
        auto& here = entries[one->entry];
        const auto& kind = played.kinds[one->kind];
        cj::placement_request wanted;
        wanted.service = profile.name;
        wanted.model = "m";
        wanted.min_version = 1;
        wanted.prompt_tokens = one->prompt;
        wanted.target = kind.target;
        wanted.arrival = one->arrival;
        wanted.waiting_since = at(one->arrived_ms);
        wanted.deadline = at(one->first_arrival_ms + one->deadline_ms);
        const auto what = here.decisions->decide(profile, wanted, at(now));
        const cj::waiting_request spot{
            one->arrival.late,
            at(one->first_arrival_ms +
               static_cast<double>(kind.target.count())),
            one->number};
        if (std::holds_alternative<cj::wait_for_slot>(what))
        {
            here.line.push(spot);
            here.waiting[one->number] = one;
            return;
        }
        here.line.erase(spot);
        here.waiting.erase(one->number);
        if (const auto* to = std::get_if<cj::send_to>(&what))
            return send(one, *to, now);
        refuse(one, std::get<cj::refuse_request>(what), now);
    }

    void send(const request_ptr& one, const cj::send_to& to, double now)
    {
        entries[one->entry].book.begin_attempt(to.choice.upstream, one->number,
                                               one->prompt, at(now));
        one->engine = std::stoul(to.choice.upstream.value().substr(7));
        one->urgency = to.rank.value();
        one->unread_tokens = one->prompt;
        one->unwritten_tokens = one->answer_tokens;
        one->first_event_sent = false;
        predicted[one->number] = {to.choice.uncorrected_ms, now};
        after(now + travel_ms,
              [this, one](double) { engines[one->engine].enqueue(one); });
    }

    void refuse(const request_ptr& one, const cj::refuse_request& how,
                double now)
    {
        if (one->retried)
            return note(*one, [](tally& to) { ++to.refused; });
        one->retried = true;
        send_away(*one, how.retry_after, now);
        std::bernoulli_distribution hurried(played.impatient_fraction);
        const auto wait = hurried(random)
                              ? 20.0
                              : static_cast<double>(how.retry_after.count());
        one->entry = next_entry(one->entry);
        after(now + wait + 2 * travel_ms,
              [this, one](double then) { arrive(one, then); });
    }

    void send_away(const simulated_request& one, cj::milliseconds come_back,
                   double now)
    {
        cj::refusal_record sent;
        sent.fingerprint = one.fingerprint;
        sent.first_arrival = at(one.arrived_ms) - one.arrival.history.waited;
        if (played.deadlines)
            sent.deadline = at(one.first_arrival_ms + one.deadline_ms);
        sent.refused_at = at(now);
        sent.retry_at = at(now) + come_back;
        entries[one.entry].decisions->record_refusal(sent, at(now));
    }

    /*! @brief Returns where a caller that was refused comes back. */
    std::size_t next_entry(std::size_t from)
    {
        if (!played.retries_elsewhere)
            return from;
        const bool moves =
            std::bernoulli_distribution(played.moved_fraction)(random);
        std::vector<std::size_t> others;
        for (std::size_t to = 0; to < entries.size(); ++to)
            if (to != from && (hall_of(to) == hall_of(from)) != moves)
                others.push_back(to);
        if (others.empty())
            return from;
        return others[random() % others.size()];
    }

    void first(const request_ptr& one, double now)
    {
        auto& book = entries[one->entry].book;
        book.mark_first_event(id_of(one->engine), one->number);
        const auto [expected, sent] = predicted[one->number];
        book.record_first_event_time(id_of(one->engine), expected, now - sent);
        const auto took = now - one->first_arrival_ms + travel_ms;
        const bool timely =
            took <= static_cast<double>(played.kinds[one->kind].target.count());
        note(*one, [timely](tally& to) { ++(timely ? to.in_time : to.late); });
    }

    void done(const request_ptr& one, double now)
    {
        entries[one->entry].book.end_attempt(id_of(one->engine), one->number,
                                             cj::attempt_result::succeeded,
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
        for (auto& one : engines)
            one.advance(now);
        // Instances started at different moments.
        for (std::size_t at = 0; at < engines.size(); ++at)
            if (falls(now, near_report_ms, at, 7))
                report(at, now, falls(now, far_report_ms, at, 7));
        if (played.shares_rates && falls(now, telling_ms, 1, 3))
            tell_entries(now);
        for (std::size_t at = 0; at < entries.size(); ++at)
            if (falls(now, news_ms, at, 9))
                tell_refusals(at, now);
        for (std::size_t at = 0; at < entries.size(); ++at)
            if (falls(now, tick_ms, at, 4))
                tick(entries[at], now);
    }

    /*! @brief Tells whether a regular moment of one of several falls now. */
    [[nodiscard]] static bool falls(double now, double interval,
                                    std::size_t number, std::size_t apart)
    {
        const auto length = static_cast<std::size_t>(interval);
        return static_cast<std::size_t>(now) % length ==
               number * apart % length;
    }

    void report(std::size_t number, double now, bool far)
    {
        cj::message::upstream_status told;
        told.model = "m";
        told.version = 1;
        told.sequence = ++sequence;
        told.running = static_cast<std::uint32_t>(engines[number].running());
        told.waiting = static_cast<std::uint32_t>(engines[number].queued());
        told.open = true;
        told.reachable = true;
        for (std::size_t to = 0; to < entries.size(); ++to)
            if (far || hall_of(to) == hall_of(number))
                entries[to].book.apply_status(host_of(number), told, at(now));
    }

    [[nodiscard]] static std::string name_of(std::size_t entry)
    {
        return "entry-" + std::to_string(entry);
    }

    /*! @brief Every entry hears what the others are asked for and refuse. */
    void tell_entries(double now)
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
            entries[to].book.assign_engine_shares(
                cj::demand_interval_of(name_of(to), demands),
                [](const cj::known_upstream&) { return true; });
        }
    }

    /*! @brief An entry tells those of its hall whom it sent away. */
    void tell_refusals(std::size_t from, double now)
    {
        if (!entries[from].decisions)
            return;
        entries[from].decisions->expire(at(now));
        for (const auto& one :
             entries[from].decisions->take_unsent_refusals(most_news))
            for (std::size_t to = 0; to < entries.size(); ++to)
                if (to != from && hall_of(to) == hall_of(from) &&
                    entries[to].decisions)
                    entries[to].decisions->record_remote_refusal(one, at(now));
    }

    void tick(entry& one, double now)
    {
        for (const auto number : one.line.request_numbers())
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

    load_pattern played;
    std::mt19937_64 random;
    cj::service_profile profile;
    std::vector<simulated_engine> engines;
    std::vector<entry> entries;
    std::priority_queue<event, std::vector<event>, later> events;
    std::map<std::uint64_t, std::pair<double, double>> predicted;
    std::uint64_t last_number{0};
    std::uint64_t last_event{0};
    std::uint64_t sequence{0};
    result made;
};

} // namespace load_replay

#endif
