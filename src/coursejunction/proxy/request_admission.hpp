/*! @file
 * @brief Checks whether the configuration admits a request; pure.
 */
#ifndef COURSEJUNCTION_PROXY_REQUEST_ADMISSION_HPP
#define COURSEJUNCTION_PROXY_REQUEST_ADMISSION_HPP

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "coursejunction/fleet/installation.hpp"
#include "coursejunction/proxy/exchange.hpp"
#include "coursejunction/proxy/exchange_facts.hpp"

namespace coursejunction
{

/*! @brief Checks a request against a configuration and fills in what follows
 * from it: route, owner, service, deadline and the hashes of its content.
 * @param configuration Null if none was received yet.
 * @return 0, or the HTTP status with which to reject the request. */
[[nodiscard]] inline int
admit_request(exchange& request,
              std::shared_ptr<const installation> configuration)
{
    if (!configuration)
        return 503;
    request.configuration = std::move(configuration);
    request.route = request.configuration->route(request.decoded.host,
                                                 request.decoded.path);
    if (request.route == nullptr)
        return 404;
    request.owner = exchange_facts::owner_of(request);
    if (request.configuration->requires_key && !request.route->keyless)
    {
        if (request.owner == nullptr)
            return 401;
        request.organisation = request.owner->id;
    }
    if (request.decoded.id.empty())
        return 400;
    request.content = exchange_facts::content_of(request);
    request.fingerprint = exchange_facts::fingerprint_of(request);
    const auto hash = std::hash<std::string>{}(request.decoded.id.value());
    const auto* service = service_for(*request.route, hash);
    if (service == nullptr)
        return 503;
    request.service = *service;
    request.shared_parts = exchange_facts::shared_parts_of(request);
    request.last_progress = request.arrived_at;
    request.deadline = request.arrived_at + request.route->timeout;
    if (request.decoded.deadline)
        request.deadline = std::min<time_point>(
            request.deadline, request.arrived_at + *request.decoded.deadline);
    return 0;
}

} // namespace coursejunction

#endif
