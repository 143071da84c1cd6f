#include "coursejunction/daemon/internal/instance_list.hpp"

#include <string>
#include <utility>

#include <nlohmann/json.hpp>

namespace coursejunction::internal
{

namespace
{

using nlohmann::json;

std::string string_field(const json& from, const char* name)
{
    const auto found = from.find(name);
    if (found == from.end() || !found->is_string())
        return {};
    return found->get<std::string>();
}

std::vector<std::string> parse_labels(const json& from)
{
    std::vector<std::string> labels;
    if (!from.contains("labels") || !from["labels"].is_array())
        return labels;
    for (const auto& label : from["labels"])
    {
        if (label.is_string())
            labels.push_back(label.get<std::string>());
    }
    return labels;
}

std::optional<member> parse_member(const json& from)
{
    if (!from.is_object())
        return std::nullopt;
    member parsed;
    parsed.id = instance_id(string_field(from, "id"));
    parsed.hall = hall_id(string_field(from, "hall"));
    parsed.region = region_id(string_field(from, "region"));
    parsed.peer_address = string_field(from, "peer");
    parsed.http_address = string_field(from, "http");
    parsed.upstream_kind = string_field(from, "kind");
    parsed.leaving = string_field(from, "state") == "leaving";
    parsed.kind =
        string_field(from, "role") == "side" ? role::side : role::entry;
    parsed.labels = parse_labels(from);
    if (parsed.id.empty() || parsed.peer_address.empty())
        return std::nullopt;
    return parsed;
}

} // namespace

std::optional<std::vector<member>> parse_instance_list(std::string_view text)
{
    const auto list = json::parse(text, nullptr, false);
    if (!list.is_array())
        return std::nullopt;
    std::vector<member> members;
    for (const auto& item : list)
    {
        auto parsed = parse_member(item);
        if (parsed)
            members.push_back(std::move(*parsed));
    }
    return members;
}

} // namespace coursejunction::internal
