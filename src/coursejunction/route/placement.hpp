/*! @file
 * @brief Selects the upstream that a request is sent to, or reports why there
 * is none; pure. To find out why a request went to an upstream, or why it was
 * refused, start here.
 */
#ifndef COURSEJUNCTION_ROUTE_PLACEMENT_HPP
#define COURSEJUNCTION_ROUTE_PLACEMENT_HPP

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coursejunction/core/rendezvous.hpp"
#include "coursejunction/route/admission.hpp"
#include "coursejunction/route/connection_share.hpp"
#include "coursejunction/route/organisation_decision.hpp"
#include "coursejunction/route/region_restriction.hpp"
#include "coursejunction/route/retry_detector.hpp"
#include "coursejunction/route/upstream_choice.hpp"
#include "coursejunction/route/upstream_registry.hpp"

namespace coursejunction
{

/*! @brief Parameters of the choice: costs in ms that are added to the predicted
 * time to the first event, and limits. */
struct placement_options
{
    /*! @brief Cost of an upstream in another hall: the round trip to it, and
     * the traffic between regions, which the platform prices highest. */
    double other_hall_ms{60};
    /*! @brief Range of the fixed cost that differs by entry and upstream, so
     * that entries that learn of a free upstream at the same time do not all
     * choose it. */
    double spread_ms{60};
    /*! @brief Scale of the softmax by which other entries are expected to
     * choose: an upstream predicted this much faster is chosen e times as
     * often. About half of `spread_ms`. */
    double softmax_scale_ms{40};
    /*! @brief Cost of an upstream all of whose attempts failed recently; less
     * in proportion. */
    double failure_ms{600};
    /*! @brief Cost of an upstream that is not heard: it may be suspended, and a
     * request that waits there is lost. Half of a 400 ms target. */
    double silent_ms{200};
    /*! @brief Cost of an engine outside this entry's share. An entry knows the
     * load of an engine best if it sent most of the requests there. */
    double unowned_ms{150};
    /*! @brief Largest number of requests that may wait at a plain upstream (one
     * without an engine model) beyond its slots. */
    double max_plain_queue{4};
    /*! @brief The region of each hall. */
    std::map<hall_id, region_id> hall_regions;
};

/*! @brief What is known of a request when it arrives. */
struct arrival_state
{
    client_history history;
    bool late{false};      /*!< It can no longer meet its target. */
    bool returning{false}; /*!< Its client was told to return at this time. */
    request_rank rank;
    organisation_decision share;

    /*! @brief Returns whether it is late though its client was not told to
     * return now. */
    [[nodiscard]] bool is_unexpected() const { return late && !returning; }

    /*! @brief Returns whether it is a client retry. */
    [[nodiscard]] bool is_retry() const
    {
        return history.known_by != retry_evidence::none;
    }
};

/*! @brief A request to place, with its constraints. */
struct placement_request
{
    service_name service;
    std::string model;            /*!< Empty for services without a model. */
    std::uint64_t min_version{0}; /*!< Lowest version of the weights allowed. */
    double prompt_tokens{0};
    /*! @brief Predicts with the current pace of each upstream (see `pace_of()`)
     * in place of its long-term lateness. */
    bool uses_pace{false};
    milliseconds target{0};
    arrival_state arrival;
    time_point waiting_since{}; /*!< Arrival, or the end of the last attempt. */
    time_point deadline{};      /*!< Deadline of the client. */
    admission_limits limits;
    /*! @brief Ignores `limits`, but not the terms of an upstream; set to resume
     * a stream. */
    bool bypasses_limits{false};
    std::vector<instance_id> excluded;
    std::vector<instance_id> avoided; /*!< Used only as a last resort. */
    /*! @brief The last attempt ended with an error response of the upstream: if
     * nothing else is usable, an excluded upstream may be used again. */
    bool may_reuse_excluded{false};
    region_restriction regions; /*!< Where it may be served. */
};

/*! @brief Selects among the upstreams of a registry. */
class placer
{
public:
    placer(placement_options configured, hall_id home_hall, std::string self)
        : weights(std::move(configured)), own_hall(std::move(home_hall)),
          own_address(std::move(self))
    {
    }

