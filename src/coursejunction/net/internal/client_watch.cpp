#include <sys/socket.h>
#include <sys/types.h>

#include <algorithm>
#include <cerrno>

#include "coursejunction/net/internal/socket_state.hpp"
#include "coursejunction/net/internal/stream_connection.hpp"

namespace coursejunction
{

using boost::asio::ip::tcp;

namespace internal
{

/*! @brief Interval at which the state of a connection is checked while nothing
 * more is read ahead. Work for a client that has disconnected has to end within
 * half a second. */
constexpr milliseconds state_poll_interval{100};

} // namespace internal

void stream_reply::target::watch_for_close()
{
    if (input.size() >= internal::read_ahead_bytes)
        return poll_for_close();
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

void stream_reply::target::poll_for_close()
{
    deadline.expires_after(internal::state_poll_interval);
    deadline.async_wait(
        [self = shared_from_this(), request_number = current_number](
            const boost::system::error_code& fault)
        {
            if (fault || !self->is_current(request_number))
                return;
            if (internal::is_closed_by_peer(self->socket.native_handle()))
                return self->close(close_reason::peer);
            self->poll_for_close();
        });
}

void stream_reply::target::check_peer()
{
    note_input();
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
