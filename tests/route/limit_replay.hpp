/*! @file
 * @brief Simulates entries that share the rate limit of one upstream, in
 * virtual time: they start, stop, are suspended, are disconnected from each
 * other and lose heartbeats.
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

/*! @brief Parameters of a simulation; times in seconds. */
struct simulation_options
{
    std::size_t entries{5};
    std::size_t halls{3};
    double per_second{1}; /*!< The limit that the upstream announces. */
    double requests_per_second{3}; /*!< Requests a second per entry. */
    double announced_at{2};
    double ends_at{17};
    double duration{21};
    double heartbeat_loss{0.03}; /*!< Fraction of heartbeats lost. */
    std::size_t restarted{0};    /*!< Entries that restart, one a second. */
    std::size_t stopped{0}; /*!< Entries that stop permanently, one a second. */
    std::size_t crashed{0}; /*!< Entries that crash, one a second. */
    std::size_t suspended{0}; /*!< Entries that are suspended for 2 s. */
    std::size_t disconnected{
        0}; /*!< Entries that receive no heartbeats for 5 s. */
    unsigned seed{1};
};

/*! @brief What the upstream observed while it announced its limit. */
struct simulation_result
{
    /*! @brief Most requests in any 4 s, from entries that knew the limit. */
    std::size_t max_in_window{0};
    std::size_t unaware_requests{0}; /*!< Requests of entries that did not. */
    /*! @brief Fraction of the limit used once entries knew it. */
    double used_fraction{0};
    /*! @brief Seconds from its end until half a second's worth of requests has
     * arrived. */
    double recovery_seconds{std::numeric_limits<double>::infinity()};
};

/*! @brief Returns the requests that the service's rules allow in 4 s. */
inline double allowed(double per_second)
{
    constexpr double window_seconds = 4;
    constexpr double excess = 1.5;
    constexpr double extra = 5;
    return excess * per_second * window_seconds + extra;
}

inline cj::time_point moment(double seconds)
{
    // Starts at an hour, as the epoch means never.
    return cj::time_point{std::chrono::hours(1)} + cj::from_seconds(seconds);
}

inline cj::instance_id upstream()
{
    return cj::instance_id("u");
}

/*! @brief The service's own way: a few entries, selected by rendezvous hashing,
 * hold the limit. */
class assigned_holders
{
public:
    explicit assigned_holders(std::string address, unsigned /*seed*/)
        : own(std::move(address))
    {
        cj::upstream_record record;
        record.id = upstream();
        record.hall = cj::hall_id("hall-0");
        registry.apply_record(record);
    }

    void apply_notice(const cj::received_notice& notice, cj::time_point now)
    {
        registry.apply_notice(upstream(), notice, now);
    }

    void apply_report(const cj::message::upstream_terms& report,
                      const std::string& from, cj::time_point now)
    {
        registry.apply_reported_terms(upstream(), {},
                                      cj::decode_terms(report, now), from, now);
    }

    void assign_shares(const std::vector<cj::entry_demand>& entries,
                       cj::time_point now)
    {
        registry.assign_limit_shares(own, entries, now);
    }

    void record_send(cj::time_point now)
    {
        registry.begin_attempt(upstream(), ++number, 0, now);
        registry.cancel_attempt(upstream(), number);
    }

    [[nodiscard]] bool knows_limit() const
    {
        return registry.find(upstream())->terms.limit().has_value();
    }

    [[nodiscard]] bool may_send(cj::time_point now) const
    {
        return now >= registry.find(upstream())->terms.next_send_at();
    }

    [[nodiscard]] std::vector<cj::message::upstream_terms>
    pending_reports(cj::time_point now) const
    {
        return cj::recent_terms(registry, now);
    }

private:
    std::string own;
    cj::upstream_registry registry;
    std::uint64_t number{0};
};

/*! @brief The alternative: each live entry has an equal share and starts at a
 * random time of its first interval. */
class equal_shares
{
public:
    explicit equal_shares(std::string address, unsigned seed)
        : terms(std::move(address), seed), random(seed)
    {
    }

    void apply_notice(const cj::received_notice& notice, cj::time_point now)
    {
        terms.apply_notice(notice, now);
        set_limit(notice.notice.requests_per_second);
    }

    void apply_report(const cj::message::upstream_terms& report,
                      const std::string& from, cj::time_point now)
    {
        terms.apply_report(report, from, now);
        set_limit(report.per_second >= 0
                      ? std::optional<double>(report.per_second)
                      : std::nullopt);
    }

    [[nodiscard]] bool knows_limit() const { return limit.has_value(); }

    void assign_shares(const std::vector<cj::entry_demand>& entries,
                       cj::time_point now)
    {
        interval =
            cj::from_seconds(static_cast<double>(entries.size()) / *limit);
        if (!next_due)
            next_due =
                now + cj::from_seconds(std::uniform_real_distribution<double>(
                          0, cj::to_seconds(interval))(random));
    }

