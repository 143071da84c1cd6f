/*! @file
 * @brief Decides for each request whether it is sent, waits or is refused;
 * pure. Entries call it for every request that arrives, and again while a
 * request waits.
 * Load pattern: any, from a single request to hours of overload. `admission`
 * sets the limits within which an upstream may accept a request, `placer`
 * selects the best upstream within them.
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
#include "coursejunction/route/organisation_limits.hpp"
#include "coursejunction/route/placement.hpp"
#include "coursejunction/route/priority.hpp"
#include "coursejunction/route/retry_detector.hpp"
#include "coursejunction/route/returning_callers.hpp"
#include "coursejunction/route/slot_reserve.hpp"
#include "coursejunction/route/upstream_registry.hpp"
#include "coursejunction/route/urgency.hpp"

namespace coursejunction
{

/*! @brief Durations that the decisions use. */
struct dispatch_options
{
    /*! @brief Fraction of the target for which a request may wait for a slot.
     * Of a target of 400 ms this is one interval between load reports, after
     * which a slot that became free is known. Longer waits do not serve more
     * requests. */
    double wait_fraction{0.125};
    /*! @brief How long a stream that must be resumed waits for a slot: as long
     * as its client tolerates the pause. Pauses up to 400 ms still count as in
     * time. */
    milliseconds max_stream_pause{900};
    /*! @brief Retry-After where no upstream is usable at all. Times without a
     * usable upstream last 1.3 to 6 s, and clients with a deadline of 6 s wait
     * 2 s at most. */
    milliseconds no_upstream_retry_after{2000};
    admission_options admission;
    slot_reserve_options reserve;
    returning_options returning;
};

/*! @brief What requests of one rank leave free, for the metrics. */
struct rank_reserve
{
    service_name service;
    request_rank rank;
    reserved_slots reserved;
};

/*! @brief The request is sent to an upstream. */
struct send_to
{
    upstream_choice choice;
    urgency rank{usual_urgency}; /*!< Its order among the requests that wait at
                                    the upstream. */
};

/*! @brief The request waits for a slot; ask again later. */
struct wait_for_slot
{
    placement_failure reason;
};

/*! @brief The request is refused; no upstream has received it. */
struct refuse_request
{
    placement_failure reason;
    milliseconds retry_after{0};
};

/*! @brief The decision for one request. */
using dispatch = std::variant<send_to, wait_for_slot, refuse_request>;

/*! @brief Decides for all requests of one entry. */
class dispatcher
{
public:
    dispatcher(const upstream_registry& upstreams, placer selector,
               dispatch_options configured)
        : registry(upstreams), placement(std::move(selector)),
          options(configured)
    {
        options.returning.min_retry_after = options.admission.min_retry_after;
        options.returning.retry_deadline_fraction =
            options.admission.retry_deadline_fraction;
    }

    /*! @brief Applies a new configuration: drops the state of routes that it
     * does not contain. */
    void configure(const installation& rules)
    {
        std::set<std::string_view> route_names;
        for (const auto& route : rules.routes)
            route_names.insert(route.name);
        client_retries.retain_routes([&](const std::string& name)
                                     { return route_names.count(name) > 0; });
        shares.configure(rules);
        rank_orders.clear();
        for (const auto& [name, service] : rules.services)
            if (service.engine)
                rank_orders[name] = rank_order::of(rules, name);
    }

    /*! @brief Records the arrival of a request.
     * @param fingerprint Zero when the request has nothing by which a client
     * retry could be recognised.
     * @param deadline How long the client waits from its arrival on.
     * @param owner Owner of its API key; null if it has none.
     * @param age How long ago it arrived. */
    arrival_state record_arrival(const route_rule& route,
                                 const service_profile& service,
                                 request_fingerprint fingerprint,
                                 std::optional<milliseconds> deadline,
                                 time_point now,
                                 const organisation* owner = nullptr,
                                 time_point::duration age = {})
    {
        arrival_state state;
        state.rank = rank_of(owner, route);
        state.history = client_retries.record_arrival(route.name, fingerprint,
                                                      deadline, now - age);
        auto& control = admission_of(service);
        state.share =
            shares.record_arrival(service.name, owner, state.is_retry(), now);
        state.returning =
            state.is_retry() &&
            returns_in_time(state.history.waited, deadline, options.returning);
        // What is refused at once is no load of the engines.
        if (!state.is_retry() && !state.share.beyond)
        {
            control.record_arrival(route.first_event_target, now, state.rank);
            if (service.engine)
                reserve_of(service).record_arrival(state.rank, now);
        }
        if (service.engine)
            engine_services.insert(service.name);
        state.late =
            service.engine &&
            control.misses_target(*service.engine, route.first_event_target,
                                  state.history.waited);
        return state;
    }

    /*! @brief Records that a client was refused and may retry, here or at
     * another entry. */
    void record_refusal(const refusal_record& refusal, time_point now)
    {
        client_retries.record_refusal(refusal, now);
    }

    /*! @brief Records a refusal that another entry reported. */
    void record_remote_refusal(const refusal_record& refusal, time_point now)
    {
        client_retries.record_remote_refusal(refusal, now);
    }

