/*! @file
 * @brief Divides the connections that an upstream accepts between the entries;
 * pure. */
#ifndef COURSEJUNCTION_ROUTE_CONNECTION_SHARE_HPP
#define COURSEJUNCTION_ROUTE_CONNECTION_SHARE_HPP

#include <algorithm>
#include <cstddef>

namespace coursejunction
{

/*! @brief Returns how many connections this entry may have open to one
 * upstream, which resets those beyond `max_connections` of all entries
 * together. At least one, so that no entry is shut out.
 * @param max_connections 0: unbounded, as is the result.
 * @param entries Number of entries that send to the upstream. */
[[nodiscard]] constexpr std::size_t
connection_share(std::size_t max_connections, std::size_t entries)
{
    if (max_connections == 0)
        return 0;
    return std::max<std::size_t>(
        max_connections / std::max<std::size_t>(entries, 1), 1);
}

} // namespace coursejunction

#endif
