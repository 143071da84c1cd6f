#include "coursejunction/daemon/internal/heartbeat_gossip.hpp"

#include <string>
#include <utility>

namespace coursejunction::internal
{

namespace
{

/*! @brief Shortest time between two answers to a neighbour that has an older
 * configuration. */
constexpr milliseconds answer_gap{200};

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
    auto made = datagram_socket::create(
        loop, settings.address, port,
        [this](const std::string&, std::string_view bytes)
        { datagram(bytes); });
    if (!made)
        return failure(made.error().kind, made.error().message);
    socket = std::move(made.value());
    return true;
}

void heartbeat_gossip::announce()
{
    for (const auto& id : members.gossip_neighbours(
             settings.instance, settings.gossip_neighbours, event_loop::now()))
        beat_to(id);
}

void heartbeat_gossip::beat_to(const instance_id& to)
{
    const auto* listed = members.find(to);
    if (listed == nullptr)
        return;
    message::heartbeat beat;
    beat.instance = settings.instance.value();
    beat.incarnation = incarnation;
    beat.sequence = ++beats;
    beat.revision = view.has_configuration()
                        ? view.current().current_revision().value()
                        : 0;
    beat.leaving = leaving;
    socket->send(listed->peer_address,
                 seal_datagram(ring, frame_type::heartbeat, encode(beat)));
}

void heartbeat_gossip::datagram(std::string_view bytes)
{
    const auto opened = open_datagram(ring, bytes);
    if (opened && opened.value().type == frame_type::crash_news)
        return heard_crashes(opened.value().head);
    if (!opened || opened.value().type != frame_type::heartbeat)
    {
        counters.count("datagrams_refused_total");
        return;
    }
    const auto beat = decode<message::heartbeat>(opened.value().head);
    if (beat)
        heard(beat.value());
}

void heartbeat_gossip::tell(const message::crash_news& news)
{
    const auto sealed =
        seal_datagram(ring, frame_type::crash_news, encode(news));
    for (const auto& id : members.gossip_neighbours(
             settings.instance, settings.gossip_neighbours, event_loop::now()))
    {
        const auto* listed = members.find(id);
        if (listed != nullptr)
            socket->send(listed->peer_address, sealed);
    }
}

void heartbeat_gossip::heard_crashes(std::string_view head)
{
    const auto news = decode<message::crash_news>(head);
    if (!news)
        return counters.count("datagrams_refused_total");
    if (crashes)
        crashes(news.value().records);
}

void heartbeat_gossip::heard(const message::heartbeat& beat)
{
    const instance_id from(beat.instance);
    const auto now = event_loop::now();
    if (!members.record_heartbeat(
            {from, beat.incarnation, beat.sequence, beat.leaving}, now))
    {
        counters.count("heartbeats_replayed_total");
        return;
    }
    const auto own = view.current().current_revision().value();
    if (beat.revision > own || !view.has_configuration())
        return newer(from, beat.revision);
    if (beat.revision == own || now - answered[from] <= answer_gap)
        return;
    answered[from] = now;
    beat_to(from);
}

} // namespace coursejunction::internal
