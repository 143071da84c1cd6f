#include "coursejunction/daemon/internal/report_publisher.hpp"

#include "coursejunction/daemon/node.hpp"

namespace coursejunction::internal
{

namespace
{

/*! @brief Regular reports after which one is sent though nothing changed. */
constexpr int slow_reports = 4;

message::load_report load_of(const message::report& state)
{
    message::load_report load;
    load.running = state.running;
    load.slots = state.slots;
    load.bytes_done = state.bytes_done;
    load.bytes_total = state.bytes_total;
    load.origin_bytes = state.origin_bytes;
    load.cross_hall_bytes = state.cross_hall_bytes;
    return load;
}

} // namespace

void report_publisher::subscribe(const instance_id& from, bool routing,
                                 const message::report& state)
{
    subscribers[from] = {routing, node::now()};
    host.send(from, state);
}

void report_publisher::send_report(const message::report& state)
{
    told_cached = state.cached_prefixes;
    told_running = state.running;
    told_reason = state.reason;
    for (auto& [id, one] : subscribers)
    {
        one.told = node::now();
        host.send(id, state);
    }
}

void report_publisher::send_load(const message::report& state)
{
    if (state.cached_prefixes != told_cached || state.reason != told_reason)
        return send_report(state);
    const auto load = load_of(state);
    const bool moved = load.running != told_running;
    const auto slowly = host.settings().report_interval * slow_reports;
    told_running = load.running;
    for (auto& [id, one] : subscribers)
    {
        if (node::now() - one.told < slowly && !(moved && one.routing))
            continue;
        one.told = node::now();
        host.send(id, load);
    }
}

} // namespace coursejunction::internal
