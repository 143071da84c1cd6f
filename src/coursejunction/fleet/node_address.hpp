/*! @file
 * @brief Conversion of IPv4 addresses.
 */
#ifndef COURSEJUNCTION_FLEET_NODE_ADDRESS_HPP
#define COURSEJUNCTION_FLEET_NODE_ADDRESS_HPP

#include <arpa/inet.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace coursejunction
{

/*! @brief Parses a dotted IPv4 address; returns it in host byte order, or
 * nothing. */
[[nodiscard]] inline std::optional<std::uint32_t>
parse_ipv4(const std::string& text)
{
    in_addr raw{};
    if (inet_pton(AF_INET, text.c_str(), &raw) != 1)
        return std::nullopt;
    return ntohl(raw.s_addr);
}

/*! @brief Formats an IPv4 address given in host byte order. */
[[nodiscard]] inline std::string format_ipv4(std::uint32_t number)
{
    const in_addr raw{htonl(number)};
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &raw, text.data(), text.size());
    return text.data();
}

/*! @brief Returns the part of `IP:port` before the last colon. */
[[nodiscard]] inline std::string host_of(const std::string& endpoint)
{
    return endpoint.substr(0, endpoint.rfind(':'));
}

} // namespace coursejunction

#endif
