/*! @file
 * @brief IPv4 addresses as text and as numbers.
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

/*! @brief Returns the number of an IPv4 address, or nothing. */
[[nodiscard]] inline std::optional<std::uint32_t>
parse_ipv4(const std::string& text)
{
    in_addr raw{};
    if (inet_pton(AF_INET, text.c_str(), &raw) != 1)
        return std::nullopt;
    return ntohl(raw.s_addr);
}

/*! @brief Returns the text of an IPv4 address. */
[[nodiscard]] inline std::string format_ipv4(std::uint32_t number)
{
    const in_addr raw{htonl(number)};
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &raw, text.data(), text.size());
    return text.data();
}

/*! @brief Returns the part of `IP:port` before the colon. */
[[nodiscard]] inline std::string host_of(const std::string& address)
{
    return address.substr(0, address.rfind(':'));
}

} // namespace coursejunction

#endif
