/*! @file
 * @brief Replays in virtual time how many entries ask one source which version
 * was named last. Without input or output.
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

/*! @brief Time in which something holds of an entry. */
struct span
{
    ms from{0};
    ms to{0};

    [[nodiscard]] bool covers(ms now) const { return now >= from && now < to; }
};

/*! @brief What happens to one entry. */
struct fate
{
    ms starts{0};
    std::optional<ms> stops;        /*!< For good; others are told. */
    std::optional<span> frozen;     /*!< Does nothing, then goes on. */
    std::optional<span> cut;        /*!< No entry hears another across it. */
    std::optional<span> sourceless; /*!< Its questions are not answered. */
};

/*! @brief What is played. */
struct pattern
{
    std::size_t entries{5};
    ms lasts{120'000};
    ms tick{100};
    std::size_t answer_bytes{4'500};
    double link_rate{1'250'000}; /*!< Bytes a second. */
    /*! @brief Entries that an entry hears of from others: those after them
     * never hear of each other. */
    std::size_t most_named{1'000};
    std::size_t seeds{3};   /*!< Entries that all know from the first. */
    std::vector<ms> doubts; /*!< Moments at which all doubt. */
    ms named_at{-1};        /*!< The source alone is told a version. */
    ms window{10'000};      /*!< In which the link's share is looked at. */
    std::uint32_t seed{1};
};

/*! @brief What came of it. */
struct outcome
{
    std::size_t questions{0};
    double most_share{0};        /*!< Of the link, asked for in any window. */
    double whole_share{0};       /*!< The same in the whole time. */
    std::size_t most_answers{0}; /*!< In any window. */
    std::vector<ms> first_after; /*!< Until a question after each doubt. */
    ms told_after{-1};
};

/*! @brief Plays one pattern. */
class player
{
public:
    explicit player(pattern set) : played(std::move(set))
    {
        std::minstd_rand random(played.seed);
        std::uniform_int_distribution<ms> start(0, 999);
        for (std::size_t at = 0; at < played.entries; ++at)
            entries.emplace_back(static_cast<std::uint32_t>(random()),
                                 start(random));
        std::uniform_int_distribution<std::size_t> any(0, played.entries - 1);
        for (std::size_t at = 0; at < played.seeds; ++at)
            entries[any(random)].seed = true;
    }

    /*! @brief Changes what happens to an entry. */
    fate& of(std::size_t at) { return entries[at].life; }

    outcome play()
    {
        for (ms now = 0; now < played.lasts; now += played.tick)
            step(now);
        sum_up();
        return made;
    }

private:
    /*! @brief From a start until all others are heard, which are named by
     * those that are known. */
    static constexpr ms meeting{800};
    /*! @brief From the end of a silence until others are heard, and from a
     * start until those that are known from the first are. */
    static constexpr ms hearing{200};
    /*! @brief After this silence an entry counts as gone. */
    static constexpr ms silence{1'000};
    static constexpr ms beat{200};
    static constexpr ms patience{3'000};
    static constexpr ms round_trip{20};
    static constexpr ms telling{1'000};

    struct entry
    {
        entry(std::uint32_t seed, ms start) : schedule(seed)
        {
            life.starts = start;
        }

        cj::poll_schedule schedule;
        fate life;
        bool begun{false};
        bool seed{false};
        cj::entry_ranking at;
        ms asking_until{0};
    };

    static cj::time_point moment(ms now)
    {
        return cj::time_point{std::chrono::hours(1)} + cj::milliseconds(now);
    }

    [[nodiscard]] static bool runs(const fate& one, ms now)
    {
        return now >= one.starts && !(one.stops && now >= *one.stops) &&
               !(one.frozen && one.frozen->covers(now));
    }

    /*! @brief Tells whether an entry's news have come through lately. */
    [[nodiscard]] static bool clear(const std::optional<span>& fault, ms now)
    {
        return !fault || now < fault->from + silence ||
               now >= fault->to + hearing;
    }

    [[nodiscard]] bool hears(std::size_t by, std::size_t other, ms now) const
    {
        const auto& own = entries[by].life;
        const bool known = entries[by].seed || entries[other].seed;
        const auto& one = entries[other].life;
        if (by >= played.most_named && other >= played.most_named && !known)
            return false;
        if (own.frozen && now >= own.frozen->to &&
            now < own.frozen->to + hearing &&
            own.frozen->to - own.frozen->from >= silence)
            return false;
        return now >= std::max(own.starts, one.starts) +
                          (known ? hearing : meeting) &&
               !(one.stops && now >= *one.stops) && clear(one.frozen, now) &&
               clear(own.cut, now) && clear(one.cut, now);
    }

    [[nodiscard]] cj::entry_ranking standing_of(std::size_t at, ms now) const
    {
        cj::entry_ranking seen;
        for (std::size_t other = 0; other < entries.size(); ++other)
        {
            if (other == at || !hears(at, other, now))
                continue;
            ++seen.others;
            seen.rank += other < at ? 1 : 0;
        }
        return seen;
    }

    void step(ms now)
    {
        const bool doubts = std::any_of(
            played.doubts.begin(), played.doubts.end(),
            [&](ms one) { return now <= one && one < now + played.tick; });
        for (std::size_t at = 0; at < entries.size(); ++at)
        {
            auto& one = entries[at];
            if (!runs(one.life, now))
                continue;
            if (!one.begun)
                begin(one, now);
            if (doubts)
                one.schedule.request_recheck(moment(now));
            const bool thaws = one.life.frozen && now >= one.life.frozen->to &&
                               now < one.life.frozen->to + played.tick;
            if (thaws || (now % beat < played.tick && changes(now)))
                one.at = standing_of(at, now);
            if (now >= one.asking_until &&
                one.schedule.due(one.at, moment(now)))
                ask(one, now);
        }
    }

    /*! @brief Tells whether ranks may change about now. */
    [[nodiscard]] bool changes(ms now) const
    {
        constexpr ms after{3'000};
        const auto near = [&](const std::optional<span>& fault)
        { return fault && now >= fault->from && now < fault->to + after; };
        return now < after ||
               std::any_of(entries.begin(), entries.end(),
                           [&](const entry& one)
                           {
                               const auto& life = one.life;
                               return near(life.frozen) || near(life.cut) ||
                                      (life.stops && now >= *life.stops &&
                                       now < *life.stops + after);
                           });
    }

    void begin(entry& one, ms now)
    {
        one.begun = true;
        one.schedule.set_answer_size(played.answer_bytes, played.link_rate);
        one.schedule.request_recheck(moment(now));
    }

    void ask(entry& one, ms now)
    {
        one.schedule.record_poll(moment(now));
        if (one.life.sourceless && one.life.sourceless->covers(now))
        {
            one.asking_until = now + patience;
            return;
        }
        asked_at.push_back(now);
        const auto bytes = static_cast<double>(played.answer_bytes);
        link_free = std::max(link_free, static_cast<double>(now)) +
                    bytes / played.link_rate * 1000;
        const auto answered = static_cast<ms>(link_free) + round_trip;
        one.asking_until = answered;
        one.schedule.set_answer_size(played.answer_bytes, played.link_rate);
        if (played.named_at >= 0 && now >= played.named_at &&
            made.told_after < 0)
            made.told_after = answered + telling - played.named_at;
    }

    void sum_up()
    {
        made.questions = asked_at.size();
        const auto bytes = static_cast<double>(played.answer_bytes);
        const auto share = [&](std::size_t count, ms time)
        {
            return static_cast<double>(count) * bytes * 1000 /
                   static_cast<double>(time) / played.link_rate;
        };
        for (std::size_t last = 0, first = 0; last < asked_at.size(); ++last)
        {
            while (asked_at[last] - asked_at[first] >= played.window)
                ++first;
            made.most_answers = std::max(made.most_answers, last - first + 1);
        }
        made.most_share = share(made.most_answers, played.window);
        made.whole_share = share(asked_at.size(), played.lasts);
        for (const auto doubt : played.doubts)
        {
            const auto next =
                std::lower_bound(asked_at.begin(), asked_at.end(), doubt);
            made.first_after.push_back(next == asked_at.end() ? played.lasts
                                                              : *next - doubt);
        }
    }

    pattern played;
    std::vector<entry> entries;
    std::vector<ms> asked_at;
    double link_free{0}; /*!< When the link has sent all answers. */
    outcome made;
};

} // namespace poll_simulation

#endif
