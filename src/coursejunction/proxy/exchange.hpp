/*! @file
 * @brief State of one request between its arrival and its final response. */
#ifndef COURSEJUNCTION_PROXY_EXCHANGE_HPP
#define COURSEJUNCTION_PROXY_EXCHANGE_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coursejunction/core/request_content.hpp"
#include "coursejunction/fleet/installation.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/stream_client.hpp"
#include "coursejunction/net/stream_server.hpp"
#include "coursejunction/proxy/event_splitter.hpp"
#include "coursejunction/proxy/request_codec.hpp"
#include "coursejunction/proxy/retry_token.hpp"
#include "coursejunction/route/hedge_decision.hpp"
#include "coursejunction/route/placement.hpp"

namespace coursejunction
{

/*! @brief How a failed attempt ended, and so whether the request may have run.
 */
enum class attempt_failure : std::uint8_t
{
    not_sent,       /*!< No byte was written to the connection. */
    not_run,        /*!< The upstream states that it did not run the request. */
    error_response, /*!< It ran, and the response has a server error. */
    may_have_run,   /*!< Nothing proves that the request did not run. */
    stale_connection /*!< The same, but its connection may have been closed
                        before, which says nothing of the upstream. */
};

/*! @brief Returns whether the request may have run in a failed attempt. */
[[nodiscard]] inline bool may_have_run(attempt_failure failure)
{
    return failure != attempt_failure::not_sent &&
           failure != attempt_failure::not_run;
}

/*! @brief One attempt of a request at an upstream. `id` identifies it within
 * this process. */
struct upstream_attempt
{
    std::uint64_t id{0};
    stream_client::call_id call{0};
    upstream_choice choice;
    time_point sent_at{};
    stream_head response_head;
    std::string response_body;
    std::optional<stream_end> response_end; /*!< Once the call has ended. */
    event_splitter events; /*!< Counts from the first event of the stream, even
                              if another attempt returned it. */
    time_point last_event_at{};
    bool has_events{false};
    bool silent{false};        /*!< No event arrived in time. */
    time_point silent_since{}; /*!< When that was found; kept after it ended. */
    /*! @brief Why no copy was sent while it is silent, once that is known. */
    std::optional<hedge_verdict> copy_declined;
    bool gap_known{false}; /*!< The pause since the last event was counted. */
    bool gap_logged{false};
    bool in_flight{false}; /*!< The upstream has it and may run it. */
    /*! @brief Null for the first attempt of a request. */
    std::shared_ptr<retry_token> retry;

    /*! @brief Returns the size of the part of the response that is kept until
     * the rest of it has arrived. */
    [[nodiscard]] std::size_t kept_bytes() const
    {
        return response_body.size() + events.incomplete().size();
    }
};

/*! @brief A request with its attempt in progress. `number` identifies it within
 * this process; the client's id is in `decoded`. */
struct exchange
{
    std::uint64_t number{0};
    /*! @brief Its caller sent it about then, before this entry read it. */
    time_point arrived_at{};
    time_point read_at{};
    time_point deadline{};
    /*! @brief When the caller last received events; at first, the arrival. */
    time_point last_progress{};
    caller_request decoded;
    stream_request original;
    stream_reply reply;
    std::shared_ptr<const installation> configuration;
    const route_rule* route{nullptr};
    service_name service;
    std::optional<organisation_id> organisation;
    /*! @brief Owner of its API key, part of `configuration`; null if none. Also
     * set on keyless routes, where the key is optional. */
    const coursejunction::organisation* owner{nullptr};
    request_content content; /*!< Identifies copies of the request. */
    /*! @brief Parts of the prompt that other requests may share. */
    std::vector<request_content> shared_parts;
    request_fingerprint fingerprint; /*!< Identifies a client retry. */
    arrival_state arrival;
    timer deadline_timer;

    upstream_attempt attempt; /*!< In progress, or the last one. */
    /*! @brief An earlier attempt whose upstream is silent, or whose first event
     * is overdue. The one that returns the next event goes on, and the other is
     * cancelled. */
    std::optional<upstream_attempt> silent_attempt;
    bool hedged{false}; /*!< A copy was sent as its first event was overdue. */
    bool hedge_declined{false}; /*!< No copy was sent when it was overdue. */
    time_point failed_at{};
    timer silence_timer;
    bool is_trial{false}; /*!< This attempt tests whether a request whose
                             quarantine ended still crashes upstreams. */

    /*! @brief Part of the prompt whose quarantine ended, if this attempt tests
     * whether it still crashes upstreams. */
    std::optional<request_content> part_on_trial;

    // The last server error of an upstream. It is the final response when no
    // other attempt is left, unless its status is 503.
    std::optional<stream_head> error_response_head;
    std::string error_response_body;
    bool upstream_errored{
        false}; /*!< The last attempt failed with a server error. */
    /*! @brief The last attempt failed on a stale connection: its upstream is
     * not ruled out, and the request was admitted. */
    bool connection_was_stale{false};

    std::vector<instance_id> tried_upstreams;
    /*! @brief Paid for and not sent yet; null if there is none. */
    std::shared_ptr<retry_token> paid_retry;
    std::size_t possible_runs{0}; /*!< Number of attempts that may have run. */
    bool response_begun{
        false}; /*!< The response head was sent to the caller. */
    bool queued{false};
    bool paused{false}; /*!< The upstream is not read since the caller does not
                           read. */
    timer pause_timer;
};

} // namespace coursejunction

#endif