    /*! @brief Returns the best upstream, or nothing with the reason in
     * `failure`. */
    [[nodiscard]] std::optional<upstream_choice>
    choose(const upstream_registry& registry, const service_profile& service,
           const placement_request& request, time_point now,
           placement_failure& failure) const
    {
        if (!request.avoided.empty())
        {
            auto preferred = request;
            preferred.avoided.clear();
            preferred.may_reuse_excluded = false;
            preferred.excluded.insert(preferred.excluded.end(),
                                      request.avoided.begin(),
                                      request.avoided.end());
            if (auto found = choose(registry, service, preferred, now, failure))
                return found;
        }
        std::optional<upstream_choice> best;
        double least_cost = 0;
        failure = {};
        failure.evacuated_halls = registry.evacuations().size();
        failure.reserve = request.limits.reserved;
        auto all = candidates(registry, service, request, now);
        if (all.empty() && request.may_reuse_excluded)
        {
            auto relaxed = request;
            relaxed.excluded.clear();
            all = candidates(registry, service, relaxed, now);
        }
        if (all.empty())
        {
            failure.next_send_at = earliest_send_at(registry, request, now);
            failure.no_allowed_upstream =
                regions_have_no_upstream(registry, request);
        }
        const auto rates = other_entries_rates(registry, service, all, now);
        for (std::size_t index = 0; index < all.size(); ++index)
        {
            const auto& upstream = *all[index].upstream;
            // Without requests expected from other entries the first prediction
            // is valid.
            const bool recompute = service.engine && rates[index] > 0;
            const auto load = recompute
                                  ? registry.load(upstream, *service.engine,
                                                  now, rates[index])
                                  : all[index].load;
            const auto predicted =
                recompute ? predict(registry, upstream, *service.engine, load,
                                    request, now)
                          : all[index].predicted_ms;
            failure.least_ms = failure.usable == 0
                                   ? predicted
                                   : std::min(failure.least_ms, predicted);
            ++failure.usable;
            if (!fits(upstream, service, request, load, predicted))
                continue;
            if (load.running + load.waiting >
                request.limits.unreserved_in_flight)
            {
                failure.reserved = true;
                continue;
            }
            const auto cost = predicted + penalty(upstream, now);
            if (best && cost >= least_cost)
                continue;
            least_cost = cost;
            // Times of upstreams without an engine model are not corrected.
            const auto uncorrected =
                request.uses_pace && !service.engine
                    ? predicted
                    : predicted /
                          correction(registry, upstream, load, request, now);
            best = upstream_choice{upstream.record.id,
                                   upstream.record.hall,
                                   upstream.record.address,
                                   predicted,
                                   uncorrected,
                                   request.model.empty()
                                       ? 0
                                       : upstream_registry::served_version(
                                             upstream, request.model, now),
                                   load,
                                   failure.evacuated_halls};
        }
        if (!best)
            failure.held_back = held_back(registry, request, now);
        return best;
    }

private:
    /*! @brief Returns when the first upstream accepts a request again if all of
     * them limit or pause this entry, the maximum if all are in evacuated
     * halls; nothing if another one may become usable at any time. */
    [[nodiscard]] std::optional<time_point>
    earliest_send_at(const upstream_registry& registry,
                     const placement_request& request, time_point now) const
    {
        std::optional<time_point> soonest;
        for (const auto& [id, upstream] : registry.all())
        {
            if (upstream.record.service != request.service ||
                upstream.leaving() || excluded(upstream, request) ||
                !in_allowed_region(upstream, request))
                continue;
            const auto send_at = upstream.evacuated
                                     ? time_point::max()
                                     : upstream.next_send_at(now);
            if (send_at <= now)
                return std::nullopt;
            soonest = std::min(soonest.value_or(send_at), send_at);
        }
        return soonest;
    }

    /*! @brief Returns whether a request is restricted to regions without an
     * upstream that could take it, now or later. */
    [[nodiscard]] bool
    regions_have_no_upstream(const upstream_registry& registry,
                             const placement_request& request) const
    {
        const auto may_take = [&](const known_upstream& upstream)
        {
            return upstream.record.service == request.service &&
                   upstream.accepts_requests() &&
                   in_allowed_region(upstream, request) &&
                   (request.may_reuse_excluded || !excluded(upstream, request));
        };
        return request.regions.is_active() &&
               std::none_of(registry.all().begin(), registry.all().end(),
                            [&](const auto& item)
                            { return may_take(item.second); });
    }

