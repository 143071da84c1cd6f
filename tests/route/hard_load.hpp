/*! @file
 * @brief Load patterns of a deployment whose kinds of requests have different
 * priorities and whose engines cannot serve all of them.
 */
#ifndef COURSEJUNCTION_TESTS_ROUTE_HARD_LOAD_HPP
#define COURSEJUNCTION_TESTS_ROUTE_HARD_LOAD_HPP

#include <cstdint>
#include <string>

#include "route/load_pattern.hpp"

namespace load_replay
{

/*! @brief Profile of an engine with 12 slots that completes about 9 requests a
 * second. */
inline cj::engine_profile narrow_engine_profile()
{
    cj::engine_profile result;
    result.slots = 12;
    result.step_ms = 9.27;
    result.step_ms_per_request = 0.0232;
    result.step_ms_per_kilotoken = 0.0322;
    result.prefill_tokens_per_ms = 20.7;
    result.prefill_ms_per_million_pairs = 1.18;
    result.prefill_chunk_tokens = 2048;
    result.tokens_per_pass = 5;
    result.typical_prompt_tokens = 954;
    result.typical_answer_tokens = 95;
    return result;
}

/*! @brief Sets the rate to the sum of the rates of the kinds. */
inline void use_rates_of_kinds(load_pattern& pattern, double factor = 1)
{
    pattern.rate = [kinds = pattern.kinds, factor](double second)
    {
        double sum = 0;
        for (const auto& kind : kinds)
            sum += kind.weight_at(second);
        return sum * factor;
    };
}

/*! @brief Three kinds of three priorities at their usual rates. */
inline load_pattern three_priorities(std::uint64_t seed)
{
    load_pattern pattern;
    pattern.halls = 3;
    pattern.entries = 12;
    pattern.engines = 58;
    pattern.seed = seed;
    pattern.engine = narrow_engine_profile();
    pattern.kinds = {{"least", 211, cj::milliseconds(1000), 1290, 104, 2, {}},
                     {"most", 267, cj::milliseconds(400), 787, 104, 0, {}},
                     {"middle", 147, cj::milliseconds(400), 607, 70, 1, {}}};
    use_rates_of_kinds(pattern);
    return pattern;
}

/*! @brief Multiplies the rate of one kind between two seconds. */
inline void multiply_kind(load_pattern& pattern, const std::string& name,
                          double factor, double from, double to)
{
    for (auto& kind : pattern.kinds)
        if (kind.name == name)
            kind.factor = [=](double second)
            { return second >= from && second < to ? factor : 1.0; };
    use_rates_of_kinds(pattern);
}

} // namespace load_replay

#endif
