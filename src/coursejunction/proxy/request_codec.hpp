/*! @file
 * @brief What the headers of requests and responses carry, independent of the
 * headers' names. */
#ifndef COURSEJUNCTION_PROXY_REQUEST_CODEC_HPP
#define COURSEJUNCTION_PROXY_REQUEST_CODEC_HPP

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/net/header_list.hpp"
#include "coursejunction/net/stream_client.hpp"
#include "coursejunction/net/stream_server.hpp"
#include "coursejunction/route/upstream_notice.hpp"
#include "coursejunction/route/urgency.hpp"

namespace coursejunction
{

/*! @brief The decoded fields of a caller's request. */
struct caller_request
{
    request_id id;
    std::string host;                     /*!< Without a port, in lower case. */
    std::string path;                     /*!< Without the query. */
    std::optional<milliseconds> deadline; /*!< From the arrival. */
    std::optional<std::string> api_key;
    std::string model; /*!< Empty for plain requests. */
    double prompt_tokens{0};
    double max_output_tokens{0}; /*!< Limit on the length of the response. */
    double expected_output_tokens{
        0}; /*!< The caller's estimate of the response's length; 0 if none was
               given. */
    std::string prompt_parts; /*!< Ids of the prompt's parts with their lengths,
                                 as sent by the caller. */
    /*! @brief Ids of the parts that other requests may share, which are all but
     * the last one. */
    std::vector<std::string> shared_parts;
    std::optional<std::uint64_t> last_event_id;
};

/*! @brief What the headers of one attempt carry to its upstream. */
struct attempt_metadata
{
    instance_id upstream;
    std::optional<organisation_id> organisation;
    milliseconds time_left{0};
    std::uint64_t expected_version{
        0}; /*!< Model version the upstream must serve; 0 for any. */
    std::optional<std::uint64_t> last_event_id;
    urgency priority{usual_urgency}; /*!< Priority in the upstream's queue. */
};

/*! @brief The decoded headers of an upstream's response. */
struct response_metadata
{
    request_id id;
    bool not_run{
        false}; /*!< The upstream states that it did not run the request. */
    bool has_signature{false};
    bool is_event_stream{false};
    upstream_notice notice;
};

/*! @brief Decodes requests and responses and encodes attempts. Its functions
 * are pure. */
template <typename Codec>
concept Request_codec = requires(const stream_request& request,
                                 header_list& headers,
                                 const attempt_metadata& attempt,
                                 const stream_head& head, milliseconds wait)
{
    {
        Codec::decode_request(request)
        } -> std::same_as<caller_request>;
    {
        Codec::attempt_headers(request, attempt)
        } -> std::same_as<header_list>;
    Codec::assign_time_left(headers, wait);
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
