/*! @file
 * @brief Trunk reservation: decides how many slots of an engine a request must
 * leave free for more urgent ones; pure.
 * Load pattern: demand exceeds the engines' capacity for seconds, and requests
 * of different ranks arrive. Without a reserve, each slot that becomes free is
 * taken by the request that arrives next, so that the rank with the most
 * requests displaces the others.
 */
#ifndef COURSEJUNCTION_ROUTE_SLOT_RESERVE_HPP
#define COURSEJUNCTION_ROUTE_SLOT_RESERVE_HPP

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>

#include "coursejunction/core/types.hpp"
#include "coursejunction/route/admission.hpp"
#include "coursejunction/route/engine_estimate.hpp"
#include "coursejunction/route/priority.hpp"
#include "coursejunction/route/reserved_slots.hpp"
#include "coursejunction/route/smoothed_rate.hpp"

namespace coursejunction
{

/*! @brief Parameters of the reserve. */
struct slot_reserve_options
{
    /*! @brief Time until entries know of a slot that became free, beyond the
     * time in which one becomes free. Load reports come every 50 ms from the
     * own hall and every 400 ms from others. With 200 ms the most urgent
     * requests were in time less often, with 300 ms more slots were idle. */
    double report_age_ms{250};
    /*! @brief A rank that is served less often than this fraction of how often
     * all requests are served leaves nothing free for others. */
    double least_served_ratio{0.5};
    /*! @brief Ratio above `least_served_ratio` over which the reserve rises to
     * its full size. A step would admit all requests of the rank for a second
     * and refuse them for the next. */
    double served_ratio_range{0.03};
    /*! @brief Largest part of an engine's slots that is reserved. */
    double max_fraction{0.5};
    /*! @brief How much later than predicted the first event of a request may be
     * that overtakes others, as a fraction of the time in which a slot becomes
     * free: the prediction counts the requests that it overtakes. */
    double overtaking_allowance{0.4};
    /*! @brief Requests that may overtake others beyond an entry's share of an
     * engine, for each that may wait there. */
    double overtaking_excess{2};
};

/*! @brief How this entry's requests for a service relate to those of all
 * entries. */
struct service_scale
{
    /*! @brief Requests at all entries for one at this entry. */
    double entries{1};
    /*! @brief Engines that serve the service. */
    std::size_t engines{1};
};

/*! @brief Observes the requests of one service at this entry by rank. */
class slot_reserve
{
public:
    /*! @brief Time over which arrivals and refusals by rank are measured. At an
     * entry with 15 requests a second it covers 45. */
    static constexpr milliseconds window{3000};

    explicit slot_reserve(slot_reserve_options configured = {})
        : options(configured)
    {
    }

    /*! @brief Records a new request. */
    void record_arrival(const request_rank& rank, time_point now)
    {
        all.arrivals.record(now);
        ranks[rank].arrivals.record(now);
    }

    /*! @brief Records that a new request was refused. */
    void record_refusal(const request_rank& rank, time_point now)
    {
        all.refusals.record(now);
        ranks[rank].refusals.record(now);
    }

    /*! @brief Returns the slots of each engine that a request must leave free
     * under full overload: as many as more urgent requests are expected to
     * arrive there before it is known that another slot is free. */
    [[nodiscard]] reserved_slots reserve(const engine_profile& engine,
                                         const request_rank& rank,
                                         const service_scale& scale,
                                         time_point now) const
    {
        reserved_slots result;
        double urgent = 0;
        double others = 0;
        const auto slots = static_cast<double>(engine.slots);
        const auto until_known_s =
            (slot_occupancy_ms(engine) / slots + options.report_age_ms) /
            ms_per_second;
        const auto per_engine =
            scale.entries /
            static_cast<double>(std::max<std::size_t>(scale.engines, 1));
        for (const auto& [other, one] : ranks)
        {
            const auto rate = one.arrivals.per_second_since_start(now);
            if (other > rank)
            {
                others += rate;
                continue;
            }
            if (other == rank)
            {
                result.urgent_per_second = urgent * per_engine;
                result.served_ratio = served_ratio(one, now);
                result.slots =
                    std::min(result.urgent_per_second * until_known_s,
                             slots * options.max_fraction) *
                    rise(result.served_ratio);
            }
            urgent += rate;
        }
        if (urgent > 0)
            result.overtaken = std::min(others / urgent, 1.0);
        return result;
    }

    /*! @brief Returns the limits of a request that leaves slots free for more
     * urgent ones and overtakes less urgent ones.
     * @param limits Those that apply to all ranks. */
    [[nodiscard]] admission_limits restrict(
        admission_limits limits, const engine_profile& engine,
        const reserved_slots& reserved) const
    {
        const auto slots = static_cast<double>(engine.slots);
        const auto slot_ms = slot_occupancy_ms(engine) / slots;
        // A request that can no longer meet its target must not wait there.
        const auto may_wait = std::isfinite(limits.typical_first_event_ms)
                                  ? std::clamp((limits.typical_first_event_ms -
                                                last_slot_ms(engine)) /
                                                   slot_ms,
                                               0.0, slots)
                                  : 0.0;
        if (reserved.slots > 0)
            limits.unreserved_in_flight =
                slots - 1 + may_wait - reserved.degree * reserved.slots;
        // A rank that leaves slots free itself is overtaken as well.
        const auto ahead =
            may_wait > 0 ? std::clamp(1 - reserved.slots / may_wait, 0.0, 1.0)
                         : 0.0;
        const auto overtaken = reserved.degree * reserved.overtaken * ahead;
        limits.reserved = reserved;
        limits.share_excess = overtaken * may_wait * options.overtaking_excess;
        const auto allowance =
            overtaken * options.overtaking_allowance * slot_ms;
        limits.first_event_ms += allowance;
        limits.typical_first_event_ms += allowance;
        return limits;
    }

private:
    /*! @brief Requests of one or all ranks. */
    struct counts
    {
        smoothed_rate arrivals{window};
        smoothed_rate refusals{window};

        [[nodiscard]] double served_fraction(time_point now) const
        {
            const auto arrived = arrivals.per_second(now);
            if (arrived <= 0)
                return 1;
            return std::max(1 - refusals.per_second(now) / arrived, 0.0);
        }
    };

    /*! @brief Returns how often a rank was served recently, relative to all
     * requests. */
    [[nodiscard]] double served_ratio(const counts& one, time_point now) const
    {
        const auto served = all.served_fraction(now);
        return served > 0 ? one.served_fraction(now) / served : 1;
    }

    /*! @brief Returns the part of its reserve that a rank leaves free. */
    [[nodiscard]] double rise(double ratio) const
    {
        return std::clamp((ratio - options.least_served_ratio) /
                              options.served_ratio_range,
                          0.0, 1.0);
    }

    static constexpr double ms_per_second = 1000;

    slot_reserve_options options;
    counts all;
    std::map<request_rank, counts> ranks;
};

} // namespace coursejunction

#endif
