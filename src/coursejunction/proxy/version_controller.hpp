/*! @file
 * @brief What an entry does about named versions: from when on each binds, what
 * the store has to keep, whom else to ask, and what operators have to see.
 */
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

/*! @brief Acts for one entry.
 * @tparam Platform Names the `store`, `catalogue` and `origin`. */
template <typename Platform>
class version_controller
{
public:
    using node_type = fleet_node<typename Platform::store>;
    using view_type = fleet_view<Platform>;
    using origin_type = typename Platform::origin;

    /*! @param allowed How long after its naming older weights may begin
     * requests.
     * @param seed Another one for each entry. */
    version_controller(event_loop& owner, node_type& peers, view_type& known,
                       version_floor& bounds, metrics& counted,
                       milliseconds allowed, std::uint32_t seed)
        : node(peers), fleet(known), floors(bounds), counters(counted),
          version_time(allowed),
          keeper(owner, peers.store_client(), peers.mirror(), counted, seed),
          origin(peers.client()),
          inquiry(origin, counted, seed,
                  [this](const missed_version& one) { take_unheard(one); })
    {
    }

    /*! @brief Keys of the store were read.
     * @param first Nothing was known before. */
    void read(bool first, time_point now)
    {
        for (const auto& [key, named] : fleet.versions())
        {
            const auto& [model, version] = key;
            if (first && version == fleet.newest(model))
                floors.add_found_at_startup(model, version, named,
                                            version_time);
        }
        bind();
        if (fleet.consume_nonincreasing_publish())
            inquiry.request_recheck("named again without rising", now);
    }

    /*! @brief Takes what a peer was told of versions that the store lacks. */
    void heard(const std::vector<message::told_version>& told, time_point now)
    {
        const auto naming = [&](const std::string& model, time_point word)
        { return std::max(word, inquiry.latest_publish_time(model, now)); };
        if (fleet.configuration() == nullptr ||
            !merge_gossiped_versions(fleet, told, now, naming))
            return;
        bind();
        for (const auto& one : told)
            floors.postpone(one.model, one.version,
                            fleet.published_at(one.model, one.version),
                            version_time, now);
    }

    /*! @brief Returns what the store does not show, for other processes. */
    [[nodiscard]] std::vector<message::told_version> told(time_point now) const
    {
        return versions_to_gossip(fleet, now);
    }

    /*! @brief Called often; `takes_part` is false while this entry stops. */
    void tick(bool takes_part, time_point now)
    {
        watch(now);
        if (!takes_part)
            return;
        const auto rank =
            node.peers().entries_before(node.settings().address, now);
        keep(rank, now);
        ask({rank, node.peers().live_entries(now)}, now);
    }

private:
    /*! @brief How often the alarms are looked at. */
    static constexpr milliseconds alarm_interval{1000};

    void bind()
    {
        for (const auto& [key, named] : fleet.versions())
            floors.add_published(key.first, key.second, named, version_time);
        for (const auto& [model, version] : fleet.minimum_versions())
            floors.enforce(model, version);
        judge_found();
    }

    /*! @brief A version that was found at the start binds once most upstreams
     * serve it. */
    void judge_found()
    {
        for (const auto& [key, named] : fleet.versions())
        {
            const auto& [model, version] = key;
            if (floors.publish_time_unknown(model, version) &&
                served_by_most(model, version))
                floors.mark_widely_served(model, version);
        }
    }

    [[nodiscard]] bool served_by_most(const std::string& model,
                                      std::uint64_t version) const
    {
        const auto count = serving(model, version);
        return count.newest > 0 && 2 * count.newest >= count.all;
    }

    struct serving_count
    {
        std::size_t all{0};    /*!< Serve any version of the model. */
        std::size_t newest{0}; /*!< Serve at least the one asked for. */
    };

