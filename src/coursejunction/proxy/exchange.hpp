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
enum class attempt_reach : std::uint8_t
{
    not_sent,    /*!< No byte was written: it never arrived. */
    not_run,     /*!< The upstream says that it did not run it. */
    answered,    /*!< It ran, and the answer tells of a failure. */
    may_have_run /*!< Nothing proves that it did not run. */
};

/*! @brief A request from its arrival to its final answer, with the attempt in
 * progress. */
struct exchange
{
    std::uint64_t number{0};
    time_point arrived{};
    time_point ends{};
    caller_request asked;
    stream_request original;
    stream_reply reply;
    std::shared_ptr<const installation> rules;
    const route_rule* route{nullptr};
    service_name service;
    std::optional<organisation_id> owner;
    request_content content;
    request_fingerprint fingerprint;
    arrival_state standing;
    timer limit;

    // The attempt in progress.
    stream_client::call_id call{0};
    std::uint64_t attempt{0};
    upstream_choice at;
    time_point sent{};
    time_point failed_at{};
    stream_head head;
    std::string body;
    timer silence;
    bool progressed{false};
    bool in_flight{false}; /*!< An attempt is with an upstream. */
    bool trial{false};     /*!< It shows whether its content ends upstreams. */

    // An upstream's own failure, passed on when no other attempt is left.
    std::optional<stream_head> own_failure;
    std::string own_failure_body;
    bool answered_failure{false}; /*!< The last attempt ended so. */

    std::vector<instance_id> tried;
    std::size_t runs{0}; /*!< Attempts that may have run. */
    event_splitter events;
    bool streaming{false}; /*!< The caller has our head. */
    bool in_queue{false};
};

} // namespace coursejunction

#endif
