/*! @file
 * @brief Takes in what upstreams say of themselves, here and elsewhere.
 */
#ifndef COURSEJUNCTION_PROXY_NOTICE_INTAKE_HPP
#define COURSEJUNCTION_PROXY_NOTICE_INTAKE_HPP

#include <string>

#include "coursejunction/net/metrics.hpp"
#include "coursejunction/proxy/exchange.hpp"
#include "coursejunction/proxy/exchange_log.hpp"
#include "coursejunction/proxy/terms_messages.hpp"
#include "coursejunction/route/upstream_registry.hpp"

namespace coursejunction
{

/*! @brief Keeps the terms of upstreams, tells changes and counts notices. */
class notice_intake
{
public:
    notice_intake(upstream_registry& known, metrics& counted)
        : book(known), counters(counted)
    {
    }

    /*! @brief Takes what an answer says of its upstream. Its head tells it: a
     * stream may end seconds later.
     * @param one The request, with the head of the answer. */
    void heard(const exchange& one, const upstream_notice& notice,
               time_point now)
    {
        const received_notice heard{notice, one.sent,
                                    succeeded(one.head.status)};
        if (book.apply_notice(one.at.upstream, heard, now))
            log_terms(one.at.upstream, now);
        if (notice.empty())
            return;
        count(notice);
        exchange_log::noticed(one, notice);
    }

    /*! @brief Takes what an answer told another entry.
     * @param from Address of that entry. */
    void told(const message::upstream_terms& news, const std::string& from,
              time_point now)
    {
        const instance_id id(news.upstream);
        if (book.apply_reported_terms(id, incarnation(news.life),
                                      decode_terms(news, now), from, now))
            log_terms(id, now);
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
        const auto add = [this](bool is, const char* kind)
        {
            if (is)
                counters.count("upstream_notices_total", 1, {{"kind", kind}});
        };
        add(notice.leaving, "leaving");
        add(notice.retry_after.has_value(), "rest");
        add(notice.requests_per_second.has_value(), "limit");
        add(notice.unreadable, "unreadable");
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
