#include "coursejunction/daemon/chunk_uploader.hpp"

#include "coursejunction/daemon/node.hpp"

namespace coursejunction
{

namespace internal
{

/*! @brief Plain requests beyond this many are refused as busy. */
constexpr std::size_t max_queued_uploads = 4;
/*! @brief A chunk is sent once at most this much of the uplink's time is still
 * taken up by the chunks before it. */
constexpr std::chrono::microseconds max_backlog{2000};

} // namespace internal

chunk_uploader::chunk_uploader(node& owner, lookup find, chunk_filter modify)
    : host(owner), find_chunk(std::move(find)), filter(std::move(modify)),
      uplink(owner.settings().upload_rate), queue(internal::max_queued_uploads)
{
}

bool chunk_uploader::offer(upload next)
{
    if (!queue.offer(std::move(next)))
        return false;
    send_due();
    return true;
}

void chunk_uploader::enqueue_first(upload next)
{
    queue.enqueue_first(std::move(next));
    send_due();
}

void chunk_uploader::serve_waiters(const digest& manifest, chunk_index chunk)
{
    if (queue.serve_waiters(manifest, chunk))
        send_due();
}

void chunk_uploader::send_due()
{
    while (uplink.backlog(node::now()) <= internal::max_backlog)
    {
        const auto next = queue.take_next();
        if (!next)
            return;
        send(*next);
    }
    send_timer =
        host.loop().after(uplink.backlog(node::now()), [this] { send_due(); });
}

void chunk_uploader::send(const upload& next)
{
    const auto chunk = find_chunk(next.manifest, next.chunk);
    if (!chunk)
        return;
    message::chunk_reply reply;
    reply.manifest = next.manifest;
    reply.chunk = next.chunk;
    reply.status = message::chunk_status::given;
    reply.queue = static_cast<std::uint32_t>(queue.size());
    uplink.reserve(static_cast<double>(chunk->size()), node::now());
    total_sent += chunk->size();
    if (!filter)
    {
        host.send(next.to, reply, *chunk, true);
        return;
    }
    auto modified = *chunk;
    filter(modified);
    host.send(next.to, reply, modified, true);
}

} // namespace coursejunction