    void record_send(cj::time_point now)
    {
        if (next_due)
            next_due = now + interval;
    }

    [[nodiscard]] bool may_send(cj::time_point now) const
    {
        return !limit || (next_due && now >= *next_due);
    }

    [[nodiscard]] std::vector<cj::message::upstream_terms>
    pending_reports(cj::time_point now) const
    {
        return terms.pending_reports(now);
    }

private:
    void set_limit(std::optional<double> per_second)
    {
        limit = per_second;
        if (!limit)
            next_due.reset();
    }

    assigned_holders terms;
    std::mt19937 random;
    std::optional<double> limit;
    std::optional<cj::time_point> next_due;
    std::chrono::microseconds interval{0};
};

/*! @brief Simulates the entries.
 * @tparam Keeper How an entry keeps within the limit. */
template <typename Keeper>
class simulator
{
public:
    explicit simulator(simulation_options configured)
        : options(configured), random(configured.seed)
    {
        for (std::size_t index = 0; index < options.entries; ++index)
        {
            entries.push_back({Keeper(
                name(index), options.seed + static_cast<unsigned>(index))});
            demands.push_back(
                {cj::hall_id("hall-" + std::to_string(hall(index))),
                 name(index), 1});
        }
        schedule_faults();
    }

    simulation_result run()
    {
        std::poisson_distribution<int> arrivals(options.requests_per_second *
                                                step_seconds);
        for (std::size_t tick = 0;
             static_cast<double>(tick) * step_seconds < options.duration;
             ++tick)
        {
            now = static_cast<double>(tick) * step_seconds;
            run_due_events();
            for (std::size_t one = 0; one < entries.size(); ++one)
                step(one, tick, arrivals(random));
        }
        return evaluate();
    }

private:
    static constexpr double step_seconds = 0.01;
    static constexpr std::size_t share_steps = 10;
    static constexpr std::size_t heartbeat_steps = 20;
    static constexpr double response_seconds = 0.1;
    static constexpr double latency_seconds = 0.003;
    /*! @brief Time after a start or a fault in which the requests of an entry
     * are not checked, as it may not know the limit. */
    static constexpr double exempt_seconds = 3;
    /*! @brief Time after which an entry must follow a limit that a response
     * announced to it. */
    static constexpr double awareness_seconds = 0.5;
    static constexpr double window_seconds = 4;
    static constexpr double heartbeat_timeout_seconds = 1;
    static constexpr double never = std::numeric_limits<double>::infinity();

    struct entry
    {
        Keeper keeper;
        std::map<std::size_t, double> last_heartbeat{}; /*!< By entry. */
        double limited_since{never}; /*!< First response with a limit. */
        double stops{never}; /*!< Announces that it accepts no requests. */
        double ends{never};
        double starts_again{never};
        double suspended_from{never};
        double disconnected_from{never};
        double exempt_until{-1}; /*!< Not checked until then. */
    };

    struct arrival
    {
        double at;
        std::size_t entry;
        bool knew_limit;
        bool exempt;
    };

