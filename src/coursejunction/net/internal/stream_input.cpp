#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

#include <boost/asio/post.hpp>

#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/internal/answer_text.hpp"
#include "coursejunction/net/internal/socket_state.hpp"
#include "coursejunction/net/internal/stream_connection.hpp"

namespace coursejunction
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace internal
{

/*! @brief Bytes that are read of a head at a time, at the least. */
constexpr std::size_t head_read_bytes = 512;

/*! @brief Bytes that are read of a body at a time, at the most. */
constexpr std::size_t body_read_bytes = 16'384;

/*! @brief Estimated bytes that a field takes beside its text, in the parser's
 * list and in those of the request and its attempts. */
constexpr std::size_t field_cost = 256;

/*! @brief Copies of the text of a field at a time. */
constexpr std::size_t field_copies = 4;

/*! @brief Returns the estimated bytes that the lines of a head take once they
 * are parsed. */
std::size_t cost_of_lines(const char* text, std::size_t size)
{
    const auto lines = std::count(text, text + size, '\n');
    return field_cost * static_cast<std::size_t>(lines) + field_copies * size;
}

} // namespace internal

void stream_reply::target::note_input()
{
    if (input.size() == 0)
        input_since = server->loop->input_arrived_after();
}

void stream_reply::target::read_request()
{
    state = phase::reading;
    head_cost = 0;
    parser.emplace();
    parser->header_limit(static_cast<std::uint32_t>(server->limits.head_bytes));
    parser->body_limit(server->limits.body_bytes);
    // The parser limits a head and a body only. A chunk's head and the trailer
    // section are buffered whole, however long they are.
    input.max_size(std::max(
        {server->limits.head_bytes, internal::read_ahead_bytes, input.size()}));
    start_deadline(server->limits.head_time, 408);
    if (input.size() == 0)
        return read_input();
    // Not at once: the requests that were read ahead would be handled one
    // inside the other.
    asio::post(socket.get_executor(),
               [self = shared_from_this()]
               {
                   if (self->state == phase::reading)
                       self->parse_input();
               });
}

void stream_reply::target::read_input()
{
    auto wanted =
        std::max(internal::head_read_bytes, input.capacity() - input.size());
    if (parser->is_header_done())
    {
        const auto left = parser->content_length_remaining();
        const auto most = std::uint64_t{internal::body_read_bytes};
        wanted = std::max(wanted, static_cast<std::size_t>(
                                      left ? std::min(*left, most) : most));
    }
    wanted = std::min(wanted, input.max_size() - input.size());
    if (wanted == 0)
        return reject(http::error::buffer_overflow);
    input_in_use = true;
    socket.async_read_some(
        input.prepare(wanted),
        [self = shared_from_this()](const boost::system::error_code& fault,
                                    std::size_t count)
        { self->input_read(fault, count); });
}

void stream_reply::target::input_read(const boost::system::error_code& fault,
                                      std::size_t count)
{
    input_in_use = false;
    if (state != phase::reading)
        return release_input();
    if (fault)
        return close(close_reason::peer);
    input.commit(count);
    received_at = event_loop::now();
    parse_input();
}

void stream_reply::target::parse_input()
{
    boost::system::error_code fault;
    while (input.size() > 0 && !parser->is_done() && !fault)
    {
        const bool in_head = !parser->is_header_done();
        const auto* text = static_cast<const char*>(input.data().data());
        const auto parsed = parser->put(input.data(), fault);
        if (in_head)
            head_cost += internal::cost_of_lines(text, parsed);
        input.consume(parsed);
        if (in_head && parser->is_header_done() && !head_read())
            return;
    }
    if (fault && fault != http::error::need_more)
        return reject(fault);
    if (parser->is_done())
        return request_read();
    if (account())
        read_input();
}

bool stream_reply::target::head_read()
{
    const auto length = parser->content_length().value_or(0);
    if (!server->requests.admits(head_cost + length))
    {
        refuse_for_memory();
        return false;
    }
    if (boost::beast::iequals((*parser).get()[http::field::expect],
                              "100-continue"))
        queue("HTTP/1.1 100 Continue\r\n\r\n");
    if (!parser->is_done())
        start_deadline(server->limits.idle_time, 408);
    return true;
}

bool stream_reply::target::account()
{
    const auto parsed = head_cost + (*parser).get().body().size();
    const auto now = event_loop::now();
    server->requests.receiving(this, input.capacity() + parsed, now);
    if (!server->requests.admits(parsed))
    {
        refuse_for_memory();
        return false;
    }
    while (const auto excess = server->requests.excess(now))
        (*excess)->refuse_for_memory();
    return state == phase::reading;
}

void stream_reply::target::release_input()
{
    discarded_bytes += input.size();
    input.clear();
    input.shrink_to_fit();
}

void stream_reply::target::reject(const boost::system::error_code& fault)
{
    refuse(internal::refusal_status(fault));
}

void stream_reply::target::refuse(int status)
{
    refuse_with(status, {}, close_reason::refused);
}

void stream_reply::target::refuse_for_memory()
{
    refuse_with(503, server->refusal_headers, close_reason::memory);
}

void stream_reply::target::refuse_with(int status, const header_list& headers,
                                       close_reason why)
{
    deadline.cancel();
    server->requests.erase(this);
    // What was received is not needed any more, while the connection stays open
    // for some time.
    parser.reset();
    if (!input_in_use)
        release_input();
    queue(internal::answer_head(status, headers, 11, 0, true));
    close_when_sent(why);
}

void stream_reply::target::request_read()
{
    deadline.cancel();
    if (internal::is_closed_by_peer(socket.native_handle()))
    {
        request_dropped = true;
        return close(close_reason::peer);
    }
    auto message = parser->release();
    server->requests.received(this, head_cost + message.body().size());
    stream_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message)
        request.headers.push_back(std::string(field.name_string()),
                                  std::string(field.value()));
    request.body = shared_text(std::move(message.body()));
    request.from = peer_address;
    request.arrived_at = input_since;
    version = message.version();
    keep_alive = message.keep_alive();
    head_only = message.method() == http::verb::head;
    parser.reset();
    state = phase::answering;
    head_sent = false;
    close_after = false;
    ++current_number;
    ++server->open_answers;
    watch_for_close();
    server->handle(std::move(request),
                   stream_reply(weak_from_this(), current_number));
}

} // namespace coursejunction
