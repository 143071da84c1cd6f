/*! @file
 * @brief The shares of organisations of all services that run on engines, with
 * the rates that entries report to each other; pure.
 */
#ifndef COURSEJUNCTION_ROUTE_ORGANISATION_LIMITS_HPP
#define COURSEJUNCTION_ROUTE_ORGANISATION_LIMITS_HPP

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coursejunction/fleet/installation.hpp"
#include "coursejunction/route/organisation_reports.hpp"
#include "coursejunction/route/organisation_shares.hpp"

namespace coursejunction
{

/*! @brief Decides for the requests of one entry. Has no effect unless the
 * configuration contains at least two organisations. */
class organisation_limits
{
public:
    /*! @brief Interval at which levels are recomputed. */
    static constexpr milliseconds update_interval{200};
    /*! @brief Rates below this are not reported; the unit of messages. */
    static constexpr double min_reported_rate = 1.0 / 64;

    /*! @brief Applies a configuration. */
    void configure(const installation& rules)
    {
        std::set<organisation_id> ids;
        for (const auto& [key, owner] : rules.keys)
            ids.insert(owner.id);
        std::erase_if(services,
                      [&](const auto& item)
                      {
                          const auto* known = rules.service(item.first);
                          return known == nullptr || !known->engine;
                      });
        if (ids.size() < 2)
            return services.clear();
        for (const auto& [name, service] : rules.services)
        {
            if (!service.engine)
                continue;
            auto& one = services[name];
            one.refusals_key = make_rate_key(name, {});
            one.keys.clear();
            for (const auto& id : ids)
                one.keys[id] = make_rate_key(name, id);
            one.shares.set_organisations(ids);
        }
    }

    /*! @brief Records a request and decides whether it lies beyond the level of
     * its organisation.
     * @param owner Owner of its API key; null if it has none. */
    organisation_decision record_arrival(const service_name& service,
                                         const organisation* owner,
                                         bool is_retry, time_point now)
    {
        const auto found = services.find(service);
        if (owner == nullptr || found == services.end())
            return {};
        return found->second.shares.record_arrival(owner->id, is_retry, now);
    }

    /*! @brief Records that a new request was refused for lack of capacity. */
    void record_refusal(const service_name& service,
                        const organisation_decision& decided, time_point now)
    {
        const auto found = services.find(service);
        if (found != services.end())
            found->second.shares.record_refusal(decided, now);
    }

    /*! @brief Records that another entry was heard, with its reported rates;
     * see `organisation_reports::record()`. */
    void record_reports(const std::string& from,
                        const std::vector<reported_rate>& rates, bool complete,
                        time_point now)
    {
        if (!services.empty())
            reports.record(from, rates, complete, now);
    }

    /*! @brief Returns rates to report: refusals, the largest organisations, and
     * in turn the others. If there are fewer than `max_count`, these are all.
     * @param max_count Largest number of rates. */
    [[nodiscard]] std::vector<reported_rate>
    rates_to_report(std::size_t max_count, time_point now)
    {
        std::vector<reported_rate> refused;
        std::vector<reported_rate> arrived;
        const auto add = [](auto& to, organisation_rate_key key, double rate)
        {
            if (rate >= min_reported_rate)
                to.push_back({key, rate});
        };
        for (const auto& [name, one] : services)
        {
            add(refused, one.refusals_key, one.shares.own_refused(now));
            for (const auto& [id, key] : one.keys)
                add(arrived, key, one.shares.own_rate(id, now));
        }
        std::stable_sort(arrived.begin(), arrived.end(),
                         [](const auto& left, const auto& right)
                         { return left.per_second > right.per_second; });
        auto chosen = std::move(refused);
        chosen.resize(std::min(chosen.size(), max_count / 2));
        const auto room = max_count - chosen.size();
        const auto fixed = arrived.size() <= room ? arrived.size() : room / 2;
        chosen.insert(chosen.end(), arrived.begin(),
                      arrived.begin() + static_cast<std::ptrdiff_t>(fixed));
        const auto rest = arrived.size() - fixed;
        for (; rest > 0 && chosen.size() < max_count; ++next_rotated)
            chosen.push_back(arrived[fixed + next_rotated % rest]);
        return chosen;
    }

    /*! @brief Recomputes the levels if it is time; called periodically. */
    void update(time_point now)
    {
        if (!services.empty() && now - updated_at >= update_interval)
            update(reports.sums(now), now);
    }

    /*! @brief Recomputes the levels with sums of reported rates. */
    void update(const reported_sums& sums, time_point now)
    {
        updated_at = now;
        const auto sum_of = [&](organisation_rate_key key)
        {
            const auto found = sums.per_second.find(key);
            return found == sums.per_second.end() ? 0.0 : found->second;
        };
        for (auto& [name, one] : services)
        {
            reported_organisations reported;
            for (const auto& [id, key] : one.keys)
                reported.per_second[id] = sum_of(key);
            reported.refused = sum_of(one.refusals_key);
            reported.age_ms = static_cast<double>(sums.oldest.count());
            one.shares.update(reported, now);
        }
    }

    /*! @brief Returns the shares of a service, or null if it has none. */
    [[nodiscard]] const organisation_shares*
    shares_of(const service_name& service) const
    {
        const auto found = services.find(service);
        return found == services.end() ? nullptr : &found->second.shares;
    }

    /*! @brief Returns the services that have shares. */
    [[nodiscard]] std::vector<service_name> names() const
    {
        std::vector<service_name> all;
        for (const auto& [name, one] : services)
            all.push_back(name);
        return all;
    }

private:
    struct service_state
    {
        organisation_rate_key refusals_key;
        std::map<organisation_id, organisation_rate_key> keys;
        organisation_shares shares;
    };

    std::map<service_name, service_state> services;
    organisation_reports reports;
    time_point updated_at{};
    std::size_t next_rotated{0};
};

} // namespace coursejunction

#endif
