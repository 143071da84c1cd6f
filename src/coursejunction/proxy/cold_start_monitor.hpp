/*! @file
 * @brief Logs cold starts of upstreams and counts them. */
#ifndef COURSEJUNCTION_PROXY_COLD_START_MONITOR_HPP
#define COURSEJUNCTION_PROXY_COLD_START_MONITOR_HPP

#include <chrono>
#include <map>
#include <string>

#include "coursejunction/core/log.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/net/metrics.hpp"
#include "coursejunction/route/upstream_registry.hpp"

namespace coursejunction
{

/*! @brief Observes the cold starts in a registry. */
class cold_start_monitor
{
public:
    explicit cold_start_monitor(metrics& metric_counters)
        : counters(metric_counters)
    {
    }

    /*! @brief Logs cold starts that began or ended since the last call; to be
     * called periodically. */
    void update(const upstream_registry& upstreams, time_point now)
    {
        for (const auto& [id, upstream] : upstreams.all())
        {
            if (upstream.cold.active(now) && cold.emplace(id, now).second)
                log_begin(upstream, now);
        }
        std::erase_if(cold,
                      [&](const auto& item)
                      {
                          const auto& [id, since] = item;
                          if (upstreams.is_cold(id, now))
                              return false;
                          log_end(id, upstreams.find(id), now - since);
                          return true;
                      });
        counters.set("upstreams_cold", static_cast<double>(cold.size()));
    }

private:
    [[nodiscard]] static std::string ms_text(time_point::duration duration)
    {
        return std::to_string(
            std::chrono::ceil<milliseconds>(duration).count());
    }

    static void log_begin(const known_upstream& upstream, time_point now)
    {
        const auto& state = upstream.cold;
        log::state("upstream_cold",
                   {{"upstream", upstream.record.id.value()},
                    {"remaining_ms", ms_text(state.ends_at() - now)},
                    {"source", std::string(cold_source_name(state.source()))},
                    {"per_second", std::to_string(state.per_second())},
                    {"own_share", std::to_string(state.share_per_second())}});
    }

    /*! @param known Null if the upstream was removed. */
    static void log_end(const instance_id& id, const known_upstream* known,
                        time_point::duration lasted)
    {
        const auto source =
            known == nullptr
                ? std::string("removed")
                : std::string(cold_source_name(known->cold.source()));
        log::state("upstream_cold_ended", {{"upstream", id.value()},
                                           {"lasted_ms", ms_text(lasted)},
                                           {"remaining_ms", "0"},
                                           {"source", source}});
    }

    metrics& counters;
    std::map<instance_id, time_point> cold; /*!< When each was first seen. */
};

} // namespace coursejunction

#endif
