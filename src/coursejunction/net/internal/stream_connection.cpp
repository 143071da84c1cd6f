#include "coursejunction/net/internal/stream_connection.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/types.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <utility>

#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/internal/answer_text.hpp"
#include "coursejunction/net/internal/socket_state.hpp"

namespace coursejunction
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace internal
{

/*! @brief Response bytes that may be queued for a client that does not read;
 * above this the connection is closed. The largest complete response fits. */
constexpr std::size_t max_unsent_bytes = std::size_t{8} << 20U;

/*! @brief Size up to which queued parts are joined. Joined parts need fewer
 * system calls and no allocation each. */
constexpr std::size_t joined_bytes = 16'384;

/*! @brief TCP_NOTSENT_LOWAT: bytes that the kernel accepts beyond what the
 * client's window and the link allow it to send. The kernel's default is a send
 * buffer of up to 4 MiB for each client, which counts towards the memory of the
 * process. */
constexpr int kernel_unsent_bytes = 32'768;

/*! @brief TCP_USER_TIMEOUT: the kernel drops the connection when sent data
 * stays unacknowledged for this long. */
constexpr int user_timeout_ms = 10'000;

/*! @brief How long input is still read and dropped after the last response. A
 * close with unread input resets the connection, which may destroy what the
 * client has not read yet. */
constexpr milliseconds linger_time{2000};

/*! @brief Largest buffer that an idle connection keeps, in bytes. */
constexpr std::size_t kept_buffer_bytes = 4096;

/*! @brief Input that is dropped at once before other work gets its turn. */
constexpr std::size_t discard_bytes = 65'536;

} // namespace internal

stream_reply::target::target(
    tcp::socket owned, std::shared_ptr<internal::stream_server_state> owner,
    time_point since)
    : socket(std::move(owned)), deadline(socket.get_executor()),
      server(std::move(owner)), received_at(event_loop::now()),
      input_since(since)
{
    server->connections.insert(this);
}

stream_reply::target::~target()
{
    count_answer_ended();
    server->unsent.erase(this);
    server->requests.erase(this);
    server->connections.erase(this);
}

void stream_reply::target::start()
{
    if (state == phase::closed)
        return;
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const int limit = internal::user_timeout_ms;
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit,
                 sizeof limit);
    const int unsent_limit = internal::kernel_unsent_bytes;
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT,
                 &unsent_limit, sizeof unsent_limit);
    const auto peer = socket.remote_endpoint(ignored);
    peer_address =
        peer.address().to_string() + ":" + std::to_string(peer.port());
    // What is there already may have waited as long as the connection.
    if (unread() > 0)
        return read_request();
    next_request();
}

void stream_reply::target::refuse_unread()
{
    if (unread() == 0 || state == phase::closed)
        return start();
    queue(internal::answer_head(503, server->refusal_headers, 11, 0, true));
    close_when_sent(close_reason::overload);
}

void stream_reply::target::close_if_idle(time_point since)
{
    if (state == phase::idle && idle_since <= since && unread() == 0)
        close(close_reason::stopping);
}

std::optional<internal::connection_use> stream_reply::target::use() const
{
    using kind = internal::connection_use::kind;
    const bool unused = current_number == 0;
    switch (state)
    {
    case phase::lingering:
        return {{kind::ended, received_at}};
    case phase::idle:
        return {{unused ? kind::unused : kind::resting, received_at}};
    case phase::reading:
        return {{unused ? kind::unused : kind::reading, received_at}};
    default:
        return std::nullopt;
    }
}

void stream_reply::target::send(std::uint64_t request_number, int status,
                                const header_list& headers,
                                std::string_view body)
{
    if (!is_current(request_number) || head_sent)
        return;
    head_sent = true;
    const bool last = closes_after_response();
    auto text =
        internal::answer_head(status, headers, version, body.size(), last);
    if (!head_only)
        text += body;
    queue(std::move(text));
    end_answer(last);
}

