#include "coursejunction/daemon/internal/node_state.hpp"

#include <nlohmann/json.hpp>

namespace coursejunction::internal
{

nlohmann::json members_json(const member_table& members, time_point now)
{
    auto list = nlohmann::json::array();
    for (const auto& [id, member] : members.all())
        list.push_back({{"id", id.value()},
                        {"hall", member.hall.value()},
                        {"role", member.kind == role::entry ? "entry" : "side"},
                        {"peer", member.peer_address},
                        {"usable", members.usable(id, now)}});
    return list;
}

nlohmann::json traffic_json(const hub_counters& counts,
                            std::uint64_t gossip_bytes,
                            std::uint64_t key_value_calls)
{
    return {
        {"bytes_in", counts.bytes_in},       {"bytes_out", counts.bytes_out},
        {"frames_in", counts.frames_in},     {"frames_out", counts.frames_out},
        {"frames_refused", counts.refused},  {"gossip_bytes", gossip_bytes},
        {"key_value_calls", key_value_calls}};
}

} // namespace coursejunction::internal
