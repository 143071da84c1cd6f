#include "coursejunction/net/peer_hub.hpp"

#include <deque>
#include <unordered_map>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "coursejunction/core/log.hpp"
#include "coursejunction/net/event_loop.hpp"

namespace coursejunction
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace internal
{

constexpr std::size_t nonce_bytes = 16;
constexpr std::size_t read_bytes = std::size_t{64} << 10U;
constexpr std::size_t max_unsent_bytes = std::size_t{256} << 20U;
constexpr std::size_t max_connections = 8192;
constexpr std::size_t max_gathered_buffers = 64;
constexpr std::chrono::seconds handshake_timeout{5};

constexpr std::string_view client_direction = "client";
constexpr std::string_view server_direction = "server";

/*! @brief Parses `IP:port`. */
result<tcp::endpoint> parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return failure(error_kind::invalid, "address has no port: " + text);
    boost::system::error_code fault;
    const auto ip = asio::ip::make_address(text.substr(0, colon), fault);
    const auto port = std::atoi(text.c_str() + colon + 1);
    if (fault || port <= 0 || port > 65535)
        return failure(error_kind::invalid, "address is not IP:port: " + text);
    return tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

class connection : public std::enable_shared_from_this<connection>
{
public:
    struct owner
    {
        virtual ~owner() = default;
        virtual void opened(connection& from) = 0;
        virtual void received(connection& from, frame one) = 0;
        virtual void ended(connection& from) = 0;
    };

    connection(asio::io_context& context, owner& hub, connection_id number,
               const key_ring& ring, const peer_identity& self_identity,
               hub_counters& counts, std::vector<char>& buffer, bool outgoing)
        : id(number), socket(context), handshake_timer(context),
          shared_read_buffer(buffer), parent(&hub), keys(ring),
          own(self_identity), counters(counts), is_client(outgoing),
          nonce(random_bytes(nonce_bytes)), sealer(ring), opener(ring)
    {
    }

    void connect(const tcp::endpoint& to)
    {
        start_handshake_timer();
        socket.async_connect(
            to,
            [self = shared_from_this()](const boost::system::error_code& fault)
            {
                if (fault)
                    return self->fail();
                self->begin();
            });
    }

    void begin()
    {
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        socket.non_blocking(true, ignored);
        if (is_client)
            send_hello();
        else
            start_handshake_timer();
        read();
    }

    void send(frame_type type, const std::string& head,
              std::string_view payload, bool hashed)
    {
        if (!handshake_done)
        {
            pending_frames.push_back(
                {type, head, std::string(payload), hashed});
            pending_bytes += payload.size();
            return;
        }
        write(sealer.seal(type, head, payload, hashed));
    }

    void close()
    {
        parent = nullptr;
        boost::system::error_code ignored;
        handshake_timer.cancel();
        socket.close(ignored);
    }

    [[nodiscard]] std::size_t unsent() const
    {
        return output_bytes + pending_bytes;
    }

    const connection_id id;
    peer_identity identity;
    tcp::socket socket;

private:
    struct pending_frame
    {
        frame_type type;
        std::string head;
        std::string payload;
        bool hashed;
    };

    void start_handshake_timer()
    {
        handshake_timer.expires_after(handshake_timeout);
        handshake_timer.async_wait(
            [self = shared_from_this()](const boost::system::error_code& fault)
            {
                if (!fault && !self->handshake_done)
                    self->fail();
            });
    }

    void send_hello()
    {
        message::hello hello;
        hello.instance = own.instance.value();
        hello.role = own.kind;
        hello.nonce = nonce;
        write(sealer.seal(frame_type::hello, encode(hello)));
    }

    /*! @brief Waits until the socket is readable, then reads into a buffer that
     * all connections share, so that idle connections need no buffer. */
    void read()
    {
        socket.async_wait(
            tcp::socket::wait_read,
            [self = shared_from_this()](const boost::system::error_code& fault)
            {
                if (fault)
                    return self->fail();
                self->read_available();
            });
    }

    void read_available()
    {
        boost::system::error_code fault;
        const auto count =
            socket.read_some(asio::buffer(shared_read_buffer), fault);
        if (fault && fault != asio::error::would_block)
            return fail();
        counters.bytes_in += count;
        opener.append({shared_read_buffer.data(), count});
        if (process_input())
            read();
    }

    bool process_input()
    {
        while (parent != nullptr)
        {
            auto next = opener.next();
            if (!next)
            {
                ++counters.refused;
                log::warning("frame_refused",
                             {{"peer", identity.instance.value()},
                              {"reason", next.error().message}});
                fail();
                return false;
            }
            if (!next.value())
                return true;
            ++counters.frames_in;
            if (!handle(std::move(*next.value())))
                return false;
        }
        return false;
    }

    bool handle(frame one)
    {
        if (handshake_done)
        {
            parent->received(*this, std::move(one));
            return parent != nullptr;
        }
        auto hello = one.type == frame_type::hello
                         ? decode<message::hello>(one.head)
                         : result<message::hello>(failure(
                               error_kind::refused, "expected a hello frame"));
        if (!hello || hello.value().nonce.size() != nonce_bytes)
        {
            ++counters.refused;
            fail();
            return false;
        }
        accept_hello(hello.value(), one.key_number);
        return parent != nullptr;
    }

    void accept_hello(const message::hello& hello, std::uint8_t key_number)
    {
        identity.instance = instance_id(hello.instance);
        identity.kind = hello.role;
        if (!is_client)
            send_hello();
        // Both ends use the client's active key, so that keys can be rotated.
        const auto& shared_key =
            keys.keys.at(is_client ? keys.active : key_number);
        const auto& client_nonce = is_client ? nonce : hello.nonce;
        const auto& server_nonce = is_client ? hello.nonce : nonce;
        const auto from_client = session_key(shared_key, client_nonce,
                                             server_nonce, client_direction);
        const auto from_server = session_key(shared_key, client_nonce,
                                             server_nonce, server_direction);
        sealer.use_session_key(is_client ? from_client : from_server);
        opener.use_session_key(is_client ? from_server : from_client);
        handshake_done = true;
        handshake_timer.cancel();
        for (auto& one : pending_frames)
            write(sealer.seal(one.type, one.head, one.payload, one.hashed));
        pending_frames.clear();
        pending_bytes = 0;
        parent->opened(*this);
    }

    void write(std::string bytes)
    {
        output_bytes += bytes.size();
        counters.bytes_out += bytes.size();
        ++counters.frames_out;
        output.push_back(std::move(bytes));
        if (output_bytes > max_unsent_bytes)
            return fail();
        if (!writing)
            flush();
    }

    void flush()
    {
        writing = true;
        std::vector<asio::const_buffer> buffers;
        for (const auto& one : output)
        {
            buffers.emplace_back(asio::buffer(one));
            if (buffers.size() == max_gathered_buffers)
                break;
        }
        const auto count = buffers.size();
        asio::async_write(
            socket, buffers,
            [self = shared_from_this(),
             count](const boost::system::error_code& fault, std::size_t bytes)
            {
                if (fault)
                    return self->fail();
                self->output_bytes -= bytes;
                self->output.erase(self->output.begin(),
                                   self->output.begin() +
                                       static_cast<std::ptrdiff_t>(count));
                self->writing = false;
                if (!self->output.empty())
                    self->flush();
            });
    }

    void fail()
    {
        if (parent == nullptr)
            return;
        auto* hub = parent;
        const auto keep = shared_from_this();
        close();
        asio::post(socket.get_executor(), [hub, keep] { hub->ended(*keep); });
    }

    asio::steady_timer handshake_timer;
    std::vector<char>& shared_read_buffer;
    owner* parent;
    key_ring keys;
    peer_identity own;
    hub_counters& counters;
    bool is_client;
    bool handshake_done{false};
    bool writing{false};
    std::string nonce;
    frame_sealer sealer;
    frame_opener opener;
    std::deque<std::string> output;
    std::size_t output_bytes{0};
    std::vector<pending_frame> pending_frames;
    std::size_t pending_bytes{0};
};

} // namespace internal