    /*! @brief Returns refusals not yet sent to the other entries, and marks
     * them as sent. */
    [[nodiscard]] std::vector<refusal_record>
    take_unsent_refusals(std::size_t max_count)
    {
        return client_retries.take_unsent(max_count);
    }

    /*! @brief Returns whether there are refusals not yet sent to the other
     * entries. */
    [[nodiscard]] bool has_unsent_refusals() const
    {
        return client_retries.has_unsent();
    }

    /*! @brief Drops expired state; called periodically. */
    void expire(time_point now)
    {
        client_retries.expire(now);
        shares.update(now);
    }

    /*! @brief Returns the shares of organisations. */
    [[nodiscard]] organisation_limits& organisations() { return shares; }
    [[nodiscard]] const organisation_limits& organisations() const
    {
        return shares;
    }

    /*! @brief Returns the rates of this entry's requests for all services that
     * run on engines. */
    [[nodiscard]] request_rates rates(time_point now) const
    {
        request_rates sum;
        for (const auto& name : engine_services)
        {
            const auto rates = admissions.at(name).rates(now);
            sum.arrived += rates.arrived;
            sum.refused += rates.refused;
            sum.demand += rates.demand;
        }
        return sum;
    }

    /*! @brief Sets the rates of requests for engine services at all other
     * entries together. */
    void set_other_entries_rates(const request_rates& reported, time_point now)
    {
        rates_set_at = now;
        constexpr double min_refused_per_second = 0.1;
        if (reported.refused > min_refused_per_second)
            client_retries.note_other_entries_refusals(now);
        for (const auto& name : engine_services)
            admissions.at(name).set_other_entries_rates(reported);
    }

    /*! @brief Returns what each rank leaves free. Nothing for a service all of
     * whose requests have one rank. */
    [[nodiscard]] std::vector<rank_reserve>
    reserves_by_rank(const installation& rules, time_point now) const
    {
        std::vector<rank_reserve> all;
        for (const auto& [name, order] : rank_orders)
        {
            const auto* service = rules.service(name);
            const auto reserve = reserves.find(name);
            if (service == nullptr || order.size() < 2 ||
                reserve == reserves.end())
                continue;
            const auto degree = admissions.at(name).overload_degree(now);
            const auto scale = scale_of(*service, now);
            for (const auto& rank : order.all())
            {
                auto reserved =
                    reserve->second.reserve(*service->engine, rank, scale, now);
                reserved.degree = degree;
                all.push_back({name, rank, reserved});
            }
        }
        return all;
    }

    /*! @brief Decides what to do with a request; called again while it waits.
     */
    [[nodiscard]] dispatch decide(const service_profile& service,
                                  placement_request request, time_point now)
    {
        auto& control = admission_of(service);
        if (request.arrival.share.beyond)
            return refuse_request{
                {},
                control.retry_after(std::chrono::duration_cast<milliseconds>(
                                        request.deadline - now),
                                    now)};
        if (service.engine)
            request.limits = limits(service, request, now);
        placement_failure failure;
        auto found = placement.choose(registry, service, request, now, failure);
        if (found)
            return send_to{std::move(*found),
                           urgency_for(service, request, now)};
        const auto wait_deadline = request.waiting_since + max_wait(request);
        const bool next_send_too_late =
            failure.next_send_at && *failure.next_send_at > wait_deadline;
        if (now < wait_deadline && !next_send_too_late &&
            !failure.no_allowed_upstream)
            return wait_for_slot{failure};
        // A refusal for lack of an upstream in the allowed regions is no sign
        // of overload, and must not tighten the limits of other requests.
        if (!request.arrival.is_retry() && !failure.no_allowed_upstream)
        {
            control.record_refusal(now);
            if (service.engine)
                reserve_of(service).record_refusal(request.arrival.rank, now);
            shares.record_refusal(service.name, request.arrival.share, now);
        }
        return refuse_request{failure,
                              retry_after(control, failure, request, now)};
    }

    /*! @brief Returns an upstream that can take a request now, which is already
     * at another one. Finding none is not counted as a refusal. */
    [[nodiscard]] std::optional<send_to>
    find_upstream(const service_profile& service, placement_request request,
                  time_point now)
    {
        if (service.engine)
            request.limits = limits(service, request, now);
        placement_failure failure;
        auto found = placement.choose(registry, service, request, now, failure);
        if (!found)
            return std::nullopt;
        return send_to{std::move(*found), urgency_for(service, request, now)};
    }

    /*! @brief Returns the degree of overload of a service, 0 to 1. */
    [[nodiscard]] double overload_degree(const service_profile& service,
                                         time_point now)
    {
        return admission_of(service).overload_degree(now);
    }

