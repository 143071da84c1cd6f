/*! @file
 * @brief State of one request while it is carried.
 */
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
#include "coursejunction/route/placement.hpp"

namespace coursejunction
{

/*! @brief How far a failed attempt got. */
enum class attempt_failure : std::uint8_t
{
    not_sent,       /*!< No byte was written: it never arrived. */
    not_run,        /*!< The upstream says that it did not run it. */
    error_response, /*!< It ran, and the answer tells of a failure. */
    may_have_run    /*!< Nothing proves that it did not run. */
};

/*! @brief A request from its arrival to its final answer, with the attempt in
 * progress. */
struct exchange
{
    std::uint64_t number{0};
    time_point arrived_at{};
    time_point deadline{};
    caller_request decoded;
    stream_request original;
    stream_reply reply;
    std::shared_ptr<const installation> configuration;
    const route_rule* route{nullptr};
    service_name service;
    std::optional<organisation_id> organisation;
    request_content content;
    request_fingerprint fingerprint;
    arrival_standing arrival;
    timer deadline_timer;

    // The attempt in progress.
    stream_client::call_id call{0};
    std::uint64_t attempt_id{0};
    upstream_choice choice;
    time_point sent_at{};
    time_point failed_at{};
    stream_head response_head;
    std::string response_body;
    timer silence_timer;
    bool has_events{false};
    bool in_flight{false}; /*!< An attempt is with an upstream. */
    bool is_trial{false};  /*!< It shows whether its content ends upstreams. */

    // An upstream's own failure, passed on when no other attempt is left.
    std::optional<stream_head> error_response_head;
    std::string error_response_body;
    bool upstream_errored{false}; /*!< The last attempt ended so. */

    std::vector<instance_id> tried_upstreams;
    std::size_t possible_runs{0}; /*!< Attempts that may have run. */
    event_splitter events;
    bool response_begun{false}; /*!< The caller has our head. */
    bool queued{false};
};

} // namespace coursejunction

#endif
