/*! @file
 * @brief Tells the end of an upstream from the loss of a connection; pure.
 *
 * An attempt that was lost before its answer was whole says little: its
 * connection may have been reset, or its upstream may stand still. Only when
 * the upstream itself is seen to be gone, or to be another life, did it end
 * under the request. A cut link and a planned leaving accuse nobody.
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

/*! @brief A request under which an upstream ended. */
struct crash_report
{
    request_content content;
    crash_id crash;
    crash_evidence evidence{crash_evidence::before_response};
};

/*! @brief How an attempt was lost. */
enum class loss_cause : std::uint8_t
{
    closed,    /*!< The other end closed its connection. */
    timed_out, /*!< It was taken back, since nothing came. */
    cancelled  /*!< It was taken back for another reason; it may go on for a
                  moment. */
};

/*! @brief How the end of an upstream shows. */
enum class crash_proof : std::uint8_t
{
    record_expired, /*!< Nobody keeps its record; one that stands still does not
                    either, and lives. */
    confirmed       /*!< Its address refuses, or belongs to another life. */
};

/*! @brief An attempt that was lost before its answer was whole. */
struct lost_attempt
{
    instance_id upstream;
    std::string address; /*!< `IP:port` of the upstream. */
    crash_report report;
    loss_cause cause{loss_cause::closed};
};

/*! @brief Attempts that were lost, until it is known why. */
class lost_attempt_tracker
{
public:
    /*! @brief How long an upstream's end may show after its attempt was lost.
     * Its record lapses after three missed liveness reports of a second. */
    static constexpr milliseconds patience{4000};

    /*! @brief An attempt that was taken back may go on for so long: the word of
     * it has to travel, and upstreams stop within half a second. */
    static constexpr milliseconds aftermath{500};

    /*! @brief Notes a lost attempt.
     * @return Whether its upstream's end is not being looked into yet. */
    bool add_lost_attempt(lost_attempt one, time_point now)
    {
        forget_old(now);
        const bool first = std::none_of(
            pending.begin(), pending.end(),
            [&](const auto& other)
            {
                return other.lost.report.crash == one.report.crash &&
                       other.lost.cause != loss_cause::cancelled;
            });
        const auto until =
            now + (one.cause == loss_cause::cancelled ? aftermath : patience);
        pending.push_back({std::move(one), until});
        return first && pending.back().lost.cause != loss_cause::cancelled;
    }

    /*! @brief An upstream was seen to have ended.
     * @return The requests whose attempts it took along. */
    [[nodiscard]] std::vector<crash_report>
    confirm_crash(const instance_id& upstream, crash_proof proof,
                  time_point now)
    {
        forget_old(now);
        std::vector<crash_report> accused;
        std::erase_if(pending,
                      [&](const auto& one)
                      {
                          if (one.lost.upstream != upstream ||
                              !proves(proof, one.lost.cause))
                              return false;
                          accused.push_back(one.lost.report);
                          return true;
                      });
        return accused;
    }

    /*! @brief Returns the address of an upstream with attempts whose loss is
     * not explained yet. */
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

    /*! @brief Returns another upstream that lost attempts at an address. */
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

    /*! @brief Tells whether an attempt of a request was lost just now and it is
     * not known why. */
    [[nodiscard]] bool has_unexplained_loss(const request_content& what,
                                            time_point now) const
    {
        return std::any_of(pending.begin(), pending.end(),
                           [&](const auto& one) {
                               return now < one.until &&
                                      one.lost.report.content == what;
                           });
    }

private:
    struct waiting
    {
        lost_attempt lost;
        time_point until{};
    };

    [[nodiscard]] static bool proves(crash_proof proof, loss_cause how)
    {
        return proof == crash_proof::confirmed || how == loss_cause::closed;
    }

    void forget_old(time_point now)
    {
        std::erase_if(pending,
                      [&](const auto& one) { return now >= one.until; });
    }

    std::vector<waiting> pending;
};

} // namespace coursejunction

#endif
