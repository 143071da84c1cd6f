/*! @file
 * @brief The load patterns that can be replayed.
 */
#ifndef COURSEJUNCTION_TESTS_ROUTE_LOAD_PATTERN_HPP
#define COURSEJUNCTION_TESTS_ROUTE_LOAD_PATTERN_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "coursejunction/route/dispatcher.hpp"
#include "route/load_engine.hpp"

namespace load_replay
{

namespace cj = coursejunction;

/*! @brief One kind of request. */
struct request_kind
{
    std::string name;
    /*! @brief Rate relative to other kinds; in requests a second where
     * `use_rates_of_kinds` sets the rate of the pattern. */
    double weight{1};
    cj::milliseconds target{400};
    double prompt{1000}; /*!< Mean tokens. */
    double answer{120};  /*!< Mean tokens. */
    int rank{0};         /*!< Priority of its route. */
    /*! @brief Factor of the weight as a function of the second; 1 if empty. */
    std::function<double(double)> factor{};

    [[nodiscard]] double weight_at(double second) const
    {
        return factor ? weight * factor(second) : weight;
    }
};

/*! @brief Parameters of a replay. */
struct load_pattern
{
    std::size_t halls{3};
    std::size_t entries{5};
    std::size_t engines{12};
    double seconds{20};
    /*! @brief New requests a second, as a function of the second. */
    std::function<double(double)> rate;
    /*! @brief Fraction of the refused clients that retry immediately. */
    double impatient_fraction{0};
    /*! @brief Relative load of each entry; equal if empty. */
    std::vector<double> entry_weights;
    std::vector<request_kind> kinds{
        {"long", 74, cj::milliseconds(400), 1290, 144},
        {"middle", 53, cj::milliseconds(400), 787, 144},
        {"short", 62, cj::milliseconds(300), 607, 70}};
    cj::engine_profile engine{fast_engine_profile()};
    cj::dispatch_options options;
    cj::placement_options weights;
    /*! @brief Factor by which an engine is slower at a time in ms; 1 if empty.
     */
    std::function<double(std::size_t engine, double ms)> slowness;
    bool uses_pace{false};    /*!< Predicts with the pace of engines. */
    bool sends_copies{false}; /*!< Of requests whose first event is overdue. */
    bool shares_rates{true};  /*!< Entries report their rates to each other. */
    bool deadlines{true};     /*!< Clients send a deadline. */
    /*! @brief Deadlines of new clients are 6 s, shorter by up to this fraction.
     */
    double deadline_spread{0};
    /*! @brief Whether requests have fingerprints, and refusals are reported
     * within a hall. */
    bool fingerprints{true};
    /*! @brief Whether refused clients retry at another entry of their hall. */
    bool retries_elsewhere{false};
    /*! @brief Fraction of those clients that retry in another hall instead. */
    double moved_fraction{0};
    /*! @brief Fraction of the requests that are equal to each other. */
    double identical_fraction{0};
    std::uint64_t seed{1};
    /*! @brief Seconds within which a request must first arrive to count for its
     * kind. */
    double kinds_from{0};
    double kinds_to{std::numeric_limits<double>::infinity()};

    [[nodiscard]] bool counts_for_kind(double second) const
    {
        return second >= kinds_from && second < kinds_to;
    }
};

/*! @brief Selects engines with 8 slots, and kinds with longer targets. */
inline void use_slow_engines(load_pattern& pattern)
{
    pattern.engine = slow_engine_profile();
    pattern.kinds = {{"long", 341, cj::milliseconds(800), 1290, 74},
                     {"middle", 250, cj::milliseconds(600), 787, 74},
                     {"short", 189, cj::milliseconds(500), 607, 70}};
}

/*! @brief Sets uneven loads of the entries, from 0.5 to 1.5 of the mean. */
inline void use_uneven_load(load_pattern& pattern)
{
    constexpr std::size_t steps = 101;
    constexpr std::size_t stride = 7919;
    pattern.entry_weights.clear();
    for (std::size_t at = 0; at < pattern.entries; ++at)
        pattern.entry_weights.push_back(
            0.5 + static_cast<double>(at * stride % steps) / (steps - 1));
}

/*! @brief Returns the configuration that entries have: a route for each kind.
 */
inline cj::installation configuration_of(const load_pattern& pattern,
                                         const cj::service_profile& service)
{
    cj::installation rules;
    rules.services[service.name] = service;
    for (const auto& kind : pattern.kinds)
    {
        cj::route_rule route;
        route.name = kind.name;
        route.priority = kind.rank;
        route.services = {{service.name, 1}};
        rules.routes.push_back(route);
    }
    return rules;
}

} // namespace load_replay

#endif
