/*! @file
 * @brief Exchange of published versions that the platform's store does not
 * show, carried between processes in heartbeats.
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

/*! @brief Returns the versions that the store shows neither in the operator's
 * key nor in a version record; the others need no gossip, since every process
 * reads them from the store.
 * @tparam View A `fleet_view`. */
template <typename View>
[[nodiscard]] std::vector<message::reported_version>
versions_to_gossip(const View& fleet, time_point now)
{
    std::vector<message::reported_version> made;
    for (const auto& [key, published_at] : fleet.versions())
    {
        const auto& [model, version] = key;
        if (version <= fleet.newest_stored(model))
            continue;
        const auto age =
            std::chrono::duration_cast<milliseconds>(now - published_at)
                .count();
        constexpr std::int64_t max_age_ms{
            std::numeric_limits<std::uint32_t>::max()};
        made.push_back({model, version,
                        static_cast<std::uint32_t>(
                            std::clamp<std::int64_t>(age, 0, max_age_ms))});
    }
    return made;
}

/*! @brief Takes a version's publication time as a peer reported it. */
struct trust_reported_time
{
    [[nodiscard]] time_point operator()(const std::string&,
                                        time_point reported) const noexcept
    {
        return reported;
    }
};

/*! @brief Adds the versions that a peer reported, and logs implausible ones.
 * @tparam View A `fleet_view`.
 * @param estimate Returns when a version that is new here was published, from
 * the model and the time that the peer reported.
 * @return Whether the view changed. */
template <typename View, typename Estimate = trust_reported_time>
bool merge_gossiped_versions(
    View& fleet, const std::vector<message::reported_version>& received,
    time_point now, Estimate estimate = {})
{
    bool changed = false;
    for (const auto& report : received)
    {
        if (!plausible_successor(fleet.newest(report.model), report.version))
        {
            fleet.report_implausible_version(report.model, report.version);
            continue;
        }
        // Only for versions that are unknown here: once a version is known, a
        // later confirmation by the second source says nothing about when it
        // was published.
        const bool is_new = report.version > fleet.newest(report.model);
        const auto reported = now - milliseconds(report.age_ms);
        const auto published_at =
            is_new ? estimate(report.model, reported) : reported;
        changed =
            fleet.add_version(report.model, report.version, published_at) ||
            changed;
    }
    return changed;
}

} // namespace coursejunction

#endif
