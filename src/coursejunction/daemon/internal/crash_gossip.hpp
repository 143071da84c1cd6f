/*! @file
 * @brief One process's ledger of requests that crash upstreams, replicated by
 * gossip with its neighbours.
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

/*! @brief Records the crashes that sidecars observe and gossips the records to
 * the neighbours. Does no I/O besides log lines and counters. */
class crash_gossip
{
public:
    /*! @brief Sends records to the neighbours. */
    using send_callback =
        std::function<void(const std::vector<message::crash_record>&)>;

    crash_gossip(metrics& counts, send_callback call)
        : counters(counts), send(std::move(call)), ledger(limits())
    {
    }

    [[nodiscard]] const crash_ledger& records() const { return ledger; }

    /*! @brief Returns whether a request is suspected or quarantined. */
    [[nodiscard]] crash_status status(const request_content& content,
                                      time_point now) const
    {
        return ledger.status(content, now);
    }

    /*! @brief Returns whether a process may run the trial of a request.
     * @param rank Place of this process in an order that all agree on. */
    [[nodiscard]] bool may_run_trial(const request_content& content,
                                     std::size_t rank, time_point now) const
    {
        return ledger.may_run_trial(content, rank, now);
    }

    /*! @brief Returns how many copies of a request may run at the same time.
     * @param owns_trials Whether this process runs the trials of the request.
     */
    [[nodiscard]] std::size_t max_running(const request_content& content,
                                          bool owns_trials,
                                          time_point now) const
    {
        return ledger.max_running(content, owns_trials, now);
    }

    /*! @brief Records that an upstream crashed while it ran some requests. */
    void record_crashes(const std::vector<crash_report>& reports,
                        time_point now)
    {
        for (const auto& report : reports)
        {
            log::state(
                "crash_evidence",
                {{"content", report.content.hex()},
                 {"evidence", std::string(evidence_name(report.evidence))}});
            if (ledger.record_crash(report.content, report.crash,
                                    report.evidence, now))
                log_quarantine(report.content);
        }
        send_updates(now);
    }

    /*! @brief Records that an upstream answered a request completely. */
    void record_response(const request_content& content, time_point now)
    {
        if (ledger.record_response(content, now))
            send_updates(now);
    }

    /*! @brief Merges a neighbour's records and forwards those that are new. */
    void merge(const std::vector<message::crash_record>& records,
               time_point now)
    {
        for (const auto& record : records)
        {
            if (ledger.merge(record, now))
                log_quarantine(record.content);
        }
        if (ledger.has_pending_updates())
            send_updates(now);
    }

    /*! @brief Ends a quarantine here and, through gossip, everywhere.
     * @return Whether the request was quarantined. */
    bool lift_quarantine(const request_content& content, time_point now)
    {
        if (!ledger.lift_quarantine(content, now))
            return false;
        log::state("quarantine_lifted", {{"content", content.hex()}});
        send_updates(now);
        return true;
    }

    /*! @brief Sends the neighbours the records that changed and, in rotation,
     * those that are quarantined; called with each heartbeat. */
    void send_updates(time_point now)
    {
        ledger.expire(now);
        counters.set("requests_quarantined",
                     static_cast<double>(ledger.blocked_count()));
        const auto updates =
            ledger.collect_updates(crash_ledger::max_records_per_datagram, now);
        if (!updates.empty())
            send(updates);
    }

private:
    [[nodiscard]] static crash_limits limits()
    {
        crash_limits set;
        set.relays_records = true;
        return set;
    }

    void log_quarantine(const request_content& content)
    {
        counters.count("quarantines_total");
        log::warning("request_quarantined", {{"content", content.hex()}});
    }

    metrics& counters;
    send_callback send;
    crash_ledger ledger;
};

} // namespace coursejunction::internal

#endif
