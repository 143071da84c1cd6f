#include "coursejunction/daemon/internal/instance_list.hpp"

#include <string>
#include <utility>

#include <nlohmann/json.hpp>

namespace coursejunction::internal
{

namespace
{

using nlohmann::json;

std::string text_of(const json& from, const char* name)
{
    const auto found = from.find(name);
    if (found == from.end() || !found->is_string())
        return {};
    return found->get<std::string>();
}

std::vector<std::string> labels_of(const json& from)
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
    member one;
    one.id = instance_id(text_of(from, "id"));
    one.hall = hall_id(text_of(from, "hall"));
    one.region = region_id(text_of(from, "region"));
    one.peer_address = text_of(from, "peer");
    one.http_address = text_of(from, "http");
    one.upstream_kind = text_of(from, "kind");
    one.leaving = text_of(from, "state") == "leaving";
    one.kind = text_of(from, "role") == "side" ? role::side : role::entry;
    one.labels = labels_of(from);
    if (one.id.empty() || one.peer_address.empty())
        return std::nullopt;
    return one;
}

} // namespace

std::optional<std::vector<member>> parse_instance_list(std::string_view text)
{
    const auto list = json::parse(text, nullptr, false);
    if (!list.is_array())
        return std::nullopt;
    std::vector<member> found;
    for (const auto& one : list)
    {
        auto parsed = parse_member(one);
        if (parsed)
            found.push_back(std::move(*parsed));
    }
    return found;
}

} // namespace coursejunction::internal
