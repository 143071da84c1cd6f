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

/*! @brief Changes a chunk before it is sent; only a faulty build sets one. */
using chunk_filter = std::function<void(std::string&)>;

/*! @brief Queues requests for chunks and sends them one after another, each
 * when the uplink has carried the one before. */
class chunk_uploader
{
public:
    using upload = upload_queue::upload;

    /*! @brief Finds a chunk that is held; null when it is not. */
    using lookup = std::function<std::shared_ptr<const std::string>(
        const digest& manifest, chunk_index chunk)>;

    chunk_uploader(node& owner, lookup find, chunk_filter change);

    /*! @brief Queues a chunk.
     * @return False when the queue is full. */
    [[nodiscard]] bool offer(upload one);

    /*! @brief Queues a chunk before all others. */
    void urge(upload one);

    /*! @brief Notes that a peer waits for a chunk that is not held yet. */
    void wait(upload one) { queue.add_waiter(std::move(one)); }

    /*! @brief Sends a chunk, now held, to those who wait for it. */
    void release(const digest& manifest, chunk_index chunk);

    /*! @brief Forgets who waits for chunks of a version. */
    void give_up(const digest& manifest) { queue.drop_waiters(manifest); }

    /*! @brief Forgets a peer that is gone. */
    void drop(const instance_id& peer) { queue.remove_peer(peer); }

    /*! @brief Sets the portion of the uplink that may be used. */
    void limit_to(double portion) { link.limit_to(portion); }

    [[nodiscard]] double portion() const { return link.fraction(); }
    [[nodiscard]] std::size_t size() const { return queue.size(); }
    [[nodiscard]] bool empty() const { return queue.empty(); }

    /*! @brief Returns the bytes sent. */
    [[nodiscard]] std::uint64_t bytes() const noexcept { return sent; }

private:
    void send_due();
    void send(const upload& one);

    node& host;
    lookup find_chunk;
    chunk_filter filter;
    link_pacer link;
    upload_queue queue;
    std::uint64_t sent{0};
    timer due;
};

} // namespace coursejunction

#endif
