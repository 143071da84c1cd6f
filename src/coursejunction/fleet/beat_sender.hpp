/*! @file
 * @brief Sends heartbeats to the peers that hear them.
 */
#ifndef COURSEJUNCTION_FLEET_BEAT_SENDER_HPP
#define COURSEJUNCTION_FLEET_BEAT_SENDER_HPP

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/beat_plan.hpp"
#include "coursejunction/fleet/fleet_hooks.hpp"
#include "coursejunction/fleet/hall_digest.hpp"
#include "coursejunction/fleet/peer_directory.hpp"
#include "coursejunction/net/metrics.hpp"
#include "coursejunction/wire/codec.hpp"
#include "coursejunction/wire/fleet_message.hpp"

namespace coursejunction
{

/*! @brief Applies the plan of heartbeats to the peers of one process. */
class beat_sender
{
public:
    /*! @brief Makes what this process tells. */
    using maker =
        std::function<message::fleet_heartbeat(time_point, const beat_moment&)>;

    /*! @brief Sends a datagram to a peer's address. */
    using sender = std::function<void(const std::string& address,
                                      const std::string& datagram)>;

    beat_sender(const fleet_options& own, const peer_directory& peers,
                metrics& counted, maker beat, sender send_to)
        : options(own), directory(peers), counters(counted),
          make(std::move(beat)), deliver(std::move(send_to))
    {
    }

    /*! @brief Sends a heartbeat to all that hear it. */
    void tell(beat_moment sent, time_point now)
    {
        const auto ring = hall_ring();
        const auto own = place_of(ring, options.address);
        const auto digest =
            digest_place_of(directory, options.address, options.hall, now);
        sent.hall_sides = ring.size();
        sent.passed_on = !options.entry && digest.entries > 1;
        const auto datagram = encode(make(now, sent));
        std::vector<std::string> passed;
        std::size_t near = 0;
        std::size_t far = 0;
        for (const auto& [address, one] : directory.all())
        {
            beat_receiver to{one.entry, own_hall(one), false, false};
            to.neighbour =
                !options.entry && !one.entry && to.near &&
                ring_neighbour(own, place_of(ring, address), ring.size());
            to.digest = options.entry && one.entry && !to.near &&
                        sent.reason == beat_reason::regular &&
                        passes_digest(digest, address, sent.number);
            // Entries of other halls never tell a side anything: it knocks at
            // them only while none of its own hall is there.
            const bool unheard = one.entry && one.heard_at == time_point{} &&
                                 sent.reason == beat_reason::regular &&
                                 !sent.passed_on;
            if (to.digest)
                passed.push_back(address);
            if (!hears(sent, to) && !unheard)
                continue;
            send(address, datagram);
            ++(to.near ? near : far);
        }
        count_bytes(sent.reason, true, near * datagram.size());
        count_bytes(sent.reason, false, far * datagram.size());
        if (!passed.empty())
            pass_digest(passed, now);
    }

    /*! @brief Tells one peer that it is behind. */
    void tell_behind(const std::string& address, time_point now)
    {
        const auto* peer = directory.find(address);
        const auto datagram = encode(make(now, plain(beat_reason::mirror)));
        send(address, datagram);
        count_bytes(beat_reason::behind, peer != nullptr && own_hall(*peer),
                    datagram.size());
    }

private:
    [[nodiscard]] bool own_hall(const peer_state& one) const
    {
        return one.last_heartbeat.hall == options.hall.value();
    }

    [[nodiscard]] beat_moment plain(beat_reason why) const
    {
        beat_moment made;
        made.reason = why;
        made.from_entry = options.entry;
        return made;
    }

    /*! @brief Returns the sides of the own hall, this one included, in the
     * order of their addresses. */
    [[nodiscard]] std::vector<std::string> hall_ring() const
    {
        std::vector<std::string> ring;
        for (const auto& [address, one] : directory.all())
        {
            if (!one.entry && own_hall(one))
                ring.push_back(address);
        }
        if (!options.entry)
            ring.insert(
                std::upper_bound(ring.begin(), ring.end(), options.address),
                options.address);
        return ring;
    }

    static std::size_t place_of(const std::vector<std::string>& ring,
                                const std::string& address)
    {
        return static_cast<std::size_t>(
            std::lower_bound(ring.begin(), ring.end(), address) - ring.begin());
    }

    /*! @brief Tells entries of other halls what the sides of this one tell. */
    void pass_digest(const std::vector<std::string>& to, time_point now)
    {
        for (auto& part : digest_parts(directory, options.hall, now))
        {
            auto made = make(now, plain(beat_reason::load));
            made.digest = std::move(part);
            const auto datagram = encode(made);
            for (const auto& address : to)
                send(address, datagram);
            count_bytes(beat_reason::digest, false,
                        to.size() * datagram.size());
        }
    }

    void send(const std::string& address, const std::string& datagram)
    {
        deliver(address, datagram);
    }

    /*! @brief Counts bytes by why and how far they go: bytes between regions
     * are few and dear. */
    void count_bytes(beat_reason why, bool near, std::size_t bytes)
    {
        if (bytes > 0)
            counters.count("fleet_datagram_bytes_total",
                           static_cast<double>(bytes),
                           {{"why", std::string(reason_name(why))},
                            {"to", near ? "hall" : "elsewhere"}});
    }

    const fleet_options& options;
    const peer_directory& directory;
    metrics& counters;
    maker make;
    sender deliver;
};

} // namespace coursejunction

#endif
