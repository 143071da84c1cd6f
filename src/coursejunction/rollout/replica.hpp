/*! @file
 * @brief State machine that brings one replica from the version that its
 * upstream serves to the version that the configuration asks for.
 */
#ifndef COURSEJUNCTION_ROLLOUT_REPLICA_HPP
#define COURSEJUNCTION_ROLLOUT_REPLICA_HPP

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Phase of a replica. */
enum class replica_phase : std::uint8_t
{
    unknown,  /*!< The served version has not been read yet. */
    idle,     /*!< No deployment is assigned. */
    staging,  /*!< Fetches the target version; serves the old one. */
    waiting,  /*!< Staging is complete; waits for a permit to close. */
    draining, /*!< Closed; waits until requests in progress finish. */
    loading,  /*!< The load command was sent. */
    checking, /*!< Reads back the version that the upstream serves. */
    serving,  /*!< Serves the target version. */
    failed    /*!< Staging or loading failed; waits to try again. */
};

/*! @brief Returns the name of a phase, as status reports and logs have it. */
[[nodiscard]] constexpr std::string_view to_string(replica_phase phase)
{
    switch (phase)
    {
    case replica_phase::unknown:
        return "unknown";
    case replica_phase::idle:
        return "idle";
    case replica_phase::staging:
        return "staging";
    case replica_phase::waiting:
        return "waiting";
    case replica_phase::draining:
        return "draining";
    case replica_phase::loading:
        return "loading";
    case replica_phase::checking:
        return "checking";
    case replica_phase::serving:
        return "serving";
    case replica_phase::failed:
        return "failed";
    }
    return "unknown";
}

/*! @brief What the caller of `replica::next_action` has to do. */
enum class replica_action : std::uint8_t
{
    none,
    read_upstream,    /*!< Read which version the upstream serves. */
    stage,            /*!< Start or continue to fetch the target version. */
    request_permit,   /*!< Request a permit to close from the hall's entries. */
    send_load_command /*!< Acquire a fencing token and send the command. */
};

/*! @brief What a replica should serve. */
struct replica_target
{
    deployment_name name;
    std::string model;
    std::string adapter;
    digest version;
    bool paused{false};

    friend bool operator==(const replica_target&,
                           const replica_target&) = default;
};

/*! @brief State machine of one replica; pure. `next_action` returns what to do,
 * and the other modifiers report what happened. Requests are accepted only
 * while the upstream is known to serve one complete version. */
