/*! @file
 * @brief Authenticated TCP connections to the other processes of the system.
 */
#ifndef COURSEJUNCTION_NET_PEER_HUB_HPP
#define COURSEJUNCTION_NET_PEER_HUB_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "coursejunction/core/result.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/net/fwd.hpp"
#include "coursejunction/wire/codec.hpp"
#include "coursejunction/wire/frame.hpp"

namespace coursejunction
{

/*! @brief Identifies a connection within this process; never reused. */
using connection_id = strong<struct connection_tag, std::uint64_t>;

/*! @brief Identity of a peer, from its hello message. */
struct peer_identity
{
    instance_id instance;
    std::string kind;
};

/*! @brief Totals over all connections. */
struct hub_counters
{
    std::uint64_t bytes_in{0};
    std::uint64_t bytes_out{0};
    std::uint64_t frames_in{0};
    std::uint64_t frames_out{0};
    std::uint64_t refused{0};
};

/*! @brief Accepts and opens connections; authenticates and verifies their
 * frames. All members and callbacks run on the loop's thread. */
class peer_hub
{
public:
    struct callbacks
    {
        std::function<void(connection_id, const peer_identity&)> opened;
        std::function<void(connection_id, frame)> received;
        std::function<void(connection_id)> closed;
    };

    /*! @brief Starts to listen on an address; port 0 selects any free port.
     * @return The hub, or an `unavailable` error if it cannot listen. */
    [[nodiscard]] static result<std::unique_ptr<peer_hub>>
    create(event_loop& loop, const std::string& address, std::uint16_t port,
           key_ring ring, peer_identity own, callbacks events);

    ~peer_hub();

    /*! @brief Returns the listening port. */
    [[nodiscard]] std::uint16_t port() const;

    /*! @brief Opens a connection to `IP:port`. Frames may be sent immediately
     * and are queued until the handshake is done; a failure is reported by
     * `closed`. */
    connection_id open(const std::string& address);

    /*! @brief Sends a message.
     * @return Whether the connection still existed; the message may be lost
     * even then. */
    template <typename Message>
    bool send(connection_id to, const Message& message,
              std::string_view payload = {}, bool hashed_payload = false)
    {
        return send_frame(to, Message::type, encode(message), payload,
                          hashed_payload);
    }

    /*! @brief Closes a connection without calling `closed`. */
    void close(connection_id which);

    /*! @brief Returns how many bytes the kernel has not accepted yet. */
    [[nodiscard]] std::size_t unsent(connection_id which) const;

    /*! @brief Returns the totals over all connections. */
    [[nodiscard]] const hub_counters& counters() const;

    /*! @brief Returns the number of connections, including those in handshake.
     */
    [[nodiscard]] std::size_t size() const;

private:
    struct implementation;
    explicit peer_hub(std::shared_ptr<implementation> shared);
    bool send_frame(connection_id to, frame_type type, std::string head,
                    std::string_view payload, bool hashed_payload);

    std::shared_ptr<implementation> self;
};

} // namespace coursejunction

#endif
