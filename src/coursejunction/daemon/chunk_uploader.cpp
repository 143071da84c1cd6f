#include "coursejunction/daemon/chunk_uploader.hpp"

#include "coursejunction/daemon/node.hpp"

namespace coursejunction
{

namespace internal
{

constexpr std::size_t upload_limit = 4;
constexpr std::chrono::microseconds send_ahead{2000};

} // namespace internal

chunk_uploader::chunk_uploader(node& owner, lookup find, chunk_filter change)
    : host(owner), find_chunk(std::move(find)), filter(std::move(change)),
      link(owner.settings().upload_rate), queue(internal::upload_limit)
{
}

bool chunk_uploader::offer(upload one)
{
    if (!queue.offer(std::move(one)))
        return false;
    send_due();
    return true;
}

void chunk_uploader::urge(upload one)
{
    queue.enqueue_first(std::move(one));
    send_due();
}

void chunk_uploader::release(const digest& manifest, chunk_index chunk)
{
    if (queue.serve_waiters(manifest, chunk))
        send_due();
}

void chunk_uploader::send_due()
{
    while (link.backlog(node::now()) <= internal::send_ahead)
    {
        const auto next = queue.take_next();
        if (!next)
            return;
        send(*next);
    }
    due = host.loop().after(link.backlog(node::now()), [this] { send_due(); });
}

void chunk_uploader::send(const upload& one)
{
    const auto chunk = find_chunk(one.manifest, one.chunk);
    if (!chunk)
        return;
    message::chunk_reply reply;
    reply.manifest = one.manifest;
    reply.chunk = one.chunk;
    reply.status = message::chunk_status::given;
    reply.queue = static_cast<std::uint32_t>(queue.size());
    link.reserve(static_cast<double>(chunk->size()), node::now());
    sent += chunk->size();
    if (!filter)
    {
        host.send(one.to, reply, *chunk, true);
        return;
    }
    auto changed = *chunk;
    filter(changed);
    host.send(one.to, reply, changed, true);
}

} // namespace coursejunction
