/*! @file
 * @brief Keeps a limit on requests that an upstream names for all entries
 * together; pure.
 *
 * Load pattern: an upstream in need takes one request a second, and up to
 * hundreds of entries have callers for it. Few entries hold a share each and
 * send at its pace; all others leave the upstream alone. They stand in, one
 * after the other, when no holder has had an answer for long: otherwise nobody
 * would notice that the limit is over.
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

/*! @brief What one entry may use of an upstream's limit. */
struct limit_share
{
    /*! @brief Requests a second; 0 for an entry that only stands in. */
    double per_second{0};
    /*! @brief Place among those that stand in, from 0; nothing above it may
     * send at all. */
    std::size_t standby_rank{not_standby};

    static constexpr std::size_t not_standby =
        std::numeric_limits<std::size_t>::max();

    [[nodiscard]] bool holds_share() const { return per_second > 0; }
};

/*! @brief Returns an entry's share of a limit. Each entry works the same
 * division out for itself. Holders are as many entries as the limit has whole
 * requests a second, of the upstream's hall where that has entries: shares of
 * less than one request a second would leave room unused.
 * @param own Address of the entry.
 * @param entries Those that take callers, in any order. */
[[nodiscard]] inline limit_share
share_of_limit(const instance_id& upstream, const hall_id& hall,
               double per_second, const std::string& own,
               const std::vector<entry_demand>& entries)
{
    const auto self =
        std::find_if(entries.begin(), entries.end(),
                     [&](const entry_demand& one) { return one.entry == own; });
    if (self == entries.end())
        return {};
    const auto weight = [&](const entry_demand& one)
    { return rendezvous_weight(upstream.value(), one.entry); };
    const auto own_weight = weight(*self);
    const bool near = self->hall == hall;
    std::size_t in_hall = 0;
    std::size_t before = 0;
    for (const auto& one : entries)
    {
        const bool one_near = one.hall == hall;
        in_hall += one_near ? 1 : 0;
        if (one_near != near)
            before += one_near ? 1 : 0;
        else
            before += weight(one) > own_weight ? 1 : 0;
    }
    // Nobody holds a limit of 0; its end is looked for all the same.
    if (per_second <= 0)
        return {0, before + 1};
    const auto most = in_hall > 0 ? in_hall : entries.size();
    const auto holders = static_cast<std::size_t>(
        std::clamp(std::floor(per_second), 1.0, static_cast<double>(most)));
    if (before < holders)
        return {per_second / static_cast<double>(holders), 0};
    return {0, before - holders + 1};
}

/*! @brief One upstream's limit at one entry. */
class request_limit
{
public:
    /*! @param at When an answer named it.
     * @param now When this entry knows of it. */
    request_limit(double per_second, time_point at, time_point now)
        : rate(per_second), named_at(at), known_at(now)
    {
    }

    /*! @brief Takes the newest word of the upstream. */
    void update(double per_second, time_point at)
    {
        rate = per_second;
        named_at = std::max(named_at, at);
    }

    /*! @brief Takes this entry's share. One that begins to hold a share has
     * nothing saved up: its predecessor may just have sent. */
    void set_share(const limit_share& next, time_point now)
    {
        const bool begins = next.holds_share() && !own.holds_share();
        own = next;
        if (begins)
            due = now + interval();
    }

    /*! @brief Notes a request that is sent there. */
    void record_send(time_point now)
    {
        sent_at = now;
        if (own.holds_share())
            due = std::max(due, now - interval()) + interval();
    }

    /*! @brief Returns from when on this entry may send a request there. */
    [[nodiscard]] time_point next_send_at() const
    {
        if (own.holds_share())
            return due;
        if (own.standby_rank == limit_share::not_standby)
            return time_point::max();
        return std::max(named_at, sent_at) +
               silence() * static_cast<std::int64_t>(own.standby_rank);
    }

    /*! @brief Returns requests a second of all entries together. */
    [[nodiscard]] double per_second() const { return rate; }
    [[nodiscard]] const limit_share& own_share() const { return own; }
    [[nodiscard]] time_point known_since() const { return known_at; }

private:
    /*! @brief Bounds the pauses of limits near zero: they would never be
     * noticed to be over. */
    static constexpr milliseconds longest_interval{30'000};

    /*! @brief A holder's answers reach all entries within this time, through
     * lost heartbeats. */
    static constexpr milliseconds least_silence{3000};

    [[nodiscard]] std::chrono::microseconds interval() const
    {
        const auto seconds =
            std::min(1 / std::max(own.per_second, 1e-9),
                     to_seconds(std::chrono::microseconds(longest_interval)));
        return from_seconds(seconds);
    }

    /*! @brief Returns for how long no answer must have come before the next
     * entry stands in. */
    [[nodiscard]] std::chrono::microseconds silence() const
    {
        const auto longest = to_seconds(longest_interval);
        const auto pause = std::min(2 / std::max(rate, 1e-9), longest);
        return std::max<std::chrono::microseconds>(least_silence,
                                                   from_seconds(pause));
    }

    double rate;
    limit_share own;
    time_point named_at; /*!< Lastly. */
    time_point known_at;
    time_point sent_at{};
    time_point due{};
};

} // namespace coursejunction

#endif
