/*! @file
 * @brief What both roles of the daemon have in common: membership, the
 * configuration, connections to peers, metrics and state over HTTP.
 */
#ifndef COURSEJUNCTION_DAEMON_NODE_HPP
#define COURSEJUNCTION_DAEMON_NODE_HPP

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coursejunction/control/configuration_view.hpp"
#include "coursejunction/control/key_value_client.hpp"
#include "coursejunction/daemon/internal/crash_gossip.hpp"
#include "coursejunction/member/member_table.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/http_client.hpp"
#include "coursejunction/net/http_server.hpp"
#include "coursejunction/net/metrics.hpp"
#include "coursejunction/net/peer_hub.hpp"
#include "coursejunction/settings/node_settings.hpp"

namespace coursejunction
{

/*! @brief Number of entries of each hall that watch the key-value service and
 * collect the reports of the hall. */
inline constexpr std::size_t designated_entries_per_hall = 2;

/*! @brief Callbacks by which a node calls its role; all on the loop's thread.
 */
struct node_hooks
{
    std::function<void(const instance_id&, frame)> frame_received;
    std::function<void(const instance_id&)> peer_lost;
    std::function<void()> configuration_changed;
    std::function<void()> members_changed;
    /*! @brief Handles requests other than for health, metrics and the dump. */
    std::function<void(http_request, std::shared_ptr<http_reply>)> handle_http;
    /*! @brief Returns the state of the role as JSON. */
    std::function<std::string()> dump;
    std::function<void()> leave_started;
    /*! @brief Returns whether a node that is leaving may stop. */
    std::function<bool()> is_idle;
};

/*! @brief One process of the daemon, of either role. */
class node
{
public:
    /*! @brief Creates a node and opens its ports.
     * @return The node, or `unavailable` when a port cannot be opened. */
    [[nodiscard]] static result<std::unique_ptr<node>>
    create(event_loop& loop, node_settings settings);

    ~node();

    /*! @brief Starts timers, signal handlers and polling; called once, when the
     * role is ready. */
    void start(node_hooks hooks);

    /*! @brief Sends a message to an instance, connecting to it if needed.
     * @return False when it cannot be sent, such as to an instance that is
     * neither listed nor connected. */
    template <typename Message>
    bool send(const instance_id& to, const Message& message,
              std::string_view payload = {}, bool hashed_payload = false)
    {
        const auto connection = connection_to(to);
        return !connection.empty() &&
               hub().send(connection, message, payload, hashed_payload);
    }

    /*! @brief Begins a graceful shutdown: announces it to the neighbours, waits
     * for a grace period and until the role is idle, then stops the loop. */
    void leave();

    [[nodiscard]] bool is_leaving() const;

    /*! @brief Returns the time since `leave` was called; zero before. */
    [[nodiscard]] std::chrono::microseconds leaving_for() const;

    /*! @brief Puts a configuration into force, if it is newer, and announces it
     * to the neighbours. */
    void offer_configuration(const configuration& next);

    /*! @brief Returns the incarnation of this process: its start time, in ms
     * since the Unix epoch. */
    [[nodiscard]] std::uint64_t incarnation() const;

    [[nodiscard]] event_loop& loop();
    [[nodiscard]] peer_hub& hub();
    [[nodiscard]] http_client& http();
    [[nodiscard]] key_value_client& key_values();
    [[nodiscard]] member_table& members();
    [[nodiscard]] internal::crash_gossip& crashes();
    [[nodiscard]] const configuration_view& view() const;
    [[nodiscard]] const node_settings& settings() const;
    [[nodiscard]] metrics& counters();
    [[nodiscard]] static time_point now() { return event_loop::now(); }

private:
    struct implementation;
    explicit node(std::unique_ptr<implementation> owned);
    connection_id connection_to(const instance_id& to);

    std::unique_ptr<implementation> self;
};

} // namespace coursejunction

#endif