    [[nodiscard]] bool in_allowed_region(const known_upstream& upstream,
                                         const placement_request& request) const
    {
        return request.regions.allows(upstream.record.hall,
                                      weights.hall_regions);
    }

    /*! @brief Returns how many upstreams get no request now only because they
     * are cold. */
    [[nodiscard]] std::size_t held_back(const upstream_registry& registry,
                                        const placement_request& request,
                                        time_point now) const
    {
        const auto& all = registry.all();
        return static_cast<std::size_t>(std::count_if(
            all.begin(), all.end(),
            [&](const auto& item)
            {
                const auto& upstream = item.second;
                return upstream.cold.active(now) &&
                       upstream.record.service == request.service &&
                       upstream.accepts_requests() &&
                       in_allowed_region(upstream, request) &&
                       !excluded(upstream, request) &&
                       upstream.terms.next_send_at() <= now &&
                       now < upstream.next_send_at(now);
            }));
    }

    [[nodiscard]] static bool excluded(const known_upstream& upstream,
                                       const placement_request& request)
    {
        return std::find(request.excluded.begin(), request.excluded.end(),
                         upstream.record.id) != request.excluded.end();
    }

    [[nodiscard]] bool usable(const known_upstream& upstream,
                              const placement_request& request,
                              time_point now) const
    {
        if (upstream.record.service != request.service ||
            !upstream.accepts_requests() || now < upstream.avoid_until ||
            now < upstream.next_send_at(now))
            return false;
        if (excluded(upstream, request) ||
            !in_allowed_region(upstream, request))
            return false;
        if (request.model.empty())
            return true;
        const auto version =
            upstream_registry::open_version(upstream, request.model, now);
        return version > 0 && version >= request.min_version;
    }

    /*! @brief Returns whether an upstream that is not heard gets no request: a
     * suspended instance keeps what it receives, and runs it when its caller
     * has left. The entries to whose share it belongs send one request at a
     * time and at most one a second, as it may be only its sidecar that is not
     * heard. */
    [[nodiscard]] static bool withheld(const known_upstream& upstream,
                                       time_point now)
    {
        if (!upstream_registry::is_unheard(upstream, now))
            return false;
        return upstream.share <= 0 || !upstream.attempts.empty() ||
               now - upstream.last_sent_at <=
                   upstream_registry::status_validity ||
               !upstream.status->open || !upstream.status->reachable;
    }

    /*! @brief A usable upstream with its load and prediction. */
    struct candidate
    {
        const known_upstream* upstream{nullptr};
        engine_load load;
        double predicted_ms{0};
    };

    [[nodiscard]] std::vector<candidate>
    candidates(const upstream_registry& registry,
               const service_profile& service, const placement_request& request,
               time_point now) const
    {
        std::vector<candidate> all;
        const auto connections =
            connection_share(service.max_connections, registry.entry_count());
        // An entry that hears none of them may be the one that is cut off.
        const bool hears_others = registry.hears_any_of(request.service, now);
        for (const auto& [id, upstream] : registry.all())
        {
            if (!usable(upstream, request, now) ||
                (hears_others && withheld(upstream, now)) ||
                (connections > 0 && upstream.attempts.size() >= connections))
                continue;
            const auto load =
                service.engine ? registry.load(upstream, *service.engine, now)
                               : engine_load{};
            const auto predicted =
                service.engine ? predict(registry, upstream, *service.engine,
                                         load, request, now)
                               : plain_ms(upstream, request);
            all.push_back({&upstream, load, predicted});
        }
        return all;
    }

    /*! @brief Returns the requests a second that other entries are expected to
     * send to each candidate beyond an equal share of theirs. Like this entry
     * they prefer the fastest prediction. Without this estimate all entries
     * choose an upstream that has just opened before its load report shows the
     * requests of the others. */
    [[nodiscard]] std::vector<double>
    other_entries_rates(const upstream_registry& registry,
                        const service_profile& service,
                        const std::vector<candidate>& all, time_point now) const
    {
        std::vector<double> rates(all.size(), 0.0);
        if (!service.engine || all.empty())
            return rates;
        const auto soonest =
            std::min_element(all.begin(), all.end(),
                             [](const candidate& a, const candidate& b)
                             { return a.predicted_ms < b.predicted_ms; })
                ->predicted_ms;
        double sum = 0;
        for (std::size_t index = 0; index < all.size(); ++index)
        {
            // Where this entry holds a share of a rate limit the others do not
            // send.
            if (all[index].upstream->terms.limit())
                continue;
            rates[index] = std::exp((soonest - all[index].predicted_ms) /
                                    weights.softmax_scale_ms);
            sum += rates[index];
        }
        const auto total = registry.other_entries_rate(now);
        const auto equal = total / static_cast<double>(all.size());
        for (std::size_t index = 0; index < all.size(); ++index)
        {
            auto& rate = rates[index];
            rate = sum > 0 ? std::max(0.0, rate / sum * total - equal) : 0.0;
            const auto& cold = all[index].upstream->cold;
            if (cold.active(now))
                rate = std::min(rate, cold.per_second());
        }
        return rates;
    }

