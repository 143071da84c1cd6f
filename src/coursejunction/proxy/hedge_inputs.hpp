/*! @file
 * @brief Derives the inputs of the decision on a second copy of a request from
 * its state; pure. */
#ifndef COURSEJUNCTION_PROXY_HEDGE_INPUTS_HPP
#define COURSEJUNCTION_PROXY_HEDGE_INPUTS_HPP

#include "coursejunction/proxy/exchange.hpp"
#include "coursejunction/proxy/silence_rules.hpp"
#include "coursejunction/route/hedge_decision.hpp"

namespace coursejunction::hedge_inputs
{

/*! @brief Returns whether a copy of a request may be considered: the route
 * names a target for pauses, its stream can be resumed, its first event is
 * awaited from a single upstream and no copy was sent yet. */
[[nodiscard]] inline bool apply_to(const exchange& request)
{
    return request.route->event_gap_target.count() > 0 &&
           request.route->resumable && silence_rules::apply_to(request) &&
           !request.hedged && !request.silent_attempt &&
           request.attempt.in_flight && !request.attempt.has_events &&
           !request.response_begun;
}

/*! @brief Describes the attempt in progress to the decision.
 * @param expected_ms Time in ms from its start until its first event, predicted
 * from what is known of its upstream now.
 */
[[nodiscard]] inline awaited_first_event
awaited_of(const exchange& request, double expected_ms, time_point now)
{
    constexpr double ms_per_second = 1000;
    const auto& attempt = request.attempt;
    awaited_first_event awaited;
    awaited.target_ms =
        static_cast<double>(request.route->first_event_target.count());
    awaited.waited_ms =
        to_seconds(attempt.sent_at - request.arrived_at) * ms_per_second +
        static_cast<double>(request.arrival.history.waited.count());
    awaited.elapsed_ms = to_seconds(now - attempt.sent_at) * ms_per_second;
    awaited.predicted_ms = attempt.choice.predicted_ms;
    awaited.expected_ms = expected_ms;
    return awaited;
}

/*! @brief Returns when to decide next whether the request gets a copy; the
 * latest possible time if none may be considered. */
[[nodiscard]] inline time_point next_check(const exchange& request,
                                           time_point now)
{
    if (!apply_to(request))
        return time_point::max();
    const auto after = next_judgement(
        awaited_of(request, request.attempt.choice.predicted_ms, now));
    return after ? request.attempt.sent_at + *after : time_point::max();
}

} // namespace coursejunction::hedge_inputs

#endif
