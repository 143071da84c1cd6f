/*! @file
 * @brief Admission control: decides how loaded an upstream may be to accept a
 * request, and when a refused client should retry; pure.
 * Load pattern: demand exceeds the engines' capacity, for seconds or for a
 * whole day, so that admitting one request means refusing another. Only a
 * request whose first event arrives within its target is a full success. A
 * client that waits before it retries misses its target whatever happens, and
 * requests of a kind with a long target must not crowd out those with a shorter
 * one.
 */
#ifndef COURSEJUNCTION_ROUTE_ADMISSION_HPP
#define COURSEJUNCTION_ROUTE_ADMISSION_HPP

#include <algorithm>
#include <limits>
#include <map>

#include "coursejunction/core/types.hpp"
#include "coursejunction/route/engine_estimate.hpp"
#include "coursejunction/route/priority.hpp"
#include "coursejunction/route/reserved_slots.hpp"
#include "coursejunction/route/smoothed_rate.hpp"

namespace coursejunction
{

/*! @brief Thresholds of admission control. Fractions are of 1. */
struct admission_options
{
    /*! @brief Fraction of the target that the predicted time of the first event
     * may take. Above 1 because the prediction is a mean: half of the requests
     * are faster. */
    double target_fraction{1.15};
    /*! @brief Under overload, the first event of a typical request must be
     * predicted within this fraction of the tightest target in use, whatever
     * the target of the request itself. Otherwise kinds with a longer target
     * fill the engines before those with a shorter one. */
    double common_target_fraction{1.0};
    /*! @brief Under overload, an engine accepts requests that can no longer
     * meet their target only while less than this fraction of its slots is in
     * use; without overload while a slot is free. The rest is left to requests
     * that can still meet theirs. */
    double late_fraction{0.5};
    /*! @brief The same for clients that return when they were told to. With all
     * slots fewer new requests were in time. */
    double returning_fraction{0.7};
    /*! @brief Ratio of refused to new requests at which the overload limits
     * apply in full; below it they apply in proportion. The ratio is that of
     * all entries together, which a single refusal hardly changes. With a
     * larger value the clients of the most loaded entry are refused before the
     * other entries admit less. */
    double full_refusal_ratio{0.05};
    /*! @brief Fraction of `full_refusal_ratio` from which on an entry fills
     * only its own share of each engine (see `engine_shares.hpp`). Otherwise
     * many entries fill one engine at the same time, since none sees the
     * requests of the others in time. */
    double own_share_threshold{0.5};
    /*! @brief Fraction of its slots up to which an engine accepts requests of
     * entries that hold no share of it, or have used theirs: no entry
     * needs the slots of an engine that is this empty. Without it, clients are
     * refused during a rollout although slots are free; with a much larger
     * value, entries that refuse no client take the slots of the others. */
    double unowned_fraction{0.4};
    /*! @brief Retry-After without overload, where upstreams are busy only for a
     * moment. */
    milliseconds min_retry_after{200};
    /*! @brief Largest Retry-After, as a fraction of what is left of the
     * client's deadline; clients do not follow a larger one. Under overload,
     * the later a client retries, the likelier it is served. */
    double retry_deadline_fraction{1.0 / 3};
};

/*! @brief Limits within which an upstream may accept a request. */
struct admission_limits
{
    /*! @brief Largest predicted time in ms to the first event of the request.
     */
    double first_event_ms{std::numeric_limits<double>::infinity()};
    /*! @brief Largest predicted time in ms to the first event of a request with
     * a prompt of typical length. */
    double typical_first_event_ms{std::numeric_limits<double>::infinity()};
    /*! @brief Largest number of requests already at the upstream. */
    double max_in_flight{std::numeric_limits<double>::infinity()};
    /*! @brief Largest number of requests already at the upstream with which it
     * has slots that are not reserved for more urgent requests. */
    double unreserved_in_flight{std::numeric_limits<double>::infinity()};
    reserved_slots reserved;
    /*! @brief Whether only slots of this entry's share of the engine may be
     * used. */
    bool own_share_only{false};
    /*! @brief Requests that may be at an engine beyond this entry's share,
     * because less urgent ones are there. */
    double share_excess{0};
    /*! @brief Fraction of an engine's slots up to which requests outside this
     * entry's share are accepted. */
    double unowned_fraction{1};
};

/*! @brief Requests a second at one or several entries, without client retries.
 */
struct request_rates
{
    double arrived{0};
    double refused{0};
    double demand{0}; /*!< Arrivals over `admission::demand_window`. */
};

/*! @brief Returns the predicted ms to the first event of a typical request that
 * takes the last free slot of an engine. */
[[nodiscard]] inline double last_slot_ms(const engine_profile& engine)
{
    engine_load load;
    load.running = static_cast<double>(engine.slots) - 1;
    return first_event_ms(engine, load, engine.typical_prompt_tokens);
}

/*! @brief Admission control of one service that runs on engines. */
class admission
{
public:
    explicit admission(admission_options configured = {}) : options(configured)
    {
    }

    /*! @brief Returns whether a request can no longer have its first event
     * within its target; always false for a new request.
     * @param waited Time since the client's first request; zero for a new
     * request. */
    [[nodiscard]] bool misses_target(const engine_profile& engine,
                                     milliseconds target,
                                     milliseconds waited) const
    {
        return waited.count() > 0 &&
               static_cast<double>(waited.count()) + last_slot_ms(engine) >
                   options.target_fraction *
                       static_cast<double>(target.count());
    }

