/*! @file
 * @brief Until when an upstream is cold, and when this entry may send its next
 * request there; pure.
 * Load pattern: an upstream has just started or become cold again, looks empty
 * to all entries at once, and accepts only some requests a second from all of
 * them together. Each entry keeps to its own share, at even intervals that
 * begin at different times at different entries. Unlike the end of an
 * announced rate limit, the end of a cold start is known from the clock, so
 * entries without a share send nothing.
 */
#ifndef COURSEJUNCTION_ROUTE_COLD_START_HPP
#define COURSEJUNCTION_ROUTE_COLD_START_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/route/request_limit.hpp"

namespace coursejunction
{

/*! @brief How the upstreams of a service start, from its configuration. */
struct cold_policy
{
    milliseconds duration{0}; /*!< Of a cold start. */
    /*! @brief Requests a second that a cold upstream accepts from all entries
     * together. */
    double per_second{0};

    /*! @brief Returns whether upstreams of the service are ever cold. */
    [[nodiscard]] bool enabled() const
    {
        return duration > milliseconds(0) && per_second > 0;
    }

    friend bool operator==(const cold_policy&, const cold_policy&) = default;
};

/*! @brief How an entry knows that an upstream is cold. */
enum class cold_source : std::uint8_t
{
    record,      /*!< Its record. */
    incarnation, /*!< A later incarnation was reported. */
    marked /*!< Another component said so: its hall returned to service. */
};

/*! @brief Returns the name of a source for logs. */
[[nodiscard]] inline std::string_view cold_source_name(cold_source source)
{
    switch (source)
    {
    case cold_source::record:
        return "record";
    case cold_source::incarnation:
        return "incarnation";
    case cold_source::marked:
        return "marked";
    }
    return "unknown";
}

/*! @brief The cold start of one upstream at one entry. */
class cold_start
{
public:
    /*! @brief Sets the policy of the upstream's service. */
    void set_policy(const cold_policy& next)
    {
        if (next != policy)
            own_share.reset();
        policy = next;
    }

    /*! @brief Applies the rest of a cold start that a record states. Zero ends
     * only what an earlier record stated: the first record of an incarnation
     * may have been written before the upstream counted itself as cold. */
    void apply_record(milliseconds remaining, time_point now)
    {
        if (remaining > milliseconds(0))
            set_end(now + remaining, cold_source::record, now);
        else if (known_from == cold_source::record)
            end_at = std::min(end_at, now);
    }

    /*! @brief Treats the upstream as cold until a time at least.
     * @param from Source; not `cold_source::record`. */
    void extend(time_point until, cold_source from, time_point now)
    {
        if (until > std::max(end_at, now))
            set_end(until, from, now);
    }

    /*! @brief Treats the upstream as cold for the time that its service takes,
     * counted from `began_at`. */
    void extend_from(time_point began_at, cold_source from, time_point now)
    {
        extend(began_at + policy.duration, from, now);
    }

    /*! @brief Returns whether requests to the upstream are restricted. */
    [[nodiscard]] bool active(time_point now) const
    {
        return policy.enabled() && now < end_at;
    }

    /*! @brief Returns whether a share is assigned for the current cold start.
     */
    [[nodiscard]] bool has_share() const { return own_share.has_value(); }

    /*! @brief Returns whether the share follows a revision of the division. */
    [[nodiscard]] bool has_share_of(std::uint64_t revision) const
    {
        return own_share && share_revision == revision;
    }

