#include "coursejunction/net/internal/stream_connection.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/types.h>

#include <cerrno>
#include <utility>

#include <boost/asio/write.hpp>

#include "coursejunction/net/internal/answer_text.hpp"

namespace coursejunction
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace internal
{

/*! @brief Answer bytes that may wait for a caller who does not read; beyond
 * this the connection is closed. A whole largest answer fits. */
constexpr std::size_t most_unsent = std::size_t{8} << 20U;

/*! @brief Unacknowledged bytes after which the kernel gives a peer up. */
constexpr int user_timeout_ms = 10'000;

} // namespace internal

stream_reply::target::target(
    tcp::socket owned, std::shared_ptr<internal::stream_server_state> owner)
    : socket(std::move(owned)), clock(socket.get_executor()),
      server(std::move(owner))
{
    server->connections.insert(this);
}

stream_reply::target::~target()
{
    leave_answer();
    server->connections.erase(this);
}

void stream_reply::target::start()
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const int limit = internal::user_timeout_ms;
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit,
                 sizeof limit);
    const auto peer = socket.remote_endpoint(ignored);
    from = peer.address().to_string() + ":" + std::to_string(peer.port());
    next_request();
}

void stream_reply::target::close_if_idle()
{
    if (state == step::idle && input.size() == 0)
        close();
}

void stream_reply::target::send(std::uint64_t of, int status,
                                const header_list& headers,
                                std::string_view body)
{
    if (!current(of) || begun)
        return;
    begun = true;
    const bool last = closing();
    auto text =
        internal::answer_head(status, headers, version, body.size(), last);
    if (!head_only)
        text += body;
    queue(std::move(text));
    end_answer(last);
}

void stream_reply::target::begin(std::uint64_t of, int status,
                                 const header_list& headers)
{
    if (!current(of) || begun)
        return;
    begun = true;
    close_after = closing() || version < 11;
    queue(internal::answer_head(status, headers, version, std::nullopt,
                                close_after));
}

void stream_reply::target::write(std::uint64_t of, std::string_view bytes)
{
    if (!current(of) || !begun || bytes.empty())
        return;
    if (unsent_bytes > internal::most_unsent)
        return close();
    queue(version >= 11 ? internal::chunk_text(bytes) : std::string(bytes));
}

void stream_reply::target::finish(std::uint64_t of)
{
    if (!current(of) || !begun)
        return;
    if (version >= 11)
        queue(internal::last_chunk);
    end_answer(close_after);
}

void stream_reply::target::cut(std::uint64_t of)
{
    if (!current(of))
        return;
    leave_answer();
    left = nullptr;
    state = step::closing;
    if (output.empty())
        close();
}

void stream_reply::target::on_left(std::uint64_t of, std::function<void()> call)
{
    if (current(of))
        left = std::move(call);
}

std::size_t stream_reply::target::unsent(std::uint64_t of) const
{
    return current(of) ? unsent_bytes : 0;
}

bool stream_reply::target::current(std::uint64_t of) const
{
    return state == step::answering && of == number;
}

bool stream_reply::target::closing() const
{
    return server->retiring || !keep_alive;
}

void stream_reply::target::next_request()
{
    state = step::idle;
    if (input.size() > 0)
        return read_head();
    arm(server->bounds.idle_time, 0);
    socket.async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this()](const boost::system::error_code& fault)
        {
            if (fault || self->state != step::idle)
                return;
            self->read_head();
        });
}

void stream_reply::target::read_head()
{
    state = step::reading;
    parser.emplace();
    parser->header_limit(static_cast<std::uint32_t>(server->bounds.head_bytes));
    parser->body_limit(server->bounds.body_bytes);
    arm(server->bounds.head_time, 408);
    http::async_read_header(
        socket, input, *parser,
        [self = shared_from_this()](const boost::system::error_code& fault,
                                    std::size_t) { self->head_read(fault); });
}