    /*! @brief Records a new request with its target. */
    void record_arrival(milliseconds target, time_point now,
                        const request_rank& rank = {})
    {
        smoothed_demand.record(now);
        arrivals.record(now);
        arrivals_by_target[target][rank].record(now);
    }

    /*! @brief Records that a new request was refused. */
    void record_refusal(time_point now) { refusals.record(now); }

    /*! @brief Returns the rates of requests and refusals at this entry. */
    [[nodiscard]] request_rates rates(time_point now) const
    {
        return {arrivals.per_second(now), refusals.per_second(now),
                smoothed_demand.per_second_since_start(now)};
    }

    /*! @brief Sets the rates of all other entries together. */
    void set_other_entries_rates(const request_rates& reported)
    {
        other_entries = reported;
    }

    /*! @brief Returns the rate of new requests at all other entries. */
    [[nodiscard]] double other_entries_arrived() const
    {
        return other_entries.arrived;
    }

    /*! @brief Time over which arrivals and refusals are smoothed for the
     * refusal ratio. Short, so that clients that retry after a burst are not
     * refused because of it. It still covers enough refusals, as those of all
     * entries count: hundreds a second under load. */
    static constexpr milliseconds ratio_window{250};

    /*! @brief Time over which the demand is smoothed by which engines are
     * divided between entries. An entry with 14 requests a second counts about
     * 40 of them, so that chance changes its share by a sixth. */
    static constexpr milliseconds demand_window{3000};

    /*! @brief Returns the ratio of refused to new requests at all entries
     * recently. One refusal is subtracted, so that a single one counts as none.
     * If each entry used its own ratio, an entry that refuses no client would
     * fill the engines, and one that refuses many would refuse ever more. */
    [[nodiscard]] double refusal_ratio(time_point now) const
    {
        const auto single_refusal = 1 / to_seconds(ratio_window);
        return std::max(refusals.per_second(now) + other_entries.refused -
                            single_refusal,
                        0.0) /
               std::max(arrivals.per_second(now) + other_entries.arrived,
                        single_refusal);
    }

    /*! @brief Returns the limits within which an upstream may accept a request.
     * @param waited Time since the client's first request; zero for a new
     * request.
     * @param rank Rank of the request. Targets of less urgent ranks do not
     * restrict it.
     * @param returning Whether its client returns when it was told to. */
    [[nodiscard]] admission_limits limits(const engine_profile& engine,
                                          milliseconds target,
                                          milliseconds waited, time_point now,
                                          const request_rank& rank = {},
                                          bool returning = false) const
    {
        admission_limits result;
        const auto degree = overload_degree(now);
        result.unowned_fraction = options.unowned_fraction;
        result.own_share_only = degree >= options.own_share_threshold;
        if (misses_target(engine, target, waited))
        {
            const auto full_fraction =
                returning ? options.returning_fraction : options.late_fraction;
            const auto slot_fraction = 1 - (1 - full_fraction) * degree;
            result.max_in_flight =
                static_cast<double>(engine.slots) * slot_fraction - 1;
            return result;
        }
        result.first_event_ms =
            options.target_fraction * static_cast<double>(target.count()) -
            static_cast<double>(waited.count());
        const auto common_limit_ms = std::max(
            last_slot_ms(engine),
            options.common_target_fraction *
                static_cast<double>(tightest_target(rank, now).count()));
        const auto own_limit_ms =
            options.target_fraction * static_cast<double>(target.count());
        result.typical_first_event_ms =
            own_limit_ms -
            (own_limit_ms - std::min(common_limit_ms, own_limit_ms)) * degree;
        return result;
    }

    /*! @brief Returns when a refused client should retry: soon without
     * overload, as a slot becomes free shortly; late under overload, as its
     * target is missed anyway and a later retry is likelier to be served.
     * @param left What is left of the client's deadline. */
    [[nodiscard]] milliseconds retry_after(milliseconds left,
                                           time_point now) const
    {
        const auto min_ms =
            static_cast<double>(options.min_retry_after.count());
        const auto max_ms =
            static_cast<double>(left.count()) * options.retry_deadline_fraction;
        return milliseconds(static_cast<std::int64_t>(
            min_ms + std::max(max_ms - min_ms, 0.0) * overload_degree(now)));
    }

    /*! @brief Returns the degree of overload, 0 to 1, to which the overload
     * limits apply. */
    [[nodiscard]] double overload_degree(time_point now) const
    {
        return std::min(refusal_ratio(now) / options.full_refusal_ratio, 1.0);
    }

private:
    /*! @brief Smallest fraction of the requests that must have a target for it
     * to count as in use. */
    static constexpr double min_fraction_of_requests{0.05};

    /*! @brief Returns the tightest target in use by requests of a rank or more
     * urgent ones. */
    [[nodiscard]] milliseconds tightest_target(const request_rank& rank,
                                               time_point now) const
    {
        const auto total_rate = arrivals.per_second(now);
        for (const auto& [target, rates] : arrivals_by_target)
        {
            double rate = 0;
            for (const auto& [other, one] : rates)
                rate += other <= rank ? one.per_second(now) : 0;
            if (rate >= total_rate * min_fraction_of_requests)
                return target;
        }
        return milliseconds(std::numeric_limits<std::int32_t>::max());
    }

    admission_options options;
    smoothed_rate arrivals{ratio_window};
    smoothed_rate refusals{ratio_window};
    request_rates other_entries;
    smoothed_rate smoothed_demand{demand_window};
    std::map<milliseconds, std::map<request_rank, smoothed_rate>>
        arrivals_by_target;
};

} // namespace coursejunction

#endif
