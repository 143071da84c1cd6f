#include "coursejunction/fleet/installation.hpp"

namespace coursejunction
{

const route_rule* installation::route(std::string_view host,
                                      std::string_view path) const
{
    const route_rule* best = nullptr;
    for (const auto& one : routes)
    {
        if (one.host != host || !path.starts_with(one.prefix))
            continue;
        if (best == nullptr || one.prefix.size() > best->prefix.size())
            best = &one;
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
    for (const auto& [name, one] : services)
    {
        if (!one.origin.empty())
            return &one;
    }
    return nullptr;
}

const service_name* service_for(const route_rule& route, std::uint64_t hash)
{
    std::uint64_t total = 0;
    for (const auto& one : route.services)
        total += one.weight;
    if (total == 0)
        return nullptr;
    auto place = hash % total;
    for (const auto& one : route.services)
    {
        if (place < one.weight)
            return &one.service;
        place -= one.weight;
    }
    return nullptr;
}

} // namespace coursejunction
