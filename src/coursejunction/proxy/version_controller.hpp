/*! @file
 * @brief Applies published model versions at an entry: which versions upstreams
 * must serve to get new requests, which facts to persist in the store, when to
 * ask the origin, and what to alarm operators about. */
#ifndef COURSEJUNCTION_PROXY_VERSION_CONTROLLER_HPP
#define COURSEJUNCTION_PROXY_VERSION_CONTROLLER_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "coursejunction/core/log.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/fleet_node.hpp"
#include "coursejunction/fleet/fleet_view.hpp"
#include "coursejunction/fleet/version_alarm.hpp"
#include "coursejunction/fleet/version_gossip.hpp"
#include "coursejunction/fleet/version_poller.hpp"
#include "coursejunction/fleet/version_record_writer.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/metrics.hpp"
#include "coursejunction/route/version_floor.hpp"

namespace coursejunction
{

/*! @brief Tracks the published versions for one entry.
 * @tparam Platform Provides the types `store`, `catalogue` and `origin`. */
template <typename Platform>
class version_controller
{
public:
    using node_type = fleet_node<typename Platform::store>;
    using view_type = fleet_view<Platform>;
    using origin_type = typename Platform::origin;

    /*! @param grace How long after a version was published requests are still
     * sent to upstreams with older ones.
     * @param seed Differs between entries. */
    version_controller(event_loop& owner, node_type& own_node, view_type& view,
                       version_floor& minimum_versions,
                       metrics& metric_counters, milliseconds grace,
                       std::uint32_t seed)
        : node(own_node), fleet(view), minimums(minimum_versions),
          counters(metric_counters), old_weights_grace(grace),
          record_writer(owner, own_node.store_client(), own_node.mirror(),
                        metric_counters, seed),
          origin(own_node.client()), poller(origin, metric_counters, seed,
                                            [this](const missed_version& missed)
                                            { add_missed_version(missed); })
    {
    }

    /*! @brief Applies versions after keys of the store were read.
     * @param first Whether no configuration was known before. The versions
     * found now may have been published long ago. */
    void on_keys_changed(bool first, time_point now)
    {
        for (const auto& [key, published_at] : fleet.versions())
        {
            const auto& [model, version] = key;
            if (first && version == fleet.newest(model))
                minimums.add_found_at_startup(model, version, published_at,
                                              old_weights_grace);
        }
        update_minimums();
        if (fleet.consume_nonincreasing_publish())
            poller.request_recheck("published again without a higher number",
                                   now);
    }

    /*! @brief Merges versions that a peer reported and that the store does not
     * show. */
    void merge_reported(const std::vector<message::reported_version>& reported,
                        time_point now)
    {
        const auto publish_time = [&](const std::string& model,
                                      time_point reported_time) {
            return std::max(reported_time,
                            poller.latest_publish_time(model, now));
        };
        if (fleet.configuration() == nullptr ||
            !merge_gossiped_versions(fleet, reported, now, publish_time))
            return;
        update_minimums();
        for (const auto& version : reported)
            minimums.postpone(
                version.model, version.version,
                fleet.published_at(version.model, version.version),
                old_weights_grace, now);
    }

    /*! @brief Returns the versions that the store does not show, to be sent to
     * peers. */
    [[nodiscard]] std::vector<message::reported_version>
    versions_to_report(time_point now) const
    {
        return versions_to_gossip(fleet, now);
    }

    /*! @brief Runs the periodic work. `active` is false while this entry shuts
     * down; then only the alarms are updated. */
    void tick(bool active, time_point now)
    {
        update_alarms(now);
        if (!active)
            return;
        const auto rank =
            node.peers().entries_before(node.settings().address, now);
        persist(rank, now);
        poll_origin({rank, node.peers().live_entries(now)}, now);
    }

private:
    /*! @brief Interval at which alarms are updated. */
    static constexpr milliseconds alarm_interval{1000};

    void update_minimums()
    {
        for (const auto& [key, published_at] : fleet.versions())
            minimums.add_published(key.first, key.second, published_at,
                                   old_weights_grace);
        for (const auto& [model, version] : fleet.minimum_versions())
            minimums.enforce(model, version);
        apply_found_versions();
    }

    /*! @brief Makes a version that was found at startup the minimum once at
     * least half of the upstreams serve it or a newer one. Its time of
     * publication is unknown. */
    void apply_found_versions()
    {
        for (const auto& [key, published_at] : fleet.versions())
        {
            const auto& [model, version] = key;
            if (minimums.publish_time_unknown(model, version) &&
                served_by_half(model, version))
                minimums.mark_widely_served(model, version);
        }
    }

    [[nodiscard]] bool served_by_half(const std::string& model,
                                      std::uint64_t version) const
    {
        const auto counts = count_serving(model, version);
        return counts.at_least > 0 && 2 * counts.at_least >= counts.all;
    }

