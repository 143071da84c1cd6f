#include "coursejunction/daemon/internal/heartbeat_gossip.hpp"

#include <string>
#include <utility>

namespace coursejunction::internal
{

namespace
{

/*! @brief Minimum interval between two replies to a neighbour that has an older
 * configuration. */
constexpr milliseconds min_reply_interval{200};

} // namespace

heartbeat_gossip::heartbeat_gossip(const node_settings& set,
                                   const key_ring& keys, member_table& all,
                                   const configuration_view& known,
                                   metrics& counts, std::uint64_t started,
                                   newer_callback call)
    : settings(set), ring(keys), members(all), view(known), counters(counts),
      incarnation(started), newer(std::move(call))
{
}

result<bool> heartbeat_gossip::open(event_loop& loop, std::uint16_t port)
{
    auto opened_socket = datagram_socket::create(
        loop, settings.address, port,
        [this](const std::string&, std::string_view bytes)
        { handle_datagram(bytes); });
    if (!opened_socket)
        return failure(opened_socket.error().kind,
                       opened_socket.error().message);
    socket = std::move(opened_socket.value());
    return true;
}

void heartbeat_gossip::send_heartbeats()
{
    for (const auto& id : members.gossip_neighbours(
             settings.instance, settings.gossip_neighbours, event_loop::now()))
        send_heartbeat(id);
}

void heartbeat_gossip::send_heartbeat(const instance_id& to)
{
    const auto* receiver = members.find(to);
    if (receiver == nullptr)
        return;
    message::heartbeat sent;
    sent.instance = settings.instance.value();
    sent.incarnation = incarnation;
    sent.sequence = ++last_sequence;
    sent.revision = view.has_configuration()
                        ? view.current().current_revision().value()
                        : 0;
    sent.leaving = leaving;
    socket->send(receiver->peer_address,
                 seal_datagram(ring, frame_type::heartbeat, encode(sent)));
}

void heartbeat_gossip::handle_datagram(std::string_view bytes)
{
    const auto opened = open_datagram(ring, bytes);
    if (opened && opened.value().type == frame_type::crash_news)
        return handle_crash_records(opened.value().head);
    if (!opened || opened.value().type != frame_type::heartbeat)
    {
        counters.count("datagrams_refused_total");
        return;
    }
    const auto received = decode<message::heartbeat>(opened.value().head);
    if (received)
        handle_heartbeat(received.value());
}

void heartbeat_gossip::send_crash_records(const message::crash_news& records)
{
    const auto sealed =
        seal_datagram(ring, frame_type::crash_news, encode(records));
    for (const auto& id : members.gossip_neighbours(
             settings.instance, settings.gossip_neighbours, event_loop::now()))
    {
        const auto* receiver = members.find(id);
        if (receiver != nullptr)
            socket->send(receiver->peer_address, sealed);
    }
}

void heartbeat_gossip::handle_crash_records(std::string_view head)
{
    const auto received = decode<message::crash_news>(head);
    if (!received)
        return counters.count("datagrams_refused_total");
    if (crashes)
        crashes(received.value().records);
}

void heartbeat_gossip::handle_heartbeat(const message::heartbeat& received)
{
    const instance_id from(received.instance);
    const auto now = event_loop::now();
    if (!members.record_heartbeat(
            {from, received.incarnation, received.sequence, received.leaving},
            now))
    {
        counters.count("heartbeats_replayed_total");
        return;
    }
    const auto own = view.current().current_revision().value();
    if (received.revision > own || !view.has_configuration())
        return newer(from, received.revision);
    if (received.revision == own ||
        now - last_reply[from] <= min_reply_interval)
        return;
    last_reply[from] = now;
    send_heartbeat(from);
}

} // namespace coursejunction::internal
