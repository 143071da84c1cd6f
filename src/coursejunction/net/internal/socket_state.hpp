/*! @file
 * @brief What the kernel tells of a connection that the loop has not read yet.
 */
#ifndef COURSEJUNCTION_NET_INTERNAL_SOCKET_STATE_HPP
#define COURSEJUNCTION_NET_INTERNAL_SOCKET_STATE_HPP

namespace coursejunction::internal
{

/*! @brief Returns whether the peer has closed or reset a connection, even if
 * there is unread input. */
[[nodiscard]] bool is_closed_by_peer(int file);

} // namespace coursejunction::internal

#endif
