#include "coursejunction/resource/configuration.hpp"

#include <algorithm>
#include <iterator>

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

std::string configuration::to_json() const
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
    next.add_write(id);
    if (next.to_json().size() > max_bytes)
        return failure(error_kind::invalid,
                       "configuration: would exceed one megabyte");
    return next;
}

bool configuration::descends_from(const configuration& other) const
{
    if (other.writes.empty() || other.current > current)
        return other.current <= current;
    const auto& last = other.writes.back();
    return keeps(last) || (!writes.empty() && last.made < writes.front().made);
}

configuration configuration::merge(const configuration& stored,
                                   const write_id& id) const
{
    if (descends_from(stored))
        return *this;
    if (stored.descends_from(*this))
        return stored;
    auto joined = *this;
    joined.current = revision(std::max(current, stored.current).value() + 1);
    joined.take_changes(stored);
    joined.add_writes(stored);
    joined.add_write(id);
    return joined;
}

bool configuration::keeps(const write& one) const
{
    return std::find(writes.begin(), writes.end(), one) != writes.end();
}

/*! @brief Tells whether the write that made a deployment of another one is
 * part of this one. The other's own writes come before those that it joined
 * under the same revision. */
bool configuration::knows(const configuration& other,
                          const deployment& spec) const
{
    const auto made = std::find_if(
        other.writes.begin(), other.writes.end(),
        [&](const write& one) { return one.made == spec.changed_revision; });
    return made == other.writes.end() || keeps(*made);
}

/*! @brief Takes what another one has changed and this one does not know. It
 * has removed what it knows and has not. */
void configuration::take_changes(const configuration& from)
{
    const auto own = *this;
    std::erase_if(specs,
                  [&](const auto& one) {
                      return from.find(one.first) == nullptr &&
                             from.knows(own, one.second);
                  });
    for (const auto& [name, spec] : from.specs)
    {
        if (own.knows(from, spec))
            continue;
        auto& taken = specs[name];
        taken = spec;
        // A number that either side gave out would not tell readers of the
        // other side that it was changed.
        taken.changed_revision = current;
    }
}

void configuration::add_writes(const configuration& from)
{
    std::copy_if(from.writes.begin(), from.writes.end(),
                 std::back_inserter(writes),
                 [&](const write& one) { return !keeps(one); });
    std::stable_sort(writes.begin(), writes.end(),
                     [](const write& left, const write& right)
                     { return left.made < right.made; });
}

void configuration::add_write(const write_id& id)
{
    writes.push_back({id, current});
    while (writes.size() > kept_writes)
        writes.pop_front();
}

std::optional<revision>
configuration::revision_of_write(const write_id& id) const
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
