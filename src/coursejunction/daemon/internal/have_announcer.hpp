/*! @file
 * @brief Announces to peers which chunks are held here.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_HAVE_ANNOUNCER_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_HAVE_ANNOUNCER_HPP

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/transfer/chunk_store.hpp"

namespace coursejunction::internal
{

/*! @brief Announces the held chunks of the target version to two groups of
 * peers. Listeners have announced or requested chunks themselves and get only
 * what is new. Neighbours that are not listeners yet get everything that is
 * held, until the version is complete here. */
class have_announcer
{
public:
    /*! @brief Sends a list of held chunks to a peer. */
    using send_callback =
        std::function<void(const instance_id&, std::vector<chunk_index>)>;

    explicit have_announcer(send_callback call);

    /*! @brief Sets the peers that this instance announces itself to. */
    void set_neighbours(std::set<instance_id> chosen);

    /*! @brief Sends the neighbours every held chunk; they reply with theirs. */
    void send_all_held(const chunk_store& chunks) const;

    /*! @brief Adds a peer that wants announcements; a new one gets every held
     * chunk.
     * @param same_hall Whether the peer is in the own hall. */
    void add_listener(const instance_id& peer, bool same_hall,
                      const chunk_store& chunks);

    /*! @brief Records that a peer requested a chunk. */
    void record_request(time_point now) { last_request_at = now; }

    /*! @brief Adds a chunk for the next announcement. */
    void add_chunk(chunk_index chunk) { unannounced.push_back(chunk); }

    /*! @brief Announces new chunks to the listeners of the own hall in small
     * batches, and less often to those of other halls, which need it only to
     * see that this instance is alive. */
    void announce(const chunk_store& chunks, time_point now);

    /*! @brief Removes a listener whose connection is lost. */
    void peer_lost(const instance_id& peer) { listeners.erase(peer); }

    /*! @brief Removes all listeners and neighbours: the version is no longer
     * the target. */
    void stop();

    [[nodiscard]] std::size_t listener_count() const;
    [[nodiscard]] std::size_t neighbour_count() const;

private:
    void announce_to_hall();
    void announce_to_all(const chunk_store& chunks, time_point now);
    void keep_for_other_halls();

    send_callback send;
    std::set<instance_id> neighbours;
    std::map<instance_id, bool> listeners; /*!< Whether in the same hall. */
    std::vector<chunk_index> unannounced;  /*!< Not sent to any listener. */
    /*! @brief Sent to the own hall, but not yet to others. */
    std::vector<chunk_index> unannounced_elsewhere;
    time_point hall_announced_at{};
    time_point all_announced_at{};
    time_point last_request_at{};
};

} // namespace coursejunction::internal

#endif
