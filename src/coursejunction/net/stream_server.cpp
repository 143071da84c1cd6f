#include "coursejunction/net/stream_server.hpp"

#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/internal/stream_connection.hpp"
#include "coursejunction/net/internal/waiting_connections.hpp"

namespace coursejunction
{

namespace asio = boost::asio;
using asio::ip::tcp;

struct stream_server::implementation
    : std::enable_shared_from_this<implementation>
{
    implementation(asio::io_context& owner, const event_loop& loop,
                   stream_limits set, handler call)
        : acceptor(owner), accept_retry(owner),
          state(std::make_shared<internal::stream_server_state>())
    {
        state->loop = &loop;
        state->limits = set;
        state->idle_times.set(set.idle_time, event_loop::now());
        state->handle = std::move(call);
    }

    /*! @brief Waits for connections. */
    void accept();

    /*! @brief Accepts those that wait. */
    void accept_waiting();

    /*! @brief Closes the least used connection if too many are open.
     * @return Whether there is room for a further one. */
    bool make_room() const;

    /*! @brief Starts to read the newest accepted connection, and the next one
     * in the next turn of the loop, so that new ones never hold up streams. */
    void start_newest();

    /*! @brief Refuses accepted connections that have waited for too long. */
    void refuse_overdue();

    /*! @brief Closes idle connections that have rested for at least this long.
     */
    void close_rested(milliseconds rest) const;

    /*! @brief Clients reuse a connection that has rested for up to 4/5 of the
     * idle time; a request then takes up to this long to arrive. */
    static constexpr milliseconds reuse_margin{500};

    /*! @brief Connections that are accepted before other work gets its turn.
     * With one a turn they would wait for many turns of a busy loop, unseen by
     * the bound on the age of input. */
    static constexpr int max_accepted = 64;

    /*! @brief Beyond this number further ones wait in the kernel, as each takes
     * a file descriptor. */
    static constexpr std::size_t max_waiting = 512;

    tcp::acceptor acceptor;
    asio::steady_timer accept_retry;
    std::shared_ptr<internal::stream_server_state> state;
    internal::waiting_connections<std::shared_ptr<stream_reply::target>>
        waiting;
    bool starting{false}; /*!< `start_newest` is about to be called again. */
    milliseconds max_wait{0}; /*!< 0: without limit. */
};

void stream_server::implementation::accept()
{
    acceptor.async_wait(
        tcp::acceptor::wait_read,
        [self = shared_from_this()](const boost::system::error_code& fault)
        {
            if (fault != asio::error::operation_aborted)
                self->accept_waiting();
        });
}

void stream_server::implementation::accept_waiting()
{
    boost::system::error_code fault;
    const auto since = state->loop->input_arrived_after();
    for (int accepted = 0;
         accepted < max_accepted && waiting.size() < max_waiting && !fault;
         ++accepted)
    {
        tcp::socket socket(acceptor.get_executor());
        acceptor.accept(socket, fault);
        if (!fault && make_room())
            waiting.push(std::make_shared<stream_reply::target>(
                             std::move(socket), state, since),
                         since);
    }
    if (!starting)
        start_newest();
    if (!fault || fault == asio::error::would_block ||
        fault == asio::error::connection_aborted)
        return accept();
    // Usually out of file descriptors: try again when some may be free.
    constexpr milliseconds pause{50};
    accept_retry.expires_after(pause);
    accept_retry.async_wait(
        [self = shared_from_this()](const boost::system::error_code& stopped)
        {
            if (!stopped)
                self->accept();
        });
}

bool stream_server::implementation::make_room() const
{
    if (state->max_connections == 0 ||
        state->connections.size() < state->max_connections)
        return true;
    stream_reply::target* least_used = nullptr;
    std::optional<internal::connection_use> least;
    for (auto* one : state->connections)
    {
        const auto use = one->use();
        if (!use || (least && !(*use < *least)))
            continue;
        least = use;
        least_used = one;
    }
    const auto held =
        least_used != nullptr ? least_used->weak_from_this().lock() : nullptr;
    if (held)
        held->close_for_another();
    return held != nullptr;
}

void stream_server::implementation::start_newest()
{
    starting = false;
    refuse_overdue();
    const auto newest = waiting.take_newest();
    if (!newest)
        return;
    (*newest)->start();
    if (waiting.size() == 0)
        return;
    starting = true;
    asio::post(acceptor.get_executor(),
               [self = shared_from_this()] { self->start_newest(); });
}

void stream_server::implementation::refuse_overdue()
{
    if (max_wait.count() == 0)
        return;
    const auto limit = event_loop::now() - max_wait;
    while (const auto overdue = waiting.take_older(limit))
        (*overdue)->refuse_unread();
}

void stream_server::implementation::close_rested(milliseconds rest) const
{
    const auto since = event_loop::now() - rest;
    const std::vector<stream_reply::target*> all(state->connections.begin(),
                                                 state->connections.end());
    for (auto* one : all)
    {
        if (const auto held = one->weak_from_this().lock())
            held->close_if_idle(since);
    }
}

stream_reply::stream_reply(std::weak_ptr<target> to,
                           std::uint64_t request_number)
    : connection(std::move(to)), number(request_number)
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

void stream_reply::on_disconnect(std::function<void()> call)
{
    if (const auto to = connection.lock())
        to->on_disconnect(number, std::move(call));
}

void stream_reply::drop()
{
    if (const auto to = connection.lock())
        to->drop(number);
}

void stream_reply::on_drained(std::size_t below, std::function<void()> call)
{
    if (const auto to = connection.lock())
        to->on_drained(number, below, std::move(call));
}

bool stream_reply::check_connected()
{
    const auto to = connection.lock();
    return to && to->check_connected(number);
}

std::size_t stream_reply::unsent() const
{
    const auto to = connection.lock();
    return to ? to->unsent(number) : 0;
}

std::string_view close_reason_name(close_reason reason)
{
    switch (reason)
    {
    case close_reason::idle_time:
        return "idle_time";
    case close_reason::stopping:
        return "stopping";
    case close_reason::response:
        return "response";
    case close_reason::refused:
        return "refused";
    case close_reason::overload:
        return "overload";
    case close_reason::memory:
        return "memory";
    case close_reason::crowded:
        return "crowded";
    case close_reason::cut:
        return "cut";
    case close_reason::unsent:
        return "unsent";
    case close_reason::peer:
        break;
    }
    return "peer";
}

stream_server::stream_server(std::shared_ptr<implementation> shared)
    : self(std::move(shared))
{
}

stream_server::~stream_server()
{
    boost::system::error_code ignored;
    self->acceptor.close(ignored);
    self->accept_retry.cancel();
    self->waiting.clear();
    self->state->report_close = nullptr;
    // Connections outlive the server until their last operation ends; what
    // their callbacks refer to may not.
    for (auto* one : self->state->connections)
        one->forget_callbacks();
}

result<std::unique_ptr<stream_server>>
stream_server::create(event_loop& loop, const std::string& address,
                      std::uint16_t port, stream_limits limits, handler handle)
{
    auto& context = *static_cast<asio::io_context*>(loop.native());
    auto made = std::make_shared<implementation>(context, loop, limits,
                                                 std::move(handle));
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
    if (!fault)
        made->acceptor.non_blocking(true, fault);
    if (fault)
        return failure(error_kind::unavailable, address + ":" +
                                                    std::to_string(port) +
                                                    ": " + fault.message());
    made->accept();
    return std::unique_ptr<stream_server>(new stream_server(std::move(made)));
}

void stream_server::limits(const stream_limits& set)
{
    self->state->limits = set;
    self->state->idle_times.set(set.idle_time, event_loop::now());
}

void stream_server::limit_unsent(std::size_t bytes)
{
    self->state->unsent.limit(bytes);
}

void stream_server::limit_requests(std::size_t bytes)
{
    self->state->requests.limit(bytes);
}

void stream_server::limit_connections(std::size_t count)
{
    self->state->max_connections = count;
}

void stream_server::refuse_unread_after(milliseconds wait)
{
    self->max_wait = wait;
}

void stream_server::refusal_headers(header_list headers)
{
    self->state->refusal_headers = std::move(headers);
}

void stream_server::on_close(close_handler call)
{
    self->state->report_close = std::move(call);
}

void stream_server::retire()
{
    self->state->retiring = true;
}

void stream_server::close_idle()
{
    self->close_rested(milliseconds(0));
}

void stream_server::close_rested()
{
    const auto longest = self->state->idle_times.longest(event_loop::now());
    self->close_rested(longest * 4 / 5 + implementation::reuse_margin);
}

std::uint16_t stream_server::port() const
{
    boost::system::error_code ignored;
    return self->acceptor.local_endpoint(ignored).port();
}

std::size_t stream_server::size() const
{
    return self->state->connections.size();
}

std::size_t stream_server::unsent() const
{
    return self->state->unsent.total();
}

std::size_t stream_server::request_bytes() const
{
    return self->state->requests.total();
}

std::size_t stream_server::answering() const
{
    return self->state->open_answers;
}

} // namespace coursejunction
