#include "coursejunction/resource/configuration.hpp"

#include <algorithm>
#include <iterator>

#include "coursejunction/resource/internal/deployment_json.hpp"

namespace coursejunction
{

using nlohmann::json;

result<configuration> configuration::parse(std::string_view text)
{
    const auto object = json::parse(text, nullptr, false);
    if (!object.is_object() || !object.contains("revision") ||
        !object["revision"].is_number_unsigned() ||
        !object.contains("deployments") || !object["deployments"].is_array() ||
        !object.contains("writes") || !object["writes"].is_array())
        return failure(error_kind::invalid,
                       "configuration: must be an object with a revision, "
                       "deployments and writes");
    configuration parsed;
    parsed.current = revision(object["revision"].get<std::uint64_t>());
    for (const auto& item : object["deployments"])
    {
        auto spec = internal::from_json(item);
        if (!spec)
            return failure(spec.error().kind, spec.error().message);
        parsed.specs.emplace(spec.value().name, spec.value());
    }
    for (const auto& item : object["writes"])
    {
        if (!item.is_array() || item.size() != 2 || !item[0].is_string() ||
            !item[1].is_number_unsigned())
            return failure(
                error_kind::invalid,
                "configuration: each write must be a pair of write id "
                "and revision");
        parsed.writes.push_back({write_id(item[0].get<std::string>()),
                                 revision(item[1].get<std::uint64_t>())});
    }
    return parsed;
}

std::string configuration::to_json() const
{
    json deployment_list = json::array();
    for (const auto& [name, spec] : specs)
        deployment_list.push_back(internal::to_json(spec));
    json recorded = json::array();
    for (const auto& write : writes)
        recorded.push_back({write.id.value(), write.made.value()});
    return json{{"revision", current.value()},
                {"deployments", std::move(deployment_list)},
                {"writes", std::move(recorded)}}
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
        return failure(
            error_kind::conflict,
            "deployment " + change.name.value() + " is at revision " +
                std::to_string(found->second.changed_revision.value()));
    };
    if (change.kind == action::create && exists)
        return conflict();
    if (change.kind != action::create && !exists)
        return failure(error_kind::not_found,
                       "no deployment " + change.name.value());
    if (change.kind != action::create &&
        change.base_revision != found->second.changed_revision)
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
        spec.changed_revision = next.current;
        if (exists && found->second.version != spec.version)
            spec.previous_version = found->second.version;
        else if (exists)
            spec.previous_version = found->second.previous_version;
        next.specs[change.name] = std::move(spec);
    }
    next.record_write(id);
    if (next.to_json().size() > max_bytes)
        return failure(error_kind::invalid,
                       "configuration: would exceed 1000000 bytes");
    return next;
}

bool configuration::descends_from(const configuration& other) const
{
    if (other.writes.empty() || other.current > current)
        return other.current <= current;
    const auto& last = other.writes.back();
    return has_recorded(last) ||
           (!writes.empty() && last.made < writes.front().made);
}

configuration configuration::merge(const configuration& stored,
                                   const write_id& id) const
{
    if (descends_from(stored))
        return *this;
    if (stored.descends_from(*this))
        return stored;
    auto merged = *this;
    merged.current = revision(std::max(current, stored.current).value() + 1);
    merged.merge_deployments(stored);
    merged.merge_writes(stored);
    merged.record_write(id);
    return merged;
}

bool configuration::has_recorded(const recorded_write& write) const
{
    return std::find(writes.begin(), writes.end(), write) != writes.end();
}

/*! @brief Returns whether this configuration includes the write that last
 * changed a deployment of another one. Of several writes that the other one has
 * under the same revision, its own comes first, before those it merged. */
bool configuration::includes_change(const configuration& other,
                                    const deployment& spec) const
{
    const auto made =
        std::find_if(other.writes.begin(), other.writes.end(),
                     [&](const recorded_write& write)
                     { return write.made == spec.changed_revision; });
    return made == other.writes.end() || has_recorded(*made);
}

/*! @brief Takes over deployments that another configuration changed by writes
 * that this one does not include. A deployment that is absent there was removed
 * there if the other one includes the write that last changed it here; it is
 * removed here too. */
void configuration::merge_deployments(const configuration& other)
{
    const auto own = *this;
    std::erase_if(specs,
                  [&](const auto& item)
                  {
                      return other.find(item.first) == nullptr &&
                             other.includes_change(own, item.second);
                  });
    for (const auto& [name, spec] : other.specs)
    {
        if (own.includes_change(other, spec))
            continue;
        auto& merged = specs[name];
        merged = spec;
        // The revision of the merge: an operator who read this deployment from
        // either configuration has to see that it changed.
        merged.changed_revision = current;
    }
}

void configuration::merge_writes(const configuration& other)
{
    std::copy_if(
        other.writes.begin(), other.writes.end(), std::back_inserter(writes),
        [&](const recorded_write& write) { return !has_recorded(write); });
    std::stable_sort(writes.begin(), writes.end(),
                     [](const recorded_write& left, const recorded_write& right)
                     { return left.made < right.made; });
}

void configuration::record_write(const write_id& id)
{
    writes.push_back({id, current});
    while (writes.size() > max_recorded_writes)
        writes.pop_front();
}

std::optional<revision>
configuration::revision_of_write(const write_id& id) const
{
    const auto found = std::find_if(writes.begin(), writes.end(),
                                    [&](const recorded_write& write)
                                    { return write.id == id; });
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
