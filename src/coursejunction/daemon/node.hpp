/*! @file
 * @brief What every daemon does whatever its role: it knows the members,
 * keeps the configuration by gossip, talks to peers, and serves its state.
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

/*! @brief Entries of a hall that watch the key-value service and gather the
 * hall's reports. */
inline constexpr std::size_t designated_per_hall = 2;

/*! @brief What a role adds to a node; all calls are on the loop's thread. */
struct node_hooks
{
    std::function<void(const instance_id&, frame)> received;
    std::function<void(const instance_id&)> peer_lost;
    std::function<void()> configuration_changed;
    std::function<void()> members_changed;
    std::function<void(http_request, std::shared_ptr<http_reply>)> http;
    std::function<std::string()> dump;
    std::function<void()> leaving;
    std::function<bool()> idle;
};

/*! @brief One process of the system. */
class node
{
public:
    /*! @brief Opens the node's ports.
     * @return The node, or `unavailable`. */
    [[nodiscard]] static result<std::unique_ptr<node>>
    create(event_loop& loop, node_settings settings);

    ~node();

    /*! @brief Starts to act; called once when the role is ready. */
    void start(node_hooks hooks);

    /*! @brief Sends to an instance, over a connection made when needed.
     * @return False when the instance is not known. */
    template <typename Message>
    bool send(const instance_id& to, const Message& message,
              std::string_view payload = {}, bool hashed_payload = false)
    {
        const auto connection = connection_to(to);
        return !connection.empty() &&
               hub().send(connection, message, payload, hashed_payload);
    }

    /*! @brief Begins a planned stop: says so to everybody, finishes what is
     * in progress, then ends the loop. */
    void leave();

    [[nodiscard]] bool is_leaving() const;

    /*! @brief Returns how long the node has been leaving; zero if not. */
    [[nodiscard]] std::chrono::microseconds leaving_for() const;

    /*! @brief Puts a configuration into force and tells the neighbours. */
    void adopt(const configuration& next);

    /*! @brief Returns when this process started, for status. */
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
