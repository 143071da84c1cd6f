#include "coursejunction/daemon/internal/have_announcer.hpp"

#include <utility>

namespace coursejunction::internal
{

namespace
{

/*! @brief Minimum interval between two announcements to the own hall. */
constexpr milliseconds hall_announce_interval{100};

/*! @brief Interval between two announcements to all listeners and neighbours.
 */
constexpr milliseconds announce_interval{500};

/*! @brief Maximum number of listeners; further peers are ignored. */
constexpr std::size_t max_listeners = 64;

/*! @brief Time without a chunk request after which a complete version is no
 * longer announced. */
constexpr std::chrono::seconds idle_timeout{10};

} // namespace

have_announcer::have_announcer(send_callback call) : send(std::move(call)) {}

void have_announcer::set_neighbours(std::set<instance_id> chosen)
{
    neighbours = std::move(chosen);
}

void have_announcer::send_all_held(const chunk_store& chunks) const
{
    for (const auto& id : neighbours)
        send(id, chunks.held_chunks());
}

void have_announcer::add_listener(const instance_id& peer, bool same_hall,
                                  const chunk_store& chunks)
{
    if (listeners.contains(peer) || listeners.size() >= max_listeners)
        return;
    listeners[peer] = same_hall;
    send(peer, chunks.held_chunks());
}

void have_announcer::announce(const chunk_store& chunks, time_point now)
{
    if (now - all_announced_at >= announce_interval)
        return announce_to_all(chunks, now);
    if (unannounced.empty() || now - hall_announced_at < hall_announce_interval)
        return;
    hall_announced_at = now;
    announce_to_hall();
}

void have_announcer::announce_to_hall()
{
    for (const auto& [peer, same_hall] : listeners)
    {
        if (same_hall)
            send(peer, unannounced);
    }
    keep_for_other_halls();
    unannounced.clear();
}

void have_announcer::announce_to_all(const chunk_store& chunks, time_point now)
{
    all_announced_at = hall_announced_at = now;
    if (chunks.complete() && now - last_request_at > idle_timeout)
        listeners.clear();
    keep_for_other_halls();
    for (const auto& [peer, same_hall] : listeners)
        send(peer, same_hall ? unannounced : unannounced_elsewhere);
    unannounced.clear();
    unannounced_elsewhere.clear();
    if (chunks.complete())
        return;
    for (const auto& id : neighbours)
    {
        if (!listeners.contains(id))
            send(id, chunks.held_chunks());
    }
}

void have_announcer::keep_for_other_halls()
{
    unannounced_elsewhere.insert(unannounced_elsewhere.end(),
                                 unannounced.begin(), unannounced.end());
}

void have_announcer::stop()
{
    listeners.clear();
    neighbours.clear();
    unannounced.clear();
    unannounced_elsewhere.clear();
}

std::size_t have_announcer::listener_count() const
{
    return listeners.size();
}

std::size_t have_announcer::neighbour_count() const
{
    return neighbours.size();
}

} // namespace coursejunction::internal