    struct serving_counts
    {
        std::size_t all{0};      /*!< Upstreams with any version. */
        std::size_t at_least{0}; /*!< Upstreams with this or a newer one. */
    };

    [[nodiscard]] serving_counts count_serving(const std::string& model,
                                               std::uint64_t version) const
    {
        serving_counts counts;
        for (const auto& [id, upstream] : fleet.upstreams())
        {
            const auto weights = upstream.model_versions.find(model);
            if (weights == upstream.model_versions.end() ||
                weights->second == 0)
                continue;
            ++counts.all;
            if (weights->second >= version)
                ++counts.at_least;
        }
        return counts;
    }

    /*! @brief Persists the newest published and the minimum version of each
     * model. An entry that starts when no other one runs would know neither.
     * @param rank Number of live entries before this one; 0 writes first. */
    void persist(std::size_t rank, time_point now)
    {
        for (const auto& [published, published_at] : fleet.versions())
        {
            const auto& [model, version] = published;
            const auto minimum = minimums.known_minimum(model, now);
            record_writer.add_known(
                {model, std::max(version, minimum), minimum},
                fleet.newest_corroborated(model));
        }
        record_writer.write_if_due(rank, now);
    }

    void poll_origin(const entry_ranking& ranking, time_point now)
    {
        const auto gaps = node.gaps();
        if (gaps != handled_store_gaps)
            poller.request_recheck("changes of the store were missed", now);
        handled_store_gaps = gaps;
        const auto* configuration = fleet.configuration();
        const auto* origin_service =
            configuration != nullptr ? configuration->origin() : nullptr;
        if (origin_service == nullptr)
            return;
        for (const auto& [name, service] : configuration->services)
        {
            if (service.engine)
                poll_origin(*origin_service, *service.engine, ranking, now);
        }
    }

    void poll_origin(const service_profile& origin_service,
                     const engine_profile& engine, const entry_ranking& ranking,
                     time_point now)
    {
        for (const auto& model : engine.models)
            poller.poll_if_due(
                origin_service,
                {model, fleet.newest(model), engine.chunks, engine.chunk_bytes},
                ranking, now);
    }

    void add_missed_version(const missed_version& missed)
    {
        fleet.add_version(missed.model, missed.version, missed.published_at);
        update_minimums();
        node.announce();
    }

    void update_alarms(time_point now)
    {
        if (now - alarms_updated_at < alarm_interval)
            return;
        alarms_updated_at = now;
        const auto* configuration = fleet.configuration();
        if (configuration == nullptr)
            return;
        for (const auto& [name, service] : configuration->services)
        {
            if (!service.engine)
                continue;
            for (const auto& model : service.engine->models)
                update_alarms(model, now);
        }
    }

    void update_alarms(const std::string& model, time_point now)
    {
        const auto published = fleet.published_in_store(model);
        const auto newest = fleet.newest(model);
        const bool newest_required = minimums.minimum(model, now) >= newest;
        // Version 1 means that none was published.
        const bool unserved = newest > 1 && newest_required &&
                              count_serving(model, newest).at_least == 0;
        auto& alarm = alarms[model];
        report("version_name_outdated", model, published,
               alarm.outdated.update(published < newest, now));
        report("version_unserved", model, published,
               alarm.unserved.update(unserved, now));
        const metrics::labels labels{{"model", model}};
        counters.set("version_name_outdated_seconds",
                     to_seconds(alarm.outdated.duration(now)), labels);
        counters.set("version_unserved_seconds",
                     to_seconds(alarm.unserved.duration(now)), labels);
        counters.set("version_unconfirmed_seconds",
                     to_seconds(poller.unconfirmed_for(model, now)), labels);
    }

    void report(const std::string& event, const std::string& model,
                std::uint64_t published_version,
                timed_condition::change change) const
    {
        if (change == timed_condition::change::none)
            return;
        const auto newest = std::to_string(fleet.newest(model));
        const auto published = std::to_string(published_version);
        if (change == timed_condition::change::began)
            log::warning(
                event,
                {{"model", model}, {"named", published}, {"newest", newest}});
        else
            log::state(
                event + "_ended",
                {{"model", model}, {"named", published}, {"newest", newest}});
    }

    node_type& node;
    view_type& fleet;
    version_floor& minimums;
    metrics& counters;
    milliseconds old_weights_grace;
    version_record_writer<typename Platform::store> record_writer;
    origin_type origin;
    version_poller<origin_type> poller;
    std::uint64_t handled_store_gaps{0};
    time_point alarms_updated_at{};
    std::map<std::string, version_alarms> alarms;
};

} // namespace coursejunction

#endif
