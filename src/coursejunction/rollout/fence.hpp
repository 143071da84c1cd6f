/*! @file
 * @brief Right of a side process to give orders to its upstream.
 */
#ifndef COURSEJUNCTION_ROLLOUT_FENCE_HPP
#define COURSEJUNCTION_ROLLOUT_FENCE_HPP

#include <cstdint>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Whether an order may be given now. */
enum class fence_state : std::uint8_t
{
    none,        /*!< No token yet: take one by compare-and-swap. */
    unconfirmed, /*!< It must be read again that no later token exists. */
    held,        /*!< An order may be given. */
    lost         /*!< A later holder exists: never order again. */
};

/*! @brief Holds the fencing token that this process took.
 *
 * An upstream that checks orders refuses an old token by itself. For one that
 * does not, the token is read again before each order, and always after this
 * process has been paused: a gap between two ticks means that it may have
 * slept while another took over. A process that was never paused and took its
 * token before an outage goes on during the outage, because nobody can take a
 * later token from a service that is down. */
class fence
{
public:
    /*! @brief A longer gap between two ticks counts as a pause. */
    static constexpr milliseconds pause_gap{1500};

    /*! @param checked Whether the upstream refuses old tokens by itself. */
    explicit fence(bool checked) : upstream_checks(checked) {}

    /*! @brief Called regularly.
     * @return Whether a pause was noticed. */
    bool tick(time_point now)
    {
        const bool paused = ticked && now - last_tick > pause_gap;
        ticked = true;
        last_tick = now;
        if (paused)
            doubt = true;
        return paused;
    }

    /*! @brief A token was taken. */
    void token_acquired(fencing_token token)
    {
        if (superseded && token <= own)
            return;
        own = token;
        doubt = false;
        fresh = true;
        superseded = false;
    }

    /*! @brief The newest token was read from the service. */
    void newest_token_read(fencing_token newest)
    {
        if (newest > own)
            superseded = true;
        doubt = false;
        fresh = true;
    }

    /*! @brief The service did not answer when asked to confirm: nobody can
     * take a later token meanwhile, so a process that was not paused goes
     * on. */
    void service_unreachable() { fresh = !doubt; }

    /*! @brief An order was given: the next one is confirmed anew. */
    void command_sent() { fresh = false; }

    /*! @brief An upstream refused the token as old. */
    void token_rejected() { superseded = true; }

    /*! @brief Returns whether an order may be given now. */
    [[nodiscard]] fence_state state() const
    {
        if (own.empty())
            return fence_state::none;
        if (superseded)
            return fence_state::lost;
        if (!upstream_checks && (doubt || !fresh))
            return fence_state::unconfirmed;
        return fence_state::held;
    }

    /*! @brief Returns the token; empty before one was taken. */
    [[nodiscard]] fencing_token token() const noexcept { return own; }

private:
    bool upstream_checks;
    bool ticked{false};
    bool doubt{false};
    bool fresh{false};
    bool superseded{false};
    fencing_token own;
    time_point last_tick{};
};

} // namespace coursejunction

#endif
