/*! @file
 * @brief Decides whether a second copy of a request goes to another upstream
 * because its first event is overdue; pure.
 * Load pattern: for several hundred ms one upstream in several is a few times
 * slower than predicted, while others have free slots. A request that waits
 * there misses its target although another upstream could still meet it.
 */
#ifndef COURSEJUNCTION_ROUTE_HEDGE_DECISION_HPP
#define COURSEJUNCTION_ROUTE_HEDGE_DECISION_HPP

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string_view>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Parameters of the decision. Fractions are from 0 to 1. */
struct hedge_options
{
    /*! @brief An attempt is overdue from this multiple of its predicted time
     * on. The prediction is a mean, so a smaller factor would copy requests
     * that are only a little later than usual. */
    double overdue_factor{1.5};
    /*! @brief Minimum age in ms of an attempt that is overdue. Below it the
     * delay of the network and of one pass of the engine explains it. */
    double min_elapsed_ms{60};
    /*! @brief Expected total time of an overdue attempt as a multiple of its
     * age. As the cause is not known, it is expected to last as long again. */
    double lasting_factor{2};
    /*! @brief Degree of overload from which on no copy is sent: it would take
     * the slot of a request that is refused for it. */
    double max_overload{0.05};
    /*! @brief Fraction of its slots up to which an engine outside this entry's
     * share accepts a copy, so that it still has slots for the requests of its
     * own entries. */
    double max_fill{0.7};
    /*! @brief Fraction of the retry budget that copies leave to retries after
     * failures, without which a broken stream could not be resumed. */
    double kept_budget{0.5};
    /*! @brief Interval at which an attempt is judged again. Short compared with
     * what is left of a target of 400 ms, and long enough that the timers of
     * all requests take little time. */
    milliseconds poll_interval{25};
};

/*! @brief Result of the decision. */
enum class hedge_verdict : std::uint8_t
{
    send,       /*!< Send a copy, if another upstream is fast enough. */
    in_time,    /*!< The attempt is expected to meet the target. */
    too_late,   /*!< The target has passed. */
    overloaded, /*!< There is no capacity to spare. */
    barred,     /*!< The request must not be at two upstreams at once. */
    no_upstream,
    over_budget /*!< The rest of the budget is kept for retries. */
};

/*! @brief Returns a verdict as a label of metrics. */
[[nodiscard]] inline std::string_view verdict_name(hedge_verdict verdict)
{
    switch (verdict)
    {
    case hedge_verdict::send:
        return "sent";
    case hedge_verdict::in_time:
        return "in_time";
    case hedge_verdict::too_late:
        return "too_late";
    case hedge_verdict::overloaded:
        return "overloaded";
    case hedge_verdict::barred:
        return "barred";
    case hedge_verdict::no_upstream:
        return "no_upstream";
    case hedge_verdict::over_budget:
        return "over_budget";
    }
    return "unknown";
}

/*! @brief An attempt without an event; times in ms. */
struct awaited_first_event
{
    double target_ms{0};    /*!< From the caller's first attempt. */
    double waited_ms{0};    /*!< From then until this attempt was sent. */
    double elapsed_ms{0};   /*!< Since this attempt was sent. */
    double predicted_ms{0}; /*!< When it was sent. */
    /*! @brief Predicted now, from what has been learnt of the upstream since.
     */
    double expected_ms{0};

    /*! @brief Returns the ms left in which the first event is in time. */
    [[nodiscard]] double left_ms() const
    {
        return target_ms - waited_ms - elapsed_ms;
    }
};

/*! @brief Returns whether an attempt takes much longer than predicted: it has
 * already, or its upstream is known to have become slower. */
[[nodiscard]] inline bool is_overdue(const awaited_first_event& awaited,
                                     const hedge_options& options = {})
{
    return awaited.elapsed_ms >= options.min_elapsed_ms &&
           std::max(awaited.elapsed_ms, awaited.expected_ms) >=
               options.overdue_factor * awaited.predicted_ms;
}

/*! @brief Decides whether to look for another upstream for a copy.
 * @param overload Degree of overload of the service, 0 to 1. */
[[nodiscard]] inline hedge_verdict
judge_awaited(const awaited_first_event& awaited, double overload,
              const hedge_options& options = {})
{
    if (awaited.left_ms() <= 0)
        return hedge_verdict::too_late;
    const auto total_ms = std::max(awaited.expected_ms,
                                   awaited.elapsed_ms * options.lasting_factor);
    if (!is_overdue(awaited, options) ||
        awaited.waited_ms + total_ms <= awaited.target_ms)
        return hedge_verdict::in_time;
    return overload > options.max_overload ? hedge_verdict::overloaded
                                           : hedge_verdict::send;
}

/*! @brief Returns how long after it was sent an attempt has to be judged next;
 * nothing once its target has passed. */
[[nodiscard]] inline std::optional<milliseconds>
next_judgement(const awaited_first_event& awaited,
               const hedge_options& options = {})
{
    if (awaited.left_ms() <= 0)
        return std::nullopt;
    return std::max(
        milliseconds(static_cast<std::int64_t>(options.min_elapsed_ms)),
        milliseconds(static_cast<std::int64_t>(awaited.elapsed_ms)) +
            options.poll_interval);
}

} // namespace coursejunction

#endif
