#include "coursejunction/daemon/state_dump.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace coursejunction
{

namespace internal
{

using nlohmann::json;

constexpr int json_indent = 1;
constexpr double ms_per_second = 1000;

/*! @brief Returns the time since `when` in ms, or null if it never was. */
json age_ms(time_point when, time_point now)
{
    if (when == time_point{})
        return nullptr;
    return static_cast<std::int64_t>(to_seconds(now - when) * ms_per_second);
}

json peers_json(const peer_directory& peers, time_point now)
{
    auto list = json::array();
    for (const auto& [address, peer] : peers.all())
        list.push_back({{"address", address},
                        {"role", peer.entry ? "entry" : "side"},
                        {"alive", peer_directory::alive(peer, now)},
                        {"heard_ms_ago", age_ms(peer.heard_at, now)},
                        {"hall", peer.last_heartbeat.hall},
                        {"revision", peer.last_heartbeat.mirrored.revision},
                        {"era", peer.last_heartbeat.mirrored.era},
                        {"leaving", peer.last_heartbeat.leaving},
                        {"watching", peer.last_heartbeat.watching}});
    return list;
}

json upstream_json(const known_upstream& upstream, time_point now)
{
    json description{
        {"id", upstream.record.id.value()},
        {"life", upstream.life.value()},
        {"service", upstream.record.service.value()},
        {"address", upstream.record.address},
        {"hall", upstream.record.hall.value()},
        {"slots", upstream.record.slots},
        {"leaving", upstream.leaving()},
        {"evacuated", upstream.evacuated},
        {"lapsed", upstream.lapses_at.has_value()},
        {"own_attempts", upstream.attempts.size()},
        {"failures_in_a_row", upstream.failures},
        {"fault_share", upstream.fault_share},
        {"lateness", upstream.lateness},
        {"pace", pace_of(upstream, now)},
        {"avoided_for_ms",
         std::max<std::int64_t>(
             0, static_cast<std::int64_t>(
                    to_seconds(upstream.avoid_until - now) * ms_per_second))},
        {"side_silent", upstream_registry::side_silent(upstream, now)},
        {"unheard", upstream_registry::is_unheard(upstream, now)}};
    if (upstream.cold.active(now))
        description["cold"] = {
            {"left_ms", age_ms(now, upstream.cold.ends_at())},
            {"source", std::string(cold_source_name(upstream.cold.source()))},
            {"per_second", upstream.cold.per_second()},
            {"own_per_second", upstream.cold.share_per_second()}};
    if (upstream.status)
        description["status"] = {
            {"told_ms_ago", age_ms(upstream.status_at, now)},
            {"model", upstream.status->model},
            {"version", upstream.status->version},
            {"open", upstream.status->open},
            {"reachable", upstream.status->reachable},
            {"running", upstream.status->running},
            {"waiting", upstream.status->waiting},
            {"pace", upstream.status->pace}};
    return description;
}

/*! @brief Returns a duration in whole ms, rounded up. */
std::string rounded_ms(std::chrono::microseconds duration)
{
    return std::to_string(std::chrono::ceil<milliseconds>(duration).count());
}

/*! @brief Returns a line of text for an upstream whose reported terms are in
 * effect: it is leaving, backs off or limits its request rate. Empty for any
 * other. */
std::string terms_line(const known_upstream& upstream, time_point now)
{
    const auto& terms = upstream.terms;
    std::string line;
    if (terms.leaving())
        line += " is leaving,";
    if (terms.backoff_until() > now)
        line += " backs off for " + rounded_ms(terms.backoff_until() - now) +
                " ms,";
    if (const auto& limit = terms.limit())
        line += " accepts " + std::to_string(limit->per_second()) +
                " requests per second (" +
                std::to_string(limit->own_share().per_second) +
                " from this entry),";
    if (line.empty())
        return line;
    return upstream.record.id.value() + line + " reported by " +
           terms.told_by() + " " + rounded_ms(now - terms.since()) + " ms ago";
}

json terms_json(const upstream_registry& upstreams, time_point now)
{
    auto list = json::array();
    for (const auto& [id, upstream] : upstreams.all())
    {
        auto line = terms_line(upstream, now);
        if (!line.empty())
            list.push_back(std::move(line));
    }
    return list;
}

/*! @brief Returns the evacuated halls with the store positions. */
json evacuations_json(const upstream_registry& upstreams)
{
    auto list = json::array();
    for (const auto& [hall, position] : upstreams.evacuations())
        list.push_back({{"hall", hall.value()}, {"revision", position.text()}});
    return list;
}

json versions_json(const agent_state& agent)
{
    auto list = json::array();
    for (const auto& version : agent.versions)
        list.push_back({{"version", version.version},
                        {"chunks", version.chunk_count},
                        {"held", version.held_chunks},
                        {"staged", version.staged_chunks}});
    return list;
}

json engine_json(const engine_report& engine)
{
    return {{"life", engine.life.value()}, {"model", engine.model},
            {"version", engine.version},   {"orders", engine.sequence},
            {"ordered", engine.loading},   {"running", engine.running},
            {"waiting", engine.waiting},   {"pace", engine.pace}};
}

} // namespace internal

std::string entry_state_json(const store_mirror& mirror,
                             const peer_directory& peers,
                             const upstream_registry& upstreams,
                             const entry_load& load, time_point now)
{
    auto list = internal::json::array();
    for (const auto& [id, upstream] : upstreams.all())
        list.push_back(internal::upstream_json(upstream, now));
    const internal::json state{
        {"role", "entry"},
        {"mirror_revision", mirror.position().revision},
        {"mirror_era", mirror.position().era},
        {"open_requests", load.open},
        {"queued_requests", load.queued},
        {"peers", internal::peers_json(peers, now)},
        {"evacuated_halls", internal::evacuations_json(upstreams)},
        {"terms", internal::terms_json(upstreams, now)},
        {"upstreams", std::move(list)}};
    return state.dump(internal::json_indent) + "\n";
}

std::string side_state_json(const store_mirror& mirror,
                            const peer_directory& peers,
                            const agent_state& agent, time_point now)
{
    internal::json state{{"role", "side"},
                         {"mirror_revision", mirror.position().revision},
                         {"mirror_era", mirror.position().era},
                         {"reachable", agent.reachable},
                         {"closing", agent.closing},
                         {"open", agent.open},
                         {"ordered_version", agent.ordered_version},
                         {"staged_version", agent.staged_version},
                         {"uploads_waiting", agent.uploads_waiting},
                         {"versions", internal::versions_json(agent)},
                         {"peers", internal::peers_json(peers, now)}};
    if (agent.upstream)
        state["upstream"] = internal::engine_json(*agent.upstream);
    return state.dump(internal::json_indent) + "\n";
}

} // namespace coursejunction
