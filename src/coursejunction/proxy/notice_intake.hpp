/*! @file
 * @brief Applies what upstreams report about themselves, in responses here or
 * at other entries. */
#ifndef COURSEJUNCTION_PROXY_NOTICE_INTAKE_HPP
#define COURSEJUNCTION_PROXY_NOTICE_INTAKE_HPP

#include <string>

#include "coursejunction/net/metrics.hpp"
#include "coursejunction/proxy/exchange.hpp"
#include "coursejunction/proxy/exchange_log.hpp"
#include "coursejunction/proxy/terms_messages.hpp"
#include "coursejunction/route/upstream_choice.hpp"
#include "coursejunction/route/upstream_registry.hpp"

namespace coursejunction
{

/*! @brief Updates the terms of upstreams (whether one is leaving, its rate
 * limit and how long it backs off), logs changes and counts notices. */
class notice_intake
{
public:
    notice_intake(upstream_registry& upstreams, metrics& metric_counters)
        : book(upstreams), counters(metric_counters)
    {
    }

    /*! @brief Applies the notice in a response. It is read from the head of the
     * response, since a stream may end seconds later.
     * @param attempt The attempt, with the head of the response. */
    void apply_notice(const exchange& request, const upstream_attempt& attempt,
                      const upstream_notice& notice, time_point now)
    {
        const received_notice received{notice, attempt.sent_at,
                                       succeeded(attempt.response_head.status)};
        if (book.apply_notice(attempt.choice.upstream, received, now))
            log_terms(attempt.choice.upstream, now);
        if (notice.empty())
            return;
        count(notice);
        exchange_log::notice_received(request, attempt, notice);
    }

    /*! @brief Applies terms that another entry received.
     * @param from Address of that entry. */
    void apply_reported_terms(const message::upstream_terms& reported,
                              const std::string& from, time_point now)
    {
        const instance_id id(reported.upstream);
        if (book.apply_reported_terms(id, incarnation(reported.life),
                                      decode_terms(reported, now), from, now))
            log_terms(id, now);
    }

    /*! @brief Counts a request that waits or is refused while an upstream gets
     * none only because it is cold. */
    void count_held_back(const placement_failure& reason, const char* outcome)
    {
        if (reason.held_back > 0)
            counters.count("placements_held_back_total", 1,
                           {{"reason", "cold"}, {"then", outcome}});
    }

private:
    [[nodiscard]] static bool succeeded(int status)
    {
        constexpr int first_success = 200;
        constexpr int first_redirect = 300;
        return status >= first_success && status < first_redirect;
    }

    void count(const upstream_notice& notice)
    {
        const auto count_kind = [this](bool present, const char* kind)
        {
            if (present)
                counters.count("upstream_notices_total", 1, {{"kind", kind}});
        };
        count_kind(notice.leaving, "leaving");
        count_kind(notice.retry_after.has_value(), "rest");
        count_kind(notice.requests_per_second.has_value(), "limit");
        count_kind(notice.unreadable, "unreadable");
    }

    void log_terms(const instance_id& id, time_point now) const
    {
        if (const auto* known = book.find(id))
            exchange_log::terms_changed(*known, now);
    }

    upstream_registry& book;
    metrics& counters;
};

} // namespace coursejunction

#endif
