/*! @file
 * @brief Sends a sidecar's reports to their subscribers.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_REPORT_PUBLISHER_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_REPORT_PUBLISHER_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/wire/codec.hpp"

namespace coursejunction
{

class node;

namespace internal
{

/*! @brief Sends subscribers the full state when it changes, and otherwise only
 * the load or a sign that this sidecar is alive. */
class report_publisher
{
public:
    explicit report_publisher(node& owner) : host(owner) {}

    /*! @brief Adds a subscriber and sends it the full state.
     * @param routing Whether the subscriber routes requests here. */
    void subscribe(const instance_id& from, bool routing,
                   const message::report& state);

    /*! @brief Removes a subscriber whose connection is lost. */
    void peer_lost(const instance_id& peer) { subscribers.erase(peer); }

    /*! @brief Sends all subscribers the full state. */
    void send_report(const message::report& state);

    /*! @brief Called regularly. Sends the full state if the cached prefixes or
     * the reason have changed; otherwise the load, immediately to those that
     * route here if it has changed, and to all others at longer intervals. */
    void send_load(const message::report& state);

    /*! @brief Returns the number of subscribers. */
    [[nodiscard]] std::size_t size() const { return subscribers.size(); }

private:
    struct subscription
    {
        bool routing{false};
        time_point last_sent{};
    };

    node& host;
    std::map<instance_id, subscription> subscribers;
    std::vector<std::uint64_t> sent_prefixes;
    std::uint32_t sent_running{0};
    std::string sent_reason;
};

} // namespace internal

} // namespace coursejunction

#endif
