#include "coursejunction/net/stream_server.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/types.h>

#include <deque>
#include <optional>
#include <unordered_set>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/head_text.hpp"

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

template <typename Parser>
int status_of(const boost::system::error_code& fault, const Parser&)
{
    if (fault == http::error::header_limit)
        return 431;
    if (fault == http::error::body_limit)
        return 413;
    return 400;
}

std::string answer_head(int status, const header_list& headers,
                        unsigned version, std::optional<std::size_t> length,
                        bool close)
{
    http::response<http::empty_body> head;
    head.version(version);
    head.result(static_cast<unsigned>(status));
    for (const auto& one : headers)
        head.insert(one.name, one.value);
    if (length)
        head.set(http::field::content_length, std::to_string(*length));
    else if (version >= 11)
        head.set(http::field::transfer_encoding, "chunked");
    if (close)
        head.set(http::field::connection, "close");
    return head_text(head);
}

std::string chunk_text(std::string_view bytes)
{
    return boost::beast::buffers_to_string(
        http::make_chunk(asio::buffer(bytes.data(), bytes.size())));
}

} // namespace internal

struct stream_server::implementation
    : std::enable_shared_from_this<implementation>
{
    implementation(asio::io_context& owner, stream_limits set, handler call)
        : context(owner), acceptor(owner), retry(owner), bounds(set),
          handle(std::move(call))
    {
    }

    void accept();

    asio::io_context& context;
    tcp::acceptor acceptor;
    asio::steady_timer retry;
    stream_limits bounds;
    handler handle;
    bool retiring{false};
    std::size_t open_answers{0};
    std::unordered_set<stream_reply::target*> connections;
};

/*! @brief One caller's connection: reads a request, waits for its answer,
 * reads the next. */
class stream_reply::target
    : public std::enable_shared_from_this<stream_reply::target>
{
public:
    target(tcp::socket owned,
           std::shared_ptr<stream_server::implementation> owner)
        : socket(std::move(owned)), clock(socket.get_executor()),
          server(std::move(owner))
    {
        server->connections.insert(this);
    }

    ~target()
    {
        leave_answer();
        server->connections.erase(this);
    }

    void start()
    {
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const int limit = internal::user_timeout_ms;
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                     &limit, sizeof limit);
        const auto peer = socket.remote_endpoint(ignored);
        from = peer.address().to_string() + ":" + std::to_string(peer.port());
        next_request();
    }

    void close_if_idle()
    {
        if (state == step::idle && input.size() == 0)
            close();
    }

    void send(std::uint64_t of, int status, const header_list& headers,
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

    void begin(std::uint64_t of, int status, const header_list& headers)
    {
        if (!current(of) || begun)
            return;
        begun = true;
        close_after = closing() || version < 11;
        queue(internal::answer_head(status, headers, version, std::nullopt,
                                    close_after));
    }

    void write(std::uint64_t of, std::string_view bytes)
    {
        if (!current(of) || !begun || bytes.empty())
            return;
        if (unsent_bytes > internal::most_unsent)
            return close();
        queue(version >= 11 ? internal::chunk_text(bytes) : std::string(bytes));
    }

    void finish(std::uint64_t of)
    {
        if (!current(of) || !begun)
            return;
        if (version >= 11)
            queue("0\r\n\r\n");
        end_answer(close_after);
    }

    void cut(std::uint64_t of)
    {
        if (!current(of))
            return;
        leave_answer();
        left = nullptr;
        state = step::closing;
        if (output.empty())
            close();
    }

    void on_left(std::uint64_t of, std::function<void()> call)
    {
        if (current(of))
            left = std::move(call);
    }

    [[nodiscard]] std::size_t unsent(std::uint64_t of) const
    {
        return current(of) ? unsent_bytes : 0;
    }

private:
    enum class step : std::uint8_t
    {
        idle,
        reading,
        answering,
        closing,
        closed
    };

    [[nodiscard]] bool current(std::uint64_t of) const
    {
        return state == step::answering && of == number;
    }

    [[nodiscard]] bool closing() const
    {
        return server->retiring || !keep_alive;
    }

    void next_request()
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

    void read_head()
    {
        state = step::reading;
        parser.emplace();
        parser->header_limit(
            static_cast<std::uint32_t>(server->bounds.head_bytes));
        parser->body_limit(server->bounds.body_bytes);
        arm(server->bounds.head_time, 408);
        http::async_read_header(socket, input, *parser,
                                [self = shared_from_this()](
                                    const boost::system::error_code& fault,
                                    std::size_t) { self->head_read(fault); });
    }

    void head_read(const boost::system::error_code& fault)
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
        http::async_read(
            socket, input, *parser,
            [self = shared_from_this()](const boost::system::error_code& failed,
                                        std::size_t)
            {
                if (self->state != step::reading)
                    return;
                if (failed)
                    return self->reject(failed);
                self->request_read();
            });
    }

    void reject(const boost::system::error_code& fault)
    {
        const bool wrong_input =
            fault.category() ==
                make_error_code(http::error::bad_method).category() &&
            fault != http::error::end_of_stream &&
            fault != http::error::partial_message;
        if (!wrong_input)
            return close();
        refuse(internal::status_of(fault, *parser));
    }

    /*! @brief Answers what cannot be read and closes. */
    void refuse(int status)
    {
        clock.cancel();
        state = step::closing;
        queue(internal::answer_head(status, {}, 11, 0, true));
    }

    void request_read()
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
        server->handle(std::move(request),
                       stream_reply(weak_from_this(), number));
    }

    /*! @brief Notices that the caller closes while its answer is made. */
    void watch_leaving()
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

    void look(std::uint64_t)
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

    void end_answer(bool last)
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

    void leave_answer()
    {
        if (state == step::answering)
            --server->open_answers;
    }

    void queue(std::string bytes)
    {
        if (state == step::closed)
            return;
        unsent_bytes += bytes.size();
        output.push_back(std::move(bytes));
        if (output.size() == 1)
            write_next();
    }

    void write_next()
    {
        asio::async_write(
            socket, asio::buffer(output.front()),
            [self = shared_from_this()](const boost::system::error_code& fault,
                                        std::size_t) { self->written(fault); });
    }

    void written(const boost::system::error_code& fault)
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

    void arm(milliseconds limit, int status)
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

    void close()
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

    tcp::socket socket;
    asio::steady_timer clock;
    std::shared_ptr<stream_server::implementation> server;
    boost::beast::flat_buffer input;
    std::optional<http::request_parser<http::string_body>> parser;
    std::deque<std::string> output;
    std::size_t unsent_bytes{0};
    std::string from;
    std::function<void()> left;
    std::uint64_t number{0};
    unsigned version{11};
    step state{step::idle};
    bool keep_alive{true};
    bool head_only{false};
    bool begun{false};
    bool close_after{false};
};

