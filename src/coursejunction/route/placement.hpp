/*! @file
 * @brief Decides which upstream a request goes to, or that none takes it now;
 * pure. "Why did this request go there" and "why was it refused" end here.
 */
#ifndef COURSEJUNCTION_ROUTE_PLACEMENT_HPP
#define COURSEJUNCTION_ROUTE_PLACEMENT_HPP

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coursejunction/core/rendezvous.hpp"
#include "coursejunction/route/admission.hpp"
#include "coursejunction/route/retry_detector.hpp"
#include "coursejunction/route/upstream_choice.hpp"
#include "coursejunction/route/upstream_registry.hpp"

namespace coursejunction
{

/*! @brief Weights of the choice, in ms of a first event. */
struct placement_weights
{
    /*! @brief What another hall costs: its delay there and back, and bytes
     * between regions, which the installations price highest. */
    double other_hall_ms{60};
    /*! @brief Entries prefer different upstreams by up to this much, so that
     * those that learn of a free one at once do not all choose it. */
    double spread_ms{60};
    /*! @brief Upstreams whose predictions differ by this much are e times as
     * likely to be chosen by other entries; about half of `spread_ms`. */
    double softmax_scale_ms{40};
    /*! @brief What a share of failed attempts costs. */
    double failure_ms{600};
    /*! @brief What it costs that an upstream's side is silent: its instance may
     * stand still, and a request that waits there is lost. Half a target. */
    double silent_ms{200};
    /*! @brief What an engine costs that is no part of this entry's share: where
     * an entry has sent most of what is inside, it knows best what is. */
    double unowned_ms{150};
    /*! @brief Requests a plain upstream may have waiting beyond its slots. */
    double max_plain_queue{4};
};

/*! @brief How a request stands to its target when it arrives. */
struct arrival_state
{
    caller_history history;
    bool late{false}; /*!< It can't be in time any more. */

    /*! @brief Tells whether its caller tried before. */
    [[nodiscard]] bool is_retry() const
    {
        return history.known_by != retry_evidence::none;
    }
};

/*! @brief What is to be placed. */
struct placement_request
{
    service_name service;
    std::string model;            /*!< Empty for plain requests. */
    std::uint64_t min_version{0}; /*!< Older weights may not be used. */
    double prompt_tokens{0};
    milliseconds target{0};
    arrival_state arrival;
    time_point waiting_since{}; /*!< Arrival, or the end of the last attempt. */
    time_point deadline{};      /*!< Its deadline. */
    admission_limits limits;
    bool bypasses_limits{
        false}; /*!< A stream that goes on: late is better than never. */
    std::vector<instance_id> excluded;
    std::vector<instance_id> avoided; /*!< Used only where no other one fits. */
    /*! @brief The last attempt was answered with the upstream's own failure:
     * where nothing else is usable, an excluded one may take it again. */
    bool may_retry_excluded{false};
};

/*! @brief Chooses among the upstreams of a book. */
class placer
{
public:
    placer(placement_weights set, hall_id home, std::string self)
        : weights(set), hall(std::move(home)), own(std::move(self))
    {
    }

    /*! @brief Returns a place, or nothing with the reason in `why`. */
    [[nodiscard]] std::optional<upstream_choice>
    choose(const upstream_registry& book, const service_profile& service,
           const placement_request& request, time_point now,
           placement_failure& why) const
    {
        if (!request.avoided.empty())
        {
            auto others = request;
            others.avoided.clear();
            others.may_retry_excluded = false;
            others.excluded.insert(others.excluded.end(),
                                   request.avoided.begin(),
                                   request.avoided.end());
            if (auto found = choose(book, service, others, now, why))
                return found;
        }
        std::optional<upstream_choice> best;
        double least_cost = 0;
        why = {};
        auto all = candidates(book, service, request, now);
        if (all.empty() && request.may_retry_excluded)
        {
            auto same = request;
            same.excluded.clear();
            all = candidates(book, service, same, now);
        }
        if (all.empty())
            why.next_send_at = all_closed_until(book, request, now);
        const auto rates = others_rates(book, service, all, now);
        for (std::size_t at = 0; at < all.size(); ++at)
        {
            const auto& one = *all[at].upstream;
            // Nobody else is expected to send here: the first prediction holds.
            const bool again = service.engine && rates[at] > 0;
            const auto load =
                again ? book.load(one, *service.engine, now, rates[at])
                      : all[at].load;
            const auto predicted =
                again ? predict(book, one, *service.engine, load, request)
                      : all[at].predicted_ms;
            why.least_ms =
                why.usable == 0 ? predicted : std::min(why.least_ms, predicted);
            ++why.usable;
            if (!fits(one, service, request, load, predicted))
                continue;
            const auto cost = predicted + penalty(one, now);
            if (best && cost >= least_cost)
                continue;
            least_cost = cost;
            best = upstream_choice{one.record.id,
                                   one.record.hall,
                                   one.record.address,
                                   predicted,
                                   predicted / correction(book, one),
                                   request.model.empty()
                                       ? 0
                                       : upstream_registry::served_version(
                                             one, request.model, now),
                                   load};
        }
        return best;
    }

private:
    /*! @brief Returns when the first upstream takes a request again, where the
     * terms of all keep this entry from sending; otherwise one of them may
     * become usable at any time. */
    [[nodiscard]] static std::optional<time_point>
    all_closed_until(const upstream_registry& book,
                     const placement_request& request, time_point now)
    {
        std::optional<time_point> soonest;
        for (const auto& [id, one] : book.all())
        {
            if (one.record.service != request.service || one.leaving() ||
                excluded(one, request))
                continue;
            const auto opens = one.terms.next_send_at();
            if (opens <= now)
                return std::nullopt;
            soonest = std::min(soonest.value_or(opens), opens);
        }
        return soonest;
    }

