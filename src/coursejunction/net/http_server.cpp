#include "coursejunction/net/http_server.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <unordered_map>

#include <sys/socket.h>

#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/peer.h>

#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/internal/bounded_parser.hpp"
#include "coursejunction/net/internal/http_text.hpp"

namespace coursejunction
{

namespace internal
{

namespace pistache = Pistache;

constexpr std::chrono::hours disabled_timeout{24};
constexpr int listen_backlog = 1024;

/*! @brief Bytes that are read and discarded after a head was refused, so that
 * its client can still receive the response: closing a connection with unread
 * input resets it. A client that sends more is cut. */
constexpr std::size_t max_discarded_bytes = std::size_t{4} << 20U;

/*! @brief Response that writes its own framing to the peer, because Pistache's
 * response stream may only be used on the peer's thread. */
class reply : public http_reply
{
public:
    /*! @param queued Bytes that are queued for the client. */
    reply(std::shared_ptr<pistache::Tcp::Peer> to,
          std::shared_ptr<std::atomic<std::size_t>> queued)
        : peer(std::move(to)), unread(std::move(queued))
    {
    }

    void send(int status, std::string_view content_type,
              const header_map& headers, std::string_view body) override
    {
        auto bytes = head_text(status, content_type, headers);
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        bytes += body;
        send_raw(std::move(bytes), true);
    }

    void begin(int status, std::string_view content_type,
               const header_map& headers) override
    {
        auto bytes = head_text(status, content_type, headers);
        bytes += "Transfer-Encoding: chunked\r\n\r\n";
        send_raw(std::move(bytes), false);
    }

    void write(std::string_view bytes) override
    {
        if (bytes.empty())
            return;
        std::array<char, 16> size{};
        const auto end = std::to_chars(size.data(), size.data() + size.size(),
                                       bytes.size(), 16);
        std::string framed(size.data(), end.ptr);
        framed.reserve(framed.size() + bytes.size() + 4);
        framed.append("\r\n").append(bytes).append("\r\n");
        send_raw(std::move(framed), false);
    }

    void finish() override { send_raw("0\r\n\r\n", true); }

    void cut() override
    {
        const std::lock_guard guard(mutex);
        if (peer && !ended)
            ::shutdown(static_cast<int>(peer->fd()), SHUT_RDWR);
        ended = true;
        peer.reset();
    }

    void on_disconnect(std::function<void()> call) override
    {
        {
            const std::lock_guard guard(mutex);
            if (ended)
                return;
            if (peer)
            {
                disconnect_callback = std::move(call);
                return;
            }
        }
        call();
    }

    /*! @brief Called by the server after the connection has closed. */
    void disconnected()
    {
        std::function<void()> call;
        {
            const std::lock_guard guard(mutex);
            peer.reset();
            if (!ended)
                call = std::move(disconnect_callback);
        }
        if (call)
            call();
    }

    [[nodiscard]] bool done() const
    {
        const std::lock_guard guard(mutex);
        return ended || !peer;
    }

private:
    void send_raw(std::string bytes, bool last)
    {
        const std::lock_guard guard(mutex);
        if (!peer || ended)
            return;
        const auto size = bytes.size();
        *unread += size;
        const auto sent = [queued = unread, size] { *queued -= size; };
        peer->send(pistache::RawBuffer(std::move(bytes), size))
            .then([sent](ssize_t) { sent(); },
                  [sent](const std::exception_ptr&) { sent(); });
        if (last)
        {
            ended = true;
            peer.reset();
            disconnect_callback = nullptr;
        }
    }

    mutable std::mutex mutex;
    std::shared_ptr<pistache::Tcp::Peer> peer;
    std::shared_ptr<std::atomic<std::size_t>> unread;
    std::function<void()> disconnect_callback;
    bool ended{false};
};

/*! @brief Connections and their open responses, shared by the clones of the
 * handler. Pistache's own timeouts would cut long responses, so slow and idle
 * connections are closed here instead. */
class open_connections
{
public:
    using peer_pointer = std::shared_ptr<pistache::Tcp::Peer>;