void stream_reply::target::begin(std::uint64_t request_number, int status,
                                 const header_list& headers)
{
    if (!is_current(request_number) || head_sent)
        return;
    head_sent = true;
    close_after = closes_after_response() || version < 11;
    if (version < 11)
        reset_on_close(true);
    queue(internal::answer_head(status, headers, version, std::nullopt,
                                close_after));
}

void stream_reply::target::write(std::uint64_t request_number,
                                 std::string_view bytes)
{
    if (!is_current(request_number) || !head_sent || bytes.empty())
        return;
    if (unsent_bytes > internal::max_unsent_bytes)
        return close(close_reason::unsent);
    queue(version >= 11 ? internal::chunk_text(bytes) : std::string(bytes));
}

void stream_reply::target::finish(std::uint64_t request_number)
{
    if (!is_current(request_number) || !head_sent)
        return;
    if (version >= 11)
        queue(internal::last_chunk);
    end_answer(close_after);
}

void stream_reply::target::cut(std::uint64_t request_number)
{
    if (!is_current(request_number))
        return;
    count_answer_ended();
    disconnect_callback = nullptr;
    drained_callback = nullptr;
    close_when_sent(close_reason::cut);
}

void stream_reply::target::drop(std::uint64_t request_number)
{
    if (!is_current(request_number))
        return;
    disconnect_callback = nullptr;
    close(close_reason::unsent);
}

void stream_reply::target::on_disconnect(std::uint64_t request_number,
                                         std::function<void()> call)
{
    if (is_current(request_number))
        disconnect_callback = std::move(call);
}

void stream_reply::target::on_drained(std::uint64_t request_number,
                                      std::size_t below,
                                      std::function<void()> call)
{
    if (!is_current(request_number))
        return;
    drained_below = below;
    drained_callback = std::move(call);
}

bool stream_reply::target::check_connected(std::uint64_t request_number)
{
    if (!is_current(request_number))
        return false;
    if (!internal::is_closed_by_peer(socket.native_handle()))
        return true;
    close(close_reason::peer);
    return false;
}

std::size_t stream_reply::target::unsent(std::uint64_t request_number) const
{
    return is_current(request_number) ? unsent_bytes : 0;
}

bool stream_reply::target::is_current(std::uint64_t request_number) const
{
    return state == phase::answering && request_number == current_number;
}

bool stream_reply::target::closes_after_response() const
{
    return server->retiring || !keep_alive;
}

void stream_reply::target::next_request()
{
    state = phase::idle;
    if (input.size() > 0)
        return read_request();
    if (input.capacity() > internal::kept_buffer_bytes)
        input.shrink_to_fit();
    idle_since = event_loop::now();
    start_deadline(server->idle_times.longest(idle_since), 0);
    socket.async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this()](const boost::system::error_code& fault)
        {
            if (fault || self->state != phase::idle)
                return;
            self->note_input();
            self->read_request();
        });
}

void stream_reply::target::end_answer(bool last)
{
    count_answer_ended();
    disconnect_callback = nullptr;
    drained_callback = nullptr;
    if (last)
        return close_when_sent(close_reason::response);
    if (output.empty())
        return next_request();
    state = phase::sending;
    watch_for_stall();
}

void stream_reply::target::watch_for_stall()
{
    const auto limit = server->idle_times.longest(event_loop::now());
    deadline.expires_at(taken_at + limit);
    deadline.async_wait(
        [self = shared_from_this()](const boost::system::error_code& fault)
        {
            if (fault || self->state != phase::sending)
                return;
            const auto now = event_loop::now();
            if (self->taken_at + self->server->idle_times.longest(now) > now)
                return self->watch_for_stall();
            self->close(close_reason::unsent);
        });
}

void stream_reply::target::close_when_sent(close_reason why)
{
    end_reason = why;
    state = phase::closing;
    if (output.empty())
        linger();
}

void stream_reply::target::reset_on_close(bool enabled)
{
    resets_on_close = enabled;
    // Asio would clear an option that it knows of in the socket's destructor.
    const ::linger option{enabled ? 1 : 0, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &option,
                 sizeof option);
}