    [[nodiscard]] serving_count serving(const std::string& model,
                                        std::uint64_t version) const
    {
        serving_count made;
        for (const auto& [id, one] : fleet.upstreams())
        {
            const auto weights = one.model_versions.find(model);
            if (weights == one.model_versions.end() || weights->second == 0)
                continue;
            ++made.all;
            if (weights->second >= version)
                ++made.newest;
        }
        return made;
    }

    /*! @brief Has the store keep which versions were named and which bind: an
     * entry that starts alone knows neither otherwise. */
    void keep(std::size_t rank, time_point now)
    {
        for (const auto& [named, known] : fleet.versions())
        {
            const auto& [model, version] = named;
            const auto binding = floors.known_minimum(model, now);
            keeper.add_known({model, std::max(version, binding), binding},
                             fleet.newest_corroborated(model));
        }
        keeper.write_if_due(rank, now);
    }

    void ask(const entry_ranking& at, time_point now)
    {
        const auto gaps = node.gaps();
        if (gaps != gaps_seen)
            inquiry.request_recheck("a gap in what was heard of the store",
                                    now);
        gaps_seen = gaps;
        const auto* rules = fleet.configuration();
        const auto* from = rules != nullptr ? rules->origin() : nullptr;
        if (from == nullptr)
            return;
        for (const auto& [name, service] : rules->services)
        {
            if (service.engine)
                ask(*from, *service.engine, at, now);
        }
    }

    void ask(const service_profile& from, const engine_profile& engine,
             const entry_ranking& at, time_point now)
    {
        for (const auto& model : engine.models)
            inquiry.poll_if_due(
                from,
                {model, fleet.newest(model), engine.chunks, engine.chunk_bytes},
                at, now);
    }

    void take_unheard(const missed_version& one)
    {
        fleet.add_version(one.model, one.version, one.published_at);
        bind();
        node.announce();
    }

    void watch(time_point now)
    {
        if (now - watched_at < alarm_interval)
            return;
        watched_at = now;
        const auto* rules = fleet.configuration();
        if (rules == nullptr)
            return;
        for (const auto& [name, service] : rules->services)
        {
            if (!service.engine)
                continue;
            for (const auto& model : service.engine->models)
                watch(model, now);
        }
    }

    void watch(const std::string& model, time_point now)
    {
        const auto named = fleet.published_in_store(model);
        const auto newest = fleet.newest(model);
        const bool binds = floors.minimum(model, now) >= newest;
        const bool unserved =
            newest > 1 && binds && serving(model, newest).newest == 0;
        auto& one = alarms[model];
        report("version_name_outdated", model, named,
               one.outdated.update(named < newest, now));
        report("version_unserved", model, named,
               one.unserved.update(unserved, now));
        const metrics::labels of{{"model", model}};
        counters.set("version_name_outdated_seconds",
                     to_seconds(one.outdated.duration(now)), of);
        counters.set("version_unserved_seconds",
                     to_seconds(one.unserved.duration(now)), of);
        counters.set("version_unconfirmed_seconds",
                     to_seconds(inquiry.unconfirmed_for(model, now)), of);
    }

    void report(const std::string& what, const std::string& model,
                std::uint64_t named, timed_condition::change change) const
    {
        if (change == timed_condition::change::none)
            return;
        const auto newest = std::to_string(fleet.newest(model));
        const auto name = std::to_string(named);
        if (change == timed_condition::change::began)
            log::warning(
                what, {{"model", model}, {"named", name}, {"newest", newest}});
        else
            log::state(what + "_ended",
                       {{"model", model}, {"named", name}, {"newest", newest}});
    }

    node_type& node;
    view_type& fleet;
    version_floor& floors;
    metrics& counters;
    milliseconds version_time;
    version_record_writer<typename Platform::store> keeper;
    origin_type origin;
    version_poller<origin_type> inquiry;
    std::uint64_t gaps_seen{0};
    time_point watched_at{};
    std::map<std::string, version_alarms> alarms;
};

} // namespace coursejunction

#endif
