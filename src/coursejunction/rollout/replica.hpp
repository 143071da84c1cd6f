/*! @file
 * @brief Life of one replica: from what its upstream serves to what the
 * configuration wants it to serve.
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

/*! @brief Where a replica stands. */
enum class replica_phase : std::uint8_t
{
    unknown,  /*!< What the upstream serves has not been read yet. */
    idle,     /*!< Nothing is wanted. */
    staging,  /*!< Fetches the wanted version; still serves the old one. */
    waiting,  /*!< Has it whole; waits for a permit to close. */
    draining, /*!< Closed; requests in progress finish. */
    loading,  /*!< The order to load is out. */
    checking, /*!< Reads back what the upstream serves. */
    serving,  /*!< Serves the wanted version. */
    failed    /*!< Waits to try again. */
};

/*! @brief Returns the name of a phase for people and status. */
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

/*! @brief What the daemon is to do for the replica. */
enum class replica_action : std::uint8_t
{
    none,
    read_upstream,    /*!< Ask the upstream what it serves. */
    stage,            /*!< Start or go on fetching `wanted`. */
    request_permit,   /*!< Ask the hall's entries for a permit to close. */
    send_load_command /*!< Take a fencing token and order the load. */
};

/*! @brief What a replica is to serve. */
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

/*! @brief State machine of one replica. Pure: `next_action` says what to do,
 * the other members say what happened. The gate is open only while the upstream
 * was read to serve one whole version. */