    explicit open_connections(const http_options& chosen) : options(chosen) {}

    void connected(const peer_pointer& peer)
    {
        const std::lock_guard guard(mutex);
        by_peer[peer->getID()].peer = peer;
        if (by_peer.size() > options.max_connections)
            close_least_active();
    }

    /*! @brief Opens a response to a request that was received.
     * @return Null if its client leaves too much unread; its connection is
     * closed then. */
    [[nodiscard]] std::shared_ptr<reply> open_reply(const peer_pointer& peer)
    {
        const std::lock_guard guard(mutex);
        auto& state = by_peer[peer->getID()];
        state.peer = peer;
        state.last_active = event_loop::now();
        std::size_t total = 0;
        for (const auto& [id, other] : by_peer)
            total += *other.unread;
        if (*state.unread > options.max_unread_bytes ||
            total > options.max_unread_in_total)
        {
            shut_down(*peer);
            return nullptr;
        }
        std::erase_if(state.replies,
                      [](const auto& old) { return old->done(); });
        return state.replies.emplace_back(
            std::make_shared<reply>(peer, state.unread));
    }

    void disconnected(std::size_t peer)
    {
        std::vector<std::shared_ptr<reply>> open_replies;
        {
            const std::lock_guard guard(mutex);
            const auto found = by_peer.find(peer);
            if (found == by_peer.end())
                return;
            open_replies = std::move(found->second.replies);
            by_peer.erase(found);
        }
        for (const auto& one : open_replies)
            one->disconnected();
    }

    /*! @brief Returns whether a response of a connection is open. */
    [[nodiscard]] bool busy(std::size_t peer)
    {
        const std::lock_guard guard(mutex);
        const auto found = by_peer.find(peer);
        return found != by_peer.end() && found->second.busy();
    }

    /*! @brief Closes connections without an open response on which no complete
     * request was received within the limit. Pistache closes a descriptor only
     * after `disconnected` has returned, so under the lock it cannot have been
     * reused for another connection. */
    void sweep()
    {
        const std::lock_guard guard(mutex);
        const auto now = event_loop::now();
        for (auto& [id, state] : by_peer)
        {
            const bool busy = state.busy();
            if (busy)
                state.last_active = now;
            const auto peer = state.peer.lock();
            if (!busy && peer && now - state.last_active > options.head_limit)
                shut_down(*peer);
        }
    }

private:
    struct connection
    {
        std::weak_ptr<pistache::Tcp::Peer> peer;
        time_point last_active{event_loop::now()};
        /*! @brief Bytes that are queued for the client. */
        std::shared_ptr<std::atomic<std::size_t>> unread{
            std::make_shared<std::atomic<std::size_t>>(0)};
        bool shut{false}; /*!< It closes, and does not count any more. */
        std::vector<std::shared_ptr<reply>> replies;

        [[nodiscard]] bool busy() const
        {
            return std::any_of(replies.begin(), replies.end(),
                               [](const auto& one) { return !one->done(); });
        }
    };

    /*! @brief Pistache closes a descriptor only after `disconnected` has
     * returned, so that under the lock it cannot have been reused. */
    static void shut_down(const pistache::Tcp::Peer& peer)
    {
        ::shutdown(static_cast<int>(peer.fd()), SHUT_RDWR);
    }

    void close_least_active()
    {
        connection* least = nullptr;
        for (auto& [id, state] : by_peer)
        {
            if (!state.shut && !state.busy() &&
                (least == nullptr || state.last_active < least->last_active))
                least = &state;
        }
        const auto peer = least != nullptr ? least->peer.lock() : nullptr;
        if (!peer)
            return;
        least->shut = true;
        shut_down(*peer);
    }