void stream_reply::target::linger()
{
    if (resets_on_close && end_reason != close_reason::response)
        return close(close_reason::cut);
    reset_on_close(false);
    state = phase::lingering;
    boost::system::error_code fault;
    socket.shutdown(tcp::socket::shutdown_send, fault);
    if (fault)
        return close(close_reason::peer);
    deadline.expires_after(internal::linger_time);
    deadline.async_wait(
        [self = shared_from_this()](const boost::system::error_code& stopped)
        {
            if (!stopped)
                self->close(close_reason::peer);
        });
    discard_input();
}

void stream_reply::target::discard_input()
{
    socket.async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this()](const boost::system::error_code& fault)
        {
            if (self->state != phase::lingering)
                return;
            std::array<char, internal::discard_bytes> dropped;
            const auto count =
                fault ? 0
                      : ::recv(self->socket.native_handle(), dropped.data(),
                               dropped.size(), MSG_DONTWAIT);
            const bool waits =
                count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
            if (count <= 0 && !waits)
                return self->close(close_reason::peer);
            self->discarded_bytes +=
                static_cast<std::size_t>(std::max<ssize_t>(count, 0));
            self->discard_input();
        });
}

void stream_reply::target::count_answer_ended()
{
    if (state != phase::answering)
        return;
    --server->open_answers;
    server->requests.erase(this);
}

void stream_reply::target::queue(std::string bytes)
{
    if (state == phase::closed)
        return;
    if (output.empty())
        taken_at = event_loop::now();
    unsent_bytes += bytes.size();
    server->unsent.add(this, bytes.size(), event_loop::now());
    // The first block is being written and must not change.
    if (output.size() > 1 &&
        output.back().size() + bytes.size() <= internal::joined_bytes)
        output.back() += bytes;
    else
        output.push_back(std::move(bytes));
    if (output.size() == 1)
        write_next();
    enforce_total();
}

void stream_reply::target::start_deadline(milliseconds limit, int status)
{
    deadline.expires_after(limit);
    deadline.async_wait(
        [self = shared_from_this(), status, armed = state,
         until = deadline.expiry()](const boost::system::error_code& fault)
        {
            // A timer that expires in the turn in which it is set anew can't be
            // cancelled any more.
            if (fault || self->state != armed ||
                self->deadline.expiry() != until)
                return;
            if (status == 0)
                self->idle_time_over();
            else
                self->refuse(status);
        });
}

void stream_reply::target::idle_time_over()
{
    // A request that waits in the socket is read by `next_request`'s callback.
    if (unread() > 0)
        return;
    // The limit may have been raised since the timer was set.
    const auto now = event_loop::now();
    const auto left = std::chrono::ceil<milliseconds>(
        idle_since + server->idle_times.longest(now) - now);
    if (left.count() > 0)
        return start_deadline(left, 0);
    close(close_reason::idle_time);
}

std::size_t stream_reply::target::unread() const
{
    boost::system::error_code fault;
    const auto waiting = socket.available(fault);
    return discarded_bytes + input.size() + (fault ? 0 : waiting);
}

void stream_reply::target::close(close_reason why)
{
    if (state == phase::closed)
        return;
    if (why == close_reason::unsent)
    {
        end_reason = why;
        // Otherwise the kernel would keep what the client does not read.
        reset_on_close(true);
    }
    const closed_connection report{end_reason.value_or(why), unread(),
                                   unsent_bytes, peer_address, request_dropped};
    count_answer_ended();
    server->unsent.erase(this);
    server->requests.erase(this);
    state = phase::closed;
    deadline.cancel();
    boost::system::error_code ignored;
    socket.close(ignored);
    if (server->report_close)
        server->report_close(report);
    drained_callback = nullptr;
    const auto call = std::exchange(disconnect_callback, nullptr);
    if (call)
        call();
}

} // namespace coursejunction
