/*! @file
 * @brief Derives from the state of a request where and on which connections it
 * may be sent; pure. */
#ifndef COURSEJUNCTION_PROXY_PLACEMENT_CONSTRAINTS_HPP
#define COURSEJUNCTION_PROXY_PLACEMENT_CONSTRAINTS_HPP

#include <cstddef>
#include <utility>
#include <vector>

#include "coursejunction/proxy/exchange.hpp"
#include "coursejunction/proxy/exchange_facts.hpp"
#include "coursejunction/proxy/exchange_options.hpp"
#include "coursejunction/route/connection_share.hpp"
#include "coursejunction/route/placement.hpp"
#include "coursejunction/route/version_floor.hpp"

namespace coursejunction
{

/*! @brief Describes a request to the placement.
 * @param avoided Upstreams to use only as a last resort. */
[[nodiscard]] inline placement_request
make_placement_request(const exchange& request, const version_floor& minimums,
                       std::vector<instance_id> avoided, time_point now)
{
    placement_request placement;
    placement.service = request.service;
    placement.model = request.decoded.model;
    placement.prompt_tokens = request.decoded.prompt_tokens;
    placement.uses_pace = request.route->event_gap_target.count() > 0;
    placement.target = request.route->first_event_target;
    placement.arrival = request.arrival;
    placement.waiting_since =
        request.possible_runs > 0 ? request.failed_at : request.arrived_at;
    placement.deadline = request.deadline;
    placement.bypasses_limits =
        request.response_begun || request.connection_was_stale;
    placement.excluded = request.tried_upstreams;
    if (request.connection_was_stale)
        std::erase(placement.excluded, request.attempt.choice.upstream);
    placement.avoided = std::move(avoided);
    placement.may_reuse_excluded = request.upstream_errored;
    placement.regions = exchange_facts::regions_of(request);
    if (!request.decoded.model.empty())
        placement.min_version = minimums.minimum(request.decoded.model, now);
    return placement;
}

/*! @brief Returns whether the chosen model version is superseded within
 * `old_weights_reconnect_window`. Such an attempt opens a new connection: if
 * the link delays packets, the connection setup stalls, and the request is not
 * sent at all instead of too late. */
[[nodiscard]] inline bool is_superseded_soon(const exchange& request,
                                             const version_floor& minimums,
                                             const exchange_options& options,
                                             time_point now)
{
    const auto superseded_at = minimums.superseded_at(
        request.decoded.model, request.attempt.choice.version);
    return superseded_at &&
           *superseded_at - now < options.old_weights_reconnect_window;
}

/*! @brief Decides on which connections an attempt may be sent. A reused one may
 * already be closed at the other end, and then it is unknown whether the
 * request ran. An at-most-once request gets a new connection, and so does a
 * retry, which might otherwise use up its attempts on closed connections.
 * @param entries Number of entries that share the upstream's connections. */
inline void choose_connection(stream_call& call, const exchange& request,
                              const version_floor& minimums,
                              const exchange_options& options,
                              std::size_t entries, time_point now)
{
    call.may_reuse_connection =
        request.route->repeatable() && request.possible_runs == 0 &&
        !is_superseded_soon(request, minimums, options, now);
    call.max_connections = connection_share(
        exchange_facts::service_profile_of(request).max_connections, entries);
}

} // namespace coursejunction

#endif
