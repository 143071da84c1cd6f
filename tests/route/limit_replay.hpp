/*! @file
 * @brief Entries that share the limit of one upstream, in virtual time: they
 * start, stop, freeze, are cut off from each other and lose heartbeats.
 */
#ifndef COURSEJUNCTION_TESTS_ROUTE_LIMIT_REPLAY_HPP
#define COURSEJUNCTION_TESTS_ROUTE_LIMIT_REPLAY_HPP

#include <algorithm>
#include <cstddef>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "coursejunction/proxy/terms_messages.hpp"
#include "coursejunction/route/upstream_registry.hpp"

namespace limit_replay
{

namespace cj = coursejunction;

/*! @brief What is played; times in seconds. */
struct scene
{
    std::size_t entries{5};
    std::size_t halls{3};
    double per_second{1}; /*!< The limit that is named. */
    double asked{3};      /*!< Requests a second an entry has for it. */
    double named_at{2};
    double ends_at{17};
    double lasts{21};
    double loss{0.03};        /*!< Of heartbeats. */
    std::size_t restarted{0}; /*!< Entries that start again, one a second. */
    std::size_t stopped{0};   /*!< Entries that stop for good, one a second. */
    std::size_t killed{0};    /*!< Entries that end unheard, one a second. */
    std::size_t frozen{0};    /*!< Entries that stand still for 2 s. */
    std::size_t cut{0};       /*!< Entries that hear no other, for 5 s. */
    unsigned seed{1};
};

/*! @brief What the upstream saw while it named its limit. */
struct outcome
{
    /*! @brief Requests in the worst 4 s, from entries that knew the limit. */
    std::size_t worst_window{0};
    std::size_t unknowing{0}; /*!< Requests of entries that did not. */
    /*! @brief Part of the room that was used once entries knew the limit. */
    double used{0};
    /*! @brief Seconds from its end until half of what is asked comes. */
    double recovered{std::numeric_limits<double>::infinity()};
};

/*! @brief Requests that a rule of the service allows in 4 s. */
inline double allowed(double per_second)
{
    constexpr double window = 4;
    constexpr double excess = 1.5;
    constexpr double extra = 5;
    return excess * per_second * window + extra;
}

inline cj::time_point moment(double seconds)
{
    // An hour in, since the epoch means never.
    return cj::time_point{std::chrono::hours(1)} + cj::from_seconds(seconds);
}

inline cj::instance_id upstream()
{
    return cj::instance_id("u");
}

/*! @brief The product's own: few entries hold the limit, by a rendezvous. */
class holders
{
public:
    explicit holders(std::string address, unsigned /*seed*/)
        : own(std::move(address))
    {
        cj::upstream_record record;
        record.id = upstream();
        record.hall = cj::hall_id("hall-0");
        book.apply_record(record);
    }

    void heard(const cj::received_notice& notice, cj::time_point now)
    {
        book.apply_notice(upstream(), notice, now);
    }

    void told(const cj::message::upstream_terms& news, const std::string& from,
              cj::time_point now)
    {
        book.apply_reported_terms(upstream(), {}, cj::decode_terms(news, now),
                                  from, now);
    }

    void share(const std::vector<cj::entry_demand>& entries, cj::time_point now)
    {
        book.assign_limit_shares(own, entries, now);
    }

    void sent(cj::time_point now)
    {
        book.begin_attempt(upstream(), ++number, 0, now);
        book.cancel_attempt(upstream(), number);
    }

    [[nodiscard]] bool limited() const
    {
        return book.find(upstream())->terms.limit().has_value();
    }

    [[nodiscard]] bool open(cj::time_point now) const
    {
        return now >= book.find(upstream())->terms.next_send_at();
    }

    [[nodiscard]] std::vector<cj::message::upstream_terms>
    news(cj::time_point now) const
    {
        return cj::recent_terms(book, now);
    }

private:
    std::string own;
    cj::upstream_registry book;
    std::uint64_t number{0};
};

/*! @brief The other way: each entry that lives has an equal part, and begins
 * at a moment of its own. */
class equal_parts
{
public:
    explicit equal_parts(std::string address, unsigned seed)
        : terms(std::move(address), seed), random(seed)
    {
    }

    void heard(const cj::received_notice& notice, cj::time_point now)
    {
        terms.heard(notice, now);
        take(notice.notice.requests_per_second);
    }

    void told(const cj::message::upstream_terms& news, const std::string& from,
              cj::time_point now)
    {
        terms.told(news, from, now);
        take(news.per_second >= 0 ? std::optional<double>(news.per_second)
                                  : std::nullopt);
    }