struct peer_hub::implementation
    : internal::connection::owner,
      std::enable_shared_from_this<peer_hub::implementation>
{
    implementation(asio::io_context& from, key_ring keys, peer_identity self,
                   callbacks to)
        : context(from), ring(std::move(keys)), own(std::move(self)),
          events(std::move(to)), acceptor(from)
    {
    }

    std::shared_ptr<internal::connection> add_connection(bool outgoing)
    {
        const connection_id id(++last_id);
        auto made = std::make_shared<internal::connection>(
            context, *this, id, ring, own, counters, read_buffer, outgoing);
        connections.emplace(id, made);
        return made;
    }

    void accept()
    {
        acceptor.async_accept(
            [self = shared_from_this()](const boost::system::error_code& fault,
                                        tcp::socket socket)
            {
                if (fault == asio::error::operation_aborted)
                    return;
                if (!fault &&
                    self->connections.size() < internal::max_connections)
                {
                    auto made = self->add_connection(false);
                    made->socket = std::move(socket);
                    made->begin();
                }
                self->accept();
            });
    }

    void opened(internal::connection& from) override
    {
        events.opened(from.id, from.identity);
    }

    void received(internal::connection& from, frame one) override
    {
        events.received(from.id, std::move(one));
    }

    void ended(internal::connection& from) override
    {
        if (connections.erase(from.id) > 0 && !shutting_down)
            events.closed(from.id);
    }

    asio::io_context& context;
    key_ring ring;
    peer_identity own;
    callbacks events;
    tcp::acceptor acceptor;
    std::unordered_map<connection_id, std::shared_ptr<internal::connection>>
        connections;
    hub_counters counters;
    std::vector<char> read_buffer = std::vector<char>(internal::read_bytes);
    std::uint64_t last_id{0};
    bool shutting_down{false};
};

