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
struct pattern
{
    std::size_t halls{3};
    std::size_t entries{5};
    std::size_t engines{12};
    double seconds{20};
    /*! @brief New requests a second, by the second. */
    std::function<double(double)> rate;
    /*! @brief Part of the callers that come back at once when refused. */
    double impatient{0};
    /*! @brief Entries' parts of the load; alike when empty. */
    std::vector<double> parts;
    std::vector<request_kind> kinds{
        {"long", 74, cj::milliseconds(400), 1290, 144},
        {"middle", 53, cj::milliseconds(400), 787, 144},
        {"short", 62, cj::milliseconds(300), 607, 70}};
    cj::engine_profile engine{engine_figures()};
    cj::dispatch_options options;
    cj::placement_weights weights;
    bool told{true}; /*!< Entries tell each other what they are asked for. */
    bool deadlines{true}; /*!< Callers tell what they will wait. */
    /*! @brief New callers wait for 6 s less up to this part of it. */
    double deadline_spread{0};
    /*! @brief Requests can be known again, and refusals are told in a hall. */
    bool fingerprints{true};
    /*! @brief Refused callers come back to another entry of their hall. */
    bool elsewhere{false};
    double moved{0}; /*!< Part of them that come back in another hall. */
    double hot{0};   /*!< Part of the requests that are all alike. */
    std::uint64_t seed{1};
};

/*! @brief Sets engines of 8 places, and callers with longer targets. */
inline void use_slow_engines(pattern& to)
{
    to.engine = slow_engine_figures();
    to.kinds = {{"long", 341, cj::milliseconds(800), 1290, 74},
                {"middle", 250, cj::milliseconds(600), 787, 74},
                {"short", 189, cj::milliseconds(500), 607, 70}};
}

/*! @brief Gives entries uneven parts of the load, from 0.5 to 1.5. */
inline void make_uneven(pattern& to)
{
    constexpr std::size_t steps = 101;
    constexpr std::size_t stride = 7919;
    to.parts.clear();
    for (std::size_t at = 0; at < to.entries; ++at)
        to.parts.push_back(0.5 + static_cast<double>(at * stride % steps) /
                                     (steps - 1));
}

/*! @brief How requests ended. */
struct tally
{
    double asked{0};
    double in_time{0};
    double late{0};
    double refused{0}; /*!< Twice. */

    [[nodiscard]] double in_time_part() const { return in_time / asked; }
};

/*! @brief How well callers that come back were told from new ones. */
struct recognition
{
    double fresh{0};
    double fresh_missed{0}; /*!< New, and taken for one that comes back. */
    double returned{0};
    double returned_missed{0}; /*!< Came back, and taken for a new one. */

    [[nodiscard]] double known_part() const
    {
        return 1 - returned_missed / std::max(returned, 1.0);
    }

    [[nodiscard]] double mistaken_part() const
    {
        return fresh_missed / std::max(fresh, 1.0);
    }
};

/*! @brief Results by kind, by the second of the first try and by entry. */
struct result
{
    recognition known;
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
            sum.asked += one.asked;
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
    std::map<std::uint64_t, job_ptr> waiting;
};

/*! @brief Plays one pattern. */
class player
{
public:
    explicit player(pattern set) : played(std::move(set)), random(played.seed)
    {
        profile.name = cj::service_name("llm");
        profile.engine = played.engine;
        for (std::size_t at = 0; at < played.engines; ++at)
            engines.emplace_back(
                *profile.engine,
                [this](const job_ptr& one, double now) { first(one, now); },
                [this](const job_ptr& one, double now) { done(one, now); });
        for (std::size_t at = 0; at < played.entries; ++at)
            entries.push_back(make_entry());
    }