    [[nodiscard]] bool limited() const { return limit.has_value(); }

    void share(const std::vector<cj::entry_demand>& entries, cj::time_point now)
    {
        pause = cj::from_seconds(static_cast<double>(entries.size()) / *limit);
        if (!due)
            due = now + cj::from_seconds(std::uniform_real_distribution<double>(
                            0, cj::to_seconds(pause))(random));
    }

    void sent(cj::time_point now)
    {
        if (due)
            due = now + pause;
    }

    [[nodiscard]] bool open(cj::time_point now) const
    {
        return !limit || (due && now >= *due);
    }

    [[nodiscard]] std::vector<cj::message::upstream_terms>
    news(cj::time_point now) const
    {
        return terms.news(now);
    }

private:
    void take(std::optional<double> per_second)
    {
        limit = per_second;
        if (!limit)
            due.reset();
    }

    holders terms;
    std::mt19937 random;
    std::optional<double> limit;
    std::optional<cj::time_point> due;
    std::chrono::microseconds pause{0};
};

/*! @brief Plays a scene.
 * @tparam Keeper How an entry keeps to the limit. */
template <typename Keeper>
class player
{
public:
    explicit player(scene set) : played(set), random(set.seed)
    {
        for (std::size_t at = 0; at < played.entries; ++at)
        {
            entries.push_back(
                {Keeper(name(at), played.seed + static_cast<unsigned>(at))});
            demands.push_back(
                {cj::hall_id("hall-" + std::to_string(hall(at))), name(at), 1});
        }
        arrange_faults();
    }

    outcome play()
    {
        std::poisson_distribution<int> arrivals(played.asked * step);
        for (std::size_t at = 0; static_cast<double>(at) * step < played.lasts;
             ++at)
        {
            now = static_cast<double>(at) * step;
            deliver();
            for (std::size_t one = 0; one < entries.size(); ++one)
                act(one, at, arrivals(random));
        }
        return judged();
    }

private:
    static constexpr double step = 0.01;
    static constexpr std::size_t share_steps = 10;
    static constexpr std::size_t beat_steps = 20;
    static constexpr double answer_time = 0.1;
    static constexpr double travel = 0.003;
    static constexpr double contact_time = 3;
    static constexpr double excused_time = 0.5;
    static constexpr double window = 4;
    static constexpr double alive_time = 1;
    static constexpr double never = std::numeric_limits<double>::infinity();

    struct entry
    {
        Keeper keeper;
        std::map<std::size_t, double> heard{}; /*!< When, by entry. */
        double told{never};  /*!< First passed an answer with a limit on. */
        double stops{never}; /*!< Takes no callers any more, and says so. */
        double ends{never};
        double starts_again{never};
        double frozen_from{never};
        double cut_from{never};
        double excused_until{-1};
    };

    struct arrival
    {
        double at;
        std::size_t entry;
        bool knew;
        bool excused;
    };

