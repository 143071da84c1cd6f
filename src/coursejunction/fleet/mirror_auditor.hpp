/*! @file
 * @brief Compares this process's mirror of the store with those of peers.
 */
#ifndef COURSEJUNCTION_FLEET_MIRROR_AUDITOR_HPP
#define COURSEJUNCTION_FLEET_MIRROR_AUDITOR_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coursejunction/core/log.hpp"
#include "coursejunction/fleet/mirror_audit.hpp"
#include "coursejunction/fleet/peer_directory.hpp"
#include "coursejunction/fleet/store_mirror.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/metrics.hpp"
#include "coursejunction/net/stream_client.hpp"
#include "coursejunction/wire/codec.hpp"

namespace coursejunction
{

/*! @brief Asks one live entry at a time for the sum of its mirror, and reports
 * a confirmed difference. Each process acts on its own comparisons only. */
class mirror_auditor
{
public:
    /*! @brief Resource of a process's sum. One of an earlier release answers
     * 404, which is no comparison. */
    static constexpr std::string_view target = "/mirror-sum";

    /*! @brief A peer that takes longer has not answered. */
    static constexpr milliseconds answer_timeout{500};

    mirror_auditor(stream_client& client, metrics& counted,
                   const store_mirror& held, const peer_directory& known,
                   std::uint64_t seed)
        : calls(client), counters(counted), mirror(held), directory(known),
          audit(seed)
    {
    }

    /*! @param port Port of the peers as `:PORT`.
     * @param when_different Called when the store has to be listed again. */
    void start(hall_id own, std::string port,
               std::function<void()> when_different)
    {
        hall = std::move(own);
        port_suffix = std::move(port);
        on_different = std::move(when_different);
        audit.start(event_loop::now());
    }

    /*! @brief Asks a peer if a comparison is due; called at each regular
     * heartbeat. */
    void poll(time_point now)
    {
        if (pending || !audit.due(now))
            return;
        const auto peer = next_peer(now);
        audit.begin(now);
        if (!peer.empty())
            ask(peer);
    }

    /*! @brief Records that the store was listed. */
    void record_listing(time_point now) { audit.record_listing(now); }

private:
    /*! @brief Returns a live entry, or an empty string if there is none. */
    [[nodiscard]] std::string next_peer(time_point now) const
    {
        std::vector<std::string> near;
        std::vector<std::string> far;
        for (const auto& [address, peer] : directory.all())
        {
            const auto& last = peer.last_heartbeat;
            if (!peer.entry || last.leaving ||
                !peer_directory::alive(peer, now))
                continue;
            (last.hall == hall.value() ? near : far).push_back(address);
        }
        const bool use_near =
            far.empty() || (audit.compares_near() && !near.empty());
        const auto& candidates = use_near ? near : far;
        return candidates.empty()
                   ? std::string()
                   : candidates[audit.selector() % candidates.size()];
    }

    void ask(const std::string& peer)
    {
        stream_call call;
        call.address = peer + port_suffix;
        call.target = std::string(target);
        call.timeout = answer_timeout;
        pending = true;
        calls.gather(
            std::move(call),
            [this, peer,
             before = sum_of(mirror)](const stream_client::answer& answer)
            {
                pending = false;
                const auto now = event_loop::now();
                const auto theirs =
                    answer.is(200)
                        ? decode<message::mirror_sum>(answer.body)
                        : failure(error_kind::unavailable, answer.why);
                if (!theirs)
                    return on_failed(now);
                const auto own = sum_of(mirror);
                on_compared(peer, own, theirs.value(),
                            audit.compare(before, own, theirs.value(), now));
            });
    }

    void on_failed(time_point now)
    {
        audit.record_failure(now);
        count("failed");
    }

    void on_compared(const std::string& peer, const message::mirror_sum& own,
                     const message::mirror_sum& theirs,
                     mirror_audit::outcome outcome)
    {
        using enum mirror_audit::outcome;
        if (outcome == no_comparison)
            return count("other_position");
        if (outcome == equal)
            return count("equal");
        count("different");
        const bool is_confirmed = outcome == different;
        log::warning("mirror_differs",
                     {{"peer", peer},
                      {"position", own.position.text()},
                      {"peer_position", theirs.position.text()},
                      {"keys", std::to_string(own.keys)},
                      {"peer_keys", std::to_string(theirs.keys)},
                      {"sum", std::to_string(own.sum)},
                      {"peer_sum", std::to_string(theirs.sum)},
                      {"lists_store", is_confirmed ? "true" : "false"}});
        if (!is_confirmed)
            return;
        counters.count("fleet_mirror_divergences_total");
        on_different();
    }

    void count(const std::string& result)
    {
        counters.count("fleet_mirror_comparisons_total", 1,
                       {{"result", result}});
    }

    stream_client& calls;
    metrics& counters;
    const store_mirror& mirror;
    const peer_directory& directory;
    hall_id hall;
    std::string port_suffix;
    std::function<void()> on_different;
    mirror_audit audit;
    bool pending{false};
};

} // namespace coursejunction

#endif
