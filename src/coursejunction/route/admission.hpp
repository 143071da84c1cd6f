/*! @file
 * @brief Decides how loaded an upstream may be for a request to be admitted,
 * and when a refused caller may come back; pure.
 *
 * Load pattern: more is asked for than the engines can end, for seconds or for
 * a whole day. Who is admitted then is a choice between callers: one that is
 * in time earns all, one that comes back is late whatever happens, and one
 * kind's longer target must not crowd out another's shorter one.
 */
#ifndef COURSEJUNCTION_ROUTE_ADMISSION_HPP
#define COURSEJUNCTION_ROUTE_ADMISSION_HPP

#include <algorithm>
#include <limits>
#include <map>

#include "coursejunction/core/types.hpp"
#include "coursejunction/route/engine_estimate.hpp"
#include "coursejunction/route/smoothed_rate.hpp"

namespace coursejunction
{

/*! @brief Parts and times of the decision. */
struct admission_options
{
    /*! @brief Part of the target that a predicted first event may take: the
     * prediction is a mean, half of those come sooner. */
    double target_fraction{1.15};
    /*! @brief Under overload, part of the tightest target that the first event
     * of a usual request may take, whatever is asked: kinds with a longer
     * target would fill the engines before one with a shorter. */
    double common_target_fraction{1.0};
    /*! @brief Under overload, part of an engine's places that requests which
     * can't be in time any more may fill; without it, all places. The rest is
     * for callers that can be. */
    double late_fraction{0.5};
    /*! @brief Share of refusals at which the limits of an overload hold in
     * full. It is that of all entries, which one refusal by chance does not
     * move; with a larger one the worst entry's callers are refused before the
     * others hold back. */
    double full_refusal_ratio{0.05};
    /*! @brief Part of `full_pressure` from which on an entry fills only its own
     * share of each engine (`engine_shares`): many entries would otherwise fill
     * one engine unseen by each other. */
    double own_share_threshold{0.5};
    /*! @brief Part of its places up to which an engine takes requests of
     * entries that have no share of it left: what is that empty is nobody's
     * need. Without it a rollout refuses callers beside free places; with much
     * more, whoever refuses nobody takes the places of the others. */
    double unowned_fraction{0.4};
    /*! @brief Told where upstreams are short for a moment only. */
    milliseconds min_retry_after{200};
    /*! @brief A caller heeds a time to come back up to this part of what is
     * left of its deadline. Under overload, the later it comes, the likelier it
     * is served. */
    double retry_deadline_fraction{1.0 / 3};
};

/*! @brief What an upstream must be able to do to take a request. */
struct admission_limits
{
    /*! @brief Predicted ms of the request's own first event. */
    double first_event_ms{std::numeric_limits<double>::infinity()};
    /*! @brief Predicted ms of a usual request's first event there. */
    double typical_first_event_ms{std::numeric_limits<double>::infinity()};
    /*! @brief Requests that may be inside already. */
    double max_in_flight{std::numeric_limits<double>::infinity()};
    /*! @brief Only places of the entry's own part of an engine. */
    bool own_share_only{false};
    /*! @brief Part of an engine's places up to which others' may be used. */
    double unowned_fraction{1};
};

/*! @brief New requests a second at one or several entries. */
struct request_rates
{
    double arrived{0};
    double refused{0};
    double demand{0}; /*!< As `asked`, over `admission::demand_span`. */
};

/*! @brief Returns the ms of a usual request's first event at an engine whose
 * last free place it takes. */
[[nodiscard]] inline double last_slot_ms(const engine_profile& engine)
{
    engine_load load;
    load.running = static_cast<double>(engine.slots) - 1;
    return first_event_ms(engine, load, engine.typical_prompt_tokens);
}

/*! @brief Admission to the engines of one service. */
class admission
{
public:
    explicit admission(admission_options set = {}) : weights(set) {}

    /*! @brief Tells whether a caller that has waited this long can't have its
     * first event within its target any more. */
    [[nodiscard]] bool misses_target(const engine_profile& engine,
                                     milliseconds target,
                                     milliseconds waited) const
    {
        return waited.count() > 0 &&
               static_cast<double>(waited.count()) + last_slot_ms(engine) >
                   weights.target_fraction *
                       static_cast<double>(target.count());
    }

