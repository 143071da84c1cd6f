/*! @file
 * @brief Decides what a complete response of an upstream means for its request;
 * pure. */
#ifndef COURSEJUNCTION_PROXY_RESPONSE_RULES_HPP
#define COURSEJUNCTION_PROXY_RESPONSE_RULES_HPP

#include <algorithm>
#include <array>
#include <utility>

#include "coursejunction/proxy/attempt_end.hpp"
#include "coursejunction/proxy/exchange.hpp"
#include "coursejunction/proxy/exchange_facts.hpp"
#include "coursejunction/proxy/request_codec.hpp"
#include "coursejunction/route/known_upstream.hpp"

namespace coursejunction::response_rules
{

/*! @brief First HTTP status of a server error. */
inline constexpr int server_error = 500;

/*! @brief Returns whether callers take a status as a promise that the request
 * did not run. */
[[nodiscard]] inline bool promises_not_run(int status)
{
    constexpr std::array<int, 4> promising{408, 421, 429, 503};
    return std::find(promising.begin(), promising.end(), status) !=
           promising.end();
}

/*! @brief Returns why the head of a response is not trusted; null if it is: it
 * belongs to the request, and a success is signed by the upstream. */
[[nodiscard]] inline const char* distrust(const request_id& asked, int status,
                                          const response_metadata& metadata)
{
    constexpr int success_class = 2;
    constexpr int class_size = 100;
    if (metadata.not_run)
        return nullptr;
    if (metadata.id != asked)
        return "response carries another request's id";
    return status / class_size == success_class && !metadata.has_signature
               ? "success without the upstream's signature"
               : nullptr;
}

/*! @brief Returns whether an attempt's complete response may be the final one:
 * a stream of events, or, unless one has begun, a client error.
 * @param metadata Decoded from the head of the response. */
[[nodiscard]] inline bool is_final(const exchange& request,
                                   const upstream_attempt& attempt,
                                   const response_metadata& metadata)
{
    const int status = attempt.response_head.status;
    if (metadata.not_run || metadata.id != request.decoded.id)
        return false;
    return exchange_facts::forwards_events(request, attempt) ||
           (!request.response_begun && status < server_error &&
            !promises_not_run(status));
}

/*! @brief Keeps a server error for the case that no attempt succeeds. */
inline void keep_error_response(exchange& request, upstream_attempt& attempt,
                                const response_metadata& metadata)
{
    if (request.response_begun || metadata.not_run ||
        metadata.id != request.decoded.id ||
        attempt.response_head.status < server_error)
        return;
    request.error_response_head = attempt.response_head;
    request.error_response_body = std::move(attempt.response_body);
}

/*! @brief Returns whether an attempt may have run, by how its call ended. */
[[nodiscard]] inline attempt_failure failure_of(end_verdict verdict)
{
    if (verdict == end_verdict::not_sent)
        return attempt_failure::not_sent;
    return verdict == end_verdict::stale ? attempt_failure::stale_connection
                                         : attempt_failure::may_have_run;
}

/*! @brief Returns whether an attempt may have ended because its upstream
 * crashed. */
[[nodiscard]] inline bool may_be_crash(end_verdict verdict)
{
    return verdict == end_verdict::broken_off || verdict == end_verdict::stale;
}

/*! @brief Describes the end of an attempt's call.
 * @param known Its upstream; null if it is not known any more. */
[[nodiscard]] inline attempt_end describe_end(const exchange& request,
                                              const upstream_attempt& attempt,
                                              const response_metadata& metadata,
                                              const known_upstream* known)
{
    attempt_end described;
    described.end = *attempt.response_end;
    described.is_stream = exchange_facts::forwards_events(request, attempt);
    described.has_event = attempt.events.event_count() > 0;
    described.inside_event = attempt.events.inside_event();
    described.settled_by_head = metadata.not_run;
    described.upstream_leaves = known != nullptr && known->announced_leaving();
    return described;
}

} // namespace coursejunction::response_rules

#endif