void stream_server::implementation::accept()
{
    acceptor.async_accept(
        [self = shared_from_this()](const boost::system::error_code& fault,
                                    tcp::socket socket)
        {
            if (fault == asio::error::operation_aborted)
                return;
            if (!fault)
            {
                std::make_shared<stream_reply::target>(std::move(socket), self)
                    ->start();
                return self->accept();
            }
            // Descriptors ran out: look again when some may be free.
            constexpr milliseconds pause{50};
            self->retry.expires_after(pause);
            self->retry.async_wait(
                [self](const boost::system::error_code& stopped)
                {
                    if (!stopped)
                        self->accept();
                });
        });
}

stream_reply::stream_reply(std::weak_ptr<target> to, std::uint64_t of)
    : connection(std::move(to)), number(of)
{
}

void stream_reply::send(int status, const header_list& headers,
                        std::string_view body)
{
    if (const auto to = connection.lock())
        to->send(number, status, headers, body);
}

void stream_reply::begin(int status, const header_list& headers)
{
    if (const auto to = connection.lock())
        to->begin(number, status, headers);
}

void stream_reply::write(std::string_view bytes)
{
    if (const auto to = connection.lock())
        to->write(number, bytes);
}

void stream_reply::finish()
{
    if (const auto to = connection.lock())
        to->finish(number);
}

void stream_reply::cut()
{
    if (const auto to = connection.lock())
        to->cut(number);
}

void stream_reply::on_left(std::function<void()> call)
{
    if (const auto to = connection.lock())
        to->on_left(number, std::move(call));
}

std::size_t stream_reply::unsent() const
{
    const auto to = connection.lock();
    return to ? to->unsent(number) : 0;
}

stream_server::stream_server(std::shared_ptr<implementation> shared)
    : self(std::move(shared))
{
}

stream_server::~stream_server()
{
    boost::system::error_code ignored;
    self->acceptor.close(ignored);
    self->retry.cancel();
}

result<std::unique_ptr<stream_server>>
stream_server::create(event_loop& loop, const std::string& address,
                      std::uint16_t port, stream_limits limits, handler handle)
{
    auto& context = *static_cast<asio::io_context*>(loop.native());
    auto made =
        std::make_shared<implementation>(context, limits, std::move(handle));
    boost::system::error_code fault;
    const auto ip = asio::ip::make_address(address, fault);
    const tcp::endpoint at(ip, port);
    if (!fault)
        made->acceptor.open(at.protocol(), fault);
    if (!fault)
        made->acceptor.set_option(tcp::acceptor::reuse_address(true), fault);
    if (!fault)
        made->acceptor.bind(at, fault);
    if (!fault)
        made->acceptor.listen(asio::socket_base::max_listen_connections, fault);
    if (fault)
        return failure(error_kind::unavailable, address + ":" +
                                                    std::to_string(port) +
                                                    ": " + fault.message());
    made->accept();
    return std::unique_ptr<stream_server>(new stream_server(std::move(made)));
}

void stream_server::limits(const stream_limits& set)
{
    self->bounds = set;
}

void stream_server::retire()
{
    self->retiring = true;
}

void stream_server::close_idle()
{
    const std::vector<stream_reply::target*> all(self->connections.begin(),
                                                 self->connections.end());
    for (auto* one : all)
    {
        if (const auto held = one->weak_from_this().lock())
            held->close_if_idle();
    }
}

std::uint16_t stream_server::port() const
{
    boost::system::error_code ignored;
    return self->acceptor.local_endpoint(ignored).port();
}

std::size_t stream_server::size() const
{
    return self->connections.size();
}

std::size_t stream_server::answering() const
{
    return self->open_answers;
}

} // namespace coursejunction
