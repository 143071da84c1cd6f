/*! @file
 * @brief Sends heartbeats to the peers that receive them, and digests to
 * entries of other halls.
 */
#ifndef COURSEJUNCTION_FLEET_HEARTBEAT_SENDER_HPP
#define COURSEJUNCTION_FLEET_HEARTBEAT_SENDER_HPP

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/fleet_hooks.hpp"
#include "coursejunction/fleet/hall_digest.hpp"
#include "coursejunction/fleet/heartbeat_plan.hpp"
#include "coursejunction/fleet/peer_directory.hpp"
#include "coursejunction/net/metrics.hpp"
#include "coursejunction/wire/codec.hpp"
#include "coursejunction/wire/fleet_message.hpp"

namespace coursejunction
{

/*! @brief Applies the rules of `heartbeat_plan.hpp` to the peers of one
 * process. */
class heartbeat_sender
{
public:
    /*! @brief Builds the heartbeat that this process sends. */
    using heartbeat_factory = std::function<message::fleet_heartbeat(
        time_point, const heartbeat_context&)>;

    /*! @brief Sends a datagram to the IP address of a peer. */
    using datagram_sink = std::function<void(const std::string& address,
                                             const std::string& datagram)>;

    heartbeat_sender(const fleet_options& own, const peer_directory& peers,
                     metrics& counted, heartbeat_factory factory,
                     datagram_sink sink)
        : options(own), directory(peers), counters(counted),
          make_heartbeat(std::move(factory)), send_datagram(std::move(sink))
    {
    }

    /*! @brief Sends a heartbeat to all its receivers, and the hall's digest to
     * entries of other halls that are due to receive it. */
    void send_heartbeat(heartbeat_context context, time_point now)
    {
        const auto ring = own_hall_ring();
        const auto own = index_of(ring, options.address);
        const auto relay_rank =
            relay_rank_of(directory, options.address, options.hall, now);
        context.hall_sides = ring.size();
        // The count includes this process, here a sidecar: more than 1 means
        // that its hall has a live entry.
        context.relayed_by_entries = !options.entry && relay_rank.entries > 1;
        const auto datagram = encode(make_heartbeat(now, context));
        std::vector<std::string> digest_receivers;
        std::size_t local = 0;
        std::size_t remote = 0;
        for (const auto& [address, peer] : directory.all())
        {
            heartbeat_receiver to{peer.entry, in_own_hall(peer), false, false};
            to.ring_neighbour =
                !options.entry && !peer.entry && to.same_hall &&
                is_ring_neighbour(own, index_of(ring, address), ring.size());
            to.gets_digest =
                options.entry && peer.entry && !to.same_hall &&
                context.reason == heartbeat_reason::regular &&
                relays_digest_to(relay_rank, address, context.regular_number);
            // An entry from which nothing was ever received is tried at each
            // regular heartbeat. A sidecar does so only while its own hall has
            // no live entry, since entries of other halls send it nothing.
            const bool tries_unheard_entry =
                peer.entry && peer.heard_at == time_point{} &&
                context.reason == heartbeat_reason::regular &&
                !context.relayed_by_entries;
            if (to.gets_digest)
                digest_receivers.push_back(address);
            if (!receives(context, to) && !tries_unheard_entry)
                continue;
            send(address, datagram);
            ++(to.same_hall ? local : remote);
        }
        count_bytes(context.reason, true, local * datagram.size());
        count_bytes(context.reason, false, remote * datagram.size());
        if (!digest_receivers.empty())
            send_digest(digest_receivers, now);
    }

    /*! @brief Sends the mirror's position to a peer whose mirror lags behind.
     */
    void send_mirror_position(const std::string& address, time_point now)
    {
        const auto* peer = directory.find(address);
        const auto datagram =
            encode(make_heartbeat(now, context_for(heartbeat_reason::mirror)));
        send(address, datagram);
        // The heartbeat is one of reason `mirror`; `behind` only separates its
        // bytes in the metric.
        count_bytes(heartbeat_reason::behind,
                    peer != nullptr && in_own_hall(*peer), datagram.size());
    }

private:
    [[nodiscard]] bool in_own_hall(const peer_state& peer) const
    {
        return peer.last_heartbeat.hall == options.hall.value();
    }

    [[nodiscard]] heartbeat_context context_for(heartbeat_reason reason) const
    {
        heartbeat_context context;
        context.reason = reason;
        context.from_entry = options.entry;
        return context;
    }

    /*! @brief Returns the sidecars of the own hall, this one included, sorted
     * by address. */
    [[nodiscard]] std::vector<std::string> own_hall_ring() const
    {
        std::vector<std::string> ring;
        for (const auto& [address, peer] : directory.all())
        {
            if (!peer.entry && in_own_hall(peer))
                ring.push_back(address);
        }
        if (!options.entry)
            ring.insert(
                std::upper_bound(ring.begin(), ring.end(), options.address),
                options.address);
        return ring;
    }

    static std::size_t index_of(const std::vector<std::string>& ring,
                                const std::string& address)
    {
        return static_cast<std::size_t>(
            std::lower_bound(ring.begin(), ring.end(), address) - ring.begin());
    }

    /*! @brief Relays the statuses of the own hall's sidecars to entries of
     * other halls. */
    void send_digest(const std::vector<std::string>& to, time_point now)
    {
        for (auto& digest : make_digests(directory, options.hall, now))
        {
            // A heartbeat of reason `load` lists no entries, chunks, crashes or
            // terms, which leaves room for the digest.
            auto heartbeat =
                make_heartbeat(now, context_for(heartbeat_reason::load));
            heartbeat.digest = std::move(digest);
            const auto datagram = encode(heartbeat);
            for (const auto& address : to)
                send(address, datagram);
            count_bytes(heartbeat_reason::digest, false,
                        to.size() * datagram.size());
        }
    }

    void send(const std::string& address, const std::string& datagram)
    {
        send_datagram(address, datagram);
    }

    /*! @brief Counts the bytes sent by reason and distance, since bandwidth
     * between regions is scarce. */
    void count_bytes(heartbeat_reason reason, bool local, std::size_t bytes)
    {
        if (bytes > 0)
            counters.count("fleet_datagram_bytes_total",
                           static_cast<double>(bytes),
                           {{"why", std::string(reason_name(reason))},
                            {"to", local ? "hall" : "elsewhere"}});
    }

    const fleet_options& options;
    const peer_directory& directory;
    metrics& counters;
    heartbeat_factory make_heartbeat;
    datagram_sink send_datagram;
};

} // namespace coursejunction

#endif
