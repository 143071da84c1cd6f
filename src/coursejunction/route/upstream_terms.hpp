/*! @file
 * @brief The terms on which an upstream takes requests of this entry, from what
 * it says of itself in its answers; pure.
 *
 * A further word of upstreams is one more field of `upstream_notice` and one
 * more bound here: everything that is sent to an upstream is chosen by
 * `placer`, which asks `leaving` and `opens`.
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

/*! @brief An answer of an upstream, as far as it speaks of its terms. */
struct received_notice
{
    upstream_notice notice;
    time_point sent_at{}; /*!< When the request was sent. */
    bool succeeded{
        false}; /*!< Only such an answer shows that a limit is over. */
};

/*! @brief What one entry's answers told, for the others. */
struct reported_terms
{
    bool leaving{false};
    std::optional<double> per_second; /*!< Nothing: no limit is named. */
    time_point received_at{};         /*!< When the answer came. */
};

/*! @brief Terms of one life of an upstream. */
class upstream_terms
{
public:
    /*! @brief How long an entry repeats what an answer told it: several
     * heartbeats, some of which may be lost. */
    static constexpr milliseconds report_period{1000};

    /*! @brief Takes an answer of the upstream.
     * @return Whether the terms changed. */
    bool apply_notice(const received_notice& one, time_point now)
    {
        const bool leaves = one.notice.leaving && leave(own_source, now);
        if (leaves)
            told_at = now;
        const bool rests =
            one.notice.retry_after && rest(*one.notice.retry_after, now);
        return heard_limit(one, now) || leaves || rests;
    }

    /*! @brief Takes what another entry's answers told; what is older than the
     * newest word that is known changes nothing.
     * @return Whether the terms changed. */
    bool apply_report(const reported_terms& one, const std::string& from,
                      time_point now)
    {
        const bool leaves = one.leaving && leave(from, now);
        return told_limit(one, from, now) || leaves;
    }

    /*! @brief Notes a request that is sent there. */
    void record_send(time_point now)
    {
        if (bound)
            bound->record_send(now);
    }

    /*! @brief Takes this entry's share of the limit, where there is one. */
    void set_share(const limit_share& own, time_point now)
    {
        if (bound)
            bound->set_share(own, now);
    }

    /*! @brief Tells whether it said that it leaves: it wants no new work. */
    [[nodiscard]] bool leaving() const { return leaves; }

    /*! @brief Tells whether any of them keeps requests away. */
    [[nodiscard]] bool restrict_sends(time_point now) const
    {
        return leaves || bound || now < rests_until;
    }

    /*! @brief Returns from when on a request may be sent there; a moment in the
     * past when it may be now. */
    [[nodiscard]] time_point next_send_at() const
    {
        return std::max(rests_until,
                        bound ? bound->next_send_at() : time_point{});
    }

    /*! @brief Returns until when it wants nothing from this entry. */
    [[nodiscard]] time_point backoff_until() const { return rests_until; }

    /*! @brief Returns what to tell other entries, while it is news. */
    [[nodiscard]] std::optional<reported_terms>
    pending_report(time_point now) const
    {
        if (told_at == time_point{} || now - told_at > report_period)
            return std::nullopt;
        reported_terms made;
        made.leaving = leaves;
        if (bound)
            made.per_second = bound->per_second();
        made.received_at = observed_at;
        return made;
    }

    [[nodiscard]] const std::optional<request_limit>& limit() const
    {
        return bound;
    }

    /*! @brief Returns since when the present terms hold here. */
    [[nodiscard]] time_point since() const { return known_since; }

    /*! @brief Returns who told them: an entry's address, or `answer`. */
    [[nodiscard]] const std::string& told_by() const { return source; }

private:
    static constexpr const char* own_source = "answer";

    /*! @brief A life of an upstream that leaves does not come back: nothing
     * takes that word back, and no answer without it. */
    bool leave(const std::string& from, time_point now)
    {
        if (leaves)
            return false;
        leaves = true;
        known_since = now;
        source = from;
        return true;
    }

    /*! @brief A rest is asked of this entry alone, and a shorter one does not
     * shorten it.
     * @return Whether it rested not yet. */
    bool rest(milliseconds length, time_point now)
    {
        const bool begins = now >= rests_until;
        rests_until = std::max<time_point>(rests_until, now + length);
        if (begins)
        {
            known_since = now;
            source = own_source;
        }
        return begins;
    }

    bool heard_limit(const received_notice& one, time_point now)
    {
        if (const auto& per_second = one.notice.requests_per_second)
            return named(*per_second, now);
        // An answer to a request from before the limit was known may have been
        // on its way when the upstream named it.
        if (!bound || !one.succeeded || one.notice.unreadable ||
            one.sent_at <= bound->known_since())
            return false;
        bound.reset();
        observed_at = told_at = known_since = now;
        source = own_source;
        return true;
    }

    bool told_limit(const reported_terms& one, const std::string& from,
                    time_point now)
    {
        if (one.received_at <= observed_at)
            return false;
        observed_at = one.received_at;
        if (one.per_second)
            return take_limit(*one.per_second, one.received_at, from, now);
        if (!bound)
            return false;
        bound.reset();
        known_since = now;
        source = from;
        return true;
    }

    bool named(double per_second, time_point now)
    {
        const bool changed = take_limit(per_second, now, own_source, now);
        observed_at = now;
        // Only a holder's answers are news while the limit stays as it is.
        if (changed || bound->own_share().holds_share())
            told_at = now;
        return changed;
    }

    bool take_limit(double per_second, time_point at, const std::string& from,
                    time_point now)
    {
        const bool changed = !bound || bound->per_second() != per_second;
        if (!bound)
            bound.emplace(per_second, at, now);
        bound->update(per_second, at);
        if (!changed)
            return false;
        known_since = now;
        source = from;
        return true;
    }

    bool leaves{false};
    time_point rests_until{};
    std::optional<request_limit> bound;
    time_point observed_at{}; /*!< When the newest answer came, to whomever. */
    time_point told_at{};     /*!< When an own answer was news. */
    time_point known_since{};
    std::string source;
};

} // namespace coursejunction

#endif
