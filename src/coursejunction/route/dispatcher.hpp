/*! @file
 * @brief Decides for each request whether it is sent, waits or is refused;
 * pure. Entries ask it for every arrival and again while a request waits.
 *
 * Load pattern: any, from a lone request to hours in which more is asked for
 * than the upstreams can end. `admission` says what an upstream must be able
 * to do for a request, `placer` finds the one that does it best.
 */
#ifndef COURSEJUNCTION_ROUTE_DISPATCHER_HPP
#define COURSEJUNCTION_ROUTE_DISPATCHER_HPP

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "coursejunction/route/admission.hpp"
#include "coursejunction/route/placement.hpp"
#include "coursejunction/route/retry_detector.hpp"
#include "coursejunction/route/upstream_registry.hpp"
#include "coursejunction/route/urgency.hpp"

namespace coursejunction
{

/*! @brief Times of the decisions, with where they come from. */
struct dispatch_options
{
    /*! @brief Part of the target for which a request may wait for a place: of
     * 400 ms one interval of load reports, by which a place that comes free is
     * known. Longer waits serve nobody more. */
    double wait_fraction{0.125};
    /*! @brief A stream that goes on waits for as long as its caller bears the
     * pause; the longest pause that counts as in time is 400 ms. */
    milliseconds max_stream_pause{900};
    /*! @brief When no upstream is usable at all: times without any lasted 1.3
     * to 6 s, and callers of 6 s wait for 2 s at most. */
    milliseconds no_upstream_retry_after{2000};
    admission_options admission;
};

/*! @brief A request goes to an upstream. */
struct send_to
{
    upstream_choice choice;
    urgency rank{usual_urgency}; /*!< Among those that wait there. */
};

/*! @brief A request waits for a place. */
struct wait_for_slot
{
    placement_failure reason;
};

/*! @brief A request is refused; it has not run. */
struct refuse_request
{
    placement_failure reason;
    milliseconds retry_after{0};
};

/*! @brief What becomes of a request now. */
using dispatch = std::variant<send_to, wait_for_slot, refuse_request>;

/*! @brief The decisions of one entry. */
class dispatcher
{
public:
    dispatcher(const upstream_registry& known, placer choice,
               dispatch_options set)
        : book(known), places(std::move(choice)), options(set)
    {
    }

    /*! @brief Takes a new configuration: what is known of routes that it
     * lacks is forgotten. */
    void configure(const installation& rules)
    {
        std::set<std::string_view> names;
        for (const auto& one : rules.routes)
            names.insert(one.name);
        tries.retain_routes([&](const std::string& name)
                            { return names.count(name) > 0; });
    }

    /*! @brief Notes a request's arrival.
     * @param what Zero when it has nothing by which it is known again.
     * @param deadline What its caller will wait from now on. */
    arrival_state record_arrival(const route_rule& route,
                                 const service_profile& service,
                                 request_fingerprint what,
                                 std::optional<milliseconds> deadline,
                                 time_point now)
    {
        arrival_state made;
        made.history = tries.record_arrival(route.name, what, deadline, now);
        auto& gate = gate_of(service);
        if (!made.is_retry())
            gate.record_arrival(route.first_event_target, now);
        if (service.engine)
            engines.insert(service.name);
        made.late =
            service.engine &&
            gate.misses_target(*service.engine, route.first_event_target,
                               made.history.waited);
        return made;
    }

    /*! @brief Notes that a caller was sent away and may come back, here or at
     * another entry. */
    void record_refusal(const refusal_record& one, time_point now)
    {
        tries.record_refusal(one, now);
    }

    /*! @brief Takes in that another entry sent a caller away. */
    void record_remote_refusal(const refusal_record& one, time_point now)
    {
        tries.record_remote_refusal(one, now);
    }

    /*! @brief Returns callers sent away that other entries were not told of,
     * and takes them for told. */
    [[nodiscard]] std::vector<refusal_record>
    take_unsent_refusals(std::size_t most)
    {
        return tries.take_unsent(most);
    }

