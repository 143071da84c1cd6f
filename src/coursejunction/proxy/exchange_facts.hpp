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
#include "coursejunction/route/placement_queue.hpp"
#include "coursejunction/route/recent_refusals.hpp"

namespace coursejunction::exchange_facts
{

/*! @brief Returns what is asked and by whom: by the organisation, or by the
 * key where the configuration names no owner. */
[[nodiscard]] inline request_content content_of(const exchange& one)
{
    const std::string caller =
        one.owner ? one.owner->value() : one.asked.api_key.value_or("");
    return request_content::of(caller, one.original.target, one.original.body);
}

/*! @brief Returns by what a caller is known when it comes back: its later
 * try repeats all but the id and what is left of the deadline. */
[[nodiscard]] inline request_fingerprint fingerprint_of(const exchange& one)
{
    const auto& asked = one.asked;
    return request_fingerprint(
        stable_hash(one.content.hex() + asked.prompt_parts + "/" +
                    std::to_string(asked.prompt_tokens) + "/" +
                    std::to_string(asked.max_output_tokens) + "/" +
                    std::to_string(asked.expected_output_tokens)));
}

/*! @brief Tells whether a status says that the configuration does not allow
 * a request. A caller believes that and does not come back, so an entry
 * that knows its configuration to be old says instead that it cannot tell.
 */
[[nodiscard]] inline bool denies(int status)
{
    return status == 404 || status == 401;
}

/*! @brief Returns a request's service; one that the configuration doesn't
 * describe has no engine. */
[[nodiscard]] inline const service_profile& profile_of(const exchange& one)
{
    static const service_profile plain{};
    const auto* found = one.rules->service(one.service);
    return found != nullptr ? *found : plain;
}

[[nodiscard]] inline waiting_request place_in_line(const exchange& one)
{
    return {one.standing.late,
            one.arrived - one.standing.history.waited +
                one.route->first_event_target,
            one.number};
}

[[nodiscard]] inline bool passes_events(const exchange& one)
{
    return one.route->kind == request_kind::stream && one.head.status == 200;
}

/*! @brief Tells whether the request may be sent once more although an
 * attempt may have run. */
[[nodiscard]] inline bool may_repeat(const exchange& one)
{
    return one.route->repeatable() && one.runs + 1 < one.route->max_attempts;
}

/*! @brief Returns an attempt that was lost, as evidence against its request.
 * @param life Of the upstream, as it is known. */
[[nodiscard]] inline lost_attempt
lost_attempt_of(const exchange& one, const incarnation& life, loss_cause how)
{
    const auto evidence = one.trial        ? crash_evidence::trial
                          : one.progressed ? crash_evidence::mid_response
                                           : crash_evidence::before_response;
    const auto end = crash_id_of(one.at.upstream, life);
    return {one.at.upstream, one.at.address, {one.content, end, evidence}, how};
}

} // namespace coursejunction::exchange_facts

#endif
