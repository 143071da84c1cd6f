#include "coursejunction/daemon/internal/peer_links.hpp"

namespace coursejunction::internal
{

void peer_links::add_outgoing(const instance_id& to, connection_id id,
                              const std::string& address)
{
    outgoing_links[to] = {id, address};
    by_connection[id] = to;
}

void peer_links::add_incoming(const instance_id& from, connection_id id)
{
    by_connection[id] = from;
    incoming_links[from] = id;
}

void peer_links::remove(connection_id id)
{
    const auto entry = by_connection.find(id);
    if (entry == by_connection.end())
        return;
    const auto outgoing_link = outgoing_links.find(entry->second);
    if (outgoing_link != outgoing_links.end() && outgoing_link->second.id == id)
        outgoing_links.erase(outgoing_link);
    const auto incoming_link = incoming_links.find(entry->second);
    if (incoming_link != incoming_links.end() && incoming_link->second == id)
        incoming_links.erase(incoming_link);
    by_connection.erase(entry);
}

connection_id peer_links::outgoing(const instance_id& to) const
{
    const auto found = outgoing_links.find(to);
    return found == outgoing_links.end() ? connection_id() : found->second.id;
}

connection_id peer_links::incoming(const instance_id& from) const
{
    const auto found = incoming_links.find(from);
    return found == incoming_links.end() ? connection_id() : found->second;
}

std::optional<instance_id> peer_links::peer_of(connection_id at) const
{
    const auto found = by_connection.find(at);
    if (found == by_connection.end())
        return std::nullopt;
    return found->second;
}

std::vector<instance_id>
peer_links::relocated(const member_table& members) const
{
    std::vector<instance_id> found;
    for (const auto& [instance, link] : outgoing_links)
    {
        const auto* listed = members.find(instance);
        if (listed != nullptr && listed->peer_address != link.address)
            found.push_back(instance);
    }
    return found;
}

} // namespace coursejunction::internal
