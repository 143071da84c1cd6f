/*! @file
 * @brief UDP socket for gossip.
 */
#ifndef COURSEJUNCTION_NET_DATAGRAM_SOCKET_HPP
#define COURSEJUNCTION_NET_DATAGRAM_SOCKET_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "coursejunction/core/result.hpp"
#include "coursejunction/net/fwd.hpp"

namespace coursejunction
{

/*! @brief Sends and receives datagrams on the loop's thread. */
class datagram_socket
{
public:
    /*! @brief Called with the sender's `IP:port` and the bytes. */
    using receiver =
        std::function<void(const std::string& from, std::string_view bytes)>;

    /*! @brief Binds an address and port.
     * @return The socket, or an `unavailable` error if it cannot bind. */
    [[nodiscard]] static result<std::unique_ptr<datagram_socket>>
    create(event_loop& loop, const std::string& address, std::uint16_t port,
           receiver received);

    ~datagram_socket();

    /*! @brief Sends one datagram to `IP:port`; errors and losses are not
     * reported. */
    void send(const std::string& to, const std::string& bytes);

    /*! @brief Returns the bytes received and sent in total. */
    [[nodiscard]] std::uint64_t bytes() const;

private:
    struct implementation;
    explicit datagram_socket(std::shared_ptr<implementation> shared);

    std::shared_ptr<implementation> self;
};

} // namespace coursejunction

#endif
