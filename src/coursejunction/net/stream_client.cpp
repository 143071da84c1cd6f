#include "coursejunction/net/stream_client.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "coursejunction/core/log.hpp"
#include "coursejunction/core/suspension.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/internal/call_text.hpp"
#include "coursejunction/net/internal/response_head.hpp"

namespace coursejunction
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace internal
{

/*! @brief Bytes read from the socket at a time. */
constexpr std::size_t read_bytes = 16384;

/*! @brief Idle connections kept per address. */
constexpr std::size_t max_idle_per_address = 8;

/*! @brief TCP_USER_TIMEOUT: the kernel drops the connection when sent data
 * stays unacknowledged for this long. */
constexpr int call_user_timeout_ms = 4000;

/*! @brief A reused connection that the peer closes within this time of sending
 * may have been closed before: the peer's reset arrives within a round trip,
 * about 20 ms between distant regions. It is no proof, since a peer may also
 * read a call and reset the connection within a few milliseconds. */
constexpr milliseconds stale_connection_window{100};

/*! @brief Time limit of a probe; the same as `stream_call::connect_time`. */
constexpr milliseconds probe_timeout{250};

/*! @brief Returns whether the peer closed the connection. */
bool closed_by_peer(const boost::system::error_code& fault)
{
    return fault == asio::error::eof ||
           fault == asio::error::connection_reset ||
           fault == asio::error::broken_pipe ||
           fault == http::error::end_of_stream ||
           fault == http::error::partial_message;
}

/*! @brief Returns whether a final response follows one with this status
 * (RFC 9110 section 15.2). */
bool is_interim(unsigned status)
{
    return status / 100 == 1 &&
           status != static_cast<unsigned>(http::status::switching_protocols);
}

/*! @brief One call and its connection. */
class stream_exchange : public std::enable_shared_from_this<stream_exchange>
{
public:
    /*! @brief Called at the end of the call, with the socket if it can be
     * reused. */
    using finished_callback =
        std::function<void(std::optional<tcp::socket>, stream_end)>;

    stream_exchange(asio::io_context& owner, const event_loop& own_loop,
                    stream_call what, stream_client::callbacks to,
                    finished_callback on_finished)
        : loop(own_loop), socket(owner), connect_timer(owner),
          call_timer(owner), stall_timer(owner), call(std::move(what)),
          target(std::move(to)), finished(std::move(on_finished)),
          input(max_head)
    {
    }

    /*! @brief Sends the call on an idle connection of the pool. */
    void start_on_idle(tcp::socket kept)
    {
        socket = std::move(kept);
        reused = true;
        if (call.timeout.count() > 0)
            arm(call_timer, call.timeout, "call timed out");
        write();
    }

    void start()
    {
        const auto to = endpoint_of(call.address);
        if (!to)
            return end_later(stream_end::not_sent, "address is not IP:port");
        limit_connecting();
        if (call.timeout.count() > 0)
            arm(call_timer, call.timeout, "call timed out");
        socket.async_connect(*to, [self = shared_from_this()](
                                      const boost::system::error_code& failed)
                             { self->connected(failed); });
    }

    /*! @brief Ends the call and closes its connection. Without a complete
     * response the connection is reset, which discards what the peer has not
     * read yet; otherwise the peer could run the request after the call was
     * abandoned. */
    void abandon()
    {
        completed = true;
        connect_timer.cancel();
        call_timer.cancel();
        stall_timer.cancel();
        boost::system::error_code ignored;
        if (sent && !complete && socket.is_open())
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    [[nodiscard]] bool goes_to(const std::string& address) const
    {
        return call.address == address;
    }

    /*! @brief Stops reading the body; the peer is held back once the kernel's
     * buffer is full. */
    void pause() { paused = true; }

    void resume()
    {
        paused = false;
        last_progress = event_loop::now();
        if (std::exchange(read_deferred, false))
            read_body();
    }

private:
    /*! @brief Bound on a head, and on a chunk's head and the trailer section,
     * which the parser needs whole as well. */
    static constexpr std::uint32_t max_head = 65536;
    /*! @brief A peer in trouble may send interim responses without end. */
    static constexpr int max_interim_heads = 16;
    // Beast 1.74 compares boost::none as smaller than any length, so "no limit"
    // would reject every body.
    static constexpr std::uint64_t unlimited_body = std::uint64_t{1} << 40U;

    void arm(asio::steady_timer& timer, milliseconds wait, const char* why)
    {
        timer.expires_after(wait);
        timer.async_wait(
            [self = shared_from_this(),
             why](const boost::system::error_code& fault)
            {
                if (!fault)
                    self->end(self->sent ? stream_end::broken
                                         : stream_end::not_sent,
                              why);
            });
    }

    /*! @brief Ends the call if its connection is not up in time. */
    void limit_connecting()
    {
        connect_timer.expires_after(call.connect_time);
        connect_timer.async_wait(
            [self = shared_from_this()](const boost::system::error_code& fault)
            {
                // In a busy loop the connection and the end of its time are
                // found in one turn, and the timer can't be cancelled any more.
                if (!fault && !self->sent)
                    self->end(stream_end::not_sent, "connection timed out");
            });
    }

    /*! @brief Ends the call when nothing was received for `stall_time`. */
    void watch_for_stall()
    {
        // The timer's clock stops while the instance is suspended; the clock of
        // `last_progress` does not.
        stall_timer.expires_after(
            timer_wait(last_progress + call.stall_time, event_loop::now()));
        stall_timer.async_wait(
            [self = shared_from_this()](const boost::system::error_code& fault)
            {
                if (fault || self->completed)
                    return;
                if (self->paused)
                    self->last_progress = event_loop::now();
                if (event_loop::now() - self->last_progress <
                    self->call.stall_time)
                    return self->watch_for_stall();
                self->end(stream_end::broken, "call made no progress");
            });
    }

    void end_later(stream_end how, std::string why)
    {
        asio::post(socket.get_executor(),
                   [self = shared_from_this(), how, why = std::move(why)]
                   { self->end(how, why); });
    }

    void connected(const boost::system::error_code& fault)
    {
        if (completed)
            return;
        if (fault)
            return end(stream_end::not_sent, fault.message());
        connect_timer.cancel();
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const int wait = call_user_timeout_ms;
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                     &wait, sizeof wait);
        if (target.connected)
            target.connected(call);
        if (!completed)
            write();
    }

    void write()
    {
        output = request_head(call);
        sent = true;
        last_progress = event_loop::now();
        if (call.stall_time.count() > 0)
            watch_for_stall();
        const std::array<asio::const_buffer, 2> request{
            asio::buffer(output),
            asio::buffer(call.body.view().data(), call.body.size())};
        asio::async_write(
            socket, request,
            [self = shared_from_this()](const boost::system::error_code& fault,
                                        std::size_t)
            {
                // A failed write is handled by the read, since the peer may
                // have sent a response before it closed.
                self->written = !fault;
            });
        read_head();
    }

    void read_head()
    {
        parser.emplace();
        parser->header_limit(max_head);
        parser->body_limit(call.max_body > 0 ? call.max_body : unlimited_body);
        parser->skip(call.method == "HEAD");
        http::async_read_header(socket, input, *parser,
                                [self = shared_from_this()](
                                    const boost::system::error_code& fault,
                                    std::size_t) { self->head_read(fault); });
    }

    void head_read(const boost::system::error_code& fault)
    {
        if (completed || fault == asio::error::operation_aborted)
            return;
        // A reset that was read late may have arrived at once.
        const bool soon = loop.input_arrived_after() - last_progress <
                          stale_connection_window;
        last_progress = event_loop::now();
        const bool responded = parser->got_some() || interim_heads > 0;
        if (fault && reused && soon && !responded && closed_by_peer(fault))
            return end(stream_end::stale, fault.message());
        if (fault)
            return failed(fault);
        if (is_interim(parser->get().result_int()))
            return ++interim_heads > max_interim_heads
                       ? end(stream_end::malformed,
                             "too many interim responses")
                       : read_head();
        if (const auto* const why = invalidity_of_head())
            return end(stream_end::malformed, why);
        stream_head head;
        framing = framing_of_response();
        head.framing = framing;
        head.status = static_cast<int>(parser->get().result_int());
        for (const auto& field : parser->get())
            head.headers.push_back(std::string(field.name_string()),
                                   std::string(field.value()));
        const auto self = shared_from_this();
        target.head(head);
        if (completed)
            return;
        read_body();
    }

    /*! @brief Returns why the final response whose head was read is not valid,
     * although the parser accepts it; null if it is. */
    [[nodiscard]] const char* invalidity_of_head() const
    {
        const auto& response = parser->get();
        if (!is_final_status(static_cast<int>(response.result_int())))
            return "status of the response is not valid";
        const auto codings =
            response.equal_range(http::field::transfer_encoding);
        for (auto at = codings.first; at != codings.second; ++at)
        {
            constexpr unsigned http_1_1 = 11;
            if (at != codings.first || response.version() < http_1_1 ||
                !is_chunked({at->value().data(), at->value().size()}))
                return "transfer coding of the response was not offered";
        }
        return nullptr;
    }

    /*! @brief Returns the framing of the response whose head was read. */
    [[nodiscard]] body_framing framing_of_response() const
    {
        if (parser->is_done())
            return body_framing::none;
        if (parser->chunked())
            return body_framing::chunks;
        return parser->need_eof() ? body_framing::connection
                                  : body_framing::length;
    }

    void read_body()
    {
        if (parser->is_done())
            return response_complete();
        read_deferred = paused;
        if (paused)
            return;
        parser->get().body().data = body_buffer.data();
        parser->get().body().size = body_buffer.size();
        http::async_read_some(socket, input, *parser,
                              [self = shared_from_this()](
                                  const boost::system::error_code& fault,
                                  std::size_t) { self->body_read(fault); });
    }

    void body_read(boost::system::error_code fault)
    {
        if (completed)
            return;
        if (fault == http::error::need_buffer)
            fault = {};
        const auto count = body_buffer.size() - parser->get().body().size;
        if (count > 0)
        {
            last_progress = event_loop::now();
            const auto self = shared_from_this();
            target.data({body_buffer.data(), count});
            if (completed)
                return;
        }
        if (fault)
            return failed(fault);
        read_body();
    }

    void failed(const boost::system::error_code& fault)
    {
        const bool protocol =
            fault.category() ==
                make_error_code(http::error::bad_method).category() &&
            fault != http::error::end_of_stream &&
            fault != http::error::partial_message;
        if (protocol)
            return end(stream_end::malformed, fault.message());
        end(closed_by_peer(fault) ? stream_end::closed : stream_end::broken,
            fault.message());
    }

    /*! @brief Ends the call; its connection is reused unless surplus bytes were
     * received on it. */
    void response_complete()
    {
        // The kernel reports a reset once. If the write took it, the end of the
        // connection does not show it.
        if (framing == body_framing::connection && !written)
            return end(stream_end::closed,
                       "connection closed before the request was written");
        if (call.may_reuse_connection && written && parser->keep_alive() &&
            input.size() == 0)
            reusable_socket.emplace(std::move(socket));
        complete = true;
        if (framing == body_framing::connection)
            return end(stream_end::unframed, "connection closed by the peer");
        end(stream_end::whole, {});
    }

    void end(stream_end how, const std::string& why)
    {
        if (completed)
            return;
        const auto self = shared_from_this();
        abandon();
        const auto on_ended = std::move(target.ended);
        finished(std::move(reusable_socket), how);
        on_ended(how, why);
    }

    const event_loop& loop;
    tcp::socket socket;
    asio::steady_timer connect_timer;
    asio::steady_timer call_timer;
    asio::steady_timer stall_timer;
    time_point last_progress{}; /*!< Time of sending or of the last received
                                          bytes. */
    stream_call call;
    stream_client::callbacks target;
    finished_callback finished;
    boost::beast::flat_buffer input;
    std::optional<http::response_parser<http::buffer_body>> parser;
    int interim_heads{0}; /*!< Responses with a status 1xx so far. */
    std::optional<tcp::socket> reusable_socket;
    std::array<char, read_bytes> body_buffer{};
    std::string output; /*!< Head of the request. */
    body_framing framing{body_framing::none};
    bool sent{false};
    bool completed{false};
    bool complete{false}; /*!< The response was received to its end. */
    bool reused{false};
    bool written{false};
    bool paused{false};
    bool read_deferred{false}; /*!< The next read starts at `resume`. */
};

} // namespace internal

