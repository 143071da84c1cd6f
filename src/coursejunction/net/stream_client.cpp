#include "coursejunction/net/stream_client.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstdlib>
#include <optional>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "coursejunction/core/suspension.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/head_text.hpp"

namespace coursejunction
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace internal
{

/*! @brief Bytes taken from the network at once. */
constexpr std::size_t read_bytes = 16384;

/*! @brief Idle connections kept to one address. */
constexpr std::size_t most_kept = 8;

/*! @brief Unacknowledged bytes after which the kernel gives a peer up. */
constexpr int call_user_timeout_ms = 4000;

/*! @brief A kept connection that was dead already shows within a round trip, of
 * some 20 ms between far regions. One that ends later ended under the call,
 * which may have run: sending it again unseen would be a retry that nobody
 * counts. */
constexpr milliseconds stale_notice{100};

/*! @brief Time for a probe's connection; as that of a call. */
constexpr milliseconds probe_time{250};

/*! @brief Reads `IP:port`.
 * @return The endpoint, or nothing for a text that is none. */
std::optional<tcp::endpoint> endpoint_of(const std::string& address)
{
    const auto colon = address.rfind(':');
    boost::system::error_code fault;
    const auto ip = asio::ip::make_address(address.substr(0, colon), fault);
    if (fault || colon == std::string::npos)
        return std::nullopt;
    const auto port = static_cast<std::uint16_t>(
        std::strtoul(address.c_str() + colon + 1, nullptr, 10));
    return tcp::endpoint(ip, port);
}

/*! @brief Tells whether the other end ended a connection. */
bool ended_by_peer(const boost::system::error_code& fault)
{
    return fault == asio::error::eof ||
           fault == asio::error::connection_reset ||
           fault == asio::error::broken_pipe ||
           fault == http::error::end_of_stream ||
           fault == http::error::partial_message;
}

std::string request_text(const stream_call& call)
{
    http::request<http::empty_body> head;
    head.version(11);
    head.method_string(call.method);
    head.target(call.target);
    for (const auto& one : call.headers)
        head.insert(one.name, one.value);
    if (!head.count(http::field::host))
        head.set(http::field::host, call.address);
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT")
        head.set(http::field::content_length, std::to_string(call.body.size()));
    return head_text(head) + call.body;
}

/*! @brief One call on its connection. */
class stream_exchange : public std::enable_shared_from_this<stream_exchange>
{
public:
    /*! @brief Told at the end; takes the socket when it may be kept. */
    using finished_callback = std::function<void(std::optional<tcp::socket>)>;

    stream_exchange(asio::io_context& owner, stream_call what,
                    stream_client::callbacks to, finished_callback over)
        : context(owner), socket(owner), clock(owner), limit(owner),
          stall(owner), call(std::move(what)), target(std::move(to)),
          finished(std::move(over))
    {
        prepare();
    }

    /*! @brief Starts on a connection that an earlier call left. */
    void start_on(tcp::socket kept)
    {
        socket = std::move(kept);
        reused = true;
        if (call.timeout.count() > 0)
            arm(limit, call.timeout, "call timed out");
        write();
    }

    void start()
    {
        const auto to = endpoint_of(call.address);
        if (!to)
            return later(stream_end::not_sent, "wrong address");
        arm(clock, call.connect_time, "connection timed out");
        if (call.timeout.count() > 0)
            arm(limit, call.timeout, "call timed out");
        socket.async_connect(*to, [self = shared_from_this()](
                                      const boost::system::error_code& failed)
                             { self->connected(failed); });
    }

    /*! @brief Ends the call and closes its connection. Where no whole answer
     * came the connection is reset: what still waits on its way to the peer is
     * then discarded, instead of being run after the call was given up. */
    void abandon()
    {
        over = true;
        clock.cancel();
        limit.cancel();
        stall.cancel();
        boost::system::error_code ignored;
        if (sent && !whole && socket.is_open())
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

private:
    static constexpr std::uint32_t max_head = 65536;
    // A limit of none compares as smaller than any length in Beast 1.74.
    static constexpr std::uint64_t most_body = std::uint64_t{1} << 40U;

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

    /*! @brief Ends the call once nothing came for as long as may be. */
    void watch_progress()
    {
        // The timer's clock stands while suspended, `moved` goes on.
        stall.expires_after(
            timer_wait(moved + call.stall_time, event_loop::now()));
        stall.async_wait(
            [self = shared_from_this()](const boost::system::error_code& fault)
            {
                if (fault || self->over)
                    return;
                if (event_loop::now() - self->moved < self->call.stall_time)
                    return self->watch_progress();
                self->end(stream_end::broken, "call made no progress");
            });
    }

    void later(stream_end how, std::string why)
    {
        asio::post(socket.get_executor(),
                   [self = shared_from_this(), how, why = std::move(why)]
                   { self->end(how, why); });
    }

    void connected(const boost::system::error_code& fault)
    {
        if (over)
            return;
        if (fault)
            return end(stream_end::not_sent, fault.message());
        clock.cancel();
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const int wait = call_user_timeout_ms;
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                     &wait, sizeof wait);
        write();
    }

    void write()
    {
        output = request_text(call);
        sent = true;
        moved = event_loop::now();
        if (call.stall_time.count() > 0)
            watch_progress();
        asio::async_write(
            socket, asio::buffer(output),
            [self = shared_from_this()](const boost::system::error_code& fault,
                                        std::size_t)
            {
                // A failed write shows in the read: the answer may still come.
                self->written = !fault;
            });
        read_head();
    }

    void prepare()
    {
        parser.emplace();
        parser->header_limit(max_head);
        parser->body_limit(most_body);
        parser->skip(call.method == "HEAD");
    }

    /*! @brief The kept connection was dead: once more on a new one. */
    void start_anew()
    {
        reused = false;
        written = false;
        boost::system::error_code ignored;
        socket.close(ignored);
        socket = tcp::socket(context);
        input.clear();
        prepare();
        limit.cancel();
        stall.cancel();
        sent = false;
        sent_before = true;
        start();
    }

    void read_head()
    {
        http::async_read_header(socket, input, *parser,
                                [self = shared_from_this()](
                                    const boost::system::error_code& fault,
                                    std::size_t) { self->head_read(fault); });
    }

    void head_read(const boost::system::error_code& fault)
    {
        if (over || fault == asio::error::operation_aborted)
            return;
        const bool stale = event_loop::now() - moved < stale_notice;
        moved = event_loop::now();
        if (fault && reused && stale)
            return start_anew();
        if (fault)
            return failed(fault);
        stream_head head;
        head.status = static_cast<int>(parser->get().result_int());
        for (const auto& field : parser->get())
            head.headers.push_back(std::string(field.name_string()),
                                   std::string(field.value()));
        const auto held = shared_from_this();
        target.head(head);
        if (over)
            return;
        read_body();
    }

    void read_body()
    {
        if (parser->is_done())
            return ended_whole();
        parser->get().body().data = part.data();
        parser->get().body().size = part.size();
        http::async_read_some(socket, input, *parser,
                              [self = shared_from_this()](
                                  const boost::system::error_code& fault,
                                  std::size_t) { self->body_read(fault); });
    }

    void body_read(boost::system::error_code fault)
    {
        if (over)
            return;
        if (fault == http::error::need_buffer)
            fault = {};
        const auto count = part.size() - parser->get().body().size;
        if (count > 0)
        {
            moved = event_loop::now();
            const auto held = shared_from_this();
            target.data({part.data(), count});
            if (over)
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
        end(ended_by_peer(fault) ? stream_end::closed : stream_end::broken,
            fault.message());
    }

    /*! @brief Keeps the connection when nothing surplus came on it. */
    void ended_whole()
    {
        if (call.repeatable && written && parser->keep_alive() &&
            input.size() == 0)
            keep.emplace(std::move(socket));
        whole = true;
        end(stream_end::whole, {});
    }

    void end(stream_end how, const std::string& why)
    {
        if (over)
            return;
        const auto held = shared_from_this();
        abandon();
        const auto call_back = std::move(target.ended);
        finished(std::move(keep));
        // The kept connection may have carried it before the new one failed.
        call_back(how == stream_end::not_sent && sent_before
                      ? stream_end::closed
                      : how,
                  why);
    }

    asio::io_context& context;
    tcp::socket socket;
    asio::steady_timer clock;
    asio::steady_timer limit;
    asio::steady_timer stall;
    time_point moved{}; /*!< When the request went out or a part came. */
    stream_call call;
    stream_client::callbacks target;
    finished_callback finished;
    boost::beast::flat_buffer input;
    std::optional<http::response_parser<http::buffer_body>> parser;
    std::optional<tcp::socket> keep;
    std::array<char, read_bytes> part{};
    std::string output;
    bool sent{false};
    bool over{false};
    bool whole{false}; /*!< The whole answer came. */
    bool reused{false};
    bool sent_before{false}; /*!< On a kept connection that was dead. */
    bool written{false};
};

} // namespace internal

struct stream_client::implementation
    : std::enable_shared_from_this<implementation>
{
    explicit implementation(asio::io_context& owner) : context(owner) {}

    /*! @brief Takes a kept connection to an address that is still open and on
     * which nothing came unasked. */
    std::optional<tcp::socket> take(const std::string& address)
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

    void put(const std::string& address, tcp::socket socket)
    {
        auto& list = idle[address];
        if (list.size() < internal::most_kept)
            list.push_back(std::move(socket));
    }

    asio::io_context& context;
    std::unordered_map<call_id, std::shared_ptr<internal::stream_exchange>>
        open;
    std::unordered_map<std::string, std::vector<tcp::socket>> idle;
    call_id last{0};
};

stream_client::stream_client(event_loop& loop)
    : self(std::make_shared<implementation>(
          *static_cast<asio::io_context*>(loop.native())))
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
    auto kept = call.repeatable ? self->take(call.address) : std::nullopt;
    auto one = std::make_shared<internal::stream_exchange>(
        self->context, call, std::move(to),
        [shared = std::weak_ptr(self), id,
         address = call.address](std::optional<tcp::socket> socket)
        {
            const auto held = shared.lock();
            if (!held)
                return;
            held->open.erase(id);
            if (socket)
                held->put(address, std::move(*socket));
        });
    self->open.emplace(id, one);
    if (kept)
        one->start_on(std::move(*kept));
    else
        one->start();
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

void stream_client::forget(const std::string& address)
{
    self->idle.erase(address);
}

void stream_client::probe(const std::string& address,
                          std::function<void(bool refused)> done)
{
    struct attempt
    {
        explicit attempt(asio::io_context& owner) : socket(owner), clock(owner)
        {
        }

        tcp::socket socket;
        asio::steady_timer clock;
    };
    const auto to = internal::endpoint_of(address);
    if (!to)
        return done(false);
    const auto one = std::make_shared<attempt>(self->context);
    one->clock.expires_after(internal::probe_time);
    one->clock.async_wait(
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
            one->clock.cancel();
            if (!alive.expired())
                done(failed == asio::error::connection_refused);
        });
}

stream_client::call_id stream_client::gather(stream_call call,
                                             std::function<void(answer)> done)
{
    const auto gathered = std::make_shared<answer>();
    callbacks to;
    to.head = [gathered](const stream_head& head)
    {
        gathered->status = head.status;
        gathered->headers = head.headers;
    };
    to.data = [gathered](std::string_view bytes)
    { gathered->body.append(bytes); };
    to.ended = [gathered, done = std::move(done)](stream_end how,
                                                  const std::string& why)
    {
        gathered->end = how;
        gathered->why = why;
        done(std::move(*gathered));
    };
    return start(std::move(call), std::move(to));
}

std::size_t stream_client::size() const
{
    return self->open.size();
}

} // namespace coursejunction
