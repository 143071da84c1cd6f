/*! @file
 * @brief Named versions that the platform's store does not show, as processes
 * tell them to each other.
 */
#ifndef COURSEJUNCTION_FLEET_TOLD_VERSIONS_HPP
#define COURSEJUNCTION_FLEET_TOLD_VERSIONS_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "coursejunction/core/log.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/version_record.hpp"
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
        constexpr std::int64_t oldest{
            std::numeric_limits<std::uint32_t>::max()};
        made.push_back({model, version,
                        static_cast<std::uint32_t>(
                            std::clamp<std::int64_t>(age, 0, oldest))});
    }
    return made;
}

/*! @brief Takes versions that a peer tells.
 * @tparam View A `fleet_view`.
 * @return Whether one was new. */
template <typename View>
bool take_told(View& fleet, const std::vector<message::told_version>& told,
               time_point now)
{
    bool changed = false;
    for (const auto& one : told)
    {
        if (fleet.newest(one.model) >= one.version)
            continue;
        if (!follows_closely(fleet.newest(one.model), one.version))
        {
            log::warning("version_told_absurd",
                         {{"model", one.model},
                          {"version", std::to_string(one.version)}});
            continue;
        }
        fleet.told(one.model, one.version, now - milliseconds(one.age_ms));
        changed = true;
    }
    return changed;
}

} // namespace coursejunction

#endif