    /*! @brief Returns an upstream with capacity to spare for a second copy of a
     * request: it has a free slot, of this entry's share unless less than
     * `max_fill` of its slots are in use.
     * @param max_ms Largest predicted time to the first event. */
    [[nodiscard]] std::optional<send_to>
    find_spare_upstream(const service_profile& service,
                        placement_request request, double max_ms,
                        double max_fill, time_point now)
    {
        if (service.engine)
        {
            request.limits = admission_of(service).limits(
                *service.engine, request.target, request.arrival.history.waited,
                now);
            auto& limits = request.limits;
            limits.first_event_ms = std::min(limits.first_event_ms, max_ms);
            limits.max_in_flight =
                std::min(limits.max_in_flight,
                         static_cast<double>(service.engine->slots) - 1);
            limits.own_share_only = true;
            limits.unowned_fraction = max_fill;
        }
        placement_failure failure;
        auto found = placement.choose(registry, service, request, now, failure);
        if (!found || found->predicted_ms > max_ms)
            return std::nullopt;
        const auto* known = registry.find(found->upstream);
        if (!service.engine && known->attempts.size() >= known->record.slots)
            return std::nullopt;
        return send_to{std::move(*found), urgency_for(service, request, now)};
    }

private:
    slot_reserve& reserve_of(const service_profile& service)
    {
        return reserves.try_emplace(service.name, options.reserve)
            .first->second;
    }

    /*! @brief Returns the limits within which an engine may accept a request.
     */
    [[nodiscard]] admission_limits limits(const service_profile& service,
                                          const placement_request& request,
                                          time_point now)
    {
        const auto& engine = *service.engine;
        const auto& control = admission_of(service);
        const auto& rank = request.arrival.rank;
        auto result = control.limits(engine, request.target,
                                     request.arrival.history.waited, now, rank,
                                     request.arrival.returning);
        const auto degree = control.overload_degree(now);
        if (degree <= 0 || request.bypasses_limits)
            return result;
        const auto& reserve = reserve_of(service);
        auto reserved =
            reserve.reserve(engine, rank, scale_of(service, now), now);
        reserved.degree = degree;
        reserved.rates_age_ms = to_seconds(now - rates_set_at) * ms_per_second;
        return reserve.restrict(result, engine, reserved);
    }

    /*! @brief Returns how this entry's requests for a service relate to those
     * of all entries, which report them for all services that run on engines
     * together. */
    [[nodiscard]] service_scale scale_of(const service_profile& service,
                                         time_point now) const
    {
        service_scale scale;
        const auto own = rates(now).arrived;
        if (own > 0)
            scale.entries =
                (own + admissions.at(service.name).other_entries_arrived()) /
                own;
        scale.engines = static_cast<std::size_t>(std::count_if(
            registry.all().begin(), registry.all().end(),
            [&](const auto& item)
            {
                return item.second.record.service == service.name &&
                       !item.second.leaving();
            }));
        return scale;
    }

    admission& admission_of(const service_profile& service)
    {
        return admissions.try_emplace(service.name, options.admission)
            .first->second;
    }

    [[nodiscard]] std::chrono::microseconds
    max_wait(const placement_request& request) const
    {
        if (request.bypasses_limits)
            return options.max_stream_pause;
        constexpr double microseconds_per_ms = 1000;
        return std::chrono::microseconds(static_cast<std::int64_t>(
            static_cast<double>(request.target.count()) *
            options.wait_fraction * microseconds_per_ms));
    }

    [[nodiscard]] urgency urgency_for(const service_profile& service,
                                      const placement_request& request,
                                      time_point now) const
    {
        if (request.bypasses_limits)
            return stream_urgency;
        if (!service.engine)
            return usual_urgency;
        const auto order = rank_orders.find(service.name);
        const auto range = order == rank_orders.end()
                               ? urgency_range{}
                               : range_of(order->second, request.arrival.rank);
        if (request.arrival.late)
            return late_urgency(range);
        const auto elapsed = std::chrono::duration_cast<milliseconds>(
            now - request.waiting_since + request.arrival.history.waited);
        return urgency_of(request.target - elapsed, range);
    }

    [[nodiscard]] milliseconds retry_after(const admission& control,
                                           const placement_failure& failure,
                                           const placement_request& request,
                                           time_point now) const
    {
        if (failure.usable == 0)
            return retry_after_outage(failure, now);
        const auto left =
            std::chrono::duration_cast<milliseconds>(request.deadline - now);
        return control.retry_after(left, now);
    }

    /*! @brief Returns the Retry-After of a client that no upstream could serve:
     * until this entry may send to one again. If it may send to none of them,
     * returns the fixed time, as the retry may reach an entry that may. */
    [[nodiscard]] milliseconds
    retry_after_outage(const placement_failure& failure, time_point now) const
    {
        if (!failure.next_send_at || *failure.next_send_at == time_point::max())
            return options.no_upstream_retry_after;
        return std::max(
            std::chrono::ceil<milliseconds>(*failure.next_send_at - now),
            options.admission.min_retry_after);
    }

    static constexpr double ms_per_second = 1000;

    const upstream_registry& registry;
    placer placement;
    dispatch_options options;
    retry_detector client_retries;
    organisation_limits shares;
    std::map<service_name, admission> admissions;
    time_point rates_set_at{};
    std::map<service_name, slot_reserve> reserves; /*!< Of `engine_services`. */
    std::map<service_name, rank_order> rank_orders;
    std::set<service_name> engine_services; /*!< Those run by engines. */
};

} // namespace coursejunction

#endif
