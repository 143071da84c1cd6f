/*! @file
 * @brief The cold starts of all upstreams at one entry; pure.
 */
#ifndef COURSEJUNCTION_ROUTE_COLD_STARTS_HPP
#define COURSEJUNCTION_ROUTE_COLD_STARTS_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "coursejunction/core/rendezvous.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/installation.hpp"
#include "coursejunction/route/cold_division.hpp"
#include "coursejunction/route/cold_start.hpp"
#include "coursejunction/route/known_upstream.hpp"

namespace coursejunction
{

/*! @brief Applies the configuration and the division of rates to upstreams. */
class cold_starts
{
public:
    using upstream_map = std::map<instance_id, known_upstream>;

    /*! @brief Sets which services have cold starts. */
    void configure(const installation& rules, upstream_map& upstreams)
    {
        policies.clear();
        for (const auto& [name, service] : rules.services)
        {
            const cold_policy policy{service.cold_time,
                                     service.cold_requests_per_second};
            if (policy.enabled())
                policies[name] = policy;
        }
        for (auto& [id, upstream] : upstreams)
            upstream.cold.set_policy(policy_of(upstream.record.service));
    }

    /*! @brief Applies a received record, which is not part of `known` yet. A
     * record received again does not start another cold start.
     * @param added The upstream was not known before. */
    void apply_record(known_upstream& known, const upstream_record& received,
                      bool added, time_point now) const
    {
        known.cold.set_policy(policy_of(received.service));
        const auto& before = known.record;
        if (added || received.life != before.life ||
            received.sequence > before.sequence ||
            received.cold_remaining_ms != before.cold_remaining_ms)
            known.cold.apply_record(milliseconds(static_cast<std::int64_t>(
                                        received.cold_remaining_ms)),
                                    now);
    }

    /*! @brief Assigns this entry's shares of the rates of cold upstreams; to be
     * called periodically. The parameters are those of
     * `cold_division::update`. */
    void assign_shares(const std::string& own,
                       const std::vector<entry_demand>& heard,
                       std::size_t unheard_entries,
                       const std::vector<std::string>& leaving,
                       upstream_map& upstreams, time_point now)
    {
        if (policies.empty())
            return;
        division.update(own, heard, unheard_entries, now, leaving);
        for (auto& [id, upstream] : upstreams)
        {
            auto& cold = upstream.cold;
            if (!cold.active(now))
                cold.clear_share();
            else if (!cold.has_share_of(division.revision()))
                cold.set_share(
                    division.share(id, upstream.record.hall, cold.per_second()),
                    phase(own, id), division.revision(), now);
        }
    }

private:
    [[nodiscard]] cold_policy policy_of(const service_name& service) const
    {
        const auto found = policies.find(service);
        return found == policies.end() ? cold_policy{} : found->second;
    }

    /*! @brief Returns a part of an interval, from 0 to 1, that differs between
     * entries and upstreams. */
    [[nodiscard]] static double phase(const std::string& own,
                                      const instance_id& upstream)
    {
        constexpr std::uint64_t range = 1024;
        return static_cast<double>(rendezvous_weight(own, upstream.value()) %
                                   range) /
               static_cast<double>(range);
    }

    std::map<service_name, cold_policy> policies; /*!< Enabled ones. */
    cold_division division;
};

} // namespace coursejunction

#endif