    /*! @brief Notes a new request with its target. */
    void record_arrival(milliseconds target, time_point now)
    {
        smoothed_demand.record(now);
        all_asked.record(now);
        asked_by_target[target].record(now);
    }

    /*! @brief Notes that a new request was refused. */
    void record_refusal(time_point now) { all_refused.record(now); }

    /*! @brief Returns what this entry is asked for and refuses. */
    [[nodiscard]] request_rates rates(time_point now) const
    {
        return {all_asked.per_second(now), all_refused.per_second(now),
                smoothed_demand.per_second_since_start(now)};
    }

    /*! @brief Takes what all other entries together are asked for and refuse.
     */
    void set_other_entries_rates(const request_rates& told) { others = told; }

    /*! @brief Time over which refusals are smoothed. They are those of all
     * entries, hundreds a second under load, so that a short time has enough
     * of them; and a caller that comes back after a burst is not refused for
     * what the burst was. */
    static constexpr milliseconds refusal_window{250};

    /*! @brief Time over which the demand is smoothed by which engines are
     * divided: an entry with 14 requests a second counts 40 in it, so that its
     * share moves by a sixth by chance. */
    static constexpr milliseconds demand_window{3000};

    /*! @brief Returns the share of new requests that all entries refused
     * lately; a lone refusal counts as none. Where each goes by its own
     * refusals, whoever refuses nobody fills the engines, and whoever refuses
     * many refuses ever more. */
    [[nodiscard]] double refusal_ratio(time_point now) const
    {
        const auto one = 1 / to_seconds(refusal_window);
        return std::max(all_refused.per_second(now) + others.refused - one,
                        0.0) /
               std::max(all_asked.per_second(now) + others.arrived, one);
    }

    /*! @brief Returns what an upstream must be able to do for a request. */
    [[nodiscard]] admission_limits limits(const engine_profile& engine,
                                          milliseconds target,
                                          milliseconds waited,
                                          time_point now) const
    {
        admission_limits made;
        const auto strict = strictness(now);
        made.unowned_fraction = weights.unowned_fraction;
        made.own_share_only = strict >= weights.own_share_threshold;
        if (misses_target(engine, target, waited))
        {
            const auto part = 1 - (1 - weights.late_fraction) * strict;
            made.max_in_flight = static_cast<double>(engine.slots) * part - 1;
            return made;
        }
        made.first_event_ms =
            weights.target_fraction * static_cast<double>(target.count()) -
            static_cast<double>(waited.count());
        const auto common =
            std::max(last_slot_ms(engine),
                     weights.common_target_fraction *
                         static_cast<double>(tightest(now).count()));
        const auto loose =
            weights.target_fraction * static_cast<double>(target.count());
        made.typical_first_event_ms =
            loose - (loose - std::min(common, loose)) * strict;
        return made;
    }

    /*! @brief Returns when a refused caller should come back. One that met a
     * short shortage finds a place soon; in an overload its target is lost, and
     * the later it comes, the likelier the overload is over.
     * @param left What is left of the caller's deadline. */
    [[nodiscard]] milliseconds retry_after(milliseconds left,
                                           time_point now) const
    {
        const auto soon = static_cast<double>(weights.min_retry_after.count());
        const auto heeded =
            static_cast<double>(left.count()) * weights.retry_deadline_fraction;
        return milliseconds(static_cast<std::int64_t>(
            soon + std::max(heeded - soon, 0.0) * strictness(now)));
    }

private:
    /*! @brief Returns how much of the limits of an overload holds, 0 to 1. */
    [[nodiscard]] double strictness(time_point now) const
    {
        return std::min(refusal_ratio(now) / weights.full_refusal_ratio, 1.0);
    }

    /*! @brief Part of the requests that a target must have to count. */
    static constexpr double least_part{0.05};

    /*! @brief Returns the tightest target that a part of the requests has. */
    [[nodiscard]] milliseconds tightest(time_point now) const
    {
        const auto all = all_asked.per_second(now);
        for (const auto& [target, rate] : asked_by_target)
            if (rate.per_second(now) >= all * least_part)
                return target;
        return milliseconds(std::numeric_limits<std::int32_t>::max());
    }

    admission_options weights;
    smoothed_rate all_asked{refusal_window};
    smoothed_rate all_refused{refusal_window};
    request_rates others;
    smoothed_rate smoothed_demand{demand_window};
    std::map<milliseconds, smoothed_rate> asked_by_target;
};

} // namespace coursejunction

#endif
