/*! @file
 * @brief What follows from the state of one request alone; pure.
 */
#ifndef COURSEJUNCTION_PROXY_EXCHANGE_FACTS_HPP
#define COURSEJUNCTION_PROXY_EXCHANGE_FACTS_HPP

#include <string>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/core/request_content.hpp"
#include "coursejunction/proxy/crash_guard.hpp"
#include "coursejunction/proxy/exchange.hpp"
#include "coursejunction/route/refusal_memory.hpp"
#include "coursejunction/route/waiting_line.hpp"

namespace coursejunction::exchange_facts
{

/*! @brief Returns what is asked and by whom: by the organisation, or by the
 * key where the configuration names no owner. */
[[nodiscard]] inline request_content content_of(const exchange& request)
{
    const std::string caller = request.organisation
                                   ? request.organisation->value()
                                   : request.decoded.api_key.value_or("");
    return request_content::of(caller, request.original.target,
                               request.original.body);
}

/*! @brief Returns by what a caller is known when it comes back: its later
 * try repeats all but the id and what is left of the deadline. */
[[nodiscard]] inline request_fingerprint fingerprint_of(const exchange& request)
{
    const auto& decoded = request.decoded;
    return request_fingerprint(
        stable_hash(request.content.hex() + decoded.prompt_parts + "/" +
                    std::to_string(decoded.prompt_tokens) + "/" +
                    std::to_string(decoded.max_output_tokens) + "/" +
                    std::to_string(decoded.expected_output_tokens)));
}

/*! @brief Tells whether a status says that the configuration does not allow
 * a request. A caller believes that and does not come back, so an entry
 * that knows its configuration to be old says instead that it cannot tell.
 */
[[nodiscard]] inline bool is_denial(int status)
{
    return status == 404 || status == 401;
}

/*! @brief Returns a request's service; one that the configuration doesn't
 * describe has no engine. */
[[nodiscard]] inline const service_profile&
service_profile_of(const exchange& request)
{
    static const service_profile no_engine{};
    const auto* found = request.configuration->service(request.service);
    return found != nullptr ? *found : no_engine;
}

[[nodiscard]] inline waiting_request queue_entry(const exchange& request)
{
    return {request.arrival.late,
            request.arrived_at - request.arrival.past.waited +
                request.route->target,
            request.number};
}

[[nodiscard]] inline bool forwards_events(const exchange& request)
{
    return request.route->kind == request_kind::stream &&
           request.response_head.status == 200;
}

/*! @brief Tells whether the request may be sent once more although an
 * attempt may have run. */
[[nodiscard]] inline bool may_repeat(const exchange& request)
{
    return request.route->repeatable() &&
           request.possible_runs + 1 < request.route->most_upstreams;
}

/*! @brief Returns an attempt that was lost, as evidence against its request.
 * @param life Of the upstream, as it is known. */
[[nodiscard]] inline lost_attempt lost_attempt_of(const exchange& request,
                                                  const incarnation& life,
                                                  attempt_loss cause)
{
    const auto evidence = request.is_trial     ? end_evidence::trial
                          : request.has_events ? end_evidence::weak
                                               : end_evidence::beginning;
    const auto crash = crash_of(request.choice.upstream, life);
    return {request.choice.upstream,
            request.choice.address,
            {request.content, crash, evidence},
            cause};
}

} // namespace coursejunction::exchange_facts

#endif
