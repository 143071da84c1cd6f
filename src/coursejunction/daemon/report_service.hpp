/*! @file
 * @brief Collects sidecars' reports at an entry and serves status from them.
 */
#ifndef COURSEJUNCTION_DAEMON_REPORT_SERVICE_HPP
#define COURSEJUNCTION_DAEMON_REPORT_SERVICE_HPP

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/wire/codec.hpp"

namespace coursejunction
{

class node;

/*! @brief Status of all halls that could be queried. */
struct status_view
{
    std::map<instance_id, message::report> replicas;
    /*! @brief Halls of which a designated entry did not answer in time, or none
     * could be asked. */
    std::vector<hall_id> silent_halls;
};

/*! @brief Subscribes to sidecars and keeps their last reports, grants replicas
 * permits to close for a load, and gathers the status of all halls from their
 * designated entries. */
class report_service
{
public:
    /*! @brief Called with each report, also when only the load changed or the
     * connection was lost. */
    using report_callback = std::function<void(const message::report&)>;
    using status_callback = std::function<void(const status_view&)>;

    report_service(node& owner, report_callback on_report);
    ~report_service();

    /*! @brief Updates the selection of sidecars to subscribe to; called when
     * members change, and regularly. */
    void update_subscriptions();

    /*! @brief Handles a frame with a report, a permit request or a status
     * query.
     * @return Whether the frame was of one of these types. */
    bool handle_frame(const instance_id& from, frame& received);

    /*! @brief Marks the replica of a peer whose connection is lost as
     * unreachable. */
    void peer_lost(const instance_id& peer);

    /*! @brief Subscribes to selected sidecars without a subscription; called
     * regularly. */
    void subscribe_missing();

    /*! @brief Gathers the status of all halls and calls `done` with it, after a
     * second at the latest. */
    void query_status(status_callback done);

    /*! @brief Returns the number of sidecars that have reported. */
    [[nodiscard]] std::size_t size() const;

    /*! @brief Returns the state as JSON. */
    [[nodiscard]] std::string dump() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace coursejunction

#endif
