/*! @file
 * @brief What an entry knows of the upstreams that report to it over
 * connections, and policies that choose one by a score. `upstream_registry.hpp`
 * is for upstreams that the store lists.
 */
#ifndef COURSEJUNCTION_ROUTE_UPSTREAM_TABLE_HPP
#define COURSEJUNCTION_ROUTE_UPSTREAM_TABLE_HPP

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "coursejunction/core/rendezvous.hpp"
#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief An upstream as last reported, and what was sent to it since. */
struct upstream_state
{
    instance_id id;
    hall_id hall;
    region_id region;
    std::string model;
    std::string kind;
    std::string weights;
    std::size_t slots{0};
    std::size_t reported_requests{0}; /*!< Running there as last reported. */
    std::size_t own_requests{0};      /*!< Of this entry, running there now. */
    std::size_t own_at_report{0};     /*!< `own_requests` at the last report. */
    double service_s{0}; /*!< Smoothed duration of a request; 0 if unknown. */
    bool open{false};
    bool leaving{false};
    time_point reported_at{};
    time_point avoid_until{};
    unsigned failures{0};
    std::unordered_set<std::uint64_t> cached; /*!< Hashes of prefixes. */

    /*! @brief Returns the estimated number of requests that run there now. */
    [[nodiscard]] std::size_t load() const
    {
        const auto others = reported_requests > own_at_report
                                ? reported_requests - own_at_report
                                : 0;
        return others + own_requests;
    }
};

/*! @brief A request to route. */
struct route_request
{
    std::string model;
    std::string kind;
    std::string weights;  /*!< Required weights; empty for any. */
    std::string affinity; /*!< Requests with the same key should go to the same
                             upstream. */
    std::vector<std::uint64_t>
        prefixes; /*!< Hashes of prompt prefixes, longest first. */
    std::vector<instance_id> excluded;
};

/*! @brief A policy chooses among the upstreams that can accept the request now.
 */
template <typename Policy>
concept Route_policy = requires(
    Policy policy, const std::vector<const upstream_state*>& candidates,
    const route_request& request, const hall_id& hall, const region_id& region)
{
    {
        policy.choose(candidates, request, hall, region)
        } -> std::same_as<const upstream_state*>;
};

/*! @brief Combines load, distance and cached prompt prefix in one score.
 *
 * A cached prefix saves prefill, a fuller upstream decodes more slowly and a
 * more distant one adds latency. All are expressed as fractions of a request's
 * duration. Outdated state can only make a request slower. */
class scored_policy
{
public:
    static constexpr double cached_gain = 0.35;
    static constexpr double affinity_gain = 0.1;
    static constexpr double hall_cost = 0.05;
    static constexpr double region_cost = 0.3;

    [[nodiscard]] const upstream_state*
    choose(const std::vector<const upstream_state*>& candidates,
           const route_request& request, const hall_id& hall,
           const region_id& region) const
    {
        const upstream_state* best = nullptr;
        double lowest = 0;
        for (const auto* state : candidates)
        {
            const auto cost = score(*state, request, hall, region);
            if (best != nullptr && cost >= lowest)
                continue;
            best = state;
            lowest = cost;
        }
        return best;
    }

private:
    static double score(const upstream_state& state,
                        const route_request& request, const hall_id& hall,
                        const region_id& region)
    {
        double cost =
            static_cast<double>(state.load()) /
            static_cast<double>(std::max<std::size_t>(state.slots, 1));
        if (state.region != region)
            cost += region_cost;
        else if (state.hall != hall)
            cost += hall_cost;
        cost -= cached_gain * cached_portion(state, request);
        if (!request.affinity.empty())
            cost -= affinity_gain *
                    static_cast<double>(
                        rendezvous_weight(request.affinity, state.id.value()) >>
                        11U) /
                    static_cast<double>(std::uint64_t{1} << 53U);
        return cost;
    }

    static double cached_portion(const upstream_state& state,
                                 const route_request& request)
    {
        const auto count = request.prefixes.size();
        for (std::size_t index = 0; index < count; ++index)
        {
            if (state.cached.contains(request.prefixes[index]))
                return static_cast<double>(count - index) /
                       static_cast<double>(count);
        }
        return 0;
    }
};

/*! @brief Round robin; a baseline. */
class round_robin_policy
{
public:
    [[nodiscard]] const upstream_state*
    choose(const std::vector<const upstream_state*>& candidates,
           const route_request&, const hall_id&, const region_id&)
    {
        return candidates.empty() ? nullptr
                                  : candidates[turn++ % candidates.size()];
    }

private:
    std::size_t turn{0};
};

