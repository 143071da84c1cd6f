/*! @file
 * @brief Predicts when a batching engine gives the first event of a request.
 */
#ifndef COURSEJUNCTION_ROUTE_ENGINE_ESTIMATE_HPP
#define COURSEJUNCTION_ROUTE_ENGINE_ESTIMATE_HPP

#include <algorithm>
#include <cmath>

#include "coursejunction/fleet/installation.hpp"

namespace coursejunction
{

/*! @brief What an engine is believed to be doing. */
struct engine_load
{
    double running{0};       /*!< Requests that have a place. */
    double waiting{0};       /*!< Requests that wait for a place. */
    double unread_tokens{0}; /*!< Prompt tokens that wait to be read. */
    double pace{1};          /*!< How many times slower than its figures. */
    double age_ms{0};        /*!< Since this was told. */
    double expected{0}; /*!< Sent since then by others, beyond the usual. */
};

/*! @brief Returns the ms of one token for each of the running requests. */
[[nodiscard]] inline double step_ms(const engine_profile& engine,
                                    double running)
{
    const auto context =
        engine.typical_prompt_tokens + engine.typical_answer_tokens / 2;
    return engine.step_ms + engine.step_ms_per_request * running +
           engine.step_ms_per_kilotoken * running * context / 1000;
}

/*! @brief Returns the ms that reading a prompt alone takes. */
[[nodiscard]] inline double prefill_ms(const engine_profile& engine,
                                       double prompt)
{
    constexpr double million = 1e6;
    return prompt / engine.prefill_tokens_per_ms +
           engine.prefill_ms_per_million_pairs * prompt * prompt / 2 / million;
}

/*! @brief Returns the ms for which a usual request holds its place on a full
 * engine: it writes its answer, and meanwhile the engine reads one prompt for
 * each place that changes hands. */
[[nodiscard]] inline double slot_occupancy_ms(const engine_profile& engine)
{
    const auto slots = static_cast<double>(engine.slots);
    return engine.typical_answer_tokens * step_ms(engine, slots) +
           slots * prefill_ms(engine, engine.typical_prompt_tokens);
}

/*! @brief Returns the ms until an engine gives the first event of a request
 * that arrives now.
 *
 * The pass under way ends; prompts that wait are read, a chunk a pass, with
 * the writers' strides in between; then the first stride is written. What
 * others send meanwhile, or have sent since the load was told, is read in the
 * same pass: as many as the engine usually takes in that time. When every
 * place is taken, one frees after the holding time over the places. */
[[nodiscard]] inline double first_event_ms(const engine_profile& engine,
                                           const engine_load& load,
                                           double prompt)
{
    const auto slots = static_cast<double>(engine.slots);
    const auto inside = load.running + load.waiting;
    const auto writers = std::min(inside, slots);
    const auto stride =
        engine.tokens_per_pass * step_ms(engine, std::min(writers + 1, slots));
    const auto tokens = load.unread_tokens + prompt;
    const auto passes = std::max(
        1.0, std::ceil(tokens / std::max(engine.prefill_chunk_tokens, 1.0)));
    const auto reading = prefill_ms(engine, prompt) +
                         load.unread_tokens / engine.prefill_tokens_per_ms;
    const auto arrivals = inside / slot_occupancy_ms(engine);
    const auto companions = arrivals * (stride / 2 + reading + load.age_ms) *
                            prefill_ms(engine, engine.typical_prompt_tokens);
    auto total = stride / 2 + reading + companions + passes * stride;
    if (inside >= slots)
        total += (inside - slots + 1) * slot_occupancy_ms(engine) / slots;
    return total * std::max(load.pace, 1.0);
}

} // namespace coursejunction

#endif
