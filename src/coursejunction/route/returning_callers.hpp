/*! @file
 * @brief Decides when a refused client should return, and recognises one that
 * returns when it was told to; pure.
 * Load pattern: demand exceeds the engines' capacity, for less than a second or
 * for longer than clients wait, and refused clients retry once. The later they
 * return, the likelier the overload is over. The clients of a burst that is
 * much denser than the capacity would all return in another such burst.
 */
#ifndef COURSEJUNCTION_ROUTE_RETURNING_CALLERS_HPP
#define COURSEJUNCTION_ROUTE_RETURNING_CALLERS_HPP

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <optional>
#include <set>

#include "coursejunction/core/types.hpp"
#include "coursejunction/route/recent_refusals.hpp"
#include "coursejunction/route/smoothed_rate.hpp"

namespace coursejunction
{

/*! @brief Parameters of return times. */
struct returning_options
{
    /*! @brief Whether no more clients are told to return within an interval
     * than engines take in it. Otherwise each is told the usual time. Disabled,
     * as in the replay of a dense burst at 53 entries clients that returned
     * earlier were refused again more often, and at 12 entries no less. */
    bool spreads{false};
    /*! @brief Smallest return time. The dispatcher sets it and the next one to
     * those of admission control. */
    milliseconds min_retry_after{200};
    /*! @brief Largest return time, as a fraction of what is left of the
     * client's deadline; clients do not follow a larger one. */
    double retry_deadline_fraction{1.0 / 3};
};

/*! @brief When a refused client should return, with the inputs of this
 * decision. */
struct return_time
{
    milliseconds after{0};
    milliseconds usual{0}; /*!< The time that admission control gives. */
    milliseconds last_possible{0}; /*!< Clients do not follow a later one. */
    double per_second{0};    /*!< Requests that this entry sends to engines. */
    std::size_t expected{0}; /*!< Clients told to return that did not yet. */
    /*! @brief Clients told to return in the interval that ends at the usual
     * time. */
    std::size_t expected_then{0};

    /*! @brief Returns whether the client is to return before the usual time, as
     * enough others return then. */
    [[nodiscard]] bool moved() const { return after < usual; }
};

/*! @brief Returns whether a client retry arrives when its client was told to
 * return, as far as the request shows it: neither at once nor later than
 * clients wait. Another entry may have refused the client, so that nothing else
 * is known.
 * @param waited Time since the client's first request.
 * @param left What is left of the client's deadline; nothing if unknown. */
[[nodiscard]] inline bool returns_in_time(milliseconds waited,
                                          std::optional<milliseconds> left,
                                          const returning_options& options = {})
{
    if (waited + recent_refusals::early_retry_tolerance <
        options.min_retry_after)
        return false;
    if (!left)
        return true;
    const auto longest = static_cast<double>((waited + *left).count()) *
                         options.retry_deadline_fraction;
    return waited <= std::max(milliseconds(static_cast<std::int64_t>(longest)),
                              options.min_retry_after) +
                         recent_refusals::retry_expiry;
}

/*! @brief The clients of one service that this entry told to return. */
class returning_callers
{
public:
    /*! @brief Largest number of clients kept, some 200 KB. Further ones are
     * told the usual time. */
    static constexpr std::size_t max_expected = 4096;

    /*! @brief Time over which the requests sent to engines are measured. Under
     * overload they are this entry's share of the capacity. At an entry with 15
     * requests a second it covers 45. */
    static constexpr milliseconds capacity_window{3000};

    /*! @brief Interval whose returning clients are counted. */
    static constexpr milliseconds interval{500};

    explicit returning_callers(returning_options configured = {})
        : options(configured)
    {
    }

    /*! @brief Records that a request was sent to an engine. */
    void record_sent(time_point now) { sent.record(now); }

    /*! @brief Returns when a refused client should return, and keeps that time
     * until it is over.
     *
     * This is the usual time. With `spreads`, it is the end of the latest
     * earlier interval that has room if as many clients return just before the
     * usual time as engines take of this entry in an interval.
     * Free capacity beyond the usual demand is no bound: the idle slots
     * after a burst take more clients than that, and clients that return
     * earlier for it were refused more often.
     * @param left What is left of the client's deadline.
     * @param usual The time that admission control gives. */
    [[nodiscard]] return_time tell(milliseconds left, milliseconds usual,
                                   time_point now)
    {
        expire(now);
        return_time result;
        result.last_possible = std::max(milliseconds(static_cast<std::int64_t>(
                                            static_cast<double>(left.count()) *
                                            options.retry_deadline_fraction)),
                                        options.min_retry_after);
        result.usual =
            std::clamp(usual, options.min_retry_after, result.last_possible);
        result.after = result.usual;
        result.per_second = sent.per_second_since_start(now);
        result.expected = return_times.size();
        result.expected_then = expected_until(now + result.usual);
        if (options.spreads)
            move_to_room(result, now);
        if (return_times.size() < max_expected)
            return_times.insert(now + result.after);
        return result;
    }

    /*! @brief Drops clients whose time is over. */
    void expire(time_point now)
    {
        return_times.erase(return_times.begin(), return_times.lower_bound(now));
    }

    /*! @brief Returns the number of clients that are expected to return. */
    [[nodiscard]] std::size_t expected() const { return return_times.size(); }

private:
    /*! @brief Returns the number of clients told to return in the interval that
     * ends at a time. */
    [[nodiscard]] std::size_t expected_until(time_point end) const
    {
        return static_cast<std::size_t>(
            std::distance(return_times.upper_bound(end - interval),
                          return_times.upper_bound(end)));
    }

    /*! @brief Moves a client's return to the latest interval that has room. */
    void move_to_room(return_time& result, time_point now) const
    {
        // At an entry with one request a second, chance alone makes two clients
        // return together. One standard deviation is allowed for that.
        const auto taken = result.per_second * to_seconds(interval);
        const auto room = taken + std::sqrt(taken);
        const auto has_room = [&](milliseconds after)
        { return static_cast<double>(expected_until(now + after)) < room; };
        for (auto after = result.usual; after >= options.min_retry_after;
             after -= interval)
        {
            if (!has_room(after))
                continue;
            result.after = after;
            return;
        }
    }

    returning_options options;
    smoothed_rate sent{capacity_window};
    std::multiset<time_point> return_times;
};

} // namespace coursejunction

#endif
