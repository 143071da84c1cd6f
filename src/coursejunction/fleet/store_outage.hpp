/*! @file
 * @brief Detects outages of the platform's store; pure.
 */
#ifndef COURSEJUNCTION_FLEET_STORE_OUTAGE_HPP
#define COURSEJUNCTION_FLEET_STORE_OUTAGE_HPP

#include <optional>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Upstreams cannot renew their records during an outage of the store;
 * records that expired then come back soon after it ends. A single failed call,
 * or a watch from a position whose history the store has dropped, is no outage:
 * what is missing after it has really been removed.
 *
 * All time limits count from the return of the store, so that they do not add
 * up. The return is the first answered call, of this process or of a peer. */
class store_outage
{
public:
    /*! @brief Calls must fail for at least this long to count as an outage. A
     * record expires after three missed renewals by its upstream, of which the
     * first may be due immediately. */
    static constexpr milliseconds min_duration{1000};

    /*! @brief For this long after the store returned missing records may come
     * back, as the platform promises; later ones have been removed. */
    static constexpr milliseconds lapse_window{2000};

    /*! @brief Records a failed call. */
    void record_failure(time_point now)
    {
        if (!failing_since)
            failing_since = now;
    }

    /*! @brief Records an answered call, which ends an outage.
     * @return Whether one ended. */
    bool record_success(time_point now)
    {
        const bool ends = failing_since && now - *failing_since >= min_duration;
        if (ends)
            returned_at = now;
        failing_since.reset();
        return ends;
    }

    /*! @brief Records that the store answered a peer again. Ignored unless this
     * process saw the same outage.
     * @param at When it answered the peer.
     * @return Whether an outage ended. */
    bool record_peer_return(time_point at)
    {
        return failing_since && at - *failing_since >= min_duration &&
               record_success(at);
    }

    /*! @brief Returns until when records that are missing now may come back;
     * nothing if no outage ended recently. */
    [[nodiscard]] std::optional<time_point> lapse_deadline(time_point now) const
    {
        if (!returned_at || now - *returned_at >= lapse_window)
            return std::nullopt;
        return *returned_at + lapse_window;
    }

private:
    std::optional<time_point> failing_since;
    std::optional<time_point> returned_at;
};

} // namespace coursejunction

#endif
