/*! @file
 * @brief What an entry hears of the replicas, and what it tells of them.
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

/*! @brief Status of all halls, as far as they could be asked. */
struct status_view
{
    std::map<instance_id, message::report> replicas;
    std::vector<hall_id> silent_halls;
};

/*! @brief Subscribes to sides, keeps their last reports, grants permits to
 * close, and gathers the status of all halls from their designated
 * entries. */
class report_service
{
public:
    /*! @brief Called with each report. */
    using report_callback = std::function<void(const message::report&)>;
    using status_callback = std::function<void(const status_view&)>;

    report_service(node& owner, report_callback heard);
    ~report_service();

    /*! @brief Chooses anew which sides to hear. */
    void members_changed();

    /*! @brief Takes a frame of this service.
     * @return Whether it was one. */
    bool received(const instance_id& from, frame& one);

    /*! @brief Notes that a connection is gone. */
    void peer_lost(const instance_id& peer);

    /*! @brief Subscribes again where a connection was lost. */
    void tick();

    /*! @brief Gathers the status; answers within a second. */
    void status(status_callback done);

    /*! @brief Returns the sides that this entry hears. */
    [[nodiscard]] std::size_t size() const;

    /*! @brief Returns the state as JSON. */
    [[nodiscard]] std::string dump() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace coursejunction

#endif