    http_options options;
    std::mutex mutex;
    std::unordered_map<std::size_t, connection> by_peer;
};

/*! @brief Calls `sweep` at a fixed interval on its own thread. */
class sweeper
{
public:
    sweeper(std::shared_ptr<open_connections> which,
            std::chrono::milliseconds interval)
        : connections(std::move(which)),
          thread([this, interval] { run(interval); })
    {
    }

    ~sweeper()
    {
        {
            const std::lock_guard guard(mutex);
            stopping = true;
        }
        wake.notify_all();
        thread.join();
    }

private:
    void run(std::chrono::milliseconds interval)
    {
        std::unique_lock guard(mutex);
        while (!wake.wait_for(guard, interval, [this] { return stopping; }))
            connections->sweep();
    }

    std::shared_ptr<open_connections> connections;
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping{false};
    std::thread thread;
};

class request_handler : public pistache::Http::Handler
{
public:
    HTTP_PROTOTYPE(request_handler)

    request_handler(http_server::handler call,
                    std::shared_ptr<open_connections> shared,
                    std::size_t head_bound)
        : handle(std::move(call)), connections(std::move(shared)),
          max_head_bytes(head_bound)
    {
    }

    void onRequest(const pistache::Http::Request& from,
                   pistache::Http::ResponseWriter writer) override
    {
        const auto peer = writer.peer();
        if (!peer)
            return;
        http_request request;
        request.method = pistache::Http::methodString(from.method());
        request.path = from.resource();
        for (auto it = from.query().parameters_begin();
             it != from.query().parameters_end(); ++it)
            request.query[it->first] = percent_decoded(it->second);
        for (const auto& [name, raw] : from.headers().rawList())
            request.headers[to_lower(name)] = raw.value();
        request.body = from.body();
        auto answer = connections->open_reply(peer);
        if (answer)
            handle(std::move(request), std::move(answer));
    }

    /*! @brief Replaces Pistache's private implementation: stores the request
     * parser under the key that Pistache reads, and registers the connection.
     */
    void onConnection(const std::shared_ptr<pistache::Tcp::Peer>& peer) override
    {
        const std::shared_ptr<pistache::Http::RequestParser> parser =
            std::make_shared<bounded_parser>(getMaxRequestSize(),
                                             max_head_bytes);
        peer->putData(ParserData, parser);
        connections->connected(peer);
    }

    /*! @brief Replaces Pistache's private implementation, whose answers to
     * faults it keeps, to refuse a head that is too large. */
    void onInput(const char* buffer, std::size_t length,
                 const std::shared_ptr<pistache::Tcp::Peer>& peer) override
    {
        auto& parser = static_cast<bounded_parser&>(*getParser(peer));
        if (parser.refused)
            return discard(parser, length, *peer);
        using pistache::Http::Code;
        try
        {
            const auto next = parser.receive({buffer, length});
            if (next == bounded_parser::next_step::refuse)
                return refuse(parser, peer);
            if (!parser.feed(buffer, length))
                throw pistache::Http::HttpError(
                    Code::Request_Entity_Too_Large,
                    "Request exceeded maximum buffer size");
            if (next == bounded_parser::next_step::wait ||
                parser.parse() != pistache::Http::Private::State::Done)
                return;
            peer->setIdle(false);
            onRequest(parser.request, writer_of(parser, peer));
        }
        catch (const pistache::Http::HttpError& error)
        {
            writer_of(parser, peer)
                .send(static_cast<Code>(error.code()), error.reason());
        }
        catch (const std::exception& error)
        {
            writer_of(parser, peer)
                .send(Code::Internal_Server_Error, error.what());
        }
        parser.reset();
    }

    void
    onDisconnection(const std::shared_ptr<pistache::Tcp::Peer>& peer) override
    {
        connections->disconnected(peer->getID());
    }

private:
    pistache::Http::ResponseWriter
    writer_of(const bounded_parser& parser,
              const std::shared_ptr<pistache::Tcp::Peer>& peer)
    {
        return {parser.request.version(), transport(), this, peer};
    }

