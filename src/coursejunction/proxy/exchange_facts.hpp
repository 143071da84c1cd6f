/*! @file
 * @brief Pure functions of the state of one request. */
#ifndef COURSEJUNCTION_PROXY_EXCHANGE_FACTS_HPP
#define COURSEJUNCTION_PROXY_EXCHANGE_FACTS_HPP

#include <algorithm>
#include <string>
#include <vector>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/core/request_content.hpp"
#include "coursejunction/proxy/crash_guard.hpp"
#include "coursejunction/proxy/exchange.hpp"
#include "coursejunction/route/placement_queue.hpp"
#include "coursejunction/route/recent_refusals.hpp"
#include "coursejunction/route/region_restriction.hpp"

namespace coursejunction::exchange_facts
{

/*! @brief Returns the owner of a request's API key, or null. */
[[nodiscard]] inline const organisation* owner_of(const exchange& request)
{
    return request.decoded.api_key
               ? request.configuration->owner(*request.decoded.api_key)
               : nullptr;
}

/*! @brief Returns the regions in which a request may be served. */
[[nodiscard]] inline region_restriction regions_of(const exchange& request)
{
    static const std::vector<region_id> any;
    return region_restriction::of(
        request.route->allowed_regions,
        request.owner != nullptr ? request.owner->allowed_regions : any);
}

/*! @brief Returns the hash that identifies copies of a request: of its target,
 * body and sender, which is the organisation or, where the configuration names
 * none, the API key. */
[[nodiscard]] inline request_content content_of(const exchange& request)
{
    const std::string caller = request.organisation
                                   ? request.organisation->value()
                                   : request.decoded.api_key.value_or("");
    return request_content::of(caller, request.original.target,
                               request.original.body);
}

/*! @brief Returns the digests of the parts of a request's prompt that other
 * requests may share. */
[[nodiscard]] inline std::vector<request_content>
shared_parts_of(const exchange& request)
{
    std::vector<request_content> parts;
    for (const auto& part : request.decoded.shared_parts)
        parts.push_back(
            request_content::of_part(request.service.value(), part));
    return parts;
}

/*! @brief Returns whether a request has a part of a prompt. */
[[nodiscard]] inline bool has_part(const exchange& request,
                                   const request_content& part)
{
    return std::find(request.shared_parts.begin(), request.shared_parts.end(),
                     part) != request.shared_parts.end();
}

/*! @brief Returns the hash by which a client retry is recognised: it repeats
 * everything except the id and the remaining deadline. */
[[nodiscard]] inline request_fingerprint fingerprint_of(const exchange& request)
{
    const auto& decoded = request.decoded;
    return request_fingerprint(
        stable_hash(request.content.hex() + decoded.prompt_parts + "/" +
                    std::to_string(decoded.prompt_tokens) + "/" +
                    std::to_string(decoded.max_output_tokens) + "/" +
                    std::to_string(decoded.expected_output_tokens)));
}

/*! @brief Returns whether a status says that the configuration denies a
 * request. Clients do not retry after such a status, so an entry with an
 * outdated configuration responds with 503 instead. */
[[nodiscard]] inline bool is_denial(int status)
{
    return status == 404 || status == 401;
}

/*! @brief Returns the profile of a request's service; a service that is not
 * configured has no engine. */
[[nodiscard]] inline const service_profile&
service_profile_of(const exchange& request)
{
    static const service_profile no_engine{};
    const auto* found = request.configuration->service(request.service);
    return found != nullptr ? *found : no_engine;
}

[[nodiscard]] inline waiting_request queue_entry(const exchange& request)
{
    return {request.arrival.rank, request.arrival.late,
            request.arrival.is_unexpected(),
            request.arrived_at - request.arrival.history.waited +
                request.route->first_event_target,
            request.number};
}

/*! @brief Returns the record by which a client retry of a refused request is
 * recognised. */
[[nodiscard]] inline refusal_record
refusal_of(const exchange& request, milliseconds retry_after, time_point now)
{
    refusal_record refusal;
    refusal.fingerprint = request.fingerprint;
    refusal.first_arrival = request.arrived_at - request.arrival.history.waited;
    if (request.decoded.deadline)
        refusal.deadline = request.arrived_at + *request.decoded.deadline;
    refusal.refused_at = now;
    refusal.retry_at = now + retry_after;
    return refusal;
}

[[nodiscard]] inline bool forwards_events(const exchange& request,
                                          const upstream_attempt& attempt)
{
    return request.route->kind == request_kind::stream &&
           attempt.response_head.status == 200;
}

/*! @brief Returns whether the request may be sent again after an attempt that
 * may have run. To be called before that attempt is counted in `possible_runs`.
 */
[[nodiscard]] inline bool may_repeat(const exchange& request)
{
    return request.route->repeatable() &&
           request.possible_runs + 1 < request.route->max_attempts;
}

/*! @brief Describes a lost attempt for crash detection.
 * @param known_incarnation Incarnation of the upstream, as far as it is known.
 */
[[nodiscard]] inline lost_attempt
lost_attempt_of(const exchange& request, const upstream_attempt& attempt,
                const incarnation& known_incarnation, loss_cause cause)
{
    const auto evidence = evidence_of(request.is_trial, attempt.has_events);
    const auto crash = crash_id_of(attempt.choice.upstream, known_incarnation);
    return {attempt.choice.upstream,
            attempt.choice.address,
            {request.content, crash, evidence, request.shared_parts,
             request.part_on_trial},
            cause};
}

} // namespace coursejunction::exchange_facts

#endif