class replica
{
public:
    static constexpr milliseconds retry_least{500};
    static constexpr milliseconds retry_most{30'000};
    static constexpr milliseconds permit_retry{200};
    static constexpr milliseconds read_retry{500};

    /*! @brief Sets what is wanted; a changed version stops the way to the
     * one before, wherever it stood. */
    void set_target(std::optional<replica_target> target)
    {
        if (target == wanted_target)
            return;
        const bool same_version = target && wanted_target &&
                                  target->version == wanted_target->version &&
                                  target->adapter == wanted_target->adapter;
        wanted_target = std::move(target);
        if (same_version)
            return;
        failures = 0;
        why.clear();
        staged_whole = false;
        // An order that is out must be read back before anything else.
        if (phase_now != replica_phase::loading &&
            phase_now != replica_phase::checking &&
            phase_now != replica_phase::unknown)
            settle();
    }

    /*! @brief The wanted version is whole and verified. */
    void staging_completed(const digest& version)
    {
        if (!wanted_target || wanted_target->version != version)
            return;
        staged_whole = true;
        if (phase_now == replica_phase::staging)
            phase_now = replica_phase::waiting;
    }

    /*! @brief The upstream lost what was staged: it must be handed over
     * again. */
    void staging_lost()
    {
        staged_whole = false;
        if (phase_now == replica_phase::waiting)
            phase_now = replica_phase::staging;
    }

    /*! @brief The wanted version cannot be had now. */
    void staging_failed(std::string reason, time_point now)
    {
        if (phase_now == replica_phase::staging)
            fail(std::move(reason), now);
    }

    /*! @brief A permit to close came. */
    void permit_granted(const digest& version, time_point)
    {
        if (wanted_target && wanted_target->version == version &&
            phase_now == replica_phase::waiting && !wanted_target->paused)
        {
            phase_now = replica_phase::draining;
        }
    }

    /*! @brief The upstream answered the order. */
    void load_finished(bool done, std::string reason, time_point now)
    {
        if (phase_now != replica_phase::loading)
            return;
        if (!done)
            why = std::move(reason);
        load_refused = !done;
        phase_now = replica_phase::checking;
        action_at = now;
    }

    /*! @brief The upstream said what it serves; empty means nothing. */
    void version_read(const digest& version, time_point now)
    {
        serving_now = version;
        if (phase_now == replica_phase::checking && load_refused)
        {
            load_refused = false;
            if (!matches())
                return fail(why, now);
        }
        if (phase_now == replica_phase::checking ||
            phase_now == replica_phase::unknown)
            settle();
        else if (phase_now == replica_phase::serving && !matches())
            settle();
        if (phase_now == replica_phase::serving)
        {
            failures = 0;
            why.clear();
        }
    }

    /*! @brief The upstream did not say what it serves: nothing is known. */
    void version_read_failed(std::string reason, time_point now)
    {
        why = std::move(reason);
        if (phase_now != replica_phase::checking)
            phase_now = replica_phase::unknown;
        action_at = now + read_retry;
    }

    /*! @brief Forgets what the upstream serves, so that it is read again. */
    void invalidate()
    {
        if (phase_now != replica_phase::loading)
            phase_now = replica_phase::unknown;
        action_at = time_point{};
    }

    /*! @brief Returns what to do now.
     * @param running Requests in progress at the upstream. */
    [[nodiscard]] replica_action next_action(std::size_t running,
                                             time_point now)
    {
        switch (phase_now)
        {
        case replica_phase::unknown:
        case replica_phase::checking:
            return at_most(replica_action::read_upstream, read_retry, now);
        case replica_phase::failed:
            if (now < action_at)
                return replica_action::none;
            settle();
            return replica_action::stage;
        case replica_phase::staging:
            return replica_action::stage;
        case replica_phase::waiting:
            return next_waiting(now);
        case replica_phase::draining:
            if (running > 0)
                return replica_action::none;
            phase_now = replica_phase::loading;
            return replica_action::send_load_command;
        case replica_phase::loading:
        case replica_phase::serving:
        case replica_phase::idle:
            return replica_action::none;
        }
        return replica_action::none;
    }

    /*! @brief Tells whether new requests may run at the upstream. */
    [[nodiscard]] bool accepts_requests() const
    {
        return !serving_now.empty() && (phase_now == replica_phase::idle ||
                                        phase_now == replica_phase::staging ||
                                        phase_now == replica_phase::waiting ||
                                        phase_now == replica_phase::serving ||
                                        phase_now == replica_phase::failed);
    }

    /*! @brief Tells whether the replica is closed for a load. */
    [[nodiscard]] bool closed_for_load() const
    {
        return phase_now == replica_phase::draining ||
               phase_now == replica_phase::loading ||
               phase_now == replica_phase::checking;
    }

    [[nodiscard]] replica_phase phase() const noexcept { return phase_now; }
    [[nodiscard]] const digest& serving_version() const noexcept
    {
        return serving_now;
    }
    [[nodiscard]] const std::string& failure_reason() const noexcept
    {
        return why;
    }
    [[nodiscard]] const std::optional<replica_target>& target() const noexcept
    {
        return wanted_target;
    }

private:
    [[nodiscard]] bool matches() const
    {
        return wanted_target && wanted_target->version == serving_now;
    }

    /*! @brief Takes the phase that follows from what is wanted and served. */
    void settle()
    {
        if (!wanted_target)
            phase_now = replica_phase::idle;
        else if (matches())
            phase_now = replica_phase::serving;
        else
            phase_now =
                staged_whole ? replica_phase::waiting : replica_phase::staging;
    }

    void fail(std::string reason, time_point now)
    {
        why = std::move(reason);
        phase_now = replica_phase::failed;
        constexpr unsigned most_doublings = 6;
        const auto wait = retry_least * (std::int64_t{1}
                                         << std::min(failures, most_doublings));
        action_at = now + std::min(wait, retry_most);
        ++failures;
    }

    replica_action next_waiting(time_point now)
    {
        if (wanted_target->paused)
            return replica_action::none;
        // Nothing is served: closing takes nothing away.
        if (serving_now.empty())
        {
            phase_now = replica_phase::loading;
            return replica_action::send_load_command;
        }
        return at_most(replica_action::request_permit, permit_retry, now);
    }

    replica_action at_most(replica_action action, milliseconds each,
                           time_point now)
    {
        if (now < action_at)
            return replica_action::none;
        action_at = now + each;
        return action;
    }

    replica_phase phase_now{replica_phase::unknown};
    std::optional<replica_target> wanted_target;
    digest serving_now;
    std::string why;
    bool staged_whole{false};
    bool load_refused{false};
    unsigned failures{0};
    time_point action_at{};
};

} // namespace coursejunction

#endif
