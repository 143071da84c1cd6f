/*! @file
 * @brief What an entry knows of one upstream.
 */
#ifndef COURSEJUNCTION_ROUTE_KNOWN_UPSTREAM_HPP
#define COURSEJUNCTION_ROUTE_KNOWN_UPSTREAM_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/installation.hpp"
#include "coursejunction/route/cold_start.hpp"
#include "coursejunction/route/upstream_departures.hpp"
#include "coursejunction/route/upstream_pace.hpp"
#include "coursejunction/route/upstream_terms.hpp"
#include "coursejunction/wire/fleet_message.hpp"

namespace coursejunction
{

/*! @brief An attempt of this entry that is in progress. */
struct open_attempt
{
    time_point sent_at{};
    double prompt_tokens{0};
    double profiled_ms{0};        /*!< Predicted time at the profiled pace; 0 if
                                     unknown. */
    bool first_event_seen{false}; /*!< The first event arrived. */
};

/*! @brief What the end of an attempt says of its upstream. */
enum class attempt_result : std::uint8_t
{
    succeeded,
    answered_failure, /*!< A complete response with an error of the upstream. */
    failed,           /*!< No complete response. */
    inconclusive      /*!< Its connection may have been closed before. */
};

/*! @brief An upstream and what was observed of it. */
struct known_upstream
{
    upstream_record record;
    incarnation life; /*!< Latest that its record or sidecar reported. */
    std::optional<message::upstream_status> status;
    time_point status_at{};
    /*! @brief When its sidecar sent the last heartbeat that arrived. The
     * sidecar of an engine that does not respond repeats the last status. */
    time_point side_heard_at{};
    /*! @brief When the last part of a response to this entry arrived. */
    time_point responded_at{};
    time_point last_sent_at{}; /*!< When this entry last sent it a request. */
    std::map<std::uint64_t, open_attempt> attempts;
    /*! @brief Attempts that ended since the last status and are counted in it.
     */
    std::size_t ended_since_status{0};
    unsigned failures{0};  /*!< Consecutive. */
    double fault_share{0}; /*!< Smoothed fraction of attempts that failed. */
    double lateness{1};    /*!< Smoothed ratio of observed to predicted time. */
    upstream_pace pace;    /*!< From recent first events of this entry. */
    time_point avoid_until{};
    std::optional<time_point> lapses_at; /*!< Set if its record may return. */
    /*! @brief Fraction of its slots, or of its rate limit or cold rate if it
     * has one, that belongs to this entry. */
    double share{0};
    upstream_terms terms;
    cold_start cold;

    /*! @brief A departure that the mirror does not show yet. */
    std::optional<upstream_departure> departure;

    bool evacuated{false}; /*!< Its hall is evacuated. */

    /*! @brief Returns when it last showed that it runs, by a status or by a
     * response to this entry; nothing if no sidecar has reported it. Without
     * one it shows nothing while it is idle. */
    [[nodiscard]] std::optional<time_point> last_heard_at() const
    {
        return status ? std::optional(std::max(status_at, responded_at))
                      : std::nullopt;
    }

    /*! @brief Returns whether requests may be sent there at all. */
    [[nodiscard]] bool accepts_requests() const
    {
        return !evacuated && !leaving();
    }

    /*! @brief Returns whether a status was sent before the last one, or by an
     * earlier incarnation. */
    [[nodiscard]] bool
    is_outdated(const message::upstream_status& reported) const
    {
        const incarnation reported_life(reported.life);
        return (status && std::tie(reported.side, reported.sequence) <=
                              std::tie(status->side, status->sequence)) ||
               (!reported_life.empty() && reported_life < life);
    }

    /*! @brief Returns when this entry may send its next request there, by its
     * terms and its cold start; a time in the past if that is now. */
    [[nodiscard]] time_point next_send_at(time_point now) const
    {
        if (!cold.active(now))
            return terms.next_send_at();
        const auto unanswered =
            std::count_if(attempts.begin(), attempts.end(),
                          [](const auto& attempt)
                          { return !attempt.second.first_event_seen; });
        return std::max(
            terms.next_send_at(),
            cold.next_send_at(static_cast<std::size_t>(unanswered)));
    }

    /*! @brief Returns whether it accepts no new requests: it said so, or its
     * record was removed. */
    [[nodiscard]] bool leaving() const
    {
        return departure.has_value() || announced_leaving();
    }

    /*! @brief Returns whether it said that it accepts no new requests, in its
     * record or its responses; either may say so first. */
    [[nodiscard]] bool announced_leaving() const
    {
        return record.leaving || terms.leaving() ||
               (departure && !departure->removed);
    }
};

/*! @brief Returns the factor by which an upstream is slower than its profile
 * now, from its reports, its recent first events and those that are awaited. */
[[nodiscard]] inline double pace_of(const known_upstream& upstream,
                                    time_point now)
{
    constexpr double ms = 1000;
    std::vector<double> awaited;
    for (const auto& [number, attempt] : upstream.attempts)
    {
        if (!attempt.first_event_seen && attempt.profiled_ms > 0)
            awaited.push_back(to_seconds(now - attempt.sent_at) * ms /
                              attempt.profiled_ms);
    }
    std::optional<reported_pace> report;
    if (upstream.status)
        report = reported_pace{upstream.status->pace, upstream.status_at};
    return upstream.pace.factor(report, awaited, now);
}

/*! @brief An incarnation of an upstream that ended because a later one started.
 */
struct ended_incarnation
{
    std::string address;
    std::vector<std::uint64_t> attempts; /*!< They get no response any more. */
    instance_id upstream;
    incarnation life; /*!< The one that ended. */
};

} // namespace coursejunction

#endif
