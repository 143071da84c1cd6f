#include <sys/socket.h>
#include <sys/types.h>

#include <algorithm>
#include <cerrno>

#include "coursejunction/net/internal/stream_connection.hpp"

namespace coursejunction
{

using boost::asio::ip::tcp;

namespace internal
{

/*! @brief Maximum number of bytes of further requests that are read while one
 * is handled. The close of a connection is only seen after everything that was
 * sent before it.
 */
constexpr std::size_t read_ahead_bytes = 16'384;

} // namespace internal

void stream_reply::target::watch_for_close()
{
    if (input.size() >= internal::read_ahead_bytes)
        return;
    socket.async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), request_number = current_number](
            const boost::system::error_code& fault)
        {
            if (fault || !self->is_current(request_number))
                return;
            self->check_peer();
        });
}

void stream_reply::target::check_peer()
{
    const auto room = input.prepare(internal::read_ahead_bytes - input.size());
    const auto count =
        ::recv(socket.native_handle(), room.data(), room.size(), MSG_DONTWAIT);
    if (count > 0)
        input.commit(static_cast<std::size_t>(count));
    if (count > 0 || (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)))
        return watch_for_close();
    // A client that only stops sending counts as disconnected too: without
    // writing to the connection it cannot be told from one that closed it, and
    // the work for a closed one has to end at once.
    close(close_reason::peer);
}

} // namespace coursejunction
