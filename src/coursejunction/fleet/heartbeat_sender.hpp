/*! @file
 * @brief Sends heartbeats to the peers that hear them.
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

/*! @brief Applies the plan of heartbeats to the peers of one process. */
class heartbeat_sender
{
public:
    /*! @brief Makes what this process tells. */
    using heartbeat_factory = std::function<message::fleet_heartbeat(
        time_point, const heartbeat_context&)>;

    /*! @brief Sends a datagram to a peer's address. */
    using datagram_sink = std::function<void(const std::string& address,
                                             const std::string& datagram)>;

    heartbeat_sender(const fleet_options& own, const peer_directory& peers,
                     metrics& counted, heartbeat_factory beat,
                     datagram_sink send_to)
        : options(own), directory(peers), counters(counted),
          make(std::move(beat)), deliver(std::move(send_to))
    {
    }

    /*! @brief Sends a heartbeat to all that hear it. */
    void send_heartbeat(heartbeat_context context, time_point now)
    {
        const auto ring = own_hall_ring();
        const auto own = index_of(ring, options.address);
        const auto relay_rank =
            relay_rank_of(directory, options.address, options.hall, now);
        context.hall_sides = ring.size();
        context.relayed_by_entries = !options.entry && relay_rank.entries > 1;
        const auto datagram = encode(make(now, context));
        std::vector<std::string> digest_receivers;
        std::size_t local = 0;
        std::size_t remote = 0;
        for (const auto& [address, one] : directory.all())
        {
            heartbeat_receiver to{one.entry, in_own_hall(one), false, false};
            to.ring_neighbour =
                !options.entry && !one.entry && to.same_hall &&
                is_ring_neighbour(own, index_of(ring, address), ring.size());
            to.gets_digest =
                options.entry && one.entry && !to.same_hall &&
                context.reason == heartbeat_reason::regular &&
                relays_digest_to(relay_rank, address, context.regular_number);
            // Entries of other halls never tell a side anything: it knocks at
            // them only while none of its own hall is there.
            const bool never_heard =
                one.entry && one.heard_at == time_point{} &&
                context.reason == heartbeat_reason::regular &&
                !context.relayed_by_entries;
            if (to.gets_digest)
                digest_receivers.push_back(address);
            if (!receives(context, to) && !never_heard)
                continue;
            send(address, datagram);
            ++(to.same_hall ? local : remote);
        }
        count_bytes(context.reason, true, local * datagram.size());
        count_bytes(context.reason, false, remote * datagram.size());
        if (!digest_receivers.empty())
            send_digest(digest_receivers, now);
    }

    /*! @brief Tells one peer that it is behind. */
    void send_mirror_position(const std::string& address, time_point now)
    {
        const auto* peer = directory.find(address);
        const auto datagram =
            encode(make(now, context_for(heartbeat_reason::mirror)));
        send(address, datagram);
        count_bytes(heartbeat_reason::behind,
                    peer != nullptr && in_own_hall(*peer), datagram.size());
    }

private:
    [[nodiscard]] bool in_own_hall(const peer_state& one) const
    {
        return one.last_heartbeat.hall == options.hall.value();
    }

    [[nodiscard]] heartbeat_context context_for(heartbeat_reason reason) const
    {
        heartbeat_context made;
        made.reason = reason;
        made.from_entry = options.entry;
        return made;
    }

    /*! @brief Returns the sides of the own hall, this one included, in the
     * order of their addresses. */
    [[nodiscard]] std::vector<std::string> own_hall_ring() const
    {
        std::vector<std::string> ring;
        for (const auto& [address, one] : directory.all())
        {
            if (!one.entry && in_own_hall(one))
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

    /*! @brief Tells entries of other halls what the sides of this one tell. */
    void send_digest(const std::vector<std::string>& to, time_point now)
    {
        for (auto& part : make_digests(directory, options.hall, now))
        {
            auto made = make(now, context_for(heartbeat_reason::load));
            made.digest = std::move(part);
            const auto datagram = encode(made);
            for (const auto& address : to)
                send(address, datagram);
            count_bytes(heartbeat_reason::digest, false,
                        to.size() * datagram.size());
        }
    }

    void send(const std::string& address, const std::string& datagram)
    {
        deliver(address, datagram);
    }

    /*! @brief Counts bytes by why and how far they go: bytes between regions
     * are few and dear. */
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
    heartbeat_factory make;
    datagram_sink deliver;
};

} // namespace coursejunction

#endif
