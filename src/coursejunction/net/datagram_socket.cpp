#include "coursejunction/net/datagram_socket.hpp"

#include <array>
#include <cstdlib>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "coursejunction/net/event_loop.hpp"

namespace coursejunction
{

namespace asio = boost::asio;
using asio::ip::udp;

struct datagram_socket::implementation
    : std::enable_shared_from_this<implementation>
{
    implementation(asio::io_context& context, receiver to)
        : socket(context), received(std::move(to))
    {
    }

    void await_input()
    {
        socket.async_wait(
            udp::socket::wait_read,
            [self = shared_from_this()](const boost::system::error_code& fault)
            {
                if (fault != asio::error::operation_aborted)
                    self->read();
            });
    }

    /*! @brief Reads what has arrived. One datagram a turn of a busy loop would
     * let heartbeats queue up and count as new when they are read. */
    void read()
    {
        boost::system::error_code fault;
        for (int read = 0; read < max_read && socket.is_open(); ++read)
        {
            const auto count =
                socket.receive_from(asio::buffer(input), sender, 0, fault);
            if (fault == asio::error::would_block)
                break;
            if (!fault)
                deliver(count);
        }
        if (socket.is_open())
            await_input();
    }

    void deliver(std::size_t count)
    {
        total_bytes += count;
        const auto from =
            sender.address().to_string() + ":" + std::to_string(sender.port());
        received(from, {input.data(), count});
    }

    /*! @brief Datagrams that are read before other work gets its turn. */
    static constexpr int max_read = 64;

    static constexpr std::size_t max_datagram = 2048;
    udp::socket socket;
    receiver received;
    udp::endpoint sender;
    std::array<char, max_datagram> input{};
    std::uint64_t total_bytes{0};
};

datagram_socket::datagram_socket(std::shared_ptr<implementation> shared)
    : self(std::move(shared))
{
}

datagram_socket::~datagram_socket()
{
    boost::system::error_code ignored;
    self->socket.close(ignored);
}

result<std::unique_ptr<datagram_socket>>
datagram_socket::create(event_loop& loop, const std::string& address,
                        std::uint16_t port, receiver received)
{
    auto& context = *static_cast<asio::io_context*>(loop.native());
    auto made = std::make_shared<implementation>(context, std::move(received));
    boost::system::error_code fault;
    const auto ip = asio::ip::make_address(address, fault);
    if (!fault)
        made->socket.open(udp::v4(), fault);
    if (!fault)
        made->socket.bind({ip, port}, fault);
    if (!fault)
        made->socket.non_blocking(true, fault);
    if (fault)
        return failure(error_kind::unavailable, address + ":" +
                                                    std::to_string(port) +
                                                    ": " + fault.message());
    made->await_input();
    return std::unique_ptr<datagram_socket>(
        new datagram_socket(std::move(made)));
}

void datagram_socket::send(const std::string& to, const std::string& bytes)
{
    const auto colon = to.rfind(':');
    if (colon == std::string::npos)
        return;
    boost::system::error_code fault;
    const auto ip = asio::ip::make_address(to.substr(0, colon), fault);
    if (fault)
        return;
    const auto port =
        static_cast<std::uint16_t>(std::atoi(to.c_str() + colon + 1));
    self->total_bytes += bytes.size();
    self->socket.send_to(asio::buffer(bytes), {ip, port}, 0, fault);
}

std::uint64_t datagram_socket::bytes() const
{
    return self->total_bytes;
}

} // namespace coursejunction
