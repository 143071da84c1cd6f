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

/*! @brief Bytes of further requests that are read while one is handled. The
 * close of a connection is only seen after everything that was sent before it.
 */
constexpr std::size_t read_ahead_bytes = 16'384;

/*! @brief When a client that has stopped sending is probed a second time. A
 * relay between them may notice a closed client only at its second write. */
constexpr milliseconds second_probe{150};

} // namespace internal

void stream_reply::target::watch_for_close()
{
    if (half_closed || input.size() >= internal::read_ahead_bytes)
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
    if (count < 0 || version < 11 || head_only)
        return close(close_reason::peer);
    half_closed = true;
    socket.async_wait(
        tcp::socket::wait_error,
        [self = shared_from_this()](const boost::system::error_code& fault)
        {
            if (!fault)
                self->close(close_reason::peer);
        });
    probe();
    deadline.expires_after(internal::second_probe);
    deadline.async_wait(
        [self = shared_from_this(), request_number = current_number](
            const boost::system::error_code& stopped)
        {
            if (!stopped && self->is_current(request_number))
                self->probe();
        });
}

void stream_reply::target::probe()
{
    // What is queued already shows it as well.
    if (!output.empty())
        return;
    queue(head_sent ? "0" : "HTTP/1.1 100 Continue\r\n\r\n");
}

} // namespace coursejunction
