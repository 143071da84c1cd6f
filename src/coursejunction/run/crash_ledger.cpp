#include "coursejunction/run/crash_ledger.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace coursejunction
{

namespace
{

/*! @brief Ends kept of a record: as many as quarantine it, and those that came
 * while all entries heard of them. */
constexpr std::size_t most_ends = 8;

/*! @brief Ages grow by the way that a record takes; one that is later by less
 * is the same. */
constexpr milliseconds age_error{1000};

/*! @brief What changed is told again for so long: datagrams get lost, and
 * entries of other halls hear each second heartbeat only, so that all are told
 * three times. */
constexpr milliseconds repeated{1000};

/*! @brief Pause between two suspected records that are told in turn: 90 bytes
 * to each of 340 entries by each of them are 3 KB/s at each. */
constexpr milliseconds turn_pause{10'000};

/*! @brief Reads evidence as it is told; what a later version may add says no
 * less than all that is known here. */
crash_evidence evidence_of(std::uint8_t told)
{
    constexpr auto most = static_cast<std::uint8_t>(crash_evidence::trial);
    return static_cast<crash_evidence>(std::min(told, most));
}

/*! @brief Makes room for an end. What is cleared goes first; then, for a
 * trial's end, one that says least.
 * @return Whether there is room. */
bool make_room(crash_history& one, crash_evidence evidence)
{
    if (one.crashes.size() < most_ends)
        return true;
    for (const auto& past : one.cleared)
        one.crashes.erase(past);
    one.cleared.clear();
    if (one.crashes.size() < most_ends)
        return true;
    if (evidence != crash_evidence::trial)
        return false;
    const auto least = std::min_element(one.crashes.begin(), one.crashes.end(),
                                        [](const auto& left, const auto& right)
                                        { return left.second < right.second; });
    one.crashes.erase(least);
    return true;
}

/*! @brief Adds an end, or what is newly known of it.
 * @return Whether that changed the record. */
bool insert(crash_history& one, const crash_id& end, crash_evidence evidence)
{
    const auto found = one.crashes.find(end);
    if (found != one.crashes.end())
    {
        if (found->second >= evidence)
            return false;
        found->second = evidence;
        return true;
    }
    if (!make_room(one, evidence))
        return false;
    one.crashes.emplace(end, evidence);
    one.responses_since_crash = 0;
    return true;
}

bool holds(const std::vector<message::crash_record>& made,
           const request_content& what)
{
    return std::any_of(made.begin(), made.end(),
                       [&](const auto& one) { return one.content == what; });
}

message::crash_record record_of(const request_content& what,
                                const crash_history& one, time_point now)
{
    message::crash_record made;
    made.content = what;
    for (const auto& [end, evidence] : one.crashes)
        made.crashes.push_back(
            {end.value(), static_cast<std::uint8_t>(evidence)});
    for (const auto& end : one.cleared)
        made.cleared.push_back(end.value());
    const auto age =
        std::chrono::duration_cast<milliseconds>(now - one.last_crash).count();
    made.age_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(0, age));
    return made;
}

} // namespace

bool crash_ledger::record_crash(const request_content& what,
                                const crash_id& end, crash_evidence evidence,
                                time_point now)
{
    if (answers.count(what, now) >= limits.responses_per_crash)
    {
        answers.consume(what, limits.responses_per_crash);
        return false;
    }
    auto& one = found_or_made(what, now);
    const bool before = quarantined(one, now);
    // After an answer it is no longer the only copy that runs.
    if (evidence == crash_evidence::trial && one.responses_since_crash > 0)
        evidence = crash_evidence::before_response;
    if (!insert(one, end, evidence))
        return false;
    one.last_crash = now;
    changed(one, now);
    return !before && quarantined(one, now);
}

bool crash_ledger::record_response(const request_content& what, time_point now)
{
    answers.record(what, now);
    const auto found = records.find(what);
    if (found == records.end())
        return false;
    auto& one = found->second;
    ++one.responses_since_crash;
    if (status(what, now) == crash_status::on_trial &&
        one.responses_since_crash >= limits.trial_responses)
        return lift_quarantine(what, now);
    return speaks_for(what, one, now);
}

bool crash_ledger::lift_quarantine(const request_content& what, time_point now)
{
    const auto found = records.find(what);
    if (found == records.end() || found->second.active_crashes() == 0)
        return false;
    for (const auto& [end, evidence] : found->second.crashes)
        found->second.cleared.insert(end);
    changed(found->second, now);
    return true;
}

crash_status crash_ledger::status(const request_content& what,
                                  time_point now) const
{
    const auto found = records.find(what);
    if (found == records.end() || found->second.active_crashes() == 0)
        return crash_status::clear;
    if (!blocked(found->second))
        return crash_status::suspect;
    return quarantined(found->second, now) ? crash_status::quarantined
                                           : crash_status::on_trial;
}

std::size_t crash_ledger::max_running(const request_content& what,
                                      bool tries_it, time_point now) const
{
    switch (status(what, now))
    {
    case crash_status::clear:
        return std::numeric_limits<std::size_t>::max();
    case crash_status::quarantined:
        return 0;
    case crash_status::on_trial:
        return tries_it ? 1 + records.at(what).responses_since_crash : 0;
    case crash_status::suspect:
        break;
    }
    return 1 + records.at(what).responses_since_crash;
}

milliseconds crash_ledger::quarantine_left(const request_content& what,
                                           time_point now) const
{
    const auto found = records.find(what);
    if (found == records.end() || !quarantined(found->second, now))
        return milliseconds(0);
    return std::chrono::duration_cast<milliseconds>(found->second.last_crash +
                                                    lasts(found->second) - now);
}

bool crash_ledger::merge(const message::crash_record& told, time_point now)
{
    const auto at = now - milliseconds(told.age_ms);
    if (told.crashes.empty() || now - at >= limits.retention)
        return false;
    auto& one = found_or_made(told.content, at);
    const bool before = quarantined(one, now);
    bool news = false;
    for (const auto& end : told.crashes)
        news = insert(one, crash_id(end.id), evidence_of(end.evidence)) || news;
    for (const auto end : told.cleared)
    {
        if (one.crashes.contains(crash_id(end)))
            news = one.cleared.insert(crash_id(end)).second || news;
    }
    if (at > one.last_crash + age_error)
    {
        one.last_crash = at;
        news = true;
    }
    if (news && limits.relays_records)
        changed(one, now);
    if (speaks_for(told.content, one, now))
        return false;
    return !before && quarantined(one, now);
}

std::vector<message::crash_record>
crash_ledger::collect_updates(std::size_t most, time_point now)
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
    repeat(made, most, now);
    add_suspected(made, most, now);
    return made;
}

