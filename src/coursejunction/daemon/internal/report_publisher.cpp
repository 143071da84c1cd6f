#include "coursejunction/daemon/internal/report_publisher.hpp"

#include "coursejunction/daemon/node.hpp"

namespace coursejunction::internal
{

namespace
{

/*! @brief Report intervals after which the load is sent although it has not
 * changed. */
constexpr int keep_alive_intervals = 4;

message::load_report make_load_report(const message::report& state)
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
    sent_prefixes = state.cached_prefixes;
    sent_running = state.running;
    sent_reason = state.reason;
    for (auto& [id, subscriber] : subscribers)
    {
        subscriber.last_sent = node::now();
        host.send(id, state);
    }
}

void report_publisher::send_load(const message::report& state)
{
    if (state.cached_prefixes != sent_prefixes || state.reason != sent_reason)
        return send_report(state);
    const auto load = make_load_report(state);
    const bool load_changed = load.running != sent_running;
    const auto keep_alive_period =
        host.settings().report_interval * keep_alive_intervals;
    sent_running = load.running;
    for (auto& [id, subscriber] : subscribers)
    {
        if (node::now() - subscriber.last_sent < keep_alive_period &&
            !(load_changed && subscriber.routing))
            continue;
        subscriber.last_sent = node::now();
        host.send(id, load);
    }
}

} // namespace coursejunction::internal
