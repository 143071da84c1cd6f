/*! @file
 * @brief Sends chunks to peers over the paced uplink.
 */
#ifndef COURSEJUNCTION_DAEMON_CHUNK_UPLOADER_HPP
#define COURSEJUNCTION_DAEMON_CHUNK_UPLOADER_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/core/pacing.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/transfer/upload_queue.hpp"

namespace coursejunction
{

class node;

/*! @brief Modifies a chunk before it is sent; set only by the test build that
 * is faulty on purpose. */
using chunk_filter = std::function<void(std::string&)>;

/*! @brief Queues requested chunks and sends them one after another, at the rate
 * of the uplink. */
class chunk_uploader
{
public:
    using upload = upload_queue::upload;

    /*! @brief Returns a chunk, or null when it is not held. */
    using lookup = std::function<std::shared_ptr<const std::string>(
        const digest& manifest, chunk_index chunk)>;

    chunk_uploader(node& owner, lookup find, chunk_filter modify);

    /*! @brief Queues a held chunk.
     * @return False when the queue is full. */
    [[nodiscard]] bool offer(upload next);

    /*! @brief Queues a held chunk ahead of those queued by `offer`, whatever
     * the length of the queue. */
    void enqueue_first(upload next);

    /*! @brief Records that a peer waits for a chunk that is not held yet. */
    void add_waiter(upload wanted) { queue.add_waiter(std::move(wanted)); }

    /*! @brief Queues a chunk that has arrived for the peers that wait for it,
     * ahead of those queued by `offer`. */
    void serve_waiters(const digest& manifest, chunk_index chunk);

    /*! @brief Forgets the peers that wait for chunks of a version. */
    void drop_waiters(const digest& manifest) { queue.drop_waiters(manifest); }

    /*! @brief Drops the queued uploads to a peer that was lost. */
    void remove_peer(const instance_id& peer) { queue.remove_peer(peer); }

    /*! @brief Sets the fraction of the uplink's rate that uploads may use. */
    void set_link_fraction(double fraction) { uplink.limit_to(fraction); }

    [[nodiscard]] double link_fraction() const { return uplink.fraction(); }
    [[nodiscard]] std::size_t size() const { return queue.size(); }
    [[nodiscard]] bool empty() const { return queue.empty(); }

    /*! @brief Returns the bytes of all chunks sent. */
    [[nodiscard]] std::uint64_t sent_bytes() const noexcept
    {
        return total_sent;
    }

private:
    void send_due();
    void send(const upload& next);

    node& host;
    lookup find_chunk;
    chunk_filter filter;
    link_pacer uplink;
    upload_queue queue;
    std::uint64_t total_sent{0};
    timer send_timer;
};

} // namespace coursejunction

#endif
