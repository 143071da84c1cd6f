/*! @file
 * @brief Heartbeats between neighbours.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_HEARTBEAT_GOSSIP_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_HEARTBEAT_GOSSIP_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include "coursejunction/control/configuration_view.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/member/member_table.hpp"
#include "coursejunction/net/datagram_socket.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/metrics.hpp"
#include "coursejunction/settings/node_settings.hpp"
#include "coursejunction/wire/codec.hpp"

namespace coursejunction::internal
{

/*! @brief Exchanges heartbeats with the neighbours: each says that the sender
 * is alive and which configuration revision it has. */
class heartbeat_gossip
{
public:
    /*! @brief Called when a neighbour has a newer configuration; while none is
     * known here, for every heartbeat. */
    using newer_callback =
        std::function<void(const instance_id&, std::uint64_t revision)>;

    /*! @brief Called when a neighbour sends records of requests that crash
     * upstreams. */
    using crashes_callback =
        std::function<void(const std::vector<message::crash_record>&)>;

    /*! @param started Start time of this process, which serves as its
     * incarnation number. */
    heartbeat_gossip(const node_settings& set, const key_ring& keys,
                     member_table& all, const configuration_view& known,
                     metrics& counts, std::uint64_t started,
                     newer_callback call);

    /*! @brief Opens the socket.
     * @return True, or `unavailable`. */
    [[nodiscard]] result<bool> open(event_loop& loop, std::uint16_t port);

    /*! @brief Sends a heartbeat to each neighbour. */
    void send_heartbeats();

    /*! @brief Sets the callback for the neighbours' crash records. */
    void on_crashes(crashes_callback call) { crashes = std::move(call); }

    /*! @brief Sends crash records to each neighbour. */
    void send_crash_records(const message::crash_news& records);

    /*! @brief Marks this instance as leaving in all later heartbeats. */
    void set_leaving() { leaving = true; }

    /*! @brief Returns the bytes received and sent. */
    [[nodiscard]] std::uint64_t total_bytes() const { return socket->bytes(); }

private:
    void send_heartbeat(const instance_id& to);
    void handle_datagram(std::string_view bytes);
    void handle_heartbeat(const message::heartbeat& received);
    void handle_crash_records(std::string_view head);

    const node_settings& settings;
    const key_ring& ring;
    member_table& members;
    const configuration_view& view;
    metrics& counters;
    std::uint64_t incarnation;
    newer_callback newer;
    crashes_callback crashes;
    std::unique_ptr<datagram_socket> socket;
    /*! @brief When a neighbour with an older configuration got a reply. */
    std::map<instance_id, time_point> last_reply;
    std::uint64_t last_sequence{0};
    bool leaving{false};
};

} // namespace coursejunction::internal

#endif
