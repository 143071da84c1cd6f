/*! @file
 * @brief Decides whether a request that may crash upstreams may be sent, from
 * the records of the crash guard and the requests in progress. */
#ifndef COURSEJUNCTION_PROXY_CRASH_PERMISSION_HPP
#define COURSEJUNCTION_PROXY_CRASH_PERMISSION_HPP

#include <cstdint>
#include <optional>
#include <vector>

#include "coursejunction/core/request_content.hpp"
#include "coursejunction/proxy/crash_guard.hpp"
#include "coursejunction/proxy/exchange.hpp"
#include "coursejunction/proxy/exchange_facts.hpp"
#include "coursejunction/proxy/open_exchanges.hpp"

namespace coursejunction
{

/*! @brief Whether a request may be sent now. */
enum class crash_verdict : std::uint8_t
{
    send,
    wait,       /*!< Another copy runs; its result shows more. */
    quarantined /*!< It must be refused until the quarantine ends. */
};

/*! @brief The decision of the crash guard on one request. */
struct crash_permission
{
    crash_verdict verdict{crash_verdict::send};
    milliseconds quarantine_left{0}; /*!< Until the next trial. */
    /*! @brief The quarantined part of its prompt; nothing if it is the request
     * itself. */
    std::optional<request_content> part;
};

/*! @brief Checks the parts of a request's prompt. After the quarantine of a
 * part one request at a time is a trial, at one entry; `part_on_trial` is set
 * for it. */
[[nodiscard]] inline crash_permission
check_prompt_parts(const crash_guard& guard, const open_exchanges& others,
                   exchange& request, time_point now)
{
    request.part_on_trial.reset();
    const auto part = guard.blocked_part(request.shared_parts);
    if (!part)
        return {};
    if (request.possible_runs == 0 && guard.may_try_part(*part, now) &&
        !others.runs_part(request, *part))
    {
        request.part_on_trial = part;
        return {};
    }
    return {crash_verdict::quarantined, guard.part_quarantine_left(*part, now),
            part};
}

/*! @brief Limits how many copies of a request run while it is suspected of
 * crashing upstreams; sets `is_trial`. Without a limit, client retries of one
 * request crashed 47 upstreams in 16 s. */
[[nodiscard]] inline crash_permission
check_content(const crash_guard& guard, const open_exchanges& others,
              exchange& request, time_point now)
{
    const auto crash_state = guard.status(request.content, now);
    request.is_trial = crash_state == crash_status::on_trial;
    if (crash_state == crash_status::clear)
        return {};
    const auto max_running = guard.max_running(request.content, now);
    // A trial has a single attempt, since a failure of it may be the crash that
    // it tests for.
    if (max_running == 0 || (request.is_trial && request.possible_runs > 0))
        return {crash_verdict::quarantined,
                guard.quarantine_left(request.content, now), std::nullopt};
    if (others.running_copies(request) < max_running)
        return {};
    return {crash_verdict::wait, milliseconds(0), std::nullopt};
}

/*! @brief Returns the upstreams that run other suspects. Suspects are sent to
 * different upstreams, so that the next crash shows which of them causes it.
 * Eight requests that had lost one upstream together lost a second one within
 * 0.15 s. */
[[nodiscard]] inline std::vector<instance_id>
upstreams_of_suspects(const crash_guard& guard, const open_exchanges& others,
                      const exchange& request, time_point now)
{
    if (!guard.is_suspect(request.content, now))
        return {};
    return others.upstreams_of_others(
        request, [&](const exchange& other)
        { return guard.is_suspect(other.content, now); });
}

/*! @brief Returns whether a request is, or contains, what was quarantined. */
[[nodiscard]] inline bool is_quarantined_by(const exchange& request,
                                            const request_content& content)
{
    return request.content == content ||
           exchange_facts::has_part(request, content);
}

} // namespace coursejunction

#endif
