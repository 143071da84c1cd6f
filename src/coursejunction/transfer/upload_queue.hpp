/*! @file
 * @brief Orders the chunks that an instance uploads.
 */
#ifndef COURSEJUNCTION_TRANSFER_UPLOAD_QUEUE_HPP
#define COURSEJUNCTION_TRANSFER_UPLOAD_QUEUE_HPP

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/transfer/fwd.hpp"

namespace coursejunction
{

/*! @brief Queues chunks to send, those that other halls wait for first. Plain
 * requests beyond the limit are rejected immediately, so that the requester
 * asks another peer. */
class upload_queue
{
public:
    using size_type = std::size_t;

    /*! @brief One chunk for one peer. */
    struct upload
    {
        instance_id to;
        digest manifest;
        chunk_index chunk{0};

        friend auto operator<=>(const upload&, const upload&) = default;
    };

    /*! @param max_plain Maximum number of queued plain requests. */
    explicit upload_queue(size_type max_plain) : limit(max_plain) {}

    /*! @brief Queues a chunk that is held, unless the same upload is queued
     * already.
     * @return False when the queue is full. */
    [[nodiscard]] bool offer(upload one)
    {
        if (plain.size() >= limit)
            return false;
        if (std::find(plain.begin(), plain.end(), one) == plain.end())
            plain.push_back(std::move(one));
        return true;
    }

    /*! @brief Records that a peer waits for a chunk that is not held yet. */
    void add_waiter(upload one)
    {
        waiting[{one.manifest, one.chunk}].insert(std::move(one.to));
    }

    /*! @brief Queues a chunk before all plain requests. */
    void enqueue_first(upload one) { urgent.push_back(std::move(one)); }

    /*! @brief Queues the uploads of a chunk to all peers that wait for it,
     * before all plain requests.
     * @return Whether any peer waited. */
    bool serve_waiters(const digest& manifest, chunk_index chunk)
    {
        const auto found = waiting.find({manifest, chunk});
        if (found == waiting.end())
            return false;
        for (const auto& to : found->second)
            urgent.push_back({to, manifest, chunk});
        waiting.erase(found);
        return true;
    }

    /*! @brief Removes and returns the next upload. */
    [[nodiscard]] std::optional<upload> take_next()
    {
        auto& from = urgent.empty() ? plain : urgent;
        if (from.empty())
            return std::nullopt;
        auto one = std::move(from.front());
        from.pop_front();
        return one;
    }

    /*! @brief Removes all uploads to a peer. */
    void remove_peer(const instance_id& peer)
    {
        const auto same = [&](const upload& one) { return one.to == peer; };
        std::erase_if(plain, same);
        std::erase_if(urgent, same);
        for (auto& [chunk, peers] : waiting)
            peers.erase(peer);
    }

    /*! @brief Removes the peers that wait for chunks of a version, which is no
     * longer fetched. */
    void drop_waiters(const digest& manifest)
    {
        std::erase_if(waiting, [&](const auto& one)
                      { return one.first.first == manifest; });
    }

    /*! @brief Returns how many uploads are queued. */
    [[nodiscard]] size_type size() const
    {
        return plain.size() + urgent.size();
    }

    [[nodiscard]] bool empty() const { return size() == 0; }

private:
    size_type limit;
    std::deque<upload> plain;
    std::deque<upload> urgent;
    std::map<std::pair<digest, chunk_index>, std::set<instance_id>> waiting;
};

} // namespace coursejunction

#endif
