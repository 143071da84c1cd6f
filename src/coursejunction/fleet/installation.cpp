#include "coursejunction/fleet/installation.hpp"

namespace coursejunction
{

const route_rule* installation::route(std::string_view host,
                                      std::string_view path) const
{
    const route_rule* best = nullptr;
    for (const auto& rule : routes)
    {
        if (rule.host != host || !path.starts_with(rule.prefix))
            continue;
        if (best == nullptr || rule.prefix.size() > best->prefix.size())
            best = &rule;
    }
    return best;
}

const organisation* installation::owner(const std::string& key) const
{
    const auto found = keys.find(key);
    return found == keys.end() ? nullptr : &found->second;
}

const service_profile* installation::service(const service_name& name) const
{
    const auto found = services.find(name);
    return found == services.end() ? nullptr : &found->second;
}

const service_profile* installation::origin() const
{
    for (const auto& [name, profile] : services)
    {
        if (!profile.origin.empty())
            return &profile;
    }
    return nullptr;
}

const service_name* service_for(const route_rule& route, std::uint64_t hash)
{
    std::uint64_t total = 0;
    for (const auto& share : route.services)
        total += share.weight;
    if (total == 0)
        return nullptr;
    auto remaining = hash % total;
    for (const auto& share : route.services)
    {
        if (remaining < share.weight)
            return &share.service;
        remaining -= share.weight;
    }
    return nullptr;
}

} // namespace coursejunction