void stream_reply::target::head_read(const boost::system::error_code& fault)
{
    if (state != step::reading)
        return;
    if (fault)
        return reject(fault);
    if (boost::beast::iequals((*parser).get()[http::field::expect],
                              "100-continue"))
        queue("HTTP/1.1 100 Continue\r\n\r\n");
    if (parser->is_done())
        return request_read();
    arm(server->bounds.idle_time, 408);
    http::async_read(socket, input, *parser,
                     [self = shared_from_this()](
                         const boost::system::error_code& failed, std::size_t)
                     {
                         if (self->state != step::reading)
                             return;
                         if (failed)
                             return self->reject(failed);
                         self->request_read();
                     });
}

void stream_reply::target::reject(const boost::system::error_code& fault)
{
    const bool wrong_input =
        fault.category() ==
            make_error_code(http::error::bad_method).category() &&
        fault != http::error::end_of_stream &&
        fault != http::error::partial_message;
    if (!wrong_input)
        return close();
    refuse(internal::refusal_status(fault));
}

void stream_reply::target::refuse(int status)
{
    clock.cancel();
    state = step::closing;
    queue(internal::answer_head(status, {}, 11, 0, true));
}

void stream_reply::target::request_read()
{
    clock.cancel();
    auto message = parser->release();
    stream_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message)
        request.headers.push_back(std::string(field.name_string()),
                                  std::string(field.value()));
    request.body = std::move(message.body());
    request.from = from;
    version = message.version();
    keep_alive = message.keep_alive();
    head_only = message.method() == http::verb::head;
    parser.reset();
    state = step::answering;
    begun = false;
    close_after = false;
    ++number;
    ++server->open_answers;
    watch_leaving();
    server->handle(std::move(request), stream_reply(weak_from_this(), number));
}

void stream_reply::target::watch_leaving()
{
    if (input.size() > 0)
        return;
    socket.async_wait(tcp::socket::wait_read,
                      [self = shared_from_this(),
                       of = number](const boost::system::error_code& fault)
                      {
                          if (fault || !self->current(of))
                              return;
                          self->look(of);
                      });
}

void stream_reply::target::look(std::uint64_t)
{
    char byte = 0;
    const auto count =
        ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0)
        return; // The next request waits; it is read after this answer.
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        return watch_leaving();
    close();
}

void stream_reply::target::end_answer(bool last)
{
    leave_answer();
    left = nullptr;
    if (last)
    {
        state = step::closing;
        if (output.empty())
            close();
        return;
    }
    next_request();
}

void stream_reply::target::leave_answer()
{
    if (state == step::answering)
        --server->open_answers;
}

void stream_reply::target::queue(std::string bytes)
{
    if (state == step::closed)
        return;
    unsent_bytes += bytes.size();
    output.push_back(std::move(bytes));
    if (output.size() == 1)
        write_next();
}

void stream_reply::target::write_next()
{
    asio::async_write(socket, asio::buffer(output.front()),
                      [self = shared_from_this()](
                          const boost::system::error_code& fault, std::size_t)
                      { self->written(fault); });
}

void stream_reply::target::written(const boost::system::error_code& fault)
{
    if (state == step::closed)
        return;
    if (fault)
        return close();
    unsent_bytes -= output.front().size();
    output.pop_front();
    if (!output.empty())
        return write_next();
    if (state == step::closing)
        close();
}

void stream_reply::target::arm(milliseconds limit, int status)
{
    clock.expires_after(limit);
    clock.async_wait(
        [self = shared_from_this(), status,
         armed = state](const boost::system::error_code& fault)
        {
            if (fault || self->state != armed)
                return;
            if (status == 0)
                self->close();
            else
                self->refuse(status);
        });
}

void stream_reply::target::close()
{
    if (state == step::closed)
        return;
    leave_answer();
    state = step::closed;
    clock.cancel();
    boost::system::error_code ignored;
    socket.close(ignored);
    const auto call = std::exchange(left, nullptr);
    if (call)
        call();
}

} // namespace coursejunction
