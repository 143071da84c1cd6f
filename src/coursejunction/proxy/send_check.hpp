/*! @file
 * @brief Checks right before a request is written to its upstream whether it
 * may still be sent there; pure. */
#ifndef COURSEJUNCTION_PROXY_SEND_CHECK_HPP
#define COURSEJUNCTION_PROXY_SEND_CHECK_HPP

#include <cstdint>
#include <string_view>

#include "coursejunction/proxy/exchange.hpp"
#include "coursejunction/route/upstream_registry.hpp"
#include "coursejunction/route/version_floor.hpp"

namespace coursejunction
{

/*! @brief Why a request must not be sent to the upstream that was chosen for
 * it. */
enum class send_obstacle : std::uint8_t
{
    none,
    removed,    /*!< The upstream's record was removed. */
    replaced,   /*!< Its id or address now belongs to something else. */
    leaving,    /*!< It accepts no new requests. */
    evacuated,  /*!< Its hall is evacuated. */
    closed,     /*!< It does not serve the model to new requests. */
    old_weights /*!< Its weights are older than the minimum version. */
};

/*! @brief Returns the name of an obstacle in snake_case. */
[[nodiscard]] constexpr std::string_view
send_obstacle_name(send_obstacle obstacle)
{
    switch (obstacle)
    {
    case send_obstacle::none:
        return "none";
    case send_obstacle::removed:
        return "removed";
    case send_obstacle::replaced:
        return "replaced";
    case send_obstacle::leaving:
        return "leaving";
    case send_obstacle::evacuated:
        return "evacuated";
    case send_obstacle::closed:
        return "closed";
    case send_obstacle::old_weights:
        return "old_weights";
    }
    return "unknown";
}

/*! @brief Returns why an attempt that was placed earlier must not be sent any
 * more. Each reason also excludes the upstream from the placement, so that a
 * request that is placed again does not get the same upstream. */
[[nodiscard]] inline send_obstacle check_send(const exchange& request,
                                              const upstream_attempt& attempt,
                                              const upstream_registry& registry,
                                              const version_floor& minimums,
                                              time_point now)
{
    const auto& choice = attempt.choice;
    const auto* known = registry.find(choice.upstream);
    if (known == nullptr)
        return send_obstacle::removed;
    if (known->record.service != request.service ||
        known->record.address != choice.address)
        return send_obstacle::replaced;
    if (known->leaving())
        return send_obstacle::leaving;
    if (known->evacuated)
        return send_obstacle::evacuated;
    const auto& model = request.decoded.model;
    if (model.empty())
        return send_obstacle::none;
    const auto served = upstream_registry::open_version(*known, model, now);
    if (served == 0)
        return send_obstacle::closed;
    // The attempt names the version that it was placed for.
    const auto minimum = minimums.minimum(model, now);
    return served < minimum || choice.version < minimum
               ? send_obstacle::old_weights
               : send_obstacle::none;
}

} // namespace coursejunction

#endif
