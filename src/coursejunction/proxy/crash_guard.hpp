/*! @file
 * @brief Keeps requests that crash upstreams from the upstreams of an entry.
 */
#ifndef COURSEJUNCTION_PROXY_CRASH_GUARD_HPP
#define COURSEJUNCTION_PROXY_CRASH_GUARD_HPP

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "coursejunction/core/log.hpp"
#include "coursejunction/core/request_content.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/metrics.hpp"
#include "coursejunction/net/stream_client.hpp"
#include "coursejunction/run/crash_ledger.hpp"
#include "coursejunction/run/crash_witness.hpp"

namespace coursejunction
{

/*! @brief Looks into lost connections, counts upstreams that ended under a
 * request together with the other entries, and says which requests are not sent
 * any more. */
class crash_guard
{
public:
    /*! @brief Told when a request is quarantined, here or by another entry. */
    using quarantine_callback = std::function<void(const request_content&)>;

    /*! @brief Told when other entries should hear of a record at once. */
    using news_callback = std::function<void()>;

    crash_guard(stream_client& carrier, metrics& counted,
                quarantine_callback call)
        : client(carrier), counters(counted), quarantined(std::move(call))
    {
    }

    /*! @brief Sets who tells other entries. */
    void on_news(news_callback call) { news = std::move(call); }

    [[nodiscard]] crash_standing standing(const request_content& what,
                                          time_point now) const
    {
        return ledger.standing(what, now);
    }

    /*! @brief Returns how long a request's quarantine still lasts. */
    [[nodiscard]] milliseconds left(const request_content& what,
                                    time_point now) const
    {
        return ledger.left(what, now);
    }

    /*! @brief The upstream closed an attempt's connection before its answer was
     * whole. Whether it ended itself is asked at its address.
     * @param life Of the upstream, as it is known. */
    void lost(const instance_id& upstream, const incarnation& life,
              const std::string& address, const request_content& what,
              time_point now)
    {
        if (!witness.lost(upstream, crash_of(upstream, life), what, now))
            return;
        client.probe(address,
                     [this, upstream](bool refused)
                     {
                         if (refused)
                             ended(upstream, "its address refuses connections");
                     });
    }

    /*! @brief An upstream was seen to have ended. */
    void ended(const instance_id& upstream, const std::string& why)
    {
        const auto now = event_loop::now();
        const auto accused = witness.ended(upstream, now);
        if (accused.empty())
            return;
        counters.count("upstreams_ended_under_requests_total");
        log::warning("upstream_ended",
                     {{"upstream", upstream.value()},
                      {"why", why},
                      {"requests", std::to_string(accused.size())}});
        for (const auto& one : accused)
        {
            if (ledger.accuse(one.content, one.end, now))
                note_quarantine(one.content, "upstreams ended under it here");
        }
        if (news)
            news();
    }

    /*! @brief An upstream answered a request in whole. */
    void answered(const request_content& what)
    {
        if (ledger.answered(what, event_loop::now()))
            log::state("request_cleared", {{"content", what.hex()}});
    }

    /*! @brief Takes records of another entry. */
    void take(const std::vector<message::crash_record>& told,
              const std::string& from)
    {
        const auto now = event_loop::now();
        for (const auto& one : told)
        {
            if (ledger.merge(one, now))
                note_quarantine(one.content, "told by " + from);
        }
    }

    /*! @brief Returns records for other entries. */
    [[nodiscard]] std::vector<message::crash_record> told()
    {
        return ledger.news(crash_ledger::most_told, event_loop::now());
    }

    /*! @brief Ends a quarantine, here and, by the next heartbeats, everywhere.
     * @return Whether there was one. */
    bool lift(const request_content& what)
    {
        const bool found = ledger.lift(what, event_loop::now());
        if (!found)
            return false;
        log::state("quarantine_lifted", {{"content", what.hex()}});
        if (news)
            news();
        return true;
    }

    /*! @brief Forgets what is past, and sets the gauges. */
    void tick(time_point now)
    {
        ledger.expire(now);
        counters.set("requests_quarantined",
                     static_cast<double>(ledger.quarantined(now)));
        counters.set("request_crash_records",
                     static_cast<double>(ledger.all().size()));
    }

    [[nodiscard]] const crash_ledger& records() const { return ledger; }

private:
    void note_quarantine(const request_content& what, const std::string& why)
    {
        counters.count("quarantines_total");
        log::warning("request_quarantined",
                     {{"content", what.hex()}, {"why", why}});
        quarantined(what);
    }

    stream_client& client;
    metrics& counters;
    quarantine_callback quarantined;
    news_callback news;
    crash_ledger ledger;
    crash_witness witness;
};

} // namespace coursejunction

#endif
