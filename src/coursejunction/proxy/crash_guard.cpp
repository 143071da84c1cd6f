#include "coursejunction/proxy/crash_guard.hpp"

#include <utility>

#include "coursejunction/core/log.hpp"
#include "coursejunction/net/event_loop.hpp"

namespace coursejunction
{

crash_guard::crash_guard(stream_client& carrier, metrics& counted,
                         quarantine_callback call)
    : client(carrier), counters(counted), quarantined(std::move(call))
{
}

void crash_guard::on_news(news_callback call)
{
    news = std::move(call);
}

void crash_guard::on_keep(keep_callback call)
{
    kept = std::move(call);
}

void crash_guard::owns_trials(trial_owner call)
{
    owns = std::move(call);
}

crash_status crash_guard::standing(const request_content& what,
                                   time_point now) const
{
    return ledger.status(what, now);
}

std::size_t crash_guard::most_running(const request_content& what,
                                      time_point now) const
{
    const bool tries_it =
        ledger.status(what, now) == crash_status::on_trial && tries(what);
    return ledger.max_running(what, tries_it, now);
}

bool crash_guard::looking_into(const request_content& what,
                               time_point now) const
{
    return witness.has_unexplained_loss(what, now);
}

bool crash_guard::suspect(const request_content& what, time_point now) const
{
    return ledger.status(what, now) != crash_status::clear ||
           looking_into(what, now);
}

milliseconds crash_guard::left(const request_content& what,
                               time_point now) const
{
    return ledger.quarantine_left(what, now);
}

void crash_guard::lost(lost_attempt one, time_point now)
{
    const auto upstream = one.upstream;
    const auto address = one.address;
    if (witness.add_lost_attempt(std::move(one), now))
        look_at(upstream, address);
}

void crash_guard::ended(const instance_id& upstream, const std::string& why)
{
    accuse(witness.confirm_crash(upstream, crash_proof::confirmed,
                                 event_loop::now()),
           upstream, why);
}

void crash_guard::record_gone(const instance_id& upstream)
{
    accuse(witness.confirm_crash(upstream, crash_proof::record_expired,
                                 event_loop::now()),
           upstream, "its record is gone");
    if (const auto address = witness.address_of(upstream))
        look_at(upstream, *address);
}

void crash_guard::address_taken(const instance_id& by,
                                const std::string& address)
{
    while (const auto other = witness.previous_upstream_at(by, address))
        ended(*other, "its address belongs to another one");
}

void crash_guard::look_at(const instance_id& upstream,
                          const std::string& address)
{
    client.probe(address,
                 [this, upstream](bool refused)
                 {
                     if (refused)
                         ended(upstream, "its address refuses connections");
                 });
}

void crash_guard::accuse(const std::vector<crash_report>& accused,
                         const instance_id& upstream, const std::string& why)
{
    if (accused.empty())
        return;
    const auto now = event_loop::now();
    counters.count("upstreams_ended_under_requests_total");
    log::warning("upstream_ended",
                 {{"upstream", upstream.value()},
                  {"why", why},
                  {"requests", std::to_string(accused.size())}});
    for (const auto& one : accused)
    {
        if (!ledger.record_crash(one.content, one.crash, one.evidence, now))
            continue;
        note_quarantine(one.content, "upstreams ended under it here");
        keep(one.content);
    }
    if (news)
        news();
}

void crash_guard::answered(const request_content& what)
{
    if (ledger.record_response(what, event_loop::now()))
        cleared(what, "request_cleared");
}

void crash_guard::take(const std::vector<message::crash_record>& told,
                       const std::string& from)
{
    const auto now = event_loop::now();
    for (const auto& one : told)
    {
        if (!ledger.merge(one, now))
            continue;
        note_quarantine(one.content, "told by " + from);
        if (tries(one.content))
            keep(one.content);
    }
}

void crash_guard::restore(const message::crash_record& kept_before)
{
    if (ledger.merge(kept_before, event_loop::now()))
        note_quarantine(kept_before.content, "kept in the store");
}

bool crash_guard::tries(const request_content& what) const
{
    return !owns || owns(what);
}

std::vector<message::crash_record> crash_guard::told()
{
    return ledger.collect_updates(crash_ledger::max_records_per_datagram,
                                  event_loop::now());
}

bool crash_guard::lift_quarantine(const request_content& what)
{
    if (!ledger.lift_quarantine(what, event_loop::now()))
        return false;
    cleared(what, "quarantine_lifted");
    return true;
}

void crash_guard::cleared(const request_content& what, const std::string& event)
{
    log::state(event, {{"content", what.hex()}});
    if (kept)
        kept(what, nullptr);
    if (news)
        news();
}

void crash_guard::keep(const request_content& what)
{
    if (!kept)
        return;
    const auto record = ledger.record(what, event_loop::now());
    kept(what, &record);
}

void crash_guard::tick(time_point now)
{
    ledger.expire(now);
    counters.set("requests_quarantined",
                 static_cast<double>(ledger.blocked_count()));
    counters.set("request_crash_records",
                 static_cast<double>(ledger.histories().size()));
}

void crash_guard::note_quarantine(const request_content& what,
                                  const std::string& why)
{
    counters.count("quarantines_total");
    log::warning("request_quarantined",
                 {{"content", what.hex()}, {"why", why}});
    quarantined(what);
}

} // namespace coursejunction
