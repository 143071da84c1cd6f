#include "coursejunction/daemon/state_dump.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace coursejunction
{

namespace internal
{

using nlohmann::json;

constexpr int indent = 1;
constexpr double ms = 1000;

/*! @brief Returns an age in ms, or null for what never was. */
json age_of(time_point when, time_point now)
{
    if (when == time_point{})
        return nullptr;
    return static_cast<std::int64_t>(to_seconds(now - when) * ms);
}

json peers_of(const peer_directory& peers, time_point now)
{
    auto list = json::array();
    for (const auto& [address, one] : peers.all())
        list.push_back({{"address", address},
                        {"role", one.entry ? "entry" : "side"},
                        {"alive", peer_directory::alive(one, now)},
                        {"heard_ms_ago", age_of(one.heard_at, now)},
                        {"hall", one.last_heartbeat.hall},
                        {"revision", one.last_heartbeat.mirrored.revision},
                        {"era", one.last_heartbeat.mirrored.era},
                        {"leaving", one.last_heartbeat.leaving},
                        {"watching", one.last_heartbeat.watching}});
    return list;
}

json upstream_of(const known_upstream& one, time_point now)
{
    json made{
        {"id", one.record.id.value()},
        {"life", one.life.value()},
        {"service", one.record.service.value()},
        {"address", one.record.address},
        {"hall", one.record.hall.value()},
        {"slots", one.record.slots},
        {"leaving", one.leaving()},
        {"lapsed", one.lapses_at.has_value()},
        {"own_attempts", one.attempts.size()},
        {"failures_in_a_row", one.failures},
        {"fault_share", one.fault_share},
        {"lateness", one.lateness},
        {"avoided_for_ms", std::max<std::int64_t>(
                               0, static_cast<std::int64_t>(
                                      to_seconds(one.avoid_until - now) * ms))},
        {"side_silent", upstream_registry::side_silent(one, now)}};
    if (one.status)
        made["status"] = {{"told_ms_ago", age_of(one.status_at, now)},
                          {"model", one.status->model},
                          {"version", one.status->version},
                          {"open", one.status->open},
                          {"reachable", one.status->reachable},
                          {"running", one.status->running},
                          {"waiting", one.status->waiting},
                          {"pace", one.status->pace}};
    return made;
}

/*! @brief Returns the whole ms of a span. */
std::string ms_of(std::chrono::microseconds span)
{
    return std::to_string(std::chrono::ceil<milliseconds>(span).count());
}

/*! @brief Returns one line for an upstream that leaves, rests or is limited by
 * its own word; nothing for any other. */
std::string terms_line(const known_upstream& one, time_point now)
{
    const auto& terms = one.terms;
    std::string what;
    if (terms.leaving())
        what += " leaves,";
    if (terms.backoff_until() > now)
        what += " rests for " + ms_of(terms.backoff_until() - now) + " ms,";
    if (const auto& limit = terms.limit())
        what += " takes " + std::to_string(limit->per_second()) +
                " requests a second (" +
                std::to_string(limit->own_share().per_second) + " from here),";
    if (what.empty())
        return what;
    return one.record.id.value() + what + " told by " + terms.told_by() + " " +
           ms_of(now - terms.since()) + " ms ago";
}

json terms_of(const upstream_registry& book, time_point now)
{
    auto list = json::array();
    for (const auto& [id, one] : book.all())
    {
        auto line = terms_line(one, now);
        if (!line.empty())
            list.push_back(std::move(line));
    }
    return list;
}

json versions_of(const agent_state& agent)
{
    auto list = json::array();
    for (const auto& one : agent.versions)
        list.push_back({{"version", one.version},
                        {"chunks", one.chunk_count},
                        {"held", one.held_chunks},
                        {"staged", one.staged_chunks}});
    return list;
}

json engine_of(const engine_report& one)
{
    return {{"life", one.life.value()}, {"model", one.model},
            {"version", one.version},   {"orders", one.sequence},
            {"ordered", one.loading},   {"running", one.running},
            {"waiting", one.waiting},   {"pace", one.pace}};
}

} // namespace internal

std::string entry_state_json(const store_mirror& mirror,
                             const peer_directory& peers,
                             const upstream_registry& book,
                             const entry_load& load, time_point now)
{
    auto upstreams = internal::json::array();
    for (const auto& [id, one] : book.all())
        upstreams.push_back(internal::upstream_of(one, now));
    const internal::json made{{"role", "entry"},
                              {"mirror_revision", mirror.position().revision},
                              {"mirror_era", mirror.position().era},
                              {"open_requests", load.open},
                              {"queued_requests", load.queued},
                              {"peers", internal::peers_of(peers, now)},
                              {"terms", internal::terms_of(book, now)},
                              {"upstreams", std::move(upstreams)}};
    return made.dump(internal::indent) + "\n";
}

std::string side_state_json(const store_mirror& mirror,
                            const peer_directory& peers,
                            const agent_state& agent, time_point now)
{
    internal::json made{{"role", "side"},
                        {"mirror_revision", mirror.position().revision},
                        {"mirror_era", mirror.position().era},
                        {"reachable", agent.reachable},
                        {"closing", agent.closing},
                        {"ordered_version", agent.ordered_version},
                        {"staged_version", agent.staged_version},
                        {"uploads_waiting", agent.uploads_waiting},
                        {"versions", internal::versions_of(agent)},
                        {"peers", internal::peers_of(peers, now)}};
    if (agent.upstream)
        made["upstream"] = internal::engine_of(*agent.upstream);
    return made.dump(internal::indent) + "\n";
}

} // namespace coursejunction