peer_hub::peer_hub(std::shared_ptr<implementation> shared)
    : self(std::move(shared))
{
}

peer_hub::~peer_hub()
{
    self->shutting_down = true;
    boost::system::error_code ignored;
    self->acceptor.close(ignored);
    for (auto& [id, one] : self->connections)
        one->close();
}

result<std::unique_ptr<peer_hub>>
peer_hub::create(event_loop& loop, const std::string& address,
                 std::uint16_t port, key_ring ring, peer_identity own,
                 callbacks events)
{
    auto& context = *static_cast<asio::io_context*>(loop.native());
    auto made = std::make_shared<implementation>(
        context, std::move(ring), std::move(own), std::move(events));
    boost::system::error_code fault;
    const auto ip = asio::ip::make_address(address, fault);
    if (!fault)
        made->acceptor.open(tcp::v4(), fault);
    if (!fault)
        made->acceptor.set_option(tcp::acceptor::reuse_address(true), fault);
    if (!fault)
        made->acceptor.bind({ip, port}, fault);
    if (!fault)
        made->acceptor.listen(asio::socket_base::max_listen_connections, fault);
    if (fault)
        return failure(error_kind::unavailable, address + ":" +
                                                    std::to_string(port) +
                                                    ": " + fault.message());
    made->accept();
    return std::unique_ptr<peer_hub>(new peer_hub(std::move(made)));
}

std::uint16_t peer_hub::port() const
{
    return self->acceptor.local_endpoint().port();
}

connection_id peer_hub::open(const std::string& address)
{
    auto made = self->add_connection(true);
    const auto endpoint = internal::parse_endpoint(address);
    if (endpoint)
    {
        made->connect(endpoint.value());
        return made->id;
    }
    asio::post(self->context, [hub = self, made] { hub->ended(*made); });
    return made->id;
}

bool peer_hub::send_frame(connection_id to, frame_type type, std::string head,
                          std::string_view payload, bool hashed_payload)
{
    const auto found = self->connections.find(to);
    if (found == self->connections.end())
        return false;
    found->second->send(type, head, payload, hashed_payload);
    return true;
}

void peer_hub::close(connection_id which)
{
    const auto found = self->connections.find(which);
    if (found == self->connections.end())
        return;
    const auto keep = found->second;
    self->connections.erase(found);
    keep->close();
}

std::size_t peer_hub::unsent(connection_id which) const
{
    const auto found = self->connections.find(which);
    return found == self->connections.end() ? 0 : found->second->unsent();
}

const hub_counters& peer_hub::counters() const
{
    return self->counters;
}

std::size_t peer_hub::size() const
{
    return self->connections.size();
}

} // namespace coursejunction
