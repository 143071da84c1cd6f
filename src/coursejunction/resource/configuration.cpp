#include "coursejunction/resource/configuration.hpp"

#include <algorithm>

#include "coursejunction/resource/internal/deployment_json.hpp"

namespace coursejunction
{

using nlohmann::json;

result<configuration> configuration::parse(std::string_view text)
{
    const auto from = json::parse(text, nullptr, false);
    if (!from.is_object() || !from.contains("revision") ||
        !from["revision"].is_number_unsigned() ||
        !from.contains("deployments") || !from["deployments"].is_array() ||
        !from.contains("writes") || !from["writes"].is_array())
        return failure(error_kind::invalid, "not a configuration");
    configuration read;
    read.current = revision(from["revision"].get<std::uint64_t>());
    for (const auto& one : from["deployments"])
    {
        auto spec = internal::from_json(one);
        if (!spec)
            return failure(spec.error().kind, spec.error().message);
        read.specs.emplace(spec.value().name, spec.value());
    }
    for (const auto& one : from["writes"])
    {
        if (!one.is_array() || one.size() != 2 || !one[0].is_string() ||
            !one[1].is_number_unsigned())
            return failure(error_kind::invalid, "not a list of writes");
        read.writes.push_back({write_id(one[0].get<std::string>()),
                               revision(one[1].get<std::uint64_t>())});
    }
    return read;
}

std::string configuration::text() const
{
    json list = json::array();
    for (const auto& [name, spec] : specs)
        list.push_back(internal::to_json(spec));
    json kept = json::array();
    for (const auto& one : writes)
        kept.push_back({one.id.value(), one.made.value()});
    return json{{"revision", current.value()},
                {"deployments", std::move(list)},
                {"writes", std::move(kept)}}
        .dump();
}

result<configuration> configuration::apply(const configuration_change& change,
                                           const write_id& id) const
{
    using action = configuration_change::action;
    const auto found = specs.find(change.name);
    const bool exists = found != specs.end();
    const auto conflict = [&]
    {
        return failure(error_kind::conflict,
                       "deployment " + change.name.value() +
                           " is at revision " +
                           std::to_string(found->second.changed.value()));
    };
    if (change.kind == action::create && exists)
        return conflict();
    if (change.kind != action::create && !exists)
        return failure(error_kind::not_found,
                       "no deployment " + change.name.value());
    if (change.kind != action::create && change.read != found->second.changed)
        return conflict();

    auto next = *this;
    next.current = revision(current.value() + 1);
    if (change.kind == action::remove)
    {
        next.specs.erase(change.name);
    }
    else
    {
        auto spec = change.spec;
        spec.changed = next.current;
        if (exists && found->second.version != spec.version)
            spec.previous = found->second.version;
        else if (exists)
            spec.previous = found->second.previous;
        next.specs[change.name] = std::move(spec);
    }
    next.writes.push_back({id, next.current});
    if (next.writes.size() > kept_writes)
        next.writes.pop_front();
    if (next.text().size() > max_bytes)
        return failure(error_kind::invalid,
                       "configuration: would exceed one megabyte");
    return next;
}

std::optional<revision> configuration::written(const write_id& id) const
{
    const auto found =
        std::find_if(writes.begin(), writes.end(),
                     [&](const write& one) { return one.id == id; });
    if (found == writes.end())
        return std::nullopt;
    return found->made;
}

const deployment* configuration::find(const deployment_name& name) const
{
    const auto found = specs.find(name);
    return found == specs.end() ? nullptr : &found->second;
}

} // namespace coursejunction
