/*! @file
 * @brief One process's ledger of requests that crash upstreams, kept alike with
 * its neighbours'.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_CRASH_GOSSIP_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_CRASH_GOSSIP_HPP

#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "coursejunction/core/log.hpp"
#include "coursejunction/net/metrics.hpp"
#include "coursejunction/run/crash_ledger.hpp"
#include "coursejunction/run/lost_attempt_tracker.hpp"

namespace coursejunction::internal
{

/*! @brief What sides see is told from neighbour to neighbour; pure but for its
 * log lines and counters. */
class crash_gossip
{
public:
    /*! @brief Sends records to the neighbours. */
    using tell_callback =
        std::function<void(const std::vector<message::crash_record>&)>;

    crash_gossip(metrics& counted, tell_callback call)
        : counters(counted), tell(std::move(call)), ledger(limits())
    {
    }

    [[nodiscard]] const crash_ledger& records() const { return ledger; }

    [[nodiscard]] crash_status status(const request_content& what,
                                      time_point now) const
    {
        return ledger.status(what, now);
    }

    /*! @brief Returns how many copies of a request may run at once.
     * @param tries_it Whether trials of it are this process's. */
    [[nodiscard]] std::size_t max_running(const request_content& what,
                                          bool tries_it, time_point now) const
    {
        return ledger.max_running(what, tries_it, now);
    }

    /*! @brief An upstream ended under some requests. */
    void record_crashes(const std::vector<crash_report>& accused,
                        time_point now)
    {
        for (const auto& one : accused)
        {
            if (ledger.record_crash(one.content, one.crash, one.evidence, now))
                note(one.content);
        }
        send_updates(now);
    }

    /*! @brief An upstream answered a request in whole. */
    void record_response(const request_content& what, time_point now)
    {
        if (ledger.record_response(what, now))
            send_updates(now);
    }

    /*! @brief Takes a neighbour's records, and passes on what is new. */
    void merge(const std::vector<message::crash_record>& told, time_point now)
    {
        for (const auto& one : told)
        {
            if (ledger.merge(one, now))
                note(one.content);
        }
        if (ledger.has_pending_updates())
            send_updates(now);
    }

    /*! @brief Ends a quarantine everywhere.
     * @return Whether there was one. */
    bool lift_quarantine(const request_content& what, time_point now)
    {
        if (!ledger.lift_quarantine(what, now))
            return false;
        log::state("quarantine_lifted", {{"content", what.hex()}});
        send_updates(now);
        return true;
    }

    /*! @brief Tells neighbours what changed and, in turn, what is quarantined;
     * called with each heartbeat. */
    void send_updates(time_point now)
    {
        ledger.expire(now);
        counters.set("requests_quarantined",
                     static_cast<double>(ledger.blocked_count()));
        const auto told =
            ledger.collect_updates(crash_ledger::max_records_per_datagram, now);
        if (!told.empty())
            tell(told);
    }

private:
    [[nodiscard]] static crash_limits limits()
    {
        crash_limits made;
        made.relays_records = true;
        return made;
    }

    void note(const request_content& what)
    {
        counters.count("quarantines_total");
        log::warning("request_quarantined", {{"content", what.hex()}});
    }

    metrics& counters;
    tell_callback tell;
    crash_ledger ledger;
};

} // namespace coursejunction::internal

#endif
