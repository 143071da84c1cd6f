/*! @file
 * @brief Lets chunks arrive as fast as the downlink may carry them.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_PACED_DOWNLINK_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_PACED_DOWNLINK_HPP

#include <deque>
#include <functional>
#include <string>

#include "coursejunction/core/pacing.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/transfer/manifest.hpp"

namespace coursejunction::internal
{

/*! @brief Holds chunks that came from peers until the paced downlink has
 * carried them. */
class paced_downlink
{
public:
    /*! @brief Takes a chunk that has arrived, and who sent it. */
    using arrived_callback =
        std::function<void(chunk_index, std::string, const instance_id&)>;

    /*! @param rate Bytes a second that the downlink carries. */
    paced_downlink(event_loop& owner, double rate, arrived_callback call);

    /*! @brief Lets a chunk arrive when the downlink has carried it. */
    void enqueue(chunk_index chunk, std::string bytes, const instance_id& from);

    /*! @brief Drops what has not arrived; the time it took stays taken. */
    void clear() { coming.clear(); }

private:
    struct arrival
    {
        time_point at;
        chunk_index chunk;
        std::string bytes;
        instance_id from;
    };

    void take_due();

    event_loop& loop;
    link_pacer link;
    arrived_callback arrived;
    std::deque<arrival> coming;
    timer due;
};

} // namespace coursejunction::internal

#endif
