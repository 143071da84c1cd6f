#include "coursejunction/daemon/internal/live_upstreams.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "coursejunction/daemon/internal/retry_policy.hpp"

namespace coursejunction::internal
{

live_upstreams::live_upstreams(const node_settings& set)
    : settings(set), policy(make_policy(set.routing))
{
}

live_upstreams::any_policy live_upstreams::make_policy(routing_policy which)
{
    switch (which)
    {
    case routing_policy::scored:
        break;
    case routing_policy::least_loaded:
        return least_loaded_policy();
    case routing_policy::round_robin:
        return round_robin_policy();
    }
    return scored_policy();
}

void live_upstreams::apply_report(const message::report& report, time_point now)
{
    auto& state = table[instance_id(report.instance)];
    state.hall = hall_id(report.hall);
    state.region = region_id(report.region);
    state.model = report.model;
    state.kind = report.kind;
    state.weights = report.serving;
    state.slots = report.slots;
    state.reported_requests = report.running;
    state.own_at_report = state.own_requests;
    state.open = report.phase != "unreachable" &&
                 (report.kind == "plain" || !report.serving.empty());
    state.leaving = report.leaving;
    state.reported_at = now;
    state.cached = {report.cached_prefixes.begin(),
                    report.cached_prefixes.end()};
}

void live_upstreams::peer_lost(const instance_id& peer)
{
    auto* state = table.find(peer);
    if (state != nullptr)
        state->open = false;
}

void live_upstreams::end_request(const instance_id& from)
{
    auto* state = table.find(from);
    if (state != nullptr && state->own_requests > 0)
        --state->own_requests;
}

void live_upstreams::record_failure(const instance_id& at, refusal why,
                                    time_point now)
{
    if (why == refusal::busy)
        mark_full(at);
    else if (is_fault_of_upstream(why))
        table.record_failure(at, now);
}

/*! @brief Counts all slots as taken. The sidecar refused although slots seemed
 * free here, because other entries use it too. */
void live_upstreams::mark_full(const instance_id& upstream)
{
    auto* state = table.find(upstream);
    if (state == nullptr)
        return;
    state->reported_requests = std::max(state->reported_requests, state->slots);
    state->own_at_report = state->own_requests;
}

std::optional<instance_id> live_upstreams::choose(const route_request& route,
                                                  time_point now)
{
    return std::visit(
        [&](auto& active_policy)
        {
            return table.choose(active_policy, route, settings.hall,
                                settings.region, now);
        },
        policy);
}

bool live_upstreams::has_reported_model(const std::string& model) const
{
    return std::any_of(table.all().begin(), table.all().end(),
                       [&](const auto& state)
                       { return state.second.model == model; });
}

const std::string* live_upstreams::served_version(const instance_id& of)
{
    const auto* state = table.find(of);
    return state == nullptr ? nullptr : &state->weights;
}

nlohmann::json live_upstreams::dump() const
{
    auto upstreams = nlohmann::json::array();
    for (const auto& [id, state] : table.all())
        upstreams.push_back({{"instance", id.value()},
                             {"model", state.model},
                             {"open", state.open},
                             {"leaving", state.leaving},
                             {"slots", state.slots},
                             {"load", state.load()},
                             {"own", state.own_requests},
                             {"failures", state.failures},
                             {"service_s", state.service_s}});
    return upstreams;
}

} // namespace coursejunction::internal