    struct event
    {
        double at;
        std::size_t number;
        std::function<void()> action;
        bool operator<(const event& other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    static std::string name(std::size_t index)
    {
        return "10.0.0." + std::to_string(index);
    }

    [[nodiscard]] std::size_t hall(std::size_t index) const
    {
        return index % options.halls;
    }

    /*! @brief Schedules faults one a second, between the announcement of the
     * limit and its end. */
    void schedule_faults()
    {
        std::vector<std::size_t> order(entries.size());
        for (std::size_t index = 0; index < order.size(); ++index)
            order[index] = index;
        std::shuffle(order.begin(), order.end(), random);
        std::size_t next = 0;
        double fault_at = options.announced_at + 4.3;
        const auto draw = [&](std::size_t count, auto change)
        {
            for (; count > 0 && next < order.size(); --count, fault_at += 1)
                change(entries[order[next++]], fault_at);
        };
        draw(options.restarted, [](entry& one, double at)
             { one.ends = at, one.starts_again = at + 0.5; });
        draw(options.stopped,
             [](entry& one, double at) { one.stops = at, one.ends = at + 3; });
        draw(options.crashed, [](entry& one, double at) { one.ends = at; });
        draw(options.suspended,
             [](entry& one, double at) { one.suspended_from = at; });
        draw(options.disconnected,
             [](entry& one, double at) { one.disconnected_from = at; });
    }

    void run_due_events()
    {
        while (!events.empty() && events.top().at <= now)
        {
            const auto action = events.top().action;
            events.pop();
            action();
        }
    }

    void schedule(double after, std::function<void()> action)
    {
        events.push({now + after, ++scheduled, std::move(action)});
    }

    [[nodiscard]] bool runs(const entry& one) const
    {
        constexpr double duration = 2;
        return (now < one.ends || now >= one.starts_again) &&
               (now < one.suspended_from ||
                now >= one.suspended_from + duration);
    }

    [[nodiscard]] bool disconnected(const entry& one) const
    {
        constexpr double duration = 5;
        return now >= one.disconnected_from &&
               now < one.disconnected_from + duration;
    }

    void step(std::size_t index, std::size_t tick, int arrivals)
    {
        auto& one = entries[index];
        if (!runs(one))
        {
            one.exempt_until = now + exempt_seconds;
            return;
        }
        if (disconnected(one))
            one.exempt_until = now + exempt_seconds;
        if (now >= one.starts_again && one.starts_again != never)
        {
            one = entry{Keeper(name(index), options.seed)};
            one.exempt_until = now + exempt_seconds;
        }
        if (tick % share_steps == index % share_steps &&
            one.keeper.knows_limit())
            assign_shares(index);
        if (tick % heartbeat_steps == index % heartbeat_steps &&
            !disconnected(one))
            send_heartbeat(index, (tick / heartbeat_steps) % 2 == 0);
        if (now >= one.stops)
            return;
        for (; arrivals > 0; --arrivals)
            if (one.keeper.may_send(moment(now)))
                send(index);
    }

    void assign_shares(std::size_t index)
    {
        auto& one = entries[index];
        std::vector<cj::entry_demand> alive;
        for (std::size_t other = 0; other < entries.size(); ++other)
        {
            const bool self = other == index;
            const auto found = one.last_heartbeat.find(other);
            const bool known = found != one.last_heartbeat.end() &&
                               now - found->second < heartbeat_timeout_seconds;
            if (self ? now < one.stops : known)
                alive.push_back(demands[other]);
        }
        one.keeper.assign_shares(alive, moment(now));
    }

    void send_heartbeat(std::size_t from, bool to_all_halls)
    {
        const auto reports = entries[from].keeper.pending_reports(moment(now));
        const bool leaving = now >= entries[from].stops;
        std::bernoulli_distribution lost(options.heartbeat_loss);
        for (std::size_t to = 0; to < entries.size(); ++to)
        {
            if (to == from || (hall(to) != hall(from) && !to_all_halls) ||
                lost(random))
                continue;
            schedule(latency_seconds,
                     [this, from, to, reports, leaving]
                     {
                         auto& one = entries[to];
                         if (!runs(one) || disconnected(one))
                             return;
                         one.last_heartbeat[from] = leaving ? -never : now;
                         for (const auto& report : reports)
                             one.keeper.apply_report(report, name(from),
                                                     moment(now));
                     });
        }
    }

    void send(std::size_t index)
    {
        auto& one = entries[index];
        one.keeper.record_send(moment(now));
        const auto sent = now;
        schedule(latency_seconds,
                 [this, index, sent]
                 {
                     const auto& from = entries[index];
                     arrived.push_back(
                         {now, index,
                          from.limited_since + awareness_seconds <= now,
                          now < from.exempt_until});
                     const bool limited =
                         now >= options.announced_at && now < options.ends_at;
                     schedule(response_seconds, [this, index, sent, limited]
                              { receive_response(index, sent, limited); });
                 });
    }

    void receive_response(std::size_t index, double sent, bool limited)
    {
        auto& one = entries[index];
        if (!runs(one))
            return;
        cj::received_notice notice{{}, moment(sent), true};
        if (limited)
        {
            notice.notice.requests_per_second = options.per_second;
            one.limited_since = std::min(one.limited_since, now);
        }
        one.keeper.apply_notice(notice, moment(now));
    }

    [[nodiscard]] simulation_result evaluate() const
    {
        simulation_result result;
        const auto from = options.announced_at + exempt_seconds;
        std::deque<double> in_window;
        double used = 0;
        double after = 0;
        for (const auto& one : arrived)
        {
            after += one.at >= options.ends_at ? 1 : 0;
            if (result.recovery_seconds > options.duration &&
                after > recovery_count())
                result.recovery_seconds = one.at - options.ends_at;
            if (one.at < options.announced_at || one.at >= options.ends_at)
                continue;
            result.unaware_requests += one.knew_limit ? 0 : 1;
            if (one.at < from)
                continue;
            ++used;
            if (!one.knew_limit || one.exempt)
                continue;
            in_window.push_back(one.at);
            while (in_window.front() <= one.at - window_seconds)
                in_window.pop_front();
            result.max_in_window =
                std::max(result.max_in_window, in_window.size());
        }
        result.used_fraction =
            used / ((options.ends_at - from) * options.per_second);
        return result;
    }

    /*! @brief Returns how many requests after the end show that the upstream is
     * in use again: half a second of all requests. */
    [[nodiscard]] double recovery_count() const
    {
        return options.requests_per_second *
               static_cast<double>(options.entries) / 2;
    }

    simulation_options options;
    std::mt19937 random;
    std::vector<entry> entries;
    std::vector<cj::entry_demand> demands; /*!< Of each entry. */
    std::priority_queue<event> events;
    std::vector<arrival> arrived;
    std::size_t scheduled{0};
    double now{0};
};

} // namespace limit_replay

#endif
