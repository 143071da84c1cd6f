/*! @file
 * @brief Simulates in virtual time how many entries poll one source for the
 * newest published version; no input or output.
 */
#ifndef COURSEJUNCTION_TESTS_FLEET_POLL_SIMULATION_HPP
#define COURSEJUNCTION_TESTS_FLEET_POLL_SIMULATION_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "coursejunction/fleet/poll_schedule.hpp"

namespace poll_simulation
{

namespace cj = coursejunction;

using ms = std::int64_t;

/*! @brief A half-open interval of time. */
struct interval
{
    ms from{0};
    ms to{0};

    [[nodiscard]] bool covers(ms now) const { return now >= from && now < to; }
};

/*! @brief The faults of one entry. */
struct entry_faults
{
    ms starts{0};
    std::optional<ms> stops; /*!< Permanently, announced to the others. */
    std::optional<interval> suspended; /*!< Does nothing, then resumes. */
    std::optional<interval> cut; /*!< Neither receives nor reaches others. */
    std::optional<interval> source_unreachable; /*!< Its polls get no answer. */
};

/*! @brief The parameters of a simulation; times are in milliseconds. */
struct parameters
{
    std::size_t entries{5};
    ms duration{120'000};
    ms tick{100};
    std::size_t answer_bytes{4'500};
    double link_rate{1'250'000}; /*!< Bytes per second. */
    /*! @brief The first this many entries are announced to all others by their
     * peers. Two entries beyond them never learn of each other, unless one is a
     * seed. */
    std::size_t max_announced{1'000};
    /*! @brief Entries that all others know from the start. */
    std::size_t seed_entries{3};
    std::vector<ms> rechecks; /*!< Times at which all request a recheck. */
    /*! @brief When a version is published that only the source has; -1 for
     * never. */
    ms published_at{-1};
    ms window{10'000}; /*!< For which the use of the link is measured. */
    std::uint32_t random_seed{1};
};

/*! @brief The measurements of a simulation. */
struct measurements
{
    std::size_t polls{0};
    double max_fraction{0};     /*!< Of the link, used in any window. */
    double total_fraction{0};   /*!< Of the link, used over all. */
    std::size_t max_answers{0}; /*!< In any window. */
    /*! @brief Time from each recheck request to the next poll. */
    std::vector<ms> recheck_delays;
    /*! @brief Time from the publication until an entry reports the version; -1
     * for never. */
    ms reported_after{-1};
};

/*! @brief Runs one simulation. */
class simulator
{
public:
    explicit simulator(parameters given) : settings(std::move(given))
    {
        std::minstd_rand random(settings.random_seed);
        std::uniform_int_distribution<ms> start(0, 999);
        for (std::size_t at = 0; at < settings.entries; ++at)
            entries.emplace_back(static_cast<std::uint32_t>(random()),
                                 start(random));
        std::uniform_int_distribution<std::size_t> any(0, settings.entries - 1);
        for (std::size_t at = 0; at < settings.seed_entries; ++at)
            entries[any(random)].is_seed = true;
    }

    /*! @brief Returns the faults of an entry, to be changed before `run()`. */
    entry_faults& faults_of(std::size_t at) { return entries[at].faults; }

    measurements run()
    {
        for (ms now = 0; now < settings.duration; now += settings.tick)
            step(now);
        summarize();
        return made;
    }

private:
    /*! @brief From a start until heartbeats of all others are received, once
     * peers have announced them. */
    static constexpr ms discovery_delay{800};
    /*! @brief From the end of a fault until heartbeats of others are received,
     * and from a start until those of the seeds are. */
    static constexpr ms heartbeat_delay{200};
    /*! @brief An entry from which nothing was received for this long counts as
     * stopped. */
    static constexpr ms peer_timeout{1'000};
    static constexpr ms heartbeat_interval{200};
    static constexpr ms poll_timeout{3'000};
    static constexpr ms round_trip{20};
    /*! @brief From an answer until the version is reported. */
    static constexpr ms report_delay{1'000};

    struct entry
    {
        entry(std::uint32_t random_seed, ms start) : schedule(random_seed)
        {
            faults.starts = start;
        }

        cj::poll_schedule schedule;
        entry_faults faults;
        bool started{false};
        bool is_seed{false};
        cj::entry_ranking ranking;
        ms in_flight_until{0};
    };

    static cj::time_point moment(ms now)
    {
        return cj::time_point{std::chrono::hours(1)} + cj::milliseconds(now);
    }

    [[nodiscard]] static bool runs(const entry_faults& one, ms now)
    {
        return now >= one.starts && !(one.stops && now >= *one.stops) &&
               !(one.suspended && one.suspended->covers(now));
    }

    /*! @brief Returns whether an entry's heartbeats arrived recently in spite
     * of a fault. */
    [[nodiscard]] static bool
    heard_despite(const std::optional<interval>& fault, ms now)
    {
        return !fault || now < fault->from + peer_timeout ||
               now >= fault->to + heartbeat_delay;
    }

    [[nodiscard]] bool hears(std::size_t by, std::size_t other, ms now) const
    {
        const auto& own = entries[by].faults;
        const bool known = entries[by].is_seed || entries[other].is_seed;
        const auto& one = entries[other].faults;
        if (by >= settings.max_announced && other >= settings.max_announced &&
            !known)
            return false;
        if (own.suspended && now >= own.suspended->to &&
            now < own.suspended->to + heartbeat_delay &&
            own.suspended->to - own.suspended->from >= peer_timeout)
            return false;
        return now >= std::max(own.starts, one.starts) +
                          (known ? heartbeat_delay : discovery_delay) &&
               !(one.stops && now >= *one.stops) &&
               heard_despite(one.suspended, now) &&
               heard_despite(own.cut, now) && heard_despite(one.cut, now);
    }

    [[nodiscard]] cj::entry_ranking ranking_of(std::size_t at, ms now) const
    {
        cj::entry_ranking found;
        for (std::size_t other = 0; other < entries.size(); ++other)
        {
            if (other == at || !hears(at, other, now))
                continue;
            ++found.others;
            found.rank += other < at ? 1 : 0;
        }
        return found;
    }

    void step(ms now)
    {
        const bool recheck = std::any_of(
            settings.rechecks.begin(), settings.rechecks.end(),
            [&](ms one) { return now <= one && one < now + settings.tick; });
        for (std::size_t at = 0; at < entries.size(); ++at)
        {
            auto& one = entries[at];
            if (!runs(one.faults, now))
                continue;
            if (!one.started)
                start(one, now);
            if (recheck)
                one.schedule.request_recheck(moment(now));
            const bool resumes = one.faults.suspended &&
                                 now >= one.faults.suspended->to &&
                                 now < one.faults.suspended->to + settings.tick;
            if (resumes || (now % heartbeat_interval < settings.tick &&
                            rankings_change(now)))
                one.ranking = ranking_of(at, now);
            if (now >= one.in_flight_until &&
                one.schedule.due(one.ranking, moment(now)))
                poll(one, now);
        }
    }

    /*! @brief Returns whether rankings may change about now, to save time. */
    [[nodiscard]] bool rankings_change(ms now) const
    {
        constexpr ms margin{3'000};
        const auto near = [&](const std::optional<interval>& fault)
        { return fault && now >= fault->from && now < fault->to + margin; };
        return now < margin ||
               std::any_of(entries.begin(), entries.end(),
                           [&](const entry& one)
                           {
                               const auto& faults = one.faults;
                               return near(faults.suspended) ||
                                      near(faults.cut) ||
                                      (faults.stops && now >= *faults.stops &&
                                       now < *faults.stops + margin);
                           });
    }

    void start(entry& one, ms now)
    {
        one.started = true;
        one.schedule.set_answer_size(settings.answer_bytes, settings.link_rate);
        one.schedule.request_recheck(moment(now));
    }

    void poll(entry& one, ms now)
    {
        one.schedule.record_poll(moment(now));
        if (one.faults.source_unreachable &&
            one.faults.source_unreachable->covers(now))
        {
            one.in_flight_until = now + poll_timeout;
            return;
        }
        polled_at.push_back(now);
        const auto bytes = static_cast<double>(settings.answer_bytes);
        link_idle_at_ms = std::max(link_idle_at_ms, static_cast<double>(now)) +
                          bytes / settings.link_rate * 1000;
        const auto answered = static_cast<ms>(link_idle_at_ms) + round_trip;
        one.in_flight_until = answered;
        one.schedule.set_answer_size(settings.answer_bytes, settings.link_rate);
        if (settings.published_at >= 0 && now >= settings.published_at &&
            made.reported_after < 0)
            made.reported_after =
                answered + report_delay - settings.published_at;
    }

    void summarize()
    {
        made.polls = polled_at.size();
        const auto bytes = static_cast<double>(settings.answer_bytes);
        const auto fraction = [&](std::size_t count, ms time)
        {
            return static_cast<double>(count) * bytes * 1000 /
                   static_cast<double>(time) / settings.link_rate;
        };
        for (std::size_t last = 0, first = 0; last < polled_at.size(); ++last)
        {
            while (polled_at[last] - polled_at[first] >= settings.window)
                ++first;
            made.max_answers = std::max(made.max_answers, last - first + 1);
        }
        made.max_fraction = fraction(made.max_answers, settings.window);
        made.total_fraction = fraction(polled_at.size(), settings.duration);
        for (const auto recheck : settings.rechecks)
        {
            const auto next =
                std::lower_bound(polled_at.begin(), polled_at.end(), recheck);
            made.recheck_delays.push_back(
                next == polled_at.end() ? settings.duration : *next - recheck);
        }
    }

    parameters settings;
    std::vector<entry> entries;
    std::vector<ms> polled_at;
    double link_idle_at_ms{0}; /*!< Time at which the link is idle again. */
    measurements made;
};

} // namespace poll_simulation

#endif
