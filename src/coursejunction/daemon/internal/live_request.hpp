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

/*! @brief One request of a caller. */
struct live_request : entry_request
{
    std::uint64_t stream{0};
    std::uint32_t attempt{0};
    bool stream_begun{false};
    bool attempt_running{false};
    bool may_have_run{false}; /*!< An attempt may have run. */
    std::uint32_t received_parts{0};
    event_framer events; /*!< Those of them that the caller was given. */
    std::string buffered_body;
    std::string unsent_events; /*!< Whole events for the next flush. */
    time_point last_write_at{};
    instance_id upstream;
    request_content content;
    time_point arrived_at{};
    time_point attempt_started_at{};
    time_point deadline{};
    std::shared_ptr<http_reply> reply;
};

using live_request_pointer = std::shared_ptr<live_request>;

/*! @brief How an attempt, or the whole request, ended without answer. */
struct attempt_failure
{
    outcome result{outcome::unknown};
    refusal refused{refusal::none};
    int status{0};
    std::string reason;
    milliseconds retry_after{0};
};

/*! @brief Makes the order that an attempt at an upstream begins with.
 * @param left Time to the deadline; what has passed counts as the least. */
[[nodiscard]] message::dispatch make_dispatch(const live_request& one,
                                              milliseconds left);

} // namespace coursejunction::internal

#endif