class replica
{
public:
    /*! @brief Delay after a failed attempt; it doubles with each further one.
     */
    static constexpr milliseconds min_retry_delay{500};
    static constexpr milliseconds max_retry_delay{30'000};
    /*! @brief Time between two requests for a permit. */
    static constexpr milliseconds permit_interval{200};
    /*! @brief Time between two attempts to read the served version. */
    static constexpr milliseconds read_interval{500};

    /*! @brief Sets the target, or none. A changed version ends the update to
     * the previous one in whichever phase it is, except that a load command
     * that was sent is read back first. */
    void set_target(std::optional<replica_target> target)
    {
        if (target == desired_target)
            return;
        const bool same_version = target && desired_target &&
                                  target->version == desired_target->version &&
                                  target->adapter == desired_target->adapter;
        desired_target = std::move(target);
        if (same_version)
            return;
        failures = 0;
        last_error.clear();
        staging_complete = false;
        // The effect of a load command must be read back before anything else.
        if (current_phase != replica_phase::loading &&
            current_phase != replica_phase::checking &&
            current_phase != replica_phase::unknown)
            update_phase();
    }

    /*! @brief Notes that a version is fully staged and verified. */
    void staging_completed(const digest& version)
    {
        if (!desired_target || desired_target->version != version)
            return;
        staging_complete = true;
        if (current_phase == replica_phase::staging)
            current_phase = replica_phase::waiting;
    }

    /*! @brief Notes that the upstream lost its staging area: the version must
     * be staged again. */
    void staging_lost()
    {
        staging_complete = false;
        if (current_phase == replica_phase::waiting ||
            current_phase == replica_phase::draining)
            current_phase = replica_phase::staging;
    }

    /*! @brief Notes that the target version can't be fetched; it is tried again
     * after the retry delay. Ignored unless staging. */
    void staging_failed(std::string reason, time_point now)
    {
        if (current_phase == replica_phase::staging)
            enter_failed(std::move(reason), now);
    }

    /*! @brief Notes a permit to close for a version; the replica then closes.
     */
    void permit_granted(const digest& version, time_point)
    {
        if (desired_target && desired_target->version == version &&
            current_phase == replica_phase::waiting && !desired_target->paused)
        {
            current_phase = replica_phase::draining;
        }
    }

    /*! @brief Notes the outcome of the load command.
     * @param done Whether the upstream confirmed it; if not, the served version
     * still decides, since only the response may have been lost. */
    void load_finished(bool done, std::string reason, time_point now)
    {
        if (current_phase != replica_phase::loading)
            return;
        if (!done)
            last_error = std::move(reason);
        load_failed = !done;
        current_phase = replica_phase::checking;
        next_action_at = now;
    }

    /*! @brief Notes the version that the upstream serves; empty for none. */
    void version_read(const digest& version, time_point now)
    {
        served_version = version;
        if (current_phase == replica_phase::checking && load_failed)
        {
            load_failed = false;
            if (!serves_target())
                return enter_failed(last_error, now);
        }
        if (current_phase == replica_phase::checking ||
            current_phase == replica_phase::unknown)
            update_phase();
        else if (current_phase == replica_phase::serving && !serves_target())
            update_phase();
        if (current_phase == replica_phase::serving)
        {
            failures = 0;
            last_error.clear();
        }
    }

    /*! @brief Notes that the served version could not be read. The phase
     * becomes `unknown`, or stays `checking`, and the read is repeated after
     * `read_interval`. */
    void version_read_failed(std::string reason, time_point now)
    {
        last_error = std::move(reason);
        if (current_phase != replica_phase::checking)
            current_phase = replica_phase::unknown;
        next_action_at = now + read_interval;
    }

    /*! @brief Makes the served version be read again immediately, unless a load
     * command was sent. Until then no requests are accepted. */
    void invalidate()
    {
        if (current_phase != replica_phase::loading)
            current_phase = replica_phase::unknown;
        next_action_at = time_point{};
    }

    /*! @brief Returns what to do now; called regularly.
     * @param running Requests in progress at the upstream. */
    [[nodiscard]] replica_action next_action(std::size_t running,
                                             time_point now)
    {
        switch (current_phase)
        {
        case replica_phase::unknown:
        case replica_phase::checking:
            return rate_limited(replica_action::read_upstream, read_interval,
                                now);
        case replica_phase::failed:
            if (now < next_action_at)
                return replica_action::none;
            update_phase();
            return replica_action::stage;
        case replica_phase::staging:
            return replica_action::stage;
        case replica_phase::waiting:
            return next_while_waiting(now);
        case replica_phase::draining:
            if (running > 0)
                return replica_action::none;
            current_phase = replica_phase::loading;
            return replica_action::send_load_command;
        case replica_phase::loading:
        case replica_phase::serving:
        case replica_phase::idle:
            return replica_action::none;
        }
        return replica_action::none;
    }

    /*! @brief Returns whether the load command may be sent. To be asked right
     * before: while the fencing token was acquired, the target may have changed
     * or the staging area may have been lost. */
    [[nodiscard]] bool may_load() const
    {
        return current_phase == replica_phase::loading && desired_target &&
               staging_complete;
    }

    /*! @brief Returns whether the upstream may be sent new requests. */
    [[nodiscard]] bool accepts_requests() const
    {
        return !served_version.empty() &&
               (current_phase == replica_phase::idle ||
                current_phase == replica_phase::staging ||
                current_phase == replica_phase::waiting ||
                current_phase == replica_phase::serving ||
                current_phase == replica_phase::failed);
    }

    /*! @brief Returns whether the replica takes no requests because of a load.
     */
    [[nodiscard]] bool closed_for_load() const
    {
        return current_phase == replica_phase::draining ||
               current_phase == replica_phase::loading ||
               current_phase == replica_phase::checking;
    }

    [[nodiscard]] replica_phase phase() const noexcept { return current_phase; }
    [[nodiscard]] const digest& serving_version() const noexcept
    {
        return served_version;
    }
    /*! @brief Returns the last error of staging, loading or reading; empty if
     * none. */
    [[nodiscard]] const std::string& failure_reason() const noexcept
    {
        return last_error;
    }
    [[nodiscard]] const std::optional<replica_target>& target() const noexcept
    {
        return desired_target;
    }

private:
    [[nodiscard]] bool serves_target() const
    {
        return desired_target && desired_target->version == served_version;
    }

    /*! @brief Derives the phase from the target, the served version and the
     * staging. */
    void update_phase()
    {
        if (!desired_target)
            current_phase = replica_phase::idle;
        else if (serves_target())
            current_phase = replica_phase::serving;
        else
            current_phase = staging_complete ? replica_phase::waiting
                                             : replica_phase::staging;
    }

    void enter_failed(std::string reason, time_point now)
    {
        last_error = std::move(reason);
        current_phase = replica_phase::failed;
        constexpr unsigned max_doublings = 6;
        const auto delay =
            min_retry_delay *
            (std::int64_t{1} << std::min(failures, max_doublings));
        next_action_at = now + std::min(delay, max_retry_delay);
        ++failures;
    }

    replica_action next_while_waiting(time_point now)
    {
        if (desired_target->paused)
            return replica_action::none;
        // Nothing is served, so that closing costs no capacity.
        if (served_version.empty())
        {
            current_phase = replica_phase::loading;
            return replica_action::send_load_command;
        }
        return rate_limited(replica_action::request_permit, permit_interval,
                            now);
    }

    /*! @brief Returns an action at most once per interval. */
    replica_action rate_limited(replica_action action, milliseconds interval,
                                time_point now)
    {
        if (now < next_action_at)
            return replica_action::none;
        next_action_at = now + interval;
        return action;
    }

    replica_phase current_phase{replica_phase::unknown};
    std::optional<replica_target> desired_target;
    digest served_version;
    std::string last_error;
    bool staging_complete{false};
    bool load_failed{false};
    unsigned failures{0};
    time_point next_action_at{};
};

} // namespace coursejunction

#endif