    /*! @brief Tells whether other entries were not told of some. */
    [[nodiscard]] bool has_unsent_refusals() const
    {
        return tries.has_unsent();
    }

    /*! @brief Forgets what is over; called now and then. */
    void expire(time_point now) { tries.expire(now); }

    /*! @brief Returns what this entry's callers ask of all engines. */
    [[nodiscard]] request_rates rates(time_point now) const
    {
        request_rates sum;
        for (const auto& name : engines)
        {
            const auto one = gates.at(name).rates(now);
            sum.arrived += one.arrived;
            sum.refused += one.refused;
            sum.demand += one.demand;
        }
        return sum;
    }

    /*! @brief Takes what the other entries' callers ask of all engines. */
    void set_other_entries_rates(const request_rates& told, time_point now)
    {
        constexpr double least_rate = 0.1;
        if (told.refused > least_rate)
            tries.note_other_entries_refusals(now);
        for (const auto& name : engines)
            gates.at(name).set_other_entries_rates(told);
    }

    /*! @brief Decides; a request that waits is asked for again. */
    [[nodiscard]] dispatch decide(const service_profile& service,
                                  placement_request wanted, time_point now)
    {
        auto& gate = gate_of(service);
        if (service.engine)
            wanted.limits = gate.limits(*service.engine, wanted.target,
                                        wanted.arrival.history.waited, now);
        placement_failure why;
        auto found = places.choose(book, service, wanted, now, why);
        if (found)
            return send_to{std::move(*found), rank_of(service, wanted, now)};
        const auto waits_until = wanted.waiting_since + longest_wait(wanted);
        const bool in_vain =
            why.next_send_at && *why.next_send_at > waits_until;
        if (now < waits_until && !in_vain)
            return wait_for_slot{why};
        if (!wanted.arrival.is_retry())
            gate.record_refusal(now);
        return refuse_request{why, retry_after(gate, why, wanted, now)};
    }

private:
    admission& gate_of(const service_profile& service)
    {
        return gates.try_emplace(service.name, options.admission).first->second;
    }

    [[nodiscard]] std::chrono::microseconds
    longest_wait(const placement_request& wanted) const
    {
        if (wanted.bypasses_limits)
            return options.max_stream_pause;
        constexpr double microseconds = 1000;
        return std::chrono::microseconds(static_cast<std::int64_t>(
            static_cast<double>(wanted.target.count()) * options.wait_fraction *
            microseconds));
    }

    [[nodiscard]] static urgency rank_of(const service_profile& service,
                                         const placement_request& wanted,
                                         time_point now)
    {
        if (wanted.bypasses_limits)
            return stream_urgency;
        if (!service.engine)
            return usual_urgency;
        if (wanted.arrival.late)
            return late_urgency;
        const auto gone = std::chrono::duration_cast<milliseconds>(
            now - wanted.waiting_since + wanted.arrival.history.waited);
        return urgency_of(wanted.target - gone);
    }

    [[nodiscard]] milliseconds retry_after(const admission& gate,
                                           const placement_failure& why,
                                           const placement_request& wanted,
                                           time_point now) const
    {
        if (why.usable == 0)
            return none_usable_until(why, now);
        const auto left =
            std::chrono::duration_cast<milliseconds>(wanted.deadline - now);
        return gate.retry_after(left, now);
    }

    /*! @brief Returns the wait of a caller that no upstream could serve. Where
     * only other entries may send, the next one may do so. */
    [[nodiscard]] milliseconds none_usable_until(const placement_failure& why,
                                                 time_point now) const
    {
        if (!why.next_send_at || *why.next_send_at == time_point::max())
            return options.no_upstream_retry_after;
        return std::max(
            std::chrono::ceil<milliseconds>(*why.next_send_at - now),
            options.admission.min_retry_after);
    }

    const upstream_registry& book;
    placer places;
    dispatch_options options;
    retry_detector tries;
    std::map<service_name, admission> gates;
    std::set<service_name> engines; /*!< Services of them that have engines. */
};

} // namespace coursejunction

#endif
