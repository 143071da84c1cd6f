/*! @file
 * @brief Serialises the request of a call and parses its address.
 */
#ifndef COURSEJUNCTION_NET_INTERNAL_CALL_TEXT_HPP
#define COURSEJUNCTION_NET_INTERNAL_CALL_TEXT_HPP

#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>

#include "coursejunction/net/head_text.hpp"
#include "coursejunction/net/stream_client.hpp"

namespace coursejunction::internal
{

/*! @brief Parses `IP:port`.
 * @return The endpoint, or nothing if the text is not valid. */
[[nodiscard]] inline std::optional<boost::asio::ip::tcp::endpoint>
endpoint_of(const std::string& address)
{
    const auto colon = address.rfind(':');
    boost::system::error_code fault;
    const auto ip =
        boost::asio::ip::make_address(address.substr(0, colon), fault);
    if (fault || colon == std::string::npos)
        return std::nullopt;
    const auto port = static_cast<std::uint16_t>(
        std::strtoul(address.c_str() + colon + 1, nullptr, 10));
    return boost::asio::ip::tcp::endpoint(ip, port);
}

/*! @brief Returns the head of a call's request. */
[[nodiscard]] inline std::string request_head(const stream_call& call)
{
    namespace http = boost::beast::http;
    http::request<http::empty_body> head;
    head.version(11);
    head.method_string(call.method);
    head.target(call.target);
    for (const auto& one : call.headers)
        head.insert(one.name, one.value);
    if (!head.count(http::field::host))
        head.set(http::field::host, call.address);
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT")
        head.set(http::field::content_length, std::to_string(call.body.size()));
    return head_text(head);
}

} // namespace coursejunction::internal

#endif