    struct letter
    {
        double at;
        std::size_t number;
        std::function<void()> read;
        bool operator<(const letter& other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    static std::string name(std::size_t at)
    {
        return "10.0.0." + std::to_string(at);
    }

    [[nodiscard]] std::size_t hall(std::size_t at) const
    {
        return at % played.halls;
    }

    /*! @brief Faults come one a second, between the naming and the end. */
    void arrange_faults()
    {
        std::vector<std::size_t> order(entries.size());
        for (std::size_t at = 0; at < order.size(); ++at)
            order[at] = at;
        std::shuffle(order.begin(), order.end(), random);
        std::size_t next = 0;
        double when = played.named_at + 4.3;
        const auto draw = [&](std::size_t count, auto change)
        {
            for (; count > 0 && next < order.size(); --count, when += 1)
                change(entries[order[next++]], when);
        };
        draw(played.restarted, [](entry& one, double at)
             { one.ends = at, one.starts_again = at + 0.5; });
        draw(played.stopped,
             [](entry& one, double at) { one.stops = at, one.ends = at + 3; });
        draw(played.killed, [](entry& one, double at) { one.ends = at; });
        draw(played.frozen,
             [](entry& one, double at) { one.frozen_from = at; });
        draw(played.cut, [](entry& one, double at) { one.cut_from = at; });
    }

    void deliver()
    {
        while (!letters.empty() && letters.top().at <= now)
        {
            const auto read = letters.top().read;
            letters.pop();
            read();
        }
    }

    void post(double after, std::function<void()> read)
    {
        letters.push({now + after, ++posted, std::move(read)});
    }

    [[nodiscard]] bool runs(const entry& one) const
    {
        constexpr double freeze = 2;
        return (now < one.ends || now >= one.starts_again) &&
               (now < one.frozen_from || now >= one.frozen_from + freeze);
    }

    [[nodiscard]] bool cut(const entry& one) const
    {
        constexpr double lasts = 5;
        return now >= one.cut_from && now < one.cut_from + lasts;
    }

    void act(std::size_t at, std::size_t tick, int arrivals)
    {
        auto& one = entries[at];
        if (!runs(one))
        {
            one.excused_until = now + contact_time;
            return;
        }
        if (cut(one))
            one.excused_until = now + contact_time;
        if (now >= one.starts_again && one.starts_again != never)
        {
            one = entry{Keeper(name(at), played.seed)};
            one.excused_until = now + contact_time;
        }
        if (tick % share_steps == at % share_steps && one.keeper.limited())
            share(at);
        if (tick % beat_steps == at % beat_steps && !cut(one))
            beat(at, (tick / beat_steps) % 2 == 0);
        if (now >= one.stops)
            return;
        for (; arrivals > 0; --arrivals)
            if (one.keeper.open(moment(now)))
                send(at);
    }

    void share(std::size_t at)
    {
        auto& one = entries[at];
        std::vector<cj::entry_demand> alive;
        for (std::size_t other = 0; other < entries.size(); ++other)
        {
            const bool self = other == at;
            const auto heard = one.heard.find(other);
            const bool known =
                heard != one.heard.end() && now - heard->second < alive_time;
            if (self ? now < one.stops : known)
                alive.push_back(demands[other]);
        }
        one.keeper.share(alive, moment(now));
    }

    void beat(std::size_t from, bool far)
    {
        const auto news = entries[from].keeper.news(moment(now));
        const bool leaving = now >= entries[from].stops;
        std::bernoulli_distribution lost(played.loss);
        for (std::size_t to = 0; to < entries.size(); ++to)
        {
            if (to == from || (hall(to) != hall(from) && !far) || lost(random))
                continue;
            post(travel,
                 [this, from, to, news, leaving]
                 {
                     auto& one = entries[to];
                     if (!runs(one) || cut(one))
                         return;
                     one.heard[from] = leaving ? -never : now;
                     for (const auto& told : news)
                         one.keeper.told(told, name(from), moment(now));
                 });
        }
    }

    void send(std::size_t at)
    {
        auto& one = entries[at];
        one.keeper.sent(moment(now));
        const auto sent = now;
        post(travel,
             [this, at, sent]
             {
                 const auto& from = entries[at];
                 arrived.push_back({now, at, from.told + excused_time <= now,
                                    now < from.excused_until});
                 const bool limited =
                     now >= played.named_at && now < played.ends_at;
                 post(answer_time,
                      [this, at, sent, limited] { answer(at, sent, limited); });
             });
    }

    void answer(std::size_t at, double sent, bool limited)
    {
        auto& one = entries[at];
        if (!runs(one))
            return;
        cj::received_notice heard{{}, moment(sent), true};
        if (limited)
        {
            heard.notice.requests_per_second = played.per_second;
            one.told = std::min(one.told, now);
        }
        one.keeper.heard(heard, moment(now));
    }

    [[nodiscard]] outcome judged() const
    {
        outcome made;
        const auto from = played.named_at + contact_time;
        std::deque<double> inside;
        double used = 0;
        double after = 0;
        for (const auto& one : arrived)
        {
            after += one.at >= played.ends_at ? 1 : 0;
            if (made.recovered > played.lasts && after > recovery_count())
                made.recovered = one.at - played.ends_at;
            if (one.at < played.named_at || one.at >= played.ends_at)
                continue;
            made.unknowing += one.knew ? 0 : 1;
            if (one.at < from)
                continue;
            ++used;
            if (!one.knew || one.excused)
                continue;
            inside.push_back(one.at);
            while (inside.front() <= one.at - window)
                inside.pop_front();
            made.worst_window = std::max(made.worst_window, inside.size());
        }
        made.used = used / ((played.ends_at - from) * played.per_second);
        return made;
    }

    /*! @brief Arrivals after the end by which the upstream is in use again:
     * half a second of what is asked. */
    [[nodiscard]] double recovery_count() const
    {
        return played.asked * static_cast<double>(played.entries) / 2;
    }

    scene played;
    std::mt19937 random;
    std::vector<entry> entries;
    std::vector<cj::entry_demand> demands; /*!< Of each entry. */
    std::priority_queue<letter> letters;
    std::vector<arrival> arrived;
    std::size_t posted{0};
    double now{0};
};

} // namespace limit_replay

#endif
