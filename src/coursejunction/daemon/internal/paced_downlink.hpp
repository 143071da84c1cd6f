/*! @file
 * @brief Paces the chunks that come from peers to the downlink's rate.
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

/*! @brief Holds each received chunk until a downlink of the configured rate
 * would have transferred it. */
class paced_downlink
{
public:
    /*! @brief Called with each chunk and its sender. */
    using deliver_callback =
        std::function<void(chunk_index, std::string, const instance_id&)>;

    /*! @param rate Rate of the downlink in bytes per second. */
    paced_downlink(event_loop& owner, double rate, deliver_callback call);

    /*! @brief Queues a chunk; the callback runs when the downlink would have
     * transferred it. */
    void enqueue(chunk_index chunk, std::string bytes, const instance_id& from);

    /*! @brief Drops the queued chunks; their time on the link stays reserved.
     */
    void clear() { queued.clear(); }

private:
    struct queued_chunk
    {
        time_point due_at;
        chunk_index chunk;
        std::string bytes;
        instance_id from;
    };

    void deliver_due();

    event_loop& loop;
    link_pacer link;
    deliver_callback deliver;
    std::deque<queued_chunk> queued;
    timer due_timer;
};

} // namespace coursejunction::internal

#endif