struct stream_client::implementation
    : std::enable_shared_from_this<implementation>
{
    explicit implementation(event_loop& owner)
        : loop(owner), context(*static_cast<asio::io_context*>(owner.native()))
    {
    }

    /*! @brief Removes an idle connection to an address from the pool; skips
     * those that were closed by the peer or have unexpected bytes to read. */
    std::optional<tcp::socket> take_idle(const std::string& address)
    {
        auto& list = idle[address];
        while (!list.empty())
        {
            auto socket = std::move(list.back());
            list.pop_back();
            char byte = 0;
            const auto count = ::recv(socket.native_handle(), &byte, 1,
                                      MSG_PEEK | MSG_DONTWAIT);
            if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
                return socket;
        }
        idle.erase(address);
        return std::nullopt;
    }

    /*! @brief Closes idle connections, the oldest first, so that a new one
     * stays within the call's bound. */
    void make_room(const stream_call& call)
    {
        const auto found = idle.find(call.address);
        if (call.max_connections == 0 || found == idle.end())
            return;
        const auto used = static_cast<std::size_t>(
            std::count_if(open.begin(), open.end(),
                          [&](const auto& item)
                          { return item.second->goes_to(call.address); }));
        auto& list = found->second;
        while (!list.empty() && used + list.size() >= call.max_connections)
            list.erase(list.begin());
    }

    void put_idle(const std::string& address, tcp::socket socket)
    {
        auto& list = idle[address];
        if (list.size() < internal::max_idle_per_address)
            list.push_back(std::move(socket));
    }

    /*! @brief Starts a call under a given id.
     * @param reuse Whether it may use an idle connection. */
    void start(call_id id, stream_call call, callbacks to, bool reuse)
    {
        auto kept = reuse ? take_idle(call.address) : std::nullopt;
        auto one = std::make_shared<internal::stream_exchange>(
            context, loop, call, std::move(to),
            [shared = weak_from_this(), id, address = call.address](
                std::optional<tcp::socket> socket, stream_end how)
            {
                const auto held = shared.lock();
                if (!held)
                    return;
                held->open.erase(id);
                // The peer may have closed its other connections as well.
                if (how == stream_end::stale)
                    held->idle.erase(address);
                if (socket)
                    held->put_idle(address, std::move(*socket));
            });
        if (!kept)
            make_room(call);
        open.emplace(id, one);
        if (kept)
            one->start_on_idle(std::move(*kept));
        else
            one->start();
    }

    /*! @brief Starts a call under a given id and buffers its response.
     * @param resent It was sent before, on a stale connection. */
    void gather(call_id id, stream_call call, std::function<void(answer)> done,
                bool resent)
    {
        if (call.max_body == 0)
            call.max_body = max_gathered_bytes;
        const auto gathered = std::make_shared<answer>();
        callbacks to;
        to.head = [gathered](const stream_head& head)
        {
            gathered->status = head.status;
            gathered->headers = head.headers;
        };
        to.data = [gathered](std::string_view bytes)
        { gathered->body.append(bytes); };
        to.ended =
            [gathered, shared = weak_from_this(), id, call, resent,
             done = std::move(done)](stream_end how, const std::string& why)
        {
            const auto held = shared.lock();
            if (how == stream_end::stale && held)
            {
                log::problem("call_resent", {{"address", call.address},
                                             {"target", call.target},
                                             {"why", why}});
                return held->gather(id, call, done, true);
            }
            // The call may have arrived on the stale connection even if the new
            // connection failed, so `not_sent` would be wrong.
            gathered->end = how == stream_end::not_sent && resent
                                ? stream_end::closed
                                : how;
            gathered->why = why;
            done(std::move(*gathered));
        };
        const bool reuse = call.may_reuse_connection && !resent;
        start(id, std::move(call), std::move(to), reuse);
    }

    const event_loop& loop;
    asio::io_context& context;
    std::unordered_map<call_id, std::shared_ptr<internal::stream_exchange>>
        open;
    std::unordered_map<std::string, std::vector<tcp::socket>> idle;
    call_id last{0};
};

