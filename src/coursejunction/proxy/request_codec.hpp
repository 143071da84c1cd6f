/*! @file
 * @brief What an edge tells of requests and answers, whatever its headers are
 * called.
 */
#ifndef COURSEJUNCTION_PROXY_REQUEST_CODEC_HPP
#define COURSEJUNCTION_PROXY_REQUEST_CODEC_HPP

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>

#include "coursejunction/core/types.hpp"
#include "coursejunction/net/header_list.hpp"
#include "coursejunction/net/stream_client.hpp"
#include "coursejunction/net/stream_server.hpp"
#include "coursejunction/route/upstream_notice.hpp"
#include "coursejunction/route/urgency.hpp"

namespace coursejunction
{

/*! @brief A caller's request as far as decisions need it. */
struct caller_request
{
    request_id id;
    std::string host; /*!< Without a port, in lower case. */
    std::string path; /*!< Without the query. */
    std::optional<milliseconds> deadline;
    std::optional<std::string> api_key;
    std::string model; /*!< Empty for plain requests. */
    double prompt_tokens{0};
    double max_output_tokens{0}; /*!< Largest answer. */
    double expected_output_tokens{
        0};                   /*!< The caller's estimate; 0 when not told. */
    std::string prompt_parts; /*!< Names of the prompt's parts, as told. */
    std::optional<std::uint64_t> last_event_id;
};

/*! @brief What one attempt tells its upstream. */
struct attempt_metadata
{
    instance_id upstream;
    std::optional<organisation_id> organisation;
    milliseconds time_left{0};
    std::uint64_t expected_version{0}; /*!< Expected weights; 0 for any. */
    std::optional<std::uint64_t> last_event_id;
    urgency priority{usual_urgency}; /*!< Towards others that wait there. */
};

/*! @brief What an upstream's answer tells. */
struct response_metadata
{
    request_id id;
    bool not_run{false}; /*!< The upstream says that it did not run it. */
    bool has_signature{false};
    bool is_event_stream{false};
    upstream_notice notice;
};

/*! @brief Decodes callers' requests and encodes attempts; pure. */
template <typename Codec>
concept Request_codec = requires(const stream_request& request,
                                 const attempt_metadata& attempt,
                                 const stream_head& head, milliseconds wait)
{
    {
        Codec::decode_request(request)
        } -> std::same_as<caller_request>;
    {
        Codec::attempt_headers(request, attempt)
        } -> std::same_as<header_list>;
    {
        Codec::decode_response(head)
        } -> std::same_as<response_metadata>;
    {
        Codec::response_headers(head)
        } -> std::same_as<header_list>;
    {
        Codec::refusal_headers(wait)
        } -> std::same_as<header_list>;
};

} // namespace coursejunction

#endif
