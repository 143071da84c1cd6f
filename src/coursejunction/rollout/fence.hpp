/*! @file
 * @brief Whether this process is still the one that may control its upstream.
 */
#ifndef COURSEJUNCTION_ROLLOUT_FENCE_HPP
#define COURSEJUNCTION_ROLLOUT_FENCE_HPP

#include <cstdint>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Whether a load command may be sent now. */
enum class fence_state : std::uint8_t
{
    none,        /*!< No token yet: acquire one by compare-and-swap. */
    unconfirmed, /*!< Read first whether a later token exists. */
    held,        /*!< A command may be sent. */
    lost         /*!< A later holder exists: never send again. */
};

/*! @brief The fencing token of this process, and whether it may still be used.
 *
 * An upstream that checks tokens refuses an old one by itself. For one that
 * does not, the newest token is read from the key-value service before each
 * command, and always after this process was suspended: a gap between two ticks
 * means that another process may have taken over meanwhile. A process that
 * acquired its token before an outage of the service and was not suspended may
 * go on during the outage, because no process can acquire a later token from a
 * service that is down. */
class fence
{
public:
    /*! @brief A longer gap between two ticks counts as a suspension. */
    static constexpr milliseconds suspension_gap{1500};

    /*! @param upstream_checks_tokens Whether the upstream refuses old tokens by
     * itself. */
    explicit fence(bool upstream_checks_tokens)
        : upstream_checks(upstream_checks_tokens)
    {
    }

    /*! @brief Detects suspensions; must be called at intervals well below
     * `suspension_gap`.
     * @return Whether the process was suspended since the last call. */
    bool tick(time_point now)
    {
        const bool suspended = ticked && now - last_tick > suspension_gap;
        ticked = true;
        last_tick = now;
        if (suspended)
            was_suspended = true;
        return suspended;
    }

    /*! @brief Notes a token that was acquired from the service. Once a later
     * holder is known, only a token above the own one counts. */
    void token_acquired(fencing_token token)
    {
        if (superseded && token <= own_token)
            return;
        own_token = token;
        was_suspended = false;
        confirmed = true;
        superseded = false;
    }

    /*! @brief Notes the newest token, as read from the service. */
    void newest_token_read(fencing_token newest)
    {
        if (newest > own_token)
            superseded = true;
        was_suspended = false;
        confirmed = true;
    }

    /*! @brief Notes that the service did not answer the read. Nobody can
     * acquire a later token meanwhile, so a process that was not suspended goes
     * on. */
    void service_unreachable() { confirmed = !was_suspended; }

    /*! @brief Notes a command that was sent; the next one needs a new read. */
    void command_sent() { confirmed = false; }

    /*! @brief Notes that the upstream refused the token as old. */
    void token_rejected() { superseded = true; }

    [[nodiscard]] fence_state state() const
    {
        if (own_token.empty())
            return fence_state::none;
        if (superseded)
            return fence_state::lost;
        if (!upstream_checks && (was_suspended || !confirmed))
            return fence_state::unconfirmed;
        return fence_state::held;
    }

    /*! @brief Returns the token; empty before one was acquired. */
    [[nodiscard]] fencing_token token() const noexcept { return own_token; }

private:
    bool upstream_checks;
    bool ticked{false};
    bool was_suspended{false};
    bool confirmed{false};
    bool superseded{false};
    fencing_token own_token;
    time_point last_tick{};
};

} // namespace coursejunction

#endif
