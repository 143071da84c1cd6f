#include "coursejunction/daemon/internal/peer_links.hpp"

namespace coursejunction::internal
{

void peer_links::add_outgoing(const instance_id& to, connection_id id,
                              const std::string& address)
{
    out[to] = {id, address};
    by_connection[id] = to;
}

void peer_links::add_incoming(const instance_id& from, connection_id id)
{
    by_connection[id] = from;
    in[from] = id;
}

void peer_links::remove(connection_id id)
{
    const auto known = by_connection.find(id);
    if (known == by_connection.end())
        return;
    const auto link = out.find(known->second);
    if (link != out.end() && link->second.id == id)
        out.erase(link);
    const auto opened = in.find(known->second);
    if (opened != in.end() && opened->second == id)
        in.erase(opened);
    by_connection.erase(known);
}

connection_id peer_links::outgoing(const instance_id& to) const
{
    const auto found = out.find(to);
    return found == out.end() ? connection_id() : found->second.id;
}

connection_id peer_links::incoming(const instance_id& from) const
{
    const auto found = in.find(from);
    return found == in.end() ? connection_id() : found->second;
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
    for (const auto& [instance, link] : out)
    {
        const auto* one = members.find(instance);
        if (one != nullptr && one->peer_address != link.address)
            found.push_back(instance);
    }
    return found;
}

} // namespace coursejunction::internal
