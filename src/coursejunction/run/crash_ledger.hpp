/*! @file
 * @brief Counts the upstreams that ended under a request, whichever entry sent
 * it and under whichever id it came; pure.
 *
 * Each entry keeps a ledger and tells the others its records. A record is a
 * set of upstreams' ends, so that it does not matter how often and in which
 * order two ledgers are merged.
 */
#ifndef COURSEJUNCTION_RUN_CRASH_LEDGER_HPP
#define COURSEJUNCTION_RUN_CRASH_LEDGER_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/core/request_content.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/run/recent_answers.hpp"
#include "coursejunction/wire/crash_record.hpp"

namespace coursejunction
{

/*! @brief One end of one life of an upstream, alike at all entries. */
using crash_id = strong<struct crash_tag, std::uint64_t>;

/*! @brief Returns the id of the end of a life. */
[[nodiscard]] inline crash_id crash_of(const instance_id& upstream,
                                       const incarnation& life)
{
    return crash_id(
        stable_hash(upstream.value() + "/" + std::to_string(life.value())));
}

/*! @brief What is believed of a request. */
enum class crash_standing : std::uint8_t
{
    clear,      /*!< No upstream ended under it. */
    doubted,    /*!< Some did; its next run tells more. */
    quarantined /*!< So many did that it is not sent any more. */
};

/*! @brief Limits of a ledger. */
struct crash_limits
{
    /*! @brief Upstreams that end under a request before it is quarantined. Of
     * one end a request is a bystander, 15 in 16 where an upstream runs 16; of
     * two ends a caller's one retry may still be; three need a cause. */
    std::size_t most{3};
    /*! @brief A quarantine lasts so long after the last end, then the request
     * is doubted again: one more end renews it, one answer ends it. A request
     * that never gets better costs one upstream in ten minutes. */
    milliseconds quarantine{600'000};
    /*! @brief The same for a request that was answered here before: it ends its
     * upstreams only now and then, or is asked for so often that some of its
     * copies are always beside what does. One end in five seconds is what it
     * may cost. */
    milliseconds probation{5'000};
    /*! @brief Answers that speak for one end each: a request that ends less
     * than one in five of its upstreams is taken for a bystander. */
    std::size_t answers_per_end{4};
    /*! @brief Records are forgotten so long after the last end; a quarantine
     * that is over has ten minutes more for its next run. */
    milliseconds memory{1'200'000};
    /*! @brief Records kept, 300 bytes each. The end of 64 upstreams of 16
     * requests makes 1,024. */
    std::size_t most_records{2048};
};

/*! @brief One content with the upstreams that ended under it. */
struct crash_entry
{
    std::set<crash_id> crashes;
    std::set<crash_id> cleared; /*!< Those of them that no longer count. */
    time_point last{};          /*!< When the last one ended. */
    std::uint64_t change{0};    /*!< Rises with each change of any record. */
    time_point changed{};       /*!< When it last changed here. */
    bool answered{false};       /*!< Here, since it was first doubted. */

    /*! @brief Returns how many ends count. */
    [[nodiscard]] std::size_t count() const
    {
        return static_cast<std::size_t>(std::count_if(
            crashes.begin(), crashes.end(),
            [&](const crash_id& one) { return cleared.count(one) == 0; }));
    }
};

/*! @brief The records of one entry. */
class crash_ledger
{
public:
    /*! @brief Records in one datagram: 12 of some 90 bytes. */
    static constexpr std::size_t most_told = 12;

    explicit crash_ledger(crash_limits set = {}) : limits(set) {}

    /*! @brief Notes that an upstream ended under a request, unless its answers
     * of the last while speak for it.
     * @return Whether that quarantines it. */
    bool accuse(const request_content& what, const crash_id& end,
                time_point now)
    {
        if (answers.count(what, now) >= limits.answers_per_end)
        {
            answers.spend(what, limits.answers_per_end);
            return false;
        }
        auto& one = found_or_made(what, now, now);
        const bool before = quarantined(one, now);
        if (one.crashes.count(end) > 0)
            return false;
        insert(one, end);
        one.last = now;
        changed(one, now);
        return !before && quarantined(one, now);
    }

    /*! @brief An upstream answered a request in whole. With so many answers
     * that it is a bystander, what ended under it counts no longer.
     * @return Whether it was doubted until now. */
    bool answered(const request_content& what, time_point now)
    {
        answers.note(what, now);
        const auto found = records.find(what);
        return found != records.end() && speaks_for(what, found->second, now);
    }

    /*! @brief An operator ends the quarantine of a request.
     * @return Whether there was one to end. */
    bool lift(const request_content& what, time_point now)
    {
        const auto found = records.find(what);
        if (found == records.end() || found->second.count() == 0)
            return false;
        found->second.cleared = found->second.crashes;
        changed(found->second, now);
        return true;
    }

    [[nodiscard]] crash_standing standing(const request_content& what,
                                          time_point now) const
    {
        const auto found = records.find(what);
        if (found == records.end() || found->second.count() == 0)
            return crash_standing::clear;
        return quarantined(found->second, now) ? crash_standing::quarantined
                                               : crash_standing::doubted;
    }

    /*! @brief Returns how long a request's quarantine still lasts. */
    [[nodiscard]] milliseconds left(const request_content& what,
                                    time_point now) const
    {
        const auto found = records.find(what);
        if (found == records.end())
            return milliseconds(0);
        return std::max(milliseconds(0),
                        std::chrono::duration_cast<milliseconds>(
                            found->second.last + lasts(found->second) - now));
    }

    /*! @brief Takes a record of another ledger.
     * @return Whether that quarantines the request. */
    bool merge(const message::crash_record& told, time_point now)
    {
        const auto at = now - milliseconds(told.age_ms);
        if (told.crashes.empty() || now - at >= limits.memory)
            return false;
        auto& one = found_or_made(told.content, at, now);
        const bool before = quarantined(one, now);
        bool news = false;
        for (const auto end : told.crashes)
            news = insert(one, crash_id(end)) || news;
        for (const auto end : told.cleared)
        {
            if (one.crashes.count(crash_id(end)) > 0)
                news = one.cleared.insert(crash_id(end)).second || news;
        }
        if (at > one.last + age_error)
        {
            one.last = at;
            news = true;
        }
        if (news)
            changed(one, now);
        if (speaks_for(told.content, one, now))
            return false;
        return !before && quarantined(one, now);
    }

    /*! @brief Returns records to tell others: first those that changed since
     * the last call, then, in turn, those that changed lately or are
     * quarantined, so that who has just started or was cut off learns them.
     * @param most Records at most, so that they fit a datagram. */
    [[nodiscard]] std::vector<message::crash_record> news(std::size_t most,
                                                          time_point now)
    {
        std::vector<message::crash_record> made;
        const auto changes = untold();
        for (const auto& [change, what] : changes)
        {
            if (made.size() >= most)
                break;
            made.push_back(record_of(what, records.at(what), now));
            told_change = change;
        }
        // What was dropped meanwhile is told by nobody.
        if (made.size() == changes.size())
            told_change = last_change;
        in_turn(made, most, now);
        return made;
    }

    /*! @brief Tells whether a record changed since `news` was asked for. */
    [[nodiscard]] bool changed_since_told() const
    {
        return last_change != told_change;
    }

    /*! @brief Forgets records whose last end is long past. */
    void expire(time_point now)
    {
        std::erase_if(records, [&](const auto& one)
                      { return now - one.second.last >= limits.memory; });
    }

    [[nodiscard]] const std::map<request_content, crash_entry>& all() const
    {
        return records;
    }

    /*! @brief Returns how many requests are quarantined. */
    [[nodiscard]] std::size_t quarantined(time_point now) const
    {
        return static_cast<std::size_t>(std::count_if(
            records.begin(), records.end(),
            [&](const auto& one) { return quarantined(one.second, now); }));
    }

private:
    /*! @brief Ends kept of a record: as many as quarantine it, and those that
     * came while all entries heard of them. */
    static constexpr std::size_t most_ends = 8;

    /*! @brief Ages grow by the way that a record takes; one that is later by
     * less is the same. */
    static constexpr milliseconds age_error{1000};

    /*! @brief What changed is told again for so long: datagrams get lost, and
     * entries of other halls hear each second heartbeat only. */
    static constexpr milliseconds repeated{3000};

    [[nodiscard]] bool quarantined(const crash_entry& one, time_point now) const
    {
        return one.count() >= limits.most && now - one.last < lasts(one);
    }

    [[nodiscard]] milliseconds lasts(const crash_entry& one) const
    {
        return one.answered ? limits.probation : limits.quarantine;
    }

    /*! @brief Clears a record for which there are answers enough. */
    bool speaks_for(const request_content& what, crash_entry& one,
                    time_point now)
    {
        const auto ends = one.count();
        const auto lately = answers.count(what, now);
        if (ends == 0 || lately == 0)
            return false;
        one.answered = true;
        const auto needed = ends * limits.answers_per_end;
        if (lately < needed)
            return false;
        answers.spend(what, needed);
        return lift(what, now);
    }

    /*! @brief Adds an end. What is cleared makes room for it; when nothing is,
     * the record says enough.
     * @return Whether it was added. */
    static bool insert(crash_entry& one, const crash_id& end)
    {
        if (one.crashes.count(end) > 0)
            return false;
        if (one.crashes.size() >= most_ends)
        {
            for (const auto& past : one.cleared)
                one.crashes.erase(past);
            one.cleared.clear();
        }
        return one.crashes.size() < most_ends && one.crashes.insert(end).second;
    }

    void changed(crash_entry& one, time_point now)
    {
        one.change = ++last_change;
        one.changed = now;
    }

    crash_entry& found_or_made(const request_content& what, time_point last,
                               time_point now)
    {
        const auto found = records.find(what);
        if (found != records.end())
            return found->second;
        if (records.size() >= limits.most_records)
            drop_one(now);
        auto& made = records[what];
        made.last = last;
        return made;
    }

    /*! @brief Makes room: the oldest goes, and one that is quarantined only
     * when all are. Contents cost an upstream each to get here. */
    void drop_one(time_point now)
    {
        const auto first = std::min_element(
            records.begin(), records.end(),
            [&](const auto& left, const auto& right)
            {
                return std::pair(quarantined(left.second, now),
                                 left.second.last) <
                       std::pair(quarantined(right.second, now),
                                 right.second.last);
            });
        records.erase(first);
    }

    [[nodiscard]] std::map<std::uint64_t, request_content> untold() const
    {
        std::map<std::uint64_t, request_content> found;
        if (!changed_since_told())
            return found;
        for (const auto& [what, one] : records)
        {
            if (one.change > told_change)
                found.emplace(one.change, what);
        }
        return found;
    }

    void in_turn(std::vector<message::crash_record>& made, std::size_t most,
                 time_point now)
    {
        const auto begun = made.size();
        auto at = records.upper_bound(turn);
        for (std::size_t seen = 0; seen < records.size() && made.size() < most;
             ++seen, ++at)
        {
            if (at == records.end())
                at = records.begin();
            if (!quarantined(at->second, now) &&
                now - at->second.changed >= repeated)
                continue;
            const bool told = std::any_of(
                made.begin(), made.begin() + static_cast<std::ptrdiff_t>(begun),
                [&](const auto& one) { return one.content == at->first; });
            if (told)
                continue;
            made.push_back(record_of(at->first, at->second, now));
            turn = at->first;
        }
    }

    [[nodiscard]] static message::crash_record
    record_of(const request_content& what, const crash_entry& one,
              time_point now)
    {
        message::crash_record made;
        made.content = what;
        for (const auto& end : one.crashes)
            made.crashes.push_back(end.value());
        for (const auto& end : one.cleared)
            made.cleared.push_back(end.value());
        const auto age =
            std::chrono::duration_cast<milliseconds>(now - one.last).count();
        made.age_ms =
            static_cast<std::uint32_t>(std::max<std::int64_t>(0, age));
        return made;
    }

    crash_limits limits;
    std::map<request_content, crash_entry> records;
    recent_answers answers;
    request_content turn; /*!< The last record that was told in turn. */
    std::uint64_t last_change{0};
    std::uint64_t told_change{0};
};

} // namespace coursejunction

#endif
