/*! @file
 * @brief The terms on which an upstream accepts requests of this entry, as its
 * responses announce them: that it is leaving, a back-off and a rate limit;
 * pure.
 * To support another announcement, add a field to `upstream_notice` and a
 * restriction here: `placer` selects the upstream of every request and checks
 * `leaving` and `next_send_at`.
 */
#ifndef COURSEJUNCTION_ROUTE_UPSTREAM_TERMS_HPP
#define COURSEJUNCTION_ROUTE_UPSTREAM_TERMS_HPP

#include <algorithm>
#include <optional>
#include <string>

#include "coursejunction/core/types.hpp"
#include "coursejunction/route/request_limit.hpp"
#include "coursejunction/route/upstream_notice.hpp"

namespace coursejunction
{

/*! @brief What a response of an upstream announced. */
struct received_notice
{
    upstream_notice notice;
    time_point request_sent_at{}; /*!< When the request was sent. */
    bool succeeded{false}; /*!< Success without a limit ends a known limit. */
};

/*! @brief Terms that an entry received in responses, as it reports them to
 * others. */
struct reported_terms
{
    bool leaving{false};
    std::optional<double> per_second; /*!< Nothing: there is no limit. */
    time_point received_at{};         /*!< When the response arrived. */
};

/*! @brief Terms of one incarnation of an upstream. */
class upstream_terms
{
public:
    /*! @brief How long an entry reports a change that it learnt from a
     * response: several heartbeats, since some may be lost. */
    static constexpr milliseconds report_period{1000};

    /*! @brief Applies a response of the upstream.
     * @return Whether the terms changed. */
    bool apply_notice(const received_notice& response, time_point now)
    {
        const bool leaving_changed =
            response.notice.leaving && set_leaving(response_source, now);
        if (leaving_changed)
            reportable_at = now;
        const bool backoff_began = response.notice.retry_after &&
                                   back_off(*response.notice.retry_after, now);
        return apply_announced_limit(response, now) || leaving_changed ||
               backoff_began;
    }

    /*! @brief Applies terms that another entry reported; ignores a limit that
     * is older than the newest known one.
     * @return Whether the terms changed. */
    bool apply_report(const reported_terms& report, const std::string& from,
                      time_point now)
    {
        const bool leaving_changed = report.leaving && set_leaving(from, now);
        return apply_reported_limit(report, from, now) || leaving_changed;
    }

    /*! @brief Records that a request is sent there. */
    void record_send(time_point now)
    {
        if (rate_limit)
            rate_limit->record_send(now);
    }

    /*! @brief Sets this entry's share of the rate limit, if there is a limit.
     */
    void set_share(const limit_share& own, time_point now)
    {
        if (rate_limit)
            rate_limit->set_share(own, now);
    }

    /*! @brief Returns whether it announced that it is leaving: it accepts no
     * new requests. */
    [[nodiscard]] bool leaving() const { return is_leaving; }

    /*! @brief Returns whether any of the terms restricts requests. */
    [[nodiscard]] bool restricts_sends(time_point now) const
    {
        return is_leaving || rate_limit || now < backoff_end;
    }

    /*! @brief Returns when the next request may be sent there; a time in the
     * past if that is now. */
    [[nodiscard]] time_point next_send_at() const
    {
        return std::max(backoff_end,
                        rate_limit ? rate_limit->next_send_at() : time_point{});
    }

    /*! @brief Returns until when it asked this entry to send nothing. */
    [[nodiscard]] time_point backoff_until() const { return backoff_end; }

    /*! @brief Returns the terms to report to other entries; nothing if they
     * have not changed recently. */
    [[nodiscard]] std::optional<reported_terms>
    pending_report(time_point now) const
    {
        if (reportable_at == time_point{} ||
            now - reportable_at > report_period)
            return std::nullopt;
        reported_terms result;
        result.leaving = is_leaving;
        if (rate_limit)
            result.per_second = rate_limit->per_second();
        result.received_at = newest_response_at;
        return result;
    }

    [[nodiscard]] const std::optional<request_limit>& limit() const
    {
        return rate_limit;
    }

    /*! @brief Returns when this entry learnt the current terms. */
    [[nodiscard]] time_point since() const { return known_since; }

    /*! @brief Returns who announced the current terms: the address of the entry
     * that reported them, or `answer` if a response to this entry did. */
    [[nodiscard]] const std::string& told_by() const { return source; }

private:
    static constexpr const char* response_source = "answer";

    /*! @brief Marks it as leaving permanently: an incarnation that leaves does
     * not come back, so a later response without the announcement does not
     * revoke it. */
    bool set_leaving(const std::string& from, time_point now)
    {
        if (is_leaving)
            return false;
        is_leaving = true;
        known_since = now;
        source = from;
        return true;
    }

    /*! @brief Starts or extends a back-off. It applies to this entry only, and
     * a shorter one does not shorten it.
     * @return Whether no back-off was in effect. */
    bool back_off(milliseconds length, time_point now)
    {
        const bool begins = now >= backoff_end;
        backoff_end = std::max<time_point>(backoff_end, now + length);
        if (begins)
        {
            known_since = now;
            source = response_source;
        }
        return begins;
    }

    bool apply_announced_limit(const received_notice& response, time_point now)
    {
        if (const auto& per_second = response.notice.requests_per_second)
            return set_announced_limit(*per_second, now);
        // A request sent before the limit was known may have been answered
        // before the upstream announced it.
        if (!rate_limit || !response.succeeded || response.notice.unreadable ||
            response.request_sent_at <= rate_limit->known_since())
            return false;
        rate_limit.reset();
        newest_response_at = reportable_at = known_since = now;
        source = response_source;
        return true;
    }

    bool apply_reported_limit(const reported_terms& report,
                              const std::string& from, time_point now)
    {
        if (report.received_at <= newest_response_at)
            return false;
        newest_response_at = report.received_at;
        if (report.per_second)
            return set_limit(*report.per_second, report.received_at, from, now);
        if (!rate_limit)
            return false;
        rate_limit.reset();
        known_since = now;
        source = from;
        return true;
    }

    bool set_announced_limit(double per_second, time_point now)
    {
        const bool changed = set_limit(per_second, now, response_source, now);
        newest_response_at = now;
        // While the limit is unchanged, only responses to its holders are
        // reported.
        if (changed || rate_limit->own_share().holds_share())
            reportable_at = now;
        return changed;
    }

    bool set_limit(double per_second, time_point at, const std::string& from,
                   time_point now)
    {
        const bool changed =
            !rate_limit || rate_limit->per_second() != per_second;
        if (!rate_limit)
            rate_limit.emplace(per_second, at, now);
        rate_limit->update(per_second, at);
        if (!changed)
            return false;
        known_since = now;
        source = from;
        return true;
    }

    bool is_leaving{false};
    time_point backoff_end{};
    std::optional<request_limit> rate_limit;
    time_point newest_response_at{}; /*!< To any entry. */
    time_point reportable_at{}; /*!< Last own response that others must know. */
    time_point known_since{};
    std::string source;
};

} // namespace coursejunction

#endif
