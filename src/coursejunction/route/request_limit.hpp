/*! @file
 * @brief Keeps this entry within a rate limit that an upstream announced for
 * all entries together; pure.
 * Load pattern: an overloaded upstream accepts one request a second, while
 * hundreds of entries may have requests for it. A few holders have a share of
 * the limit each and send at that rate; all other entries send nothing. When no
 * holder has received a response for long, these standby entries send a
 * request, one after the other; otherwise no entry would notice the end of the
 * limit.
 */
#ifndef COURSEJUNCTION_ROUTE_REQUEST_LIMIT_HPP
#define COURSEJUNCTION_ROUTE_REQUEST_LIMIT_HPP

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <limits>
#include <string>
#include <vector>

#include "coursejunction/core/rendezvous.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/route/engine_shares.hpp"

namespace coursejunction
{

/*! @brief One entry's share of a rate limit. */
struct limit_share
{
    /*! @brief Requests a second; 0 for a standby entry. */
    double per_second{0};
    /*! @brief Position among the standby entries, from 1; 0 for a holder.
     * `may_not_send` for an entry that may send nothing at all. */
    std::size_t standby_rank{may_not_send};

    static constexpr std::size_t may_not_send =
        std::numeric_limits<std::size_t>::max();

    [[nodiscard]] bool holds_share() const { return per_second > 0; }
};

/*! @brief Returns an entry's share of a limit. Every entry computes the same
 * division. There are as many holders as the limit has whole requests a
 * second, at least one, as shares of less than one request a second would
 * leave a part of the limit unused. They are of the upstream's hall if that
 * has entries.
 * @param own Address of the entry.
 * @param entries Those that accept requests, in any order. */
[[nodiscard]] inline limit_share
share_of_limit(const instance_id& upstream, const hall_id& hall,
               double per_second, const std::string& own,
               const std::vector<entry_demand>& entries)
{
    const auto self = std::find_if(entries.begin(), entries.end(),
                                   [&](const entry_demand& entry)
                                   { return entry.address == own; });
    if (self == entries.end())
        return {};
    const auto weight = [&](const entry_demand& entry)
    { return rendezvous_weight(upstream.value(), entry.address); };
    const auto own_weight = weight(*self);
    const bool in_upstream_hall = self->hall == hall;
    std::size_t hall_entries = 0;
    std::size_t entries_before = 0;
    for (const auto& entry : entries)
    {
        const bool entry_in_hall = entry.hall == hall;
        hall_entries += entry_in_hall ? 1 : 0;
        if (entry_in_hall != in_upstream_hall)
            entries_before += entry_in_hall ? 1 : 0;
        else
            entries_before += weight(entry) > own_weight ? 1 : 0;
    }
    // Nobody holds a limit of 0, but its end must be noticed too.
    if (per_second <= 0)
        return {0, entries_before + 1};
    const auto max_holders = hall_entries > 0 ? hall_entries : entries.size();
    const auto holders = static_cast<std::size_t>(std::clamp(
        std::floor(per_second), 1.0, static_cast<double>(max_holders)));
    if (entries_before < holders)
        return {per_second / static_cast<double>(holders), 0};
    return {0, entries_before - holders + 1};
}

/*! @brief The rate limit of one upstream at one entry. */
class request_limit
{
public:
    /*! @param at When a response announced it.
     * @param now When this entry learnt of it. */
    request_limit(double per_second, time_point at, time_point now)
        : total_per_second(per_second), announced_at(at), known_at(now)
    {
    }

    /*! @brief Updates the limit to a newer announcement. */
    void update(double per_second, time_point at)
    {
        total_per_second = per_second;
        announced_at = std::max(announced_at, at);
    }

    /*! @brief Sets this entry's share. A new holder must wait one interval
     * first: the previous holder may just have sent. */
    void set_share(const limit_share& next, time_point now)
    {
        const bool begins = next.holds_share() && !own.holds_share();
        own = next;
        if (begins)
            next_due = now + interval();
    }

    /*! @brief Records that a request is sent there. A holder may catch up on
     * one unused interval, but not on more. */
    void record_send(time_point now)
    {
        sent_at = now;
        if (own.holds_share())
            next_due = std::max(next_due, now - interval()) + interval();
    }

    /*! @brief Returns when this entry may send its next request there. */
    [[nodiscard]] time_point next_send_at() const
    {
        if (own.holds_share())
            return next_due;
        if (own.standby_rank == limit_share::may_not_send)
            return time_point::max();
        return std::max(announced_at, sent_at) +
               silence() * static_cast<std::int64_t>(own.standby_rank);
    }

    /*! @brief Returns the requests a second allowed to all entries together. */
    [[nodiscard]] double per_second() const { return total_per_second; }
    [[nodiscard]] const limit_share& own_share() const { return own; }
    [[nodiscard]] time_point known_since() const { return known_at; }

private:
    /*! @brief Bounds the interval between requests at limits near zero;
     * otherwise their end would never be noticed. */
    static constexpr milliseconds max_interval{30'000};

    /*! @brief Within this time a holder's responses are reported to all
     * entries, even if heartbeats are lost. */
    static constexpr milliseconds min_silence{3000};

    [[nodiscard]] std::chrono::microseconds interval() const
    {
        const auto seconds =
            std::min(1 / std::max(own.per_second, 1e-9),
                     to_seconds(std::chrono::microseconds(max_interval)));
        return from_seconds(seconds);
    }

    /*! @brief Returns how long no response must have been reported before the
     * next standby entry sends. */
    [[nodiscard]] std::chrono::microseconds silence() const
    {
        const auto longest = to_seconds(max_interval);
        const auto two_intervals =
            std::min(2 / std::max(total_per_second, 1e-9), longest);
        return std::max<std::chrono::microseconds>(min_silence,
                                                   from_seconds(two_intervals));
    }

    double total_per_second;
    limit_share own;
    time_point announced_at; /*!< By the newest response. */
    time_point known_at;
    time_point sent_at{};
    time_point next_due{};
};

} // namespace coursejunction

#endif
