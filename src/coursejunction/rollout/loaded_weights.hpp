/*! @file
 * @brief Tracks whether the weights that an upstream has loaded are known to be
 * right; performs no I/O.
 *
 * An upstream loads what lies in its staging area at the moment at which it
 * takes a load command, without verifying it. That moment cannot be chosen:
 * sidecar and upstream may be suspended between any two steps, and a command
 * without a response may be taken much later. Chunks that are found right after
 * the command was taken were right when it was taken, provided that none was
 * written in between: a corrupt chunk does not recover by itself.
 */
#ifndef COURSEJUNCTION_ROLLOUT_LOADED_WEIGHTS_HPP
#define COURSEJUNCTION_ROLLOUT_LOADED_WEIGHTS_HPP

#include <algorithm>
#include <cstdint>
#include <optional>

#include "coursejunction/core/types.hpp"
#include "coursejunction/rollout/upstream_engine.hpp"

namespace coursejunction
{

/*! @brief What is known of the weights of an upstream. */
enum class weights_state : std::uint8_t
{
    trusted,   /*!< Right, or not loaded by a load command. */
    unchecked, /*!< The staged chunks have to be read back. */
    wrong      /*!< They have to be loaded again. */
};

/*! @brief Decides from reports, writes to the staging area and checks of it
 * whether an upstream may serve its weights. */
class loaded_weights
{
public:
    /*! @brief A check that is in progress; its outcome counts only for the load
     * command after which it began. */
    struct check
    {
        std::uint64_t version{0};
        std::uint64_t commands{0}; /*!< Value of `commands_seen`. */
    };

    /*! @brief Applies a report that is not outdated.
     * @param restarted Whether it shows a later incarnation than the last one.
     * @param requested_at When the report was requested. */
    void report_received(const engine_report& report, bool restarted,
                         time_point requested_at)
    {
        if (!last_sequence)
        {
            begin_incarnation(report);
        }
        else if (restarted)
        {
            ++commands_seen;
            begin_incarnation(report);
            not_taken_at = last_requested_at;
        }
        else if (report.sequence > *last_sequence)
        {
            ++commands_seen;
            current = weights_state::unchecked;
            any_version = false;
            not_taken_at = last_requested_at;
        }
        last_sequence = report.sequence;
        last_requested_at = requested_at;
    }

    /*! @brief Applies a record that the weights of a version were found right
     * by an earlier process of this sidecar.
     * @param sequence Load commands that the upstream had accepted then.
     * @return Whether they are trusted because of it. */
    bool confirm(std::uint64_t version, std::uint64_t sequence)
    {
        if (current != weights_state::unchecked || last_sequence != sequence)
            return false;
        settle(version, weights_state::trusted);
        return true;
    }

    /*! @brief Records that a chunk is being written to the staging area, or has
     * just been written. */
    void chunk_written(time_point now)
    {
        last_written_at = std::max(last_written_at, now);
    }

    /*! @brief Returns whether a report was requested since the last write, so
     * that a command sent from now on is known to be taken after it. */
    [[nodiscard]] bool settled() const
    {
        return last_written_at < last_requested_at;
    }

    /*! @brief Returns what is known if the upstream reports this version. */
    [[nodiscard]] weights_state state(std::uint64_t version) const
    {
        if (current == weights_state::trusted && !any_version &&
            version != checked_version)
            return weights_state::unchecked;
        return current;
    }

    /*! @brief Returns whether requests may be sent to weights of this
     * version. */
    [[nodiscard]] bool trusted(std::uint64_t version) const
    {
        return state(version) == weights_state::trusted;
    }

    /*! @brief Returns the version whose weights a check found wrong; nothing if
     * a later command has replaced them. */
    [[nodiscard]] std::optional<std::uint64_t> wrong_version() const
    {
        return current == weights_state::wrong ? std::optional(checked_version)
                                               : std::nullopt;
    }

    /*! @brief Begins a check of the staged chunks of a version. It must begin
     * to read only now. */
    [[nodiscard]] check begin_check(std::uint64_t version) const
    {
        return {version, commands_seen};
    }

    /*! @brief Applies the outcome of a check.
     * @return Whether it counts: no command was taken since it began, and no
     * record confirmed the weights meanwhile. */
    bool end_check(const check& ended, staged_result outcome)
    {
        if (ended.commands != commands_seen || trusted(ended.version) ||
            outcome == staged_result::unreadable)
            return false;
        const bool rewritten = last_written_at >= not_taken_at;
        settle(ended.version, outcome == staged_result::intact && !rewritten
                                  ? weights_state::trusted
                                  : weights_state::wrong);
        return true;
    }

private:
    /*! @brief Applies the first report of an incarnation. It may have started
     * with weights. Those that a command loaded may have been taken from wrong
     * chunks, whichever process sent it. */
    void begin_incarnation(const engine_report& report)
    {
        any_version = report.sequence == 0 && !report.loading;
        current =
            any_version ? weights_state::trusted : weights_state::unchecked;
    }

    void settle(std::uint64_t version, weights_state found)
    {
        current = found;
        checked_version = version;
        any_version = false;
    }

    weights_state current{weights_state::unchecked};
    /*! @brief The weights are right whatever their version is. */
    bool any_version{false};
    std::uint64_t checked_version{0};
    std::optional<std::uint64_t> last_sequence;
    std::uint64_t commands_seen{0}; /*!< Increased when one was taken. */
    time_point last_requested_at{}; /*!< Of the last report. */
    /*! @brief The last command was taken after this. */
    time_point not_taken_at{};
    /*! @brief When a chunk was last written to the staging area. */
    time_point last_written_at{time_point::min()};
};

} // namespace coursejunction

#endif
