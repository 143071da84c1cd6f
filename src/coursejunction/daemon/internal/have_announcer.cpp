#include "coursejunction/daemon/internal/have_announcer.hpp"

#include <utility>

namespace coursejunction::internal
{

namespace
{

/*! @brief Shortest time between two batches to the own hall. */
constexpr milliseconds have_batch{100};

/*! @brief Time between two signs of life to everybody. */
constexpr milliseconds have_interval{500};

/*! @brief Peers that are told at most. */
constexpr std::size_t max_listeners = 64;

/*! @brief Time without a request after which a whole version is no longer
 * announced. */
constexpr std::chrono::seconds quiet_after{10};

} // namespace

have_announcer::have_announcer(send_callback call) : send(std::move(call)) {}

void have_announcer::neighbours(std::set<instance_id> chosen)
{
    known = std::move(chosen);
}

void have_announcer::greet(const chunk_store& chunks) const
{
    for (const auto& id : known)
        send(id, chunks.held_chunks());
}

void have_announcer::listen(const instance_id& peer, bool near,
                            const chunk_store& chunks)
{
    if (listeners.contains(peer) || listeners.size() >= max_listeners)
        return;
    listeners[peer] = near;
    send(peer, chunks.held_chunks());
}

void have_announcer::tell(const chunk_store& chunks, time_point now)
{
    if (now - told_far >= have_interval)
        return tell_all(chunks, now);
    if (fresh.empty() || now - told_near < have_batch)
        return;
    told_near = now;
    tell_near();
}

void have_announcer::tell_near()
{
    for (const auto& [peer, near] : listeners)
    {
        if (near)
            send(peer, fresh);
    }
    note_unheard();
    fresh.clear();
}

void have_announcer::tell_all(const chunk_store& chunks, time_point now)
{
    told_far = told_near = now;
    if (chunks.complete() && now - asked_at > quiet_after)
        listeners.clear();
    note_unheard();
    for (const auto& [peer, near] : listeners)
        send(peer, near ? fresh : unheard);
    fresh.clear();
    unheard.clear();
    if (chunks.complete())
        return;
    for (const auto& id : known)
    {
        if (!listeners.contains(id))
            send(id, chunks.held_chunks());
    }
}

void have_announcer::note_unheard()
{
    unheard.insert(unheard.end(), fresh.begin(), fresh.end());
}

void have_announcer::stop()
{
    listeners.clear();
    known.clear();
    fresh.clear();
    unheard.clear();
}

std::size_t have_announcer::listener_count() const
{
    return listeners.size();
}

std::size_t have_announcer::neighbour_count() const
{
    return known.size();
}

} // namespace coursejunction::internal
