/*! @file
 * @brief Applies changes of the store that entries also report to each other
 * ahead of the mirror, counts and logs them: departures of upstreams and
 * evacuations of halls.
 */
#ifndef COURSEJUNCTION_PROXY_STORE_CHANGE_INTAKE_HPP
#define COURSEJUNCTION_PROXY_STORE_CHANGE_INTAKE_HPP

#include <map>
#include <string>
#include <vector>

#include "coursejunction/core/log.hpp"
#include "coursejunction/fleet/fleet_view.hpp"
#include "coursejunction/fleet/hall_evacuations.hpp"
#include "coursejunction/fleet/store_mirror.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/metrics.hpp"
#include "coursejunction/proxy/departure_messages.hpp"
#include "coursejunction/proxy/evacuation_messages.hpp"
#include "coursejunction/route/upstream_registry.hpp"

namespace coursejunction
{

/*! @brief Passes departures and evacuations to the registry of upstreams, and
 * to other entries. */
class store_change_intake
{
public:
    store_change_intake(upstream_registry& upstreams,
                        const store_mirror& store_copy,
                        metrics& metric_counters)
        : book(upstreams), mirror(store_copy), counters(metric_counters)
    {
    }

    /*! @brief Reports an upstream that no longer accepts requests to the other
     * entries. Their mirrors follow later: a page may have to wait for a larger
     * value or for a congested link.
     * @param leaves The record says that the upstream leaves.
     * @param may_return The record may only have lapsed in an outage of the
     * store, so its removal is not reported. */
    void add_departure(const upstream_change& change, bool leaves,
                       bool may_return, time_point now)
    {
        const auto* known = book.find(change.id);
        if (known == nullptr || known->announced_leaving())
            return;
        const bool gone = change.removed && !may_return && !change.malformed;
        if (gone || (leaves && !change.removed))
            book.apply_departure({change.id, change.position, gone}, now);
    }

    /*! @brief Applies the evacuations in the mirror.
     * @return Whether the set of evacuated halls changed. */
    bool read_evacuations(const std::map<hall_id, hall_evacuation>& mirrored,
                          time_point now)
    {
        return apply(halls.apply_mirror(mirrored, mirror.position(), now),
                     "store");
    }

    /*! @brief Applies departures and evacuations that another entry reported.
     * @return Whether the set of evacuated halls changed. */
    bool merge_reports(const message::fleet_heartbeat& heartbeat,
                       const std::string& from, time_point now)
    {
        for (const auto& departure : heartbeat.departures)
            merge_departure(decode_departure(departure), from, now);
        bool changed = false;
        for (const auto& evacuation : heartbeat.evacuations)
            changed =
                apply(halls.apply_report(decode_evacuation(evacuation), now),
                      from) ||
                changed;
        return changed;
    }

    /*! @brief Adds changes to a heartbeat that other entries may not know.
     * @param all Also adds all evacuations that last. */
    void add_reports(message::fleet_heartbeat& heartbeat, bool all,
                     time_point now)
    {
        heartbeat.departures = departures_to_report(book, now);
        heartbeat.evacuations = evacuations_to_report(halls, all, now);
    }

private:
    void merge_departure(const upstream_departure& departure,
                         const std::string& from, time_point now)
    {
        if (departure.position <= mirror.position() ||
            !book.apply_departure(departure, now))
            return;
        counters.count("upstream_departures_told_total");
        log::state("upstream_departure_told",
                   {{"upstream", departure.id.value()},
                    {"told_by", from},
                    {"removed", departure.removed ? "true" : "false"},
                    {"revision", departure.position.text()},
                    {"mirrored", mirror.position().text()}});
    }

    /*! @brief Passes changed halls to the registry.
     * @param source Address of the entry that reported them, or `store`.
     * @return Whether there are any. */
    bool apply(const std::vector<hall_evacuation>& changes,
               const std::string& source)
    {
        for (const auto& change : changes)
            log::state("hall_evacuation_changed",
                       {{"hall", change.hall.value()},
                        {"evacuated", change.evacuated ? "true" : "false"},
                        {"revision", change.position.text()},
                        {"reported_by", source},
                        {"mirrored", mirror.position().text()}});
        if (changes.empty())
            return false;
        book.set_evacuations(halls.evacuations(), event_loop::now());
        counters.set("evacuated_halls",
                     static_cast<double>(book.evacuations().size()));
        return true;
    }

    upstream_registry& book;
    const store_mirror& mirror;
    metrics& counters;
    evacuated_halls halls;
};

} // namespace coursejunction

#endif