    /*! @brief Sets this entry's share of the rate. The first request of a cold
     * start is sent after a part of the interval that differs between entries,
     * so that they do not all send at once. It waits longer if the requests
     * that were sent in the last second exceed the share. An entry that
     * receives its share later waits a whole interval: the previous holder may
     * just have sent.
     * @param phase Part of the interval, from 0 to 1.
     * @param revision Of the division. */
    void set_share(const limit_share& next, double phase,
                   std::uint64_t revision, time_point now)
    {
        share_revision = revision;
        const bool first = !own_share;
        const bool begins =
            next.holds_share() && (first || !own_share->holds_share());
        own_share = next;
        if (!begins)
            return;
        if (!first)
        {
            next_due = now + interval();
            return;
        }
        next_due = {};
        for (const auto sent_at : recent_sends)
            advance_due(sent_at);
        const auto offset = from_seconds(to_seconds(interval()) * phase);
        next_due = std::max<time_point>(
            now + offset, std::min<time_point>(next_due, now + bound_period));
    }

    /*! @brief Ends the share of a cold start that is over. */
    void clear_share() { own_share.reset(); }

    /*! @brief Records that a request is sent there, whether or not it is cold:
     * it may become cold in the middle of a burst. A holder may catch up on
     * half an unused interval: more would let all holders together exceed the
     * bound. */
    void record_send(time_point now)
    {
        if (!policy.enabled())
            return;
        std::erase_if(recent_sends, [&](time_point sent_at)
                      { return now - sent_at > bound_period; });
        if (recent_sends.size() == max_recent_sends)
            recent_sends.erase(recent_sends.begin());
        recent_sends.push_back(now);
        if (own_share && own_share->holds_share())
            advance_due(now);
    }

    /*! @brief Returns when this entry may send its next request there; a time
     * in the past if that is now.
     * @param unanswered Requests of this entry there without a first event. */
    [[nodiscard]] time_point next_send_at(std::size_t unanswered = 0) const
    {
        if (!policy.enabled())
            return {};
        if (!own_share || !own_share->holds_share() ||
            static_cast<double>(unanswered) >= max_unanswered())
            return end_at;
        return std::min(next_due, end_at);
    }

    /*! @brief Returns this entry's fraction of the rate. */
    [[nodiscard]] double fraction() const
    {
        return own_share ? std::min(1.0, share_per_second() / policy.per_second)
                         : 0;
    }

    /*! @brief Returns this entry's share in requests a second. */
    [[nodiscard]] double share_per_second() const
    {
        return own_share ? own_share->per_second : 0;
    }

    /*! @brief Returns the requests a second that all entries may send. */
    [[nodiscard]] double per_second() const { return policy.per_second; }
    [[nodiscard]] time_point ends_at() const { return end_at; }
    [[nodiscard]] cold_source source() const { return known_from; }

private:
    /*! @brief The bound on a cold upstream counts arrivals in one second. */
    static constexpr milliseconds bound_period{1000};

    /*! @brief Bounds the memory for an upstream. A cold one receives fewer
     * requests in one second. */
    static constexpr std::size_t max_recent_sends = 64;

    /*! @brief Requests that may be unanswered at a time, as the seconds in
     * which the share allows them. They arrive at once after a stall of the
     * network, and the bound allows for those of half a second. */
    static constexpr double unanswered_seconds = 0.5;

    void set_end(time_point until, cold_source from, time_point now)
    {
        if (now >= end_at)
            own_share.reset();
        end_at = until;
        known_from = from;
    }

    [[nodiscard]] std::chrono::microseconds interval() const
    {
        return from_seconds(1 / std::max(share_per_second(), 1e-3));
    }

    [[nodiscard]] double max_unanswered() const
    {
        constexpr double least = 2;
        return std::max(least, share_per_second() * unanswered_seconds);
    }

    /*! @brief Sets when the request after one sent at `sent_at` is due. */
    void advance_due(time_point sent_at)
    {
        next_due = std::max<time_point>(next_due, sent_at - interval() / 2) +
                   interval();
    }

    cold_policy policy;
    time_point end_at{};
    cold_source known_from{cold_source::record};
    std::optional<limit_share> own_share;
    std::uint64_t share_revision{0};
    time_point next_due{};
    std::vector<time_point> recent_sends; /*!< In the last second. */
};

} // namespace coursejunction

#endif