    result play()
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
            record.weights["m"] = 1;
            one.book.record(record);
        }
        one.book.entries(played.entries);
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

    job_ptr fresh(double now)
    {
        std::vector<double> weights;
        for (const auto& one : played.kinds)
            weights.push_back(one.weight);
        auto parts = played.parts;
        parts.resize(played.entries, parts.empty() ? 1.0 : 0.0);
        auto one = std::make_shared<job>();
        one->number = ++last_number;
        one->kind = std::discrete_distribution<std::size_t>(
            weights.begin(), weights.end())(random);
        one->entry = std::discrete_distribution<std::size_t>(
            parts.begin(), parts.end())(random);
        one->first_ms = now;
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
        one->tokens =
            std::clamp(kind.answer * spread(random), 6.0, kind.answer * 3);
        note(*one, [](tally& to) { ++to.asked; });
        return one;
    }

    cj::request_fingerprint fingerprint(std::uint64_t number)
    {
        const bool alike =
            played.hot > 0 && std::bernoulli_distribution(played.hot)(random);
        return cj::request_fingerprint(alike ? 1 : number + 1);
    }

    template <typename Change>
    void note(const job& one, Change change)
    {
        change(made.all);
        change(made.kinds[played.kinds[one.kind].name]);
        change(made.seconds[static_cast<std::size_t>(one.first_ms / 1000)]);
        change(made.entries[one.entry]);
    }

    void arrive(const job_ptr& one, double now)
    {
        auto& here = entries[one->entry];
        if (!here.decisions)
            open_entry(one->entry);
        one->arrived_ms = now;
        cj::route_rule route;
        route.name = played.kinds[one->kind].name;
        route.target = played.kinds[one->kind].target;
        std::optional<cj::milliseconds> left;
        if (played.deadlines)
            left = cj::milliseconds(static_cast<std::int64_t>(
                one->deadline_ms - (now - one->first_ms)));
        one->standing = here.decisions->arrived(
            route, profile, one->fingerprint, left, at(now));
        count_recognition(*one);
        place(one, now);
    }

    void count_recognition(const job& one)
    {
        auto& known = made.known;
        const bool taken = one.standing.returned();
        ++(one.returned ? known.returned : known.fresh);
        if (one.returned && !taken)
            ++known.returned_missed;
        if (!one.returned && taken)
            ++known.fresh_missed;
    }

    void place(const job_ptr& one, double now)
    {
        auto& here = entries[one->entry];
        const auto& kind = played.kinds[one->kind];
        cj::placement_request wanted;
        wanted.service = profile.name;
        wanted.model = "m";
        wanted.least_version = 1;
        wanted.prompt = one->prompt;
        wanted.target = kind.target;
        wanted.standing = one->standing;
        wanted.since = at(one->arrived_ms);
        wanted.ends = at(one->first_ms + one->deadline_ms);
        const auto what = here.decisions->decide(profile, wanted, at(now));
        const cj::waiting_request spot{
            one->standing.late,
            at(one->first_ms + static_cast<double>(kind.target.count())),
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

    void send(const job_ptr& one, const cj::send_to& to, double now)
    {
        entries[one->entry].book.begin(to.at.upstream, one->number, one->prompt,
                                       at(now));
        one->engine = std::stoul(to.at.upstream.value().substr(7));
        one->rank = to.rank.value();
        one->unread = one->prompt;
        one->left = one->tokens;
        one->began = false;
        predicted[one->number] = {to.at.uncorrected_ms, now};
        after(now + travel_ms,
              [this, one](double) { engines[one->engine].take(one); });
    }

    void refuse(const job_ptr& one, const cj::refuse_request& how, double now)
    {
        if (one->returned)
            return note(*one, [](tally& to) { ++to.refused; });
        one->returned = true;
        send_away(*one, how.come_back, now);
        std::bernoulli_distribution hurried(played.impatient);
        const auto wait =
            hurried(random) ? 20.0 : static_cast<double>(how.come_back.count());
        one->entry = next_entry(one->entry);
        after(now + wait + 2 * travel_ms,
              [this, one](double then) { arrive(one, then); });
    }

    void send_away(const job& one, cj::milliseconds come_back, double now)
    {
        cj::refusal_record sent;
        sent.what = one.fingerprint;
        sent.first = at(one.arrived_ms) - one.standing.past.waited;
        if (played.deadlines)
            sent.ends = at(one.first_ms + one.deadline_ms);
        sent.refused = at(now);
        sent.due = at(now) + come_back;
        entries[one.entry].decisions->sent_away(sent, at(now));
    }

    /*! @brief Returns where a caller that was refused comes back. */
    std::size_t next_entry(std::size_t from)
    {
        if (!played.elsewhere)
            return from;
        const bool moves = std::bernoulli_distribution(played.moved)(random);
        std::vector<std::size_t> others;
        for (std::size_t to = 0; to < entries.size(); ++to)
            if (to != from && (hall_of(to) == hall_of(from)) != moves)
                others.push_back(to);
        if (others.empty())
            return from;
        return others[random() % others.size()];
    }

    void first(const job_ptr& one, double now)
    {
        auto& book = entries[one->entry].book;
        book.began(id_of(one->engine), one->number);
        const auto [expected, sent] = predicted[one->number];
        book.seen(id_of(one->engine), expected, now - sent);
        const auto took = now - one->first_ms + travel_ms;
        const bool timely =
            took <= static_cast<double>(played.kinds[one->kind].target.count());
        note(*one, [timely](tally& to) { ++(timely ? to.in_time : to.late); });
    }

    void done(const job_ptr& one, double now)
    {
        entries[one->entry].book.end(id_of(one->engine), one->number,
                                     cj::attempt_result::good, at(now));
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
            one.play(now);
        // Instances started at different moments.
        for (std::size_t at = 0; at < engines.size(); ++at)
            if (falls(now, near_report_ms, at, 7))
                report(at, now, falls(now, far_report_ms, at, 7));
        if (played.told && falls(now, telling_ms, 1, 3))
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
                entries[to].book.status(host_of(number), told, at(now));
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
                               rates.back().demanded});
            sum.asked += rates.back().asked;
            sum.refused += rates.back().refused;
        }
        for (std::size_t to = 0; to < entries.size(); ++to)
        {
            entries[to].decisions->elsewhere({sum.asked - rates[to].asked,
                                              sum.refused - rates[to].refused,
                                              0},
                                             at(now));
            entries[to].book.divide(
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
             entries[from].decisions->news_of_refusals(most_news))
            for (std::size_t to = 0; to < entries.size(); ++to)
                if (to != from && hall_of(to) == hall_of(from) &&
                    entries[to].decisions)
                    entries[to].decisions->sent_away_elsewhere(one, at(now));
    }

    void tick(entry& one, double now)
    {
        for (const auto number : one.line.numbers())
        {
            const auto found = one.waiting.find(number);
            if (found != one.waiting.end())
                place(job_ptr(found->second), now);
        }
    }

    void after(double when, std::function<void(double)> call)
    {
        events.emplace(when, ++last_event, std::move(call));
    }

    pattern played;
    std::mt19937_64 random;
    cj::service_profile profile;
    std::vector<engine> engines;
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