/*! @brief Chooses the upstream with the smallest fraction of its slots in use;
 * a baseline. */
class least_loaded_policy
{
public:
    [[nodiscard]] const upstream_state*
    choose(const std::vector<const upstream_state*>& candidates,
           const route_request&, const hall_id&, const region_id&) const
    {
        const auto used_fraction = [](const upstream_state* state)
        {
            return static_cast<double>(state->load()) /
                   static_cast<double>(std::max<std::size_t>(state->slots, 1));
        };
        const auto lowest = std::min_element(
            candidates.begin(), candidates.end(),
            [&](const auto* left, const auto* right)
            { return used_fraction(left) < used_fraction(right); });
        return lowest == candidates.end() ? nullptr : *lowest;
    }
};

/*! @brief The upstreams by the instance of their sidecar. */
class upstream_table
{
public:
    using value_type = upstream_state;
    using size_type = std::size_t;

    /*! @brief Age above which a report no longer shows that an upstream is
     * open. */
    static constexpr milliseconds report_validity{5000};

    /*! @brief Returns the state of an upstream, adding it if absent. */
    upstream_state& operator[](const instance_id& id)
    {
        auto& state = states[id];
        state.id = id;
        return state;
    }

    [[nodiscard]] upstream_state* find(const instance_id& id)
    {
        const auto found = states.find(id);
        return found == states.end() ? nullptr : &found->second;
    }

    void erase(const instance_id& id) { states.erase(id); }

    [[nodiscard]] size_type size() const { return states.size(); }
    [[nodiscard]] bool contains(const instance_id& id) const
    {
        return states.contains(id);
    }
    [[nodiscard]] const std::map<instance_id, upstream_state>& all() const
    {
        return states;
    }

    /*! @brief Chooses an upstream that serves the model and has a free slot.
     * @return The upstream, or nothing. */
    template <Route_policy Policy>
    [[nodiscard]] std::optional<instance_id>
    choose(Policy& policy, const route_request& request, const hall_id& hall,
           const region_id& region, time_point now) const
    {
        std::vector<const upstream_state*> candidates;
        for (const auto& [id, state] : states)
        {
            if (serves(state, request, now) && now >= state.avoid_until &&
                state.load() < state.slots &&
                std::find(request.excluded.begin(), request.excluded.end(),
                          id) == request.excluded.end())
                candidates.push_back(&state);
        }
        const auto* best = policy.choose(candidates, request, hall, region);
        if (best == nullptr)
            return std::nullopt;
        return best->id;
    }

    /*! @brief Returns whether any upstream serves the model, even if it is full
     * or avoided for the moment. */
    [[nodiscard]] bool is_served(const route_request& request,
                                 time_point now) const
    {
        return std::any_of(states.begin(), states.end(),
                           [&](const auto& item)
                           { return serves(item.second, request, now); });
    }

    /*! @brief Returns the slots of all upstreams that serve the model. */
    [[nodiscard]] size_type capacity(const route_request& request,
                                     time_point now) const
    {
        size_type total = 0;
        for (const auto& [id, state] : states)
            total += serves(state, request, now) ? state.slots : 0;
        return total;
    }

    /*! @brief Records a failed attempt: the upstream is avoided for a time that
     * doubles with each consecutive failure. */
    void record_failure(const instance_id& id, time_point now)
    {
        auto* state = find(id);
        if (state == nullptr)
            return;
        constexpr unsigned max_doublings = 5;
        state->avoid_until =
            now +
            min_avoid_time * (1 << std::min(state->failures, max_doublings));
        ++state->failures;
    }

    /*! @brief Records a successful attempt.
     * @param took How long the request ran. */
    void record_success(const instance_id& id, std::chrono::microseconds took)
    {
        auto* state = find(id);
        if (state == nullptr)
            return;
        constexpr double smoothing = 0.1;
        const auto seconds = to_seconds(took);
        state->failures = 0;
        state->service_s =
            state->service_s == 0
                ? seconds
                : state->service_s + (seconds - state->service_s) * smoothing;
    }

private:
    static constexpr milliseconds min_avoid_time{250};

    static bool serves(const upstream_state& state,
                       const route_request& request, time_point now)
    {
        return state.open && !state.leaving && state.model == request.model &&
               state.kind == request.kind &&
               (request.weights.empty() || state.weights == request.weights) &&
               now - state.reported_at <= report_validity;
    }

    std::map<instance_id, upstream_state> states;
};

} // namespace coursejunction

#endif