stream_client::stream_client(event_loop& loop)
    : self(std::make_shared<implementation>(loop))
{
}

stream_client::~stream_client()
{
    for (const auto& [id, one] : self->open)
        one->abandon();
}

stream_client::call_id stream_client::start(stream_call call, callbacks to)
{
    const auto id = ++self->last;
    const bool reuse = call.may_reuse_connection;
    self->start(id, std::move(call), std::move(to), reuse);
    return id;
}

void stream_client::cancel(call_id which)
{
    const auto found = self->open.find(which);
    if (found == self->open.end())
        return;
    const auto one = found->second;
    self->open.erase(found);
    one->abandon();
}

void stream_client::pause(call_id which)
{
    const auto found = self->open.find(which);
    if (found != self->open.end())
        found->second->pause();
}

void stream_client::resume(call_id which)
{
    const auto found = self->open.find(which);
    if (found == self->open.end())
        return;
    const auto one = found->second;
    one->resume();
}

void stream_client::close_idle(const std::string& address)
{
    self->idle.erase(address);
}

void stream_client::probe(const std::string& address,
                          std::function<void(bool refused)> done)
{
    struct attempt
    {
        explicit attempt(asio::io_context& owner)
            : socket(owner), connect_timer(owner)
        {
        }

        tcp::socket socket;
        asio::steady_timer connect_timer;
    };
    const auto to = internal::endpoint_of(address);
    if (!to)
        return done(false);
    const auto one = std::make_shared<attempt>(self->context);
    one->connect_timer.expires_after(internal::probe_timeout);
    one->connect_timer.async_wait(
        [one](const boost::system::error_code& cancelled)
        {
            boost::system::error_code ignored;
            if (!cancelled)
                one->socket.close(ignored);
        });
    one->socket.async_connect(
        *to,
        [one, alive = std::weak_ptr(self),
         done = std::move(done)](const boost::system::error_code& failed)
        {
            one->connect_timer.cancel();
            if (!alive.expired())
                done(failed == asio::error::connection_refused);
        });
}

stream_client::call_id stream_client::gather(stream_call call,
                                             std::function<void(answer)> done)
{
    const auto id = ++self->last;
    self->gather(id, std::move(call), std::move(done), false);
    return id;
}

std::size_t stream_client::size() const
{
    return self->open.size();
}

} // namespace coursejunction
