/*! @file
 * @brief Distinguishes crashes of upstreams from lost connections; pure.
 *
 * An attempt to run a request that is lost before the response is complete is
 * no proof of a crash: the connection may have been reset, or the upstream may
 * be suspended. The upstream crashed under the request only if it is known to
 * have stopped or restarted. A lost link and a planned shutdown are no
 * evidence.
 */
#ifndef COURSEJUNCTION_RUN_LOST_ATTEMPT_TRACKER_HPP
#define COURSEJUNCTION_RUN_LOST_ATTEMPT_TRACKER_HPP

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coursejunction/core/request_content.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/run/crash_evidence.hpp"

namespace coursejunction
{

/*! @brief A request that an upstream ran when it crashed. */
struct crash_report
{
    request_content content;
    crash_id crash;
    crash_evidence evidence{crash_evidence::before_response};
    std::vector<request_content> shared_parts; /*!< Of its prompt. */
    /*! @brief The part that the request tested after a quarantine, if any. */
    std::optional<request_content> part_on_trial;

    /*! @brief Returns the evidence against a part of the prompt. Whether the
     * response had begun tells nothing of a part: a harmful one ends the
     * upstream at any time of it. */
    [[nodiscard]] crash_evidence
    evidence_of_part(const request_content& part) const
    {
        if (part != part_on_trial)
            return crash_evidence::mid_response;
        return evidence_of(true, evidence == crash_evidence::mid_response ||
                                     evidence == crash_evidence::begun_trial);
    }
};

/*! @brief Why an attempt was lost. */
enum class loss_cause : std::uint8_t
{
    closed,    /*!< The upstream closed the connection. */
    timed_out, /*!< It was cancelled because no data arrived. */
    cancelled  /*!< It was cancelled for another reason. */
};

/*! @brief How it is known that an upstream has stopped. */
enum class crash_proof : std::uint8_t
{
    record_expired, /*!< Its record expired; it may merely be suspended. */
    confirmed       /*!< Its address refuses connections or was reused. */
};

/*! @brief An attempt that was lost before its response was complete. */
struct lost_attempt
{
    instance_id upstream;
    std::string address; /*!< `IP:port` of the upstream. */
    crash_report report; /*!< To be recorded if the upstream crashed. */
    loss_cause cause{loss_cause::closed};
};

/*! @brief Keeps lost attempts until it is known whether their upstreams
 * crashed. */
class lost_attempt_tracker
{
public:
    /*! @brief How long after the loss of an attempt the crash of its upstream
     * may be confirmed. The upstream's record expires after three missed
     * liveness reports, one a second. */
    static constexpr milliseconds max_proof_delay{4000};

    /*! @brief How long a cancelled attempt may still run: the cancellation has
     * to arrive, and upstreams stop within half a second. */
    static constexpr milliseconds max_run_after_cancel{500};

    /*! @brief Adds a lost attempt.
     * @return Whether the caller should probe the upstream: it is the first
     * loss there that was no plain cancellation. */
    bool add_lost_attempt(lost_attempt one, time_point now)
    {
        drop_expired(now);
        const bool first = std::none_of(
            pending.begin(), pending.end(),
            [&](const auto& other)
            {
                return other.lost.report.crash == one.report.crash &&
                       other.lost.cause != loss_cause::cancelled;
            });
        const auto expires_at =
            now + (one.cause == loss_cause::cancelled ? max_run_after_cancel
                                                      : max_proof_delay);
        pending.push_back({std::move(one), expires_at});
        return first && pending.back().lost.cause != loss_cause::cancelled;
    }

    /*! @brief Notes that an upstream has stopped.
     * @return The reports of its lost attempts that the proof covers, see
     * `proves`. These attempts are removed, and the others stay. */
    [[nodiscard]] std::vector<crash_report>
    confirm_crash(const instance_id& upstream, crash_proof proof,
                  time_point now)
    {
        drop_expired(now);
        std::vector<crash_report> reports;
        std::erase_if(pending,
                      [&](const auto& one)
                      {
                          if (one.lost.upstream != upstream ||
                              !proves(proof, one.lost.cause))
                              return false;
                          reports.push_back(one.lost.report);
                          return true;
                      });
        return reports;
    }

    /*! @brief Returns the address of an upstream with unexplained lost
     * attempts. */
    [[nodiscard]] std::optional<std::string>
    address_of(const instance_id& upstream) const
    {
        for (const auto& one : pending)
        {
            if (one.lost.upstream == upstream)
                return one.lost.address;
        }
        return std::nullopt;
    }

    /*! @brief Returns another upstream than the given one that has unexplained
     * lost attempts at an address. */
    [[nodiscard]] std::optional<instance_id>
    previous_upstream_at(const instance_id& upstream,
                         const std::string& address) const
    {
        for (const auto& one : pending)
        {
            if (one.lost.address == address && one.lost.upstream != upstream)
                return one.lost.upstream;
        }
        return std::nullopt;
    }

    /*! @brief Returns whether a request has a recently lost attempt that is not
     * yet explained. */
    [[nodiscard]] bool has_unexplained_loss(const request_content& content,
                                            time_point now) const
    {
        return std::any_of(pending.begin(), pending.end(),
                           [&](const auto& one) {
                               return now < one.expires_at &&
                                      one.lost.report.content == content;
                           });
    }

    /*! @brief Returns whether an upstream recently closed the connection of an
     * attempt of a request and it is not known why. */
    [[nodiscard]] bool has_unexplained_close(const request_content& content,
                                             time_point now) const
    {
        return std::any_of(pending.begin(), pending.end(),
                           [&](const auto& one)
                           {
                               return now < one.expires_at &&
                                      one.lost.cause == loss_cause::closed &&
                                      one.lost.report.content == content;
                           });
    }

private:
    struct pending_attempt
    {
        lost_attempt lost;
        time_point expires_at{};
    };

    /*! @brief Returns whether a proof covers a loss. A suspended upstream lets
     * its record expire, but doesn't close its connections. */
    [[nodiscard]] static bool proves(crash_proof proof, loss_cause cause)
    {
        return proof == crash_proof::confirmed || cause == loss_cause::closed;
    }

    void drop_expired(time_point now)
    {
        std::erase_if(pending,
                      [&](const auto& one) { return now >= one.expires_at; });
    }

    std::vector<pending_attempt> pending;
};

} // namespace coursejunction

#endif