message::crash_record crash_ledger::record(const request_content& what,
                                           time_point now) const
{
    const auto found = records.find(what);
    return found == records.end() ? message::crash_record{what, {}, {}, 0}
                                  : record_of(what, found->second, now);
}

void crash_ledger::expire(time_point now)
{
    std::erase_if(records, [&](const auto& one)
                  { return now - one.second.last_crash >= limits.retention; });
}

bool crash_ledger::is_blocked(const request_content& what) const
{
    const auto found = records.find(what);
    return found != records.end() && blocked(found->second);
}

std::size_t crash_ledger::blocked_count() const
{
    return static_cast<std::size_t>(
        std::count_if(records.begin(), records.end(),
                      [&](const auto& one) { return blocked(one.second); }));
}

bool crash_ledger::blocked(const crash_history& one) const
{
    return one.suspicion() >= limits.quarantine_threshold;
}

bool crash_ledger::quarantined(const crash_history& one, time_point now) const
{
    return blocked(one) && now - one.last_crash < lasts(one);
}

milliseconds crash_ledger::lasts(const crash_history& one) const
{
    return one.failed_trial() ? limits.repeat_quarantine
                              : limits.first_quarantine;
}

/*! @brief Clears a record for which there are answers enough. */
bool crash_ledger::speaks_for(const request_content& what, crash_history& one,
                              time_point now)
{
    const auto ends = one.active_crashes();
    const auto needed = ends * limits.responses_per_crash;
    if (ends == 0 || answers.count(what, now) < needed)
        return false;
    answers.consume(what, needed);
    return lift_quarantine(what, now);
}

void crash_ledger::changed(crash_history& one, time_point now)
{
    one.change = ++last_change;
    one.changed = now;
}

crash_history& crash_ledger::found_or_made(const request_content& what,
                                           time_point last)
{
    const auto found = records.find(what);
    if (found != records.end())
        return found->second;
    if (records.size() >= limits.max_records)
        drop_one();
    auto& made = records[what];
    made.last_crash = last;
    return made;
}

/*! @brief Makes room: the oldest goes, and one that is suspected only when all
 * are. Contents cost an upstream each to get here. */
void crash_ledger::drop_one()
{
    const auto first = std::min_element(
        records.begin(), records.end(),
        [&](const auto& left, const auto& right)
        {
            return std::pair(blocked(left.second), left.second.last_crash) <
                   std::pair(blocked(right.second), right.second.last_crash);
        });
    records.erase(first);
}

std::map<std::uint64_t, request_content> crash_ledger::untold() const
{
    std::map<std::uint64_t, request_content> found;
    if (!has_pending_updates())
        return found;
    for (const auto& [what, one] : records)
    {
        if (one.change > told_change)
            found.emplace(one.change, what);
    }
    return found;
}

void crash_ledger::repeat(std::vector<message::crash_record>& made,
                          std::size_t most, time_point now)
{
    for (const auto& [what, one] : records)
    {
        if (made.size() >= most)
            return;
        const bool lately = one.change > 0 && now - one.changed < repeated;
        if (lately && !holds(made, what))
            made.push_back(record_of(what, one, now));
    }
}

void crash_ledger::add_suspected(std::vector<message::crash_record>& made,
                                 std::size_t most, time_point now)
{
    if (made.size() >= most || now - told_turn < turn_pause)
        return;
    auto at = records.upper_bound(turn);
    for (std::size_t seen = 0; seen < records.size(); ++seen, ++at)
    {
        if (at == records.end())
            at = records.begin();
        if (!blocked(at->second) || holds(made, at->first))
            continue;
        made.push_back(record_of(at->first, at->second, now));
        turn = at->first;
        told_turn = now;
        return;
    }
}

} // namespace coursejunction
