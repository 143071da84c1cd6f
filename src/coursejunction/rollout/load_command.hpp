/*! @file
 * @brief A load command that was sent to an upstream; performs no I/O.
 *
 * A command without a response stays in doubt: a suspended upstream takes it
 * when it goes on, however long that lasts. Until then the staging area must
 * hold what the command was sent for.
 */
#ifndef COURSEJUNCTION_ROLLOUT_LOAD_COMMAND_HPP
#define COURSEJUNCTION_ROLLOUT_LOAD_COMMAND_HPP

#include <cstdint>

#include "coursejunction/core/types.hpp"
#include "coursejunction/rollout/upstream_engine.hpp"

namespace coursejunction
{

/*! @brief What to do about a load command that was sent. */
enum class command_step : std::uint8_t
{
    wait,
    send_again, /*!< The upstream responds again; of all copies it takes one,
                   as they expect the same count of commands. */
    withdrawn   /*!< No copy was taken or can be taken any more. */
};

/*! @brief The copies of one load command. They are equal, so that a response to
 * a later one settles the earlier ones. */
class load_command
{
public:
    /*! @brief Pause between two copies. */
    static constexpr milliseconds repeat_interval{1000};

    /*! @param expected Count of commands that the upstream must have
     * accepted for it to take this one. */
    explicit load_command(std::uint64_t expected) : expected_sequence(expected)
    {
    }

    /*! @brief Returns the count of commands that all copies expect. */
    [[nodiscard]] std::uint64_t expected() const noexcept
    {
        return expected_sequence;
    }

    /*! @brief Records that a copy is sent. */
    void sent(time_point now)
    {
        call_pending = true;
        last_sent_at = now;
    }

    /*! @brief Records how the call of the last copy ended. */
    void ended(load_outcome outcome)
    {
        call_pending = false;
        switch (outcome)
        {
        case load_outcome::accepted:
            accepted = true;
            break;
        case load_outcome::unknown:
            copy_in_doubt = true;
            break;
        case load_outcome::already_applied:
            // An earlier copy finds the version loaded as well.
            turned_down = !accepted;
            break;
        case load_outcome::conflict:
        case load_outcome::refused:
            turned_down = !accepted && !copy_in_doubt;
            break;
        }
    }

    /*! @brief Returns whether the upstream has taken a copy, by its latest
     * report. */
    [[nodiscard]] bool taken(const engine_report& report) const
    {
        return report.sequence > expected_sequence;
    }

    /*! @brief Returns whether a copy may still be taken, as far as responses
     * tell. */
    [[nodiscard]] bool in_doubt() const noexcept
    {
        return !turned_down && !accepted;
    }

    /*! @brief Returns the next step after a report that shows no copy as
     * taken. */
    [[nodiscard]] command_step next(time_point now) const
    {
        if (turned_down)
            return command_step::withdrawn;
        // Also after `accepted`: the upstream may have restarted since, without
        // a report that shows it.
        const bool repeats = (copy_in_doubt || accepted) && !call_pending &&
                             now - last_sent_at >= repeat_interval;
        return repeats ? command_step::send_again : command_step::wait;
    }

private:
    std::uint64_t expected_sequence;
    time_point last_sent_at{};
    bool call_pending{false};
    bool accepted{false};
    bool copy_in_doubt{false}; /*!< A copy had no response. */
    bool turned_down{false};   /*!< No copy has an effect any more. */
};

} // namespace coursejunction

#endif
