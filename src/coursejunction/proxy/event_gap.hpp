/*! @file
 * @brief Decides when the pause between two events of a stream is longer than
 * its route's target, and with what it is compared to estimate the pace of the
 * upstream; pure. Load pattern: an upstream slows down while it streams.
 */
#ifndef COURSEJUNCTION_PROXY_EVENT_GAP_HPP
#define COURSEJUNCTION_PROXY_EVENT_GAP_HPP

#include "coursejunction/fleet/installation.hpp"
#include "coursejunction/proxy/exchange.hpp"
#include "coursejunction/proxy/silence_rules.hpp"
#include "coursejunction/route/engine_estimate.hpp"

namespace coursejunction::event_gap
{

/*! @brief Returns when the pause since the last event exceeds the target of the
 * route; the latest possible time if it has none, if no event was received or
 * if this pause was counted already. */
[[nodiscard]] inline time_point exceeded_at(const exchange& request)
{
    const auto target = request.route->event_gap_target;
    const auto& attempt = request.attempt;
    if (target.count() == 0 || !silence_rules::apply_to(request) ||
        !attempt.has_events || !attempt.in_flight || attempt.gap_known)
        return time_point::max();
    return attempt.last_event_at + target;
}

/*! @brief Returns the usual time in ms between two events of an upstream, with
 * which a pause is compared to estimate the upstream's pace: one pass of a full
 * engine or, without an engine model, the target. */
[[nodiscard]] inline double usual_ms(const exchange& request,
                                     const service_profile& service)
{
    if (!service.engine)
        return static_cast<double>(request.route->event_gap_target.count());
    return service.engine->tokens_per_pass *
           step_ms(*service.engine, static_cast<double>(service.engine->slots));
}

} // namespace coursejunction::event_gap

#endif