    /*! @brief Answers with 431 and closes the connection once that was sent. A
     * response that is open would be corrupted, so that the connection is then
     * closed at once. */
    void refuse(bounded_parser& parser,
                const std::shared_ptr<pistache::Tcp::Peer>& peer)
    {
        parser.refused = true;
        parser.reset();
        if (connections->busy(peer->getID()))
        {
            ::shutdown(static_cast<int>(peer->fd()), SHUT_RDWR);
            return;
        }
        auto bytes =
            head_text(431, {},
                      {{"Connection", "close"}, {"Content-Length", "0"}}) +
            "\r\n";
        const auto size = bytes.size();
        peer->send(pistache::RawBuffer(std::move(bytes), size))
            .then(
                [to = std::weak_ptr(peer)](ssize_t)
                {
                    if (const auto open = to.lock())
                        ::shutdown(static_cast<int>(open->fd()), SHUT_WR);
                },
                pistache::Async::IgnoreException);
    }

    static void discard(bounded_parser& parser, std::size_t length,
                        const pistache::Tcp::Peer& peer)
    {
        parser.discarded_bytes += length;
        if (parser.discarded_bytes > max_discarded_bytes)
            ::shutdown(static_cast<int>(peer.fd()), SHUT_RDWR);
    }

    http_server::handler handle;
    std::shared_ptr<open_connections> connections;
    std::size_t max_head_bytes;
};

} // namespace internal

std::string http_request::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string{} : found->second;
}

std::optional<std::string>
http_request::parameter(const std::string& name) const
{
    const auto found = query.find(name);
    if (found == query.end())
        return std::nullopt;
    return found->second;
}

struct http_server::implementation
{
    std::unique_ptr<Pistache::Http::Endpoint> endpoint;
    std::unique_ptr<internal::sweeper> sweeper;
};

http_server::http_server(std::unique_ptr<implementation> owned)
    : self(std::move(owned))
{
}

http_server::~http_server()
{
    if (self && self->endpoint)
        self->endpoint->shutdown();
}

result<std::unique_ptr<http_server>>
http_server::create(const std::string& address, std::uint16_t port,
                    const http_options& options, handler handle)
{
    try
    {
        auto made = std::make_unique<implementation>();
        made->endpoint = std::make_unique<Pistache::Http::Endpoint>(
            Pistache::Address(address, Pistache::Port(port)));
        auto endpoint_options = Pistache::Http::Endpoint::options();
        endpoint_options.threads(static_cast<int>(options.threads))
            .backlog(internal::listen_backlog)
            .maxRequestSize(options.max_request_bytes)
            .headerTimeout(internal::disabled_timeout)
            .bodyTimeout(internal::disabled_timeout)
            .keepaliveTimeout(internal::disabled_timeout)
            .flags(Pistache::Tcp::Options::ReuseAddr |
                   Pistache::Tcp::Options::NoDelay |
                   Pistache::Tcp::Options::CloseOnExec);
        made->endpoint->init(endpoint_options);
        auto connections =
            std::make_shared<internal::open_connections>(options);
        made->endpoint->setHandler(std::make_shared<internal::request_handler>(
            std::move(handle), connections, options.max_head_bytes));
        made->endpoint->serveThreaded();
        made->sweeper = std::make_unique<internal::sweeper>(
            std::move(connections), options.head_limit / 2);
        return std::unique_ptr<http_server>(new http_server(std::move(made)));
    }
    catch (const std::exception& caught)
    {
        return failure(error_kind::unavailable, address + ":" +
                                                    std::to_string(port) +
                                                    ": " + caught.what());
    }
}

std::uint16_t http_server::port() const
{
    return static_cast<std::uint16_t>(self->endpoint->getPort());
}

} // namespace coursejunction
