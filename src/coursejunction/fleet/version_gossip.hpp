/*! @file
 * @brief Named versions that the platform's store does not show, as processes
 * tell them to each other.
 */
#ifndef COURSEJUNCTION_FLEET_VERSION_GOSSIP_HPP
#define COURSEJUNCTION_FLEET_VERSION_GOSSIP_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

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
versions_to_gossip(const View& fleet, time_point now)
{
    std::vector<message::told_version> made;
    for (const auto& [named, known] : fleet.versions())
    {
        const auto& [model, version] = named;
        if (version <= fleet.newest_stored(model))
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

/*! @brief Believes a peer's word of when a version was named. */
struct trust_reported_time
{
    [[nodiscard]] time_point operator()(const std::string&,
                                        time_point told) const noexcept
    {
        return told;
    }
};

/*! @brief Takes versions that a peer tells.
 * @tparam View A `fleet_view`.
 * @param naming Returns when a version that is new here was named, by the
 * peer's word and what is known here.
 * @return Whether anything changed. */
template <typename View, typename Naming = trust_reported_time>
bool merge_gossiped_versions(View& fleet,
                             const std::vector<message::told_version>& told,
                             time_point now, Naming naming = {})
{
    bool changed = false;
    for (const auto& one : told)
    {
        if (!plausible_successor(fleet.newest(one.model), one.version))
        {
            fleet.report_implausible_version(one.model, one.version);
            continue;
        }
        // What is confirmed here later says nothing of a version known by then.
        const bool news = one.version > fleet.newest(one.model);
        const auto word = now - milliseconds(one.age_ms);
        const auto known = news ? naming(one.model, word) : word;
        changed = fleet.add_version(one.model, one.version, known) || changed;
    }
    return changed;
}

} // namespace coursejunction

#endif
