/*! @file
 * @brief Named versions that the platform's store does not show, as processes
 * tell them to each other.
 */
#ifndef COURSEJUNCTION_FLEET_TOLD_VERSIONS_HPP
#define COURSEJUNCTION_FLEET_TOLD_VERSIONS_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/version_record.hpp"
#include "coursejunction/net/metrics.hpp"
#include "coursejunction/wire/fleet_message.hpp"

namespace coursejunction
{

/*! @brief Returns the versions that neither a name nor a record of the store
 * tells: everybody else is read there.
 * @tparam View A `fleet_view`. */
template <typename View>
[[nodiscard]] std::vector<message::told_version>
versions_to_tell(const View& fleet, time_point now)
{
    std::vector<message::told_version> made;
    for (const auto& [named, known] : fleet.versions())
    {
        const auto& [model, version] = named;
        if (version <= fleet.stored(model))
            continue;
        const auto age =
            std::chrono::duration_cast<milliseconds>(now - known).count();
        made.push_back({model, version, static_cast<std::uint32_t>(age)});
    }
    return made;
}

/*! @brief Takes versions that a peer tells; those that cannot be are counted.
 * Who has read nothing of the store yet takes none.
 * @tparam View A `fleet_view`.
 * @param naming Returns when a version that a peer tells was named, by the
 * peer's word and what is known here.
 * @return Whether anything changed. */
template <typename View, typename Naming>
bool take_told(View& fleet, const std::vector<message::told_version>& told,
               time_point now, metrics& counters, Naming naming)
{
    if (fleet.rules() == nullptr)
        return false;
    bool changed = false;
    for (const auto& one : told)
    {
        if (!follows_closely(fleet.newest(one.model), one.version))
        {
            counters.count("versions_told_refused_total");
            continue;
        }
        const auto known = naming(one.model, now - milliseconds(one.age_ms));
        changed = fleet.told(one.model, one.version, known) || changed;
    }
    return changed;
}

} // namespace coursejunction

#endif
