/*! @file
 * @brief Decides when a sidecar may close its upstream to load new weights;
 * pure.
 */
#ifndef COURSEJUNCTION_ROLLOUT_CLOSE_POLICY_HPP
#define COURSEJUNCTION_ROLLOUT_CLOSE_POLICY_HPP

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

#include "coursejunction/core/rendezvous.hpp"
#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Limits of a rolling update within one hall. */
struct close_limits
{
    /*! @brief Fraction of a hall's upstreams that may be closed at the same
     * time; their number is rounded and at least 1. */
    double max_closed_fraction{0.34};
    /*! @brief Time since a version was published after which an upstream
     * closes whatever the others do: `version_deadlines::close_deadline`. */
    milliseconds close_deadline{5300};
};

/*! @brief Another sidecar of the same hall, by its last report. */
struct hall_peer
{
    instance_id id;
    bool closed{false}; /*!< Its upstream takes no new requests. */
    bool ready{false};  /*!< Has the new version complete, but not loaded. */
};

/*! @brief Returns whether a sidecar may close its upstream now. There is no
 * coordinator: each sidecar counts the closed ones among those it receives
 * messages from, and the rendezvous rank for the version decides who goes
 * first. Sidecars that don't receive each other's messages may close together,
 * which costs capacity for a moment but breaks no guarantee.
 * @param rank_key Key by which sidecars are ranked, `model_version::rank_key`;
 * the greatest rendezvous weight goes first.
 * @param since_published Time since the version was published. */
[[nodiscard]] inline bool may_close(const close_limits& limits,
                                    const instance_id& own,
                                    const std::vector<hall_peer>& others,
                                    const std::string& rank_key,
                                    std::chrono::microseconds since_published)
{
    if (since_published >= limits.close_deadline)
        return true;
    const auto hall_size = static_cast<double>(others.size() + 1);
    const auto max_closed = std::max<std::size_t>(
        1,
        static_cast<std::size_t>(hall_size * limits.max_closed_fraction + 0.5));
    std::size_t closed = 0;
    std::size_t ahead = 0;
    const auto own_weight = rendezvous_weight(rank_key, own.value());
    for (const auto& peer : others)
    {
        if (peer.closed)
            ++closed;
        else if (peer.ready &&
                 rendezvous_weight(rank_key, peer.id.value()) > own_weight)
            ++ahead;
    }
    // Those ranked ahead close first; this one closes if there is room for it
    // in addition to them.
    return closed < max_closed && ahead < max_closed - closed;
}

} // namespace coursejunction

#endif
