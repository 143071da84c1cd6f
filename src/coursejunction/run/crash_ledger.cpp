#include "coursejunction/run/crash_ledger.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <limits>
#include <utility>

namespace coursejunction
{

namespace
{

/*! @brief Time of transfer makes the ages in received records inexact; a crash
 * that is later by no more than this is the same one. */
constexpr milliseconds max_age_error{1000};

/*! @brief A change is reported repeatedly for this long, since datagrams get
 * lost. There is a heartbeat every 200 ms, and entries of other halls receive
 * every second one, so that even these are sent a change three times. */
constexpr milliseconds repeat_duration{1000};

/*! @brief Interval between two blocked records that are reported in turn: 90
 * bytes to each of 340 entries are 3 KB/s at each sender. */
constexpr milliseconds turn_interval{10'000};

/*! @brief Evidence as it is sent and stored, each at the place of its number.
 * New evidence is added at the end: processes that do not know a number take it
 * for a trial. */
constexpr std::array sent_evidence{
    crash_evidence::mid_response, crash_evidence::before_response,
    crash_evidence::trial, crash_evidence::begun_trial};

std::uint8_t encode_evidence(crash_evidence evidence)
{
    const auto found =
        std::find(sent_evidence.begin(), sent_evidence.end(), evidence);
    return static_cast<std::uint8_t>(found - sent_evidence.begin());
}

/*! @brief Decodes received evidence. Unknown values, which a later version of
 * this program may send, count as the strongest evidence known here. */
crash_evidence decode_evidence(std::uint8_t received)
{
    return received < sent_evidence.size() ? sent_evidence[received]
                                           : crash_evidence::trial;
}

/*! @brief Returns the evidence of a crash in a trial after a response of it:
 * more than one copy may run then, so that it is that of an ordinary one. */
crash_evidence without_trial(crash_evidence evidence)
{
    switch (evidence)
    {
    case crash_evidence::trial:
        return crash_evidence::before_response;
    case crash_evidence::begun_trial:
        return crash_evidence::mid_response;
    case crash_evidence::mid_response:
    case crash_evidence::before_response:
        break;
    }
    return evidence;
}

bool contains_record(const std::vector<message::crash_record>& selected,
                     const request_content& content)
{
    return std::any_of(selected.begin(), selected.end(),
                       [&](const auto& record)
                       { return record.content == content; });
}

message::crash_record make_record(const request_content& content,
                                  const crash_history& history,
                                  message::crash_subject subject,
                                  time_point now)
{
    message::crash_record record;
    record.content = content;
    record.subject = subject;
    for (const auto& [crash, evidence] : history.crashes)
        record.crashes.push_back({crash.value(), encode_evidence(evidence)});
    for (const auto& crash : history.cleared)
        record.cleared.push_back(crash.value());
    const auto age =
        std::chrono::duration_cast<milliseconds>(now - history.last_crash)
            .count();
    record.age_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(0, age));
    return record;
}

} // namespace

bool crash_ledger::record_crash(const request_content& content,
                                const crash_id& crash, crash_evidence evidence,
                                time_point now)
{
    if (outweighs_crash(content, now))
        return false;
    auto& history = find_or_create(content, now);
    const bool was_quarantined = quarantined(history, now);
    if (history.responses_since_crash > 0)
        evidence = without_trial(evidence);
    if (!insert(history, crash, evidence))
        return false;
    history.last_crash = now;
    history.learnt_at = now;
    note_change(history, now);
    explain_crashes(history);
    return !was_quarantined && quarantined(history, now);
}

bool crash_ledger::record_response(const request_content& content,
                                   time_point now)
{
    responses.record(content, now);
    const auto found = records.find(content);
    if (found == records.end())
        return false;
    auto& history = found->second;
    ++history.responses_since_crash;
    if (status(content, now) == crash_status::on_trial &&
        history.responses_since_crash >= limits.trial_responses)
        return lift_quarantine(content, now);
    return clear_if_bystander(content, history, now);
}

bool crash_ledger::lift_quarantine(const request_content& content,
                                   time_point now)
{
    const auto found = records.find(content);
    if (found == records.end() || found->second.active_crashes() == 0)
        return false;
    for (const auto& [crash, evidence] : found->second.crashes)
        found->second.cleared.insert(crash);
    note_change(found->second, now);
    return true;
}

crash_status crash_ledger::status(const request_content& content,
                                  time_point now) const
{
    const auto found = records.find(content);
    if (found == records.end() || found->second.active_crashes() == 0)
        return crash_status::clear;
    if (!blocked(found->second))
        return crash_status::suspect;
    return quarantined(found->second, now) ? crash_status::quarantined
                                           : crash_status::on_trial;
}

bool crash_ledger::may_run_trial(const request_content& content,
                                 std::size_t rank, time_point now) const
{
    if (status(content, now) != crash_status::on_trial)
        return false;
    const auto& history = records.at(content);
    const auto begun = std::max(
        history.last_crash + quarantine_duration(history), history.learnt_at);
    return now - begun >= limits.trial_turn * std::bit_width(rank);
}

std::size_t crash_ledger::max_running(const request_content& content,
                                      bool runs_trials, time_point now) const
{
    switch (status(content, now))
    {
    case crash_status::clear:
        return std::numeric_limits<std::size_t>::max();
    case crash_status::quarantined:
        return 0;
    case crash_status::on_trial:
        return runs_trials ? 1 + records.at(content).responses_since_crash : 0;
    case crash_status::suspect:
        break;
    }
    return 1 + records.at(content).responses_since_crash;
}

milliseconds crash_ledger::quarantine_left(const request_content& content,
                                           time_point now) const
{
    const auto found = records.find(content);
    if (found == records.end() || !quarantined(found->second, now))
        return milliseconds(0);
    return std::chrono::duration_cast<milliseconds>(
        found->second.last_crash + quarantine_duration(found->second) - now);
}

bool crash_ledger::merge(const message::crash_record& received, time_point now)
{
    const auto crashed_at = now - milliseconds(received.age_ms);
    if (received.crashes.empty() || now - crashed_at >= limits.retention)
        return false;
    auto& history = find_or_create(received.content, crashed_at);
    const bool was_quarantined = quarantined(history, now);
    bool changed = false;
    for (const auto& crash : received.crashes)
        changed = insert(history, crash_id(crash.id),
                         decode_evidence(crash.evidence)) ||
                  changed;
    for (const auto crash : received.cleared)
    {
        if (history.crashes.contains(crash_id(crash)))
            changed = history.cleared.insert(crash_id(crash)).second || changed;
    }
    if (crashed_at > history.last_crash + max_age_error)
    {
        history.last_crash = crashed_at;
        changed = true;
    }
    if (changed)
        history.learnt_at = now;
    if (changed && limits.relays_records)
        note_change(history, now);
    if (clear_if_bystander(received.content, history, now))
        return false;
    explain_crashes(history);
    return !was_quarantined && quarantined(history, now);
}

std::vector<message::crash_record>
crash_ledger::collect_updates(std::size_t max_count, time_point now)
{
    std::vector<message::crash_record> selected;
    const auto changes = unreported_changes();
    for (const auto& [change, content] : changes)
    {
        if (selected.size() >= max_count)
            break;
        selected.push_back(
            make_record(content, records.at(content), limits.subject, now));
        reported_change = change;
    }
    // Changes of records that were dropped meanwhile are not reported.
    if (selected.size() == changes.size())
        reported_change = last_change;
    add_recent_changes(selected, max_count, now);
    add_blocked_in_turn(selected, max_count, now);
    return selected;
}

message::crash_record crash_ledger::record(const request_content& content,
                                           time_point now) const
{
    const auto found = records.find(content);
    return found == records.end()
               ? message::crash_record{content, {}, {}, 0, limits.subject}
               : make_record(content, found->second, limits.subject, now);
}

void crash_ledger::expire(time_point now)
{
    std::erase_if(records, [&](const auto& item)
                  { return now - item.second.last_crash >= limits.retention; });
}

bool crash_ledger::is_blocked(const request_content& content) const
{
    const auto found = records.find(content);
    return found != records.end() && blocked(found->second);
}

std::size_t crash_ledger::blocked_count() const
{
    return static_cast<std::size_t>(
        std::count_if(records.begin(), records.end(),
                      [&](const auto& item) { return blocked(item.second); }));
}

bool crash_ledger::blocked(const crash_history& history) const
{
    return history.total_weight() >= limits.quarantine_threshold;
}

bool crash_ledger::quarantined(const crash_history& history,
                               time_point now) const
{
    return blocked(history) &&
           now - history.last_crash < quarantine_duration(history);
}

milliseconds
crash_ledger::quarantine_duration(const crash_history& history) const
{
    std::size_t doubtful = history.active_crashes(crash_evidence::begun_trial);
    for (const auto& [crash, evidence] : history.crashes)
    {
        if (evidence != crash_evidence::trial ||
            history.cleared.contains(crash))
            continue;
        if (!shared_with_trial(history, crash))
            return limits.repeat_quarantine;
        ++doubtful;
    }
    if (doubtful >= limits.doubtful_trials)
        return limits.repeat_quarantine;
    return doubtful > 0 ? limits.second_quarantine : limits.first_quarantine;
}

/*! @brief Returns whether a crash also ended another request's trial. That the
 * other one was cleared since does not prove this one harmful: the upstream may
 * have been killed. */
bool crash_ledger::shared_with_trial(const crash_history& history,
                                     const crash_id& crash) const
{
    return std::any_of(records.begin(), records.end(),
                       [&](const auto& item)
                       {
                           const auto& other = item.second;
                           const auto found = other.crashes.find(crash);
                           return &other != &history &&
                                  found != other.crashes.end() &&
                                  found->second == crash_evidence::trial;
                       });
}

/*! @brief Clears a record whose crashes are outweighed by responses.
 * @return Whether it was cleared. */
bool crash_ledger::clear_if_bystander(const request_content& content,
                                      crash_history& history, time_point now)
{
    const auto crashes = history.active_crashes();
    if (limits.response_disproves)
        return responses.count(content, now) > 0 &&
               lift_quarantine(content, now);
    const auto needed = crashes * limits.responses_per_crash;
    if (crashes == 0 || responses.count(content, now) < needed)
        return false;
    responses.consume(content, needed);
    return lift_quarantine(content, now);
}

/*! @brief Returns whether recent responses outweigh a crash that just
 * happened, and uses them up. */
bool crash_ledger::outweighs_crash(const request_content& content,
                                   time_point now)
{
    const auto count = responses.count(content, now);
    if (limits.response_disproves)
        return count > 0;
    if (count < limits.responses_per_crash)
        return false;
    responses.consume(content, limits.responses_per_crash);
    return true;
}

/*! @brief Makes room for a crash in a full record. Cleared crashes are dropped
 * first; a crash during a trial then replaces the weakest one.
 * @return Whether there is room. */
bool crash_ledger::make_room(crash_history& history,
                             crash_evidence evidence) const
{
    if (history.crashes.size() < limits.max_crashes)
        return true;
    for (const auto& cleared_crash : history.cleared)
        history.crashes.erase(cleared_crash);
    history.cleared.clear();
    if (history.crashes.size() < limits.max_crashes)
        return true;
    if (evidence < crash_evidence::begun_trial)
        return false;
    const auto weakest =
        std::min_element(history.crashes.begin(), history.crashes.end(),
                         [](const auto& left, const auto& right)
                         { return left.second < right.second; });
    history.crashes.erase(weakest);
    return true;
}

/*! @brief Adds a crash, or stronger evidence for a known one.
 * @return Whether that changed the record. */
bool crash_ledger::insert(crash_history& history, const crash_id& crash,
                          crash_evidence evidence) const
{
    const auto found = history.crashes.find(crash);
    if (found != history.crashes.end())
    {
        if (found->second >= evidence)
            return false;
        found->second = evidence;
        return true;
    }
    if (!make_room(history, evidence))
        return false;
    history.crashes.emplace(crash, evidence);
    history.responses_since_crash = 0;
    return true;
}

/*! @brief Clears the crashes that a quarantined record explains from all others
 * that are not quarantined. Not reported: each ledger does the same. */
void crash_ledger::explain_crashes(const crash_history& cause)
{
    if (!limits.explains_crashes || !blocked(cause))
        return;
    for (auto& [content, other] : records)
    {
        if (&other == &cause || blocked(other))
            continue;
        for (const auto& [crash, evidence] : cause.crashes)
        {
            if (other.crashes.contains(crash))
                other.cleared.insert(crash);
        }
    }
}

void crash_ledger::note_change(crash_history& history, time_point now)
{
    history.change_number = ++last_change;
    history.changed_at = now;
}

crash_history& crash_ledger::find_or_create(const request_content& content,
                                            time_point last_crash)
{
    const auto found = records.find(content);
    if (found != records.end())
        return found->second;
    if (records.size() >= limits.max_records)
        drop_oldest_unblocked();
    auto& history = records[content];
    history.last_crash = last_crash;
    return history;
}

/*! @brief Drops the oldest record that is not blocked, or the oldest one if all
 * are. Each new record needs the crash of an upstream, which bounds how
 * fast a flood of requests can replace old ones. */
void crash_ledger::drop_oldest_unblocked()
{
    const auto oldest = std::min_element(
        records.begin(), records.end(),
        [&](const auto& left, const auto& right)
        {
            return std::pair(blocked(left.second), left.second.last_crash) <
                   std::pair(blocked(right.second), right.second.last_crash);
        });
    records.erase(oldest);
}

std::map<std::uint64_t, request_content>
crash_ledger::unreported_changes() const
{
    std::map<std::uint64_t, request_content> found;
    if (!has_pending_updates())
        return found;
    for (const auto& [content, history] : records)
    {
        if (history.change_number > reported_change)
            found.emplace(history.change_number, content);
    }
    return found;
}

void crash_ledger::add_recent_changes(
    std::vector<message::crash_record>& selected, std::size_t max_count,
    time_point now)
{
    for (const auto& [content, history] : records)
    {
        if (selected.size() >= max_count)
            return;
        const bool is_recent = history.change_number > 0 &&
                               now - history.changed_at < repeat_duration;
        if (is_recent && !contains_record(selected, content))
            selected.push_back(
                make_record(content, history, limits.subject, now));
    }
}

void crash_ledger::add_blocked_in_turn(
    std::vector<message::crash_record>& selected, std::size_t max_count,
    time_point now)
{
    if (selected.size() >= max_count || now - turn_reported_at < turn_interval)
        return;
    auto at = records.upper_bound(last_in_turn);
    for (std::size_t visited = 0; visited < records.size(); ++visited, ++at)
    {
        if (at == records.end())
            at = records.begin();
        if (!blocked(at->second) || contains_record(selected, at->first))
            continue;
        selected.push_back(
            make_record(at->first, at->second, limits.subject, now));
        last_in_turn = at->first;
        turn_reported_at = now;
        return;
    }
}

} // namespace coursejunction
