/*! @file
 * @brief A caller's request while it is in progress.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_LIVE_REQUEST_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_LIVE_REQUEST_HPP

#include <cstdint>
#include <memory>
#include <string>

#include "coursejunction/core/request_content.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/daemon/entry_request.hpp"
#include "coursejunction/daemon/internal/event_framer.hpp"
#include "coursejunction/net/http_server.hpp"
#include "coursejunction/wire/codec.hpp"

namespace coursejunction::internal
{

/*! @brief One request of a caller, with the state of its current attempt and of
 * the response. */
struct live_request : entry_request
{
    std::uint64_t stream{0};  /*!< Number of the request at this entry. */
    std::uint32_t attempt{0}; /*!< Number of the current attempt; from 1. */
    bool stream_begun{false}; /*!< The caller has got the response headers. */
    bool attempt_running{false};
    bool may_have_run{false};        /*!< Some attempt may have run. */
    std::uint32_t received_parts{0}; /*!< Of the current attempt. */
    event_framer events;             /*!< Frames the response into events. */
    std::string buffered_body;       /*!< Response that is not streamed. */
    std::string unsent_events;       /*!< Complete events for the next flush. */
    time_point last_write_at{};
    instance_id upstream;
    request_content content;
    time_point arrived_at{};
    time_point attempt_started_at{};
    time_point deadline{};
    std::shared_ptr<http_reply> reply;
};

using live_request_pointer = std::shared_ptr<live_request>;

/*! @brief Why an attempt, or the whole request, got no response. */
struct attempt_failure
{
    outcome result{outcome::unknown};
    refusal refused{refusal::none};
    int status{0}; /*!< HTTP status for the caller; 0 for the default. */
    std::string reason;
    milliseconds retry_after{0};
};

/*! @brief Makes the message that starts an attempt at an upstream.
 * @param left Time until the deadline; sent as at least 1 ms. */
[[nodiscard]] message::dispatch make_dispatch(const live_request& request,
                                              milliseconds left);

} // namespace coursejunction::internal

#endif