    /*! @brief Returns the factor that corrects the prediction for a load. It
     * is due to recent first events that were later than predicted. */
    [[nodiscard]] static double correction(const upstream_registry& registry,
                                           const known_upstream& upstream,
                                           const engine_load& load,
                                           const placement_request& request,
                                           time_point now)
    {
        if (!request.uses_pace)
            return std::max(upstream.lateness, registry.lateness());
        // The prediction contains the reported pace already.
        return std::max(pace_of(upstream, now), registry.lateness()) /
               std::max(load.pace, 1.0);
    }

    [[nodiscard]] static double
    predict(const upstream_registry& registry, const known_upstream& upstream,
            const engine_profile& engine, const engine_load& load,
            const placement_request& request, time_point now)
    {
        return first_event_ms(engine, load, request.prompt_tokens) *
               correction(registry, upstream, load, request, now);
    }

    /*! @brief Returns the estimate in ms for an upstream without an engine
     * model: a request takes a quarter of its target if there are no others,
     * and longer in proportion to the requests per slot. */
    [[nodiscard]] static double plain_ms(const known_upstream& upstream,
                                         const placement_request& request)
    {
        const auto in_flight = static_cast<double>(upstream.attempts.size());
        const auto slots = static_cast<double>(
            std::max<std::size_t>(upstream.record.slots, 1));
        const auto typical_ms = static_cast<double>(request.target.count()) / 4;
        return typical_ms * (1 + in_flight / slots);
    }

    [[nodiscard]] bool fits(const known_upstream& upstream,
                            const service_profile& service,
                            const placement_request& request,
                            const engine_load& load, double predicted) const
    {
        if (request.bypasses_limits)
            return true;
        if (service.engine)
        {
            const auto& limits = request.limits;
            const auto typical_ms =
                predicted - prefill_ms(*service.engine, request.prompt_tokens) +
                prefill_ms(*service.engine,
                           service.engine->typical_prompt_tokens);
            return predicted <= limits.first_event_ms &&
                   typical_ms <= limits.typical_first_event_ms &&
                   load.running + load.waiting <= limits.max_in_flight &&
                   (!limits.own_share_only ||
                    within_share(upstream, service, limits.share_excess) ||
                    load.running + load.waiting + 1 <=
                        static_cast<double>(service.engine->slots) *
                            limits.unowned_fraction);
        }
        return static_cast<double>(upstream.attempts.size()) <
               static_cast<double>(upstream.record.slots) +
                   weights.max_plain_queue;
    }

    /*! @brief Returns whether a slot of this entry's share of the engine is
     * free. A slot that two entries share in part counts for both. */
    [[nodiscard]] static bool within_share(const known_upstream& upstream,
                                           const service_profile& service,
                                           double excess)
    {
        return upstream.share > 0 &&
               static_cast<double>(upstream.attempts.size()) <=
                   static_cast<double>(service.engine->slots) * upstream.share +
                       excess;
    }

    [[nodiscard]] double penalty(const known_upstream& upstream,
                                 time_point now) const
    {
        constexpr double range = 1024;
        const auto position =
            static_cast<double>(
                rendezvous_weight(own_address, upstream.record.id.value()) %
                static_cast<std::uint64_t>(range)) /
            range;
        auto cost = position * weights.spread_ms +
                    (1 - upstream.share) * weights.unowned_ms +
                    upstream.fault_share * weights.failure_ms;
        if (upstream.record.hall != own_hall)
            cost += weights.other_hall_ms;
        if (upstream_registry::is_unheard(upstream, now))
            cost += weights.silent_ms;
        return cost;
    }

    placement_options weights;
    hall_id own_hall;
    std::string own_address;
};

} // namespace coursejunction

#endif
