#include "coursejunction/proxy/crash_guard.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "coursejunction/core/log.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/run/crash_updates.hpp"

namespace coursejunction
{

namespace
{

constexpr const char* crashed_here =
    "upstreams of this entry crashed while running it";

/*! @brief Logs what an upstream's crash is taken for under one request: the
 * crashes of a request tell whether it is harmful only together. */
void log_evidence(const crash_report& report, const instance_id& upstream)
{
    std::string parts;
    for (const auto& part : report.shared_parts)
        parts += (parts.empty() ? "" : ",") + part.hex();
    log::state("crash_evidence",
               {{"content", report.content.hex()},
                {"parts", parts},
                {"upstream", upstream.value()},
                {"evidence", std::string(evidence_name(report.evidence))}});
}

} // namespace

crash_guard::crash_guard(stream_client& upstream_client,
                         metrics& metric_counters, quarantine_callback callback)
    : client(upstream_client), counters(metric_counters),
      notify_quarantined(std::move(callback))
{
}

void crash_guard::on_records_changed(change_callback callback)
{
    notify_records_changed = std::move(callback);
}

void crash_guard::on_persist(persist_callback callback)
{
    persist_record = std::move(callback);
}

void crash_guard::set_trial_rank(trial_rank callback)
{
    rank_for_trials = std::move(callback);
}

crash_status crash_guard::status(const request_content& content,
                                 time_point now) const
{
    return ledger.status(content, now);
}

std::size_t crash_guard::max_running(const request_content& content,
                                     time_point now) const
{
    const bool runs_trial =
        ledger.status(content, now) == crash_status::on_trial &&
        ledger.may_run_trial(content, own_trial_rank(content), now);
    return ledger.max_running(content, runs_trial, now);
}

bool crash_guard::has_unexplained_loss(const request_content& content,
                                       time_point now) const
{
    return tracker.has_unexplained_loss(content, now);
}

bool crash_guard::is_suspect(const request_content& content,
                             time_point now) const
{
    return ledger.status(content, now) != crash_status::clear ||
           has_unexplained_loss(content, now);
}

bool crash_guard::may_hedge(const request_content& content,
                            time_point now) const
{
    return ledger.status(content, now) == crash_status::clear &&
           !tracker.has_unexplained_close(content, now);
}

milliseconds crash_guard::quarantine_left(const request_content& content,
                                          time_point now) const
{
    return ledger.quarantine_left(content, now);
}

void crash_guard::attempt_lost(lost_attempt attempt, time_point now)
{
    const auto upstream = attempt.upstream;
    const auto address = attempt.address;
    if (tracker.add_lost_attempt(std::move(attempt), now))
        probe_upstream(upstream, address);
}

void crash_guard::upstream_crashed(const instance_id& upstream,
                                   const std::string& reason)
{
    record_crash(tracker.confirm_crash(upstream, crash_proof::confirmed,
                                       event_loop::now()),
                 upstream, reason);
}

void crash_guard::upstream_record_expired(const instance_id& upstream)
{
    record_crash(tracker.confirm_crash(upstream, crash_proof::record_expired,
                                       event_loop::now()),
                 upstream, "its record disappeared from the store");
    if (const auto address = tracker.address_of(upstream))
        probe_upstream(upstream, *address);
}

void crash_guard::address_reassigned(const instance_id& upstream,
                                     const std::string& address)
{
    while (const auto previous =
               tracker.previous_upstream_at(upstream, address))
        upstream_crashed(*previous, "another upstream has its address");
}

void crash_guard::probe_upstream(const instance_id& upstream,
                                 const std::string& address)
{
    client.probe(address,
                 [this, upstream](bool refused)
                 {
                     if (refused)
                         upstream_crashed(upstream,
                                          "its address refuses connections");
                 });
}

void crash_guard::record_crash(const std::vector<crash_report>& reports,
                               const instance_id& upstream,
                               const std::string& reason)
{
    if (reports.empty())
        return;
    const auto now = event_loop::now();
    counters.count("upstreams_ended_under_requests_total");
    log::warning("upstream_ended",
                 {{"upstream", upstream.value()},
                  {"why", reason},
                  {"requests", std::to_string(reports.size())}});
    for (const auto& report : reports)
    {
        log_evidence(report, upstream);
        if (!ledger.record_crash(report.content, report.crash, report.evidence,
                                 now))
            continue;
        begin_quarantine(report.content, message::crash_subject::request,
                         crashed_here);
        persist(report.content, ledger);
    }
    record_part_crashes(reports, now);
    if (notify_records_changed)
        notify_records_changed();
}

void crash_guard::record_part_crashes(const std::vector<crash_report>& reports,
                                      time_point now)
{
    for (const auto& report : reports)
    {
        for (const auto& part : report.shared_parts)
        {
            if (!part_ledger.record_crash(part, report.crash,
                                          report.evidence_of_part(part), now))
                continue;
            begin_quarantine(part, message::crash_subject::prompt_part,
                             crashed_here);
            persist(part, part_ledger);
        }
    }
}

std::optional<request_content>
crash_guard::blocked_part(const std::vector<request_content>& parts) const
{
    const auto found = std::find_if(parts.begin(), parts.end(),
                                    [this](const request_content& part)
                                    { return part_ledger.is_blocked(part); });
    if (found == parts.end())
        return std::nullopt;
    return *found;
}

bool crash_guard::may_try_part(const request_content& part,
                               time_point now) const
{
    return part_ledger.may_run_trial(part, own_trial_rank(part), now);
}

milliseconds crash_guard::part_quarantine_left(const request_content& part,
                                               time_point now) const
{
    return part_ledger.quarantine_left(part, now);
}

void crash_guard::record_response(
    const request_content& content,
    const std::vector<request_content>& shared_parts)
{
    const auto now = event_loop::now();
    if (ledger.record_response(content, now))
        end_quarantine(content, "request_cleared");
    for (const auto& part : shared_parts)
    {
        const bool was_blocked = part_ledger.is_blocked(part);
        if (part_ledger.record_response(part, now) && was_blocked)
            end_quarantine(part, "prompt_part_cleared");
    }
}

void crash_guard::merge_records(
    const std::vector<message::crash_record>& received, const std::string& from)
{
    for (const auto& record : received)
        merge_record(record, "reported by " + from);
}

void crash_guard::merge_record(const message::crash_record& record,
                               const std::string& reason)
{
    auto& records = ledger_of(record.subject);
    if (!records.merge(record, event_loop::now()))
        return;
    begin_quarantine(record.content, record.subject, reason);
    if (own_trial_rank(record.content) == 0)
        persist(record.content, records);
}

void crash_guard::restore_quarantine(const message::crash_record& stored)
{
    if (ledger_of(stored.subject).merge(stored, event_loop::now()))
        begin_quarantine(stored.content, stored.subject,
                         "restored from the store");
}

crash_ledger& crash_guard::ledger_of(message::crash_subject subject)
{
    return subject == message::crash_subject::prompt_part ? part_ledger
                                                          : ledger;
}

std::size_t crash_guard::own_trial_rank(const request_content& content) const
{
    return rank_for_trials ? rank_for_trials(content) : 0;
}

std::vector<message::crash_record> crash_guard::collect_updates()
{
    return collect_crash_updates(part_ledger, ledger, event_loop::now());
}

bool crash_guard::lift_quarantine(const request_content& content)
{
    const auto now = event_loop::now();
    if (!ledger.lift_quarantine(content, now) &&
        !part_ledger.lift_quarantine(content, now))
        return false;
    end_quarantine(content, "quarantine_lifted");
    return true;
}

void crash_guard::end_quarantine(const request_content& content,
                                 const std::string& event)
{
    log::state(event, {{"content", content.hex()}});
    if (persist_record)
        persist_record(content, nullptr);
    if (notify_records_changed)
        notify_records_changed();
}

void crash_guard::persist(const request_content& content,
                          const crash_ledger& records)
{
    if (!persist_record)
        return;
    const auto record = records.record(content, event_loop::now());
    persist_record(content, &record);
}

void crash_guard::tick(time_point now)
{
    ledger.expire(now);
    part_ledger.expire(now);
    counters.set("prompt_parts_quarantined",
                 static_cast<double>(part_ledger.blocked_count()));
    counters.set("prompt_part_crash_records",
                 static_cast<double>(part_ledger.histories().size()));
    counters.set("requests_quarantined",
                 static_cast<double>(ledger.blocked_count()));
    counters.set("request_crash_records",
                 static_cast<double>(ledger.histories().size()));
}

void crash_guard::begin_quarantine(const request_content& content,
                                   message::crash_subject subject,
                                   const std::string& reason)
{
    const bool is_part = subject == message::crash_subject::prompt_part;
    counters.count("quarantines_total");
    log::warning(is_part ? "prompt_part_quarantined" : "request_quarantined",
                 {{"content", content.hex()}, {"why", reason}});
    notify_quarantined(content);
}

} // namespace coursejunction
