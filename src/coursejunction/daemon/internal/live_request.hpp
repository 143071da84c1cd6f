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
#include "coursejunction/daemon/internal/answer_events.hpp"
#include "coursejunction/net/http_server.hpp"
#include "coursejunction/wire/codec.hpp"

namespace coursejunction::internal
{

/*! @brief One request of a caller. */
struct live_request : entry_request
{
    std::uint64_t stream{0};
    std::uint32_t attempt{0};
    bool begun{false};
    bool running{false};
    bool maybe_ran{false}; /*!< An attempt may have run. */
    std::uint32_t parts{0};
    answer_events events; /*!< Those of them that the caller was given. */
    std::string gathered;
    std::string held; /*!< Whole events for the next flush. */
    time_point given_at{};
    instance_id upstream;
    request_content content;
    time_point arrived{};
    time_point started{};
    time_point deadline{};
    std::shared_ptr<http_reply> reply;
};

using live_pointer = std::shared_ptr<live_request>;

/*! @brief How an attempt, or the whole request, ended without answer. */
struct attempt_end
{
    outcome result{outcome::unknown};
    refusal refused{refusal::none};
    int status{0};
    std::string reason;
    milliseconds retry_after{0};
};

/*! @brief Makes the order that an attempt at an upstream begins with.
 * @param left Time to the deadline; what has passed counts as the least. */
[[nodiscard]] message::dispatch dispatch_of(const live_request& one,
                                            milliseconds left);

} // namespace coursejunction::internal

#endif