    [[nodiscard]] static bool excluded(const known_upstream& one,
                                       const placement_request& request)
    {
        return std::find(request.excluded.begin(), request.excluded.end(),
                         one.record.id) != request.excluded.end();
    }

    [[nodiscard]] static bool usable(const known_upstream& one,
                                     const placement_request& request,
                                     time_point now)
    {
        if (one.record.service != request.service || one.leaving() ||
            now < one.avoid_until || now < one.terms.next_send_at())
            return false;
        if (excluded(one, request))
            return false;
        if (request.model.empty())
            return true;
        const bool told = one.status && now - one.status_at <=
                                            upstream_registry::status_validity;
        if (told && (!one.status->open || !one.status->reachable))
            return false;
        const auto version =
            upstream_registry::served_version(one, request.model, now);
        return version > 0 && version >= request.min_version;
    }

    /*! @brief An upstream that may be used, as its last status tells. */
    struct candidate
    {
        const known_upstream* upstream{nullptr};
        engine_load load;
        double predicted_ms{0};
    };

    [[nodiscard]] static std::vector<candidate>
    candidates(const upstream_registry& book, const service_profile& service,
               const placement_request& request, time_point now)
    {
        std::vector<candidate> all;
        for (const auto& [id, one] : book.all())
        {
            if (!usable(one, request, now))
                continue;
            const auto load = service.engine
                                  ? book.load(one, *service.engine, now)
                                  : engine_load{};
            const auto predicted =
                service.engine
                    ? predict(book, one, *service.engine, load, request)
                    : plain_ms(one, request);
            all.push_back({&one, load, predicted});
        }
        return all;
    }

    /*! @brief Returns the requests a second that other entries are expected to
     * send to each candidate beyond an equal share: they prefer, as this one
     * does, what is predicted soonest. Without this, all entries choose an
     * upstream that has just opened before any of them hears of the others'
     * requests. */
    [[nodiscard]] std::vector<double>
    others_rates(const upstream_registry& book, const service_profile& service,
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
        for (std::size_t at = 0; at < all.size(); ++at)
        {
            // Others keep away from what this entry holds a share of.
            if (all[at].upstream->terms.limit())
                continue;
            rates[at] = std::exp((soonest - all[at].predicted_ms) /
                                 weights.softmax_scale_ms);
            sum += rates[at];
        }
        const auto total = book.other_entries_rate(now);
        const auto equal = total / static_cast<double>(all.size());
        for (auto& one : rates)
            one = sum > 0 ? std::max(0.0, one / sum * total - equal) : 0.0;
        return rates;
    }

    /*! @brief Returns how many times later first events come here lately. */
    [[nodiscard]] static double correction(const upstream_registry& book,
                                           const known_upstream& one)
    {
        return std::max(one.lateness, book.lateness());
    }

    [[nodiscard]] static double predict(const upstream_registry& book,
                                        const known_upstream& one,
                                        const engine_profile& engine,
                                        const engine_load& load,
                                        const placement_request& request)
    {
        return first_event_ms(engine, load, request.prompt_tokens) *
               correction(book, one);
    }

    /*! @brief Returns the ms of a plain upstream: what waits beyond its slots,
     * in units of a request that takes a quarter of its target. */
    [[nodiscard]] static double plain_ms(const known_upstream& one,
                                         const placement_request& request)
    {
        const auto inside = static_cast<double>(one.attempts.size());
        const auto slots =
            static_cast<double>(std::max<std::size_t>(one.record.slots, 1));
        const auto usual = static_cast<double>(request.target.count()) / 4;
        return usual * (1 + inside / slots);
    }

    [[nodiscard]] bool fits(const known_upstream& one,
                            const service_profile& service,
                            const placement_request& request,
                            const engine_load& load, double predicted) const
    {
        if (request.bypasses_limits)
            return true;
        if (service.engine)
        {
            const auto& limits = request.limits;
            const auto usual =
                predicted - prefill_ms(*service.engine, request.prompt_tokens) +
                prefill_ms(*service.engine,
                           service.engine->typical_prompt_tokens);
            return predicted <= limits.first_event_ms &&
                   usual <= limits.typical_first_event_ms &&
                   load.running + load.waiting <= limits.max_in_flight &&
                   (!limits.own_share_only || within_share(one, service) ||
                    load.running + load.waiting + 1 <=
                        static_cast<double>(service.engine->slots) *
                            limits.unowned_fraction);
        }
        return static_cast<double>(one.attempts.size()) <
               static_cast<double>(one.record.slots) + weights.max_plain_queue;
    }

    /*! @brief Tells whether this entry has a place of its own left there; one
     * that two entries share in part is given to both. */
    [[nodiscard]] static bool within_share(const known_upstream& one,
                                           const service_profile& service)
    {
        return one.share > 0 &&
               static_cast<double>(one.attempts.size()) <=
                   static_cast<double>(service.engine->slots) * one.share;
    }

    [[nodiscard]] double penalty(const known_upstream& one,
                                 time_point now) const
    {
        constexpr double range = 1024;
        const auto rank =
            static_cast<double>(rendezvous_weight(own, one.record.id.value()) %
                                static_cast<std::uint64_t>(range)) /
            range;
        auto cost = rank * weights.spread_ms +
                    (1 - one.share) * weights.unowned_ms +
                    one.fault_share * weights.failure_ms;
        if (one.record.hall != hall)
            cost += weights.other_hall_ms;
        if (upstream_registry::side_silent(one, now))
            cost += weights.silent_ms;
        return cost;
    }

    placement_weights weights;
    hall_id hall;
    std::string own;
};

} // namespace coursejunction

#endif
