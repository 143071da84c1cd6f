/*! @file
 * @brief Reports of a side to those who subscribed to them.
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

/*! @brief Tells subscribers the whole state when it matters, and else only
 * the load, or that this side is alive. */
class report_publisher
{
public:
    explicit report_publisher(node& owner) : host(owner) {}

    /*! @brief Takes a subscriber and tells it the whole state.
     * @param routing Whether it routes requests here. */
    void subscribe(const instance_id& from, bool routing,
                   const message::report& state);

    /*! @brief Forgets a subscriber whose connection is gone. */
    void peer_lost(const instance_id& peer) { subscribers.erase(peer); }

    /*! @brief Tells everybody the whole state. */
    void send_report(const message::report& state);

    /*! @brief Tells what has changed since: the load to those that route
     * here, and to everybody slowly that this side is alive. */
    void send_load(const message::report& state);

    /*! @brief Returns the number of subscribers. */
    [[nodiscard]] std::size_t size() const { return subscribers.size(); }

private:
    struct subscription
    {
        bool routing{false};
        time_point told{};
    };

    node& host;
    std::map<instance_id, subscription> subscribers;
    std::vector<std::uint64_t> told_cached;
    std::uint32_t told_running{0};
    std::string told_reason;
};

} // namespace internal

} // namespace coursejunction

#endif
