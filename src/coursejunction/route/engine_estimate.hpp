/*! @file
 * @brief Predicts when a batching inference engine emits the first event of a
 * request, which is the first streamed part of its response.
 */
#ifndef COURSEJUNCTION_ROUTE_ENGINE_ESTIMATE_HPP
#define COURSEJUNCTION_ROUTE_ENGINE_ESTIMATE_HPP

#include <algorithm>
#include <cmath>

#include "coursejunction/fleet/installation.hpp"

namespace coursejunction
{

/*! @brief Estimated load of an engine. */
struct engine_load
{
    double running{0};       /*!< Requests that have a slot. */
    double waiting{0};       /*!< Requests that wait for a slot. */
    double unread_tokens{0}; /*!< Prompt tokens that await prefill. */
    double pace{1};          /*!< Factor by which it is slower than profiled. */
    double age_ms{0};        /*!< Since the load was reported. */
    double expected{
        0}; /*!< Requests of others since then, beyond an equal share. */
};

/*! @brief Returns the ms of one decode step of the running requests. */
[[nodiscard]] inline double step_ms(const engine_profile& engine,
                                    double running)
{
    const auto context =
        engine.typical_prompt_tokens + engine.typical_answer_tokens / 2;
    return engine.step_ms + engine.step_ms_per_request * running +
           engine.step_ms_per_kilotoken * running * context / 1000;
}

/*! @brief Returns the ms that the prefill of a prompt takes alone. */
[[nodiscard]] inline double prefill_ms(const engine_profile& engine,
                                       double prompt_tokens)
{
    constexpr double million = 1e6;
    return prompt_tokens / engine.prefill_tokens_per_ms +
           engine.prefill_ms_per_million_pairs * prompt_tokens * prompt_tokens /
               2 / million;
}

/*! @brief Returns the ms for which a typical request occupies its slot on a
 * full engine: it decodes its answer, and meanwhile the engine reads one new
 * prompt per slot. */
[[nodiscard]] inline double slot_occupancy_ms(const engine_profile& engine)
{
    const auto slots = static_cast<double>(engine.slots);
    return engine.typical_answer_tokens * step_ms(engine, slots) +
           slots * prefill_ms(engine, engine.typical_prompt_tokens);
}

/*! @brief Returns the predicted ms until an engine emits the first event of a
 * request that arrives now.
 *
 * The current pass ends; then the waiting prompts are read, one chunk a pass,
 * each pass also decoding some tokens of the running requests; then the first
 * tokens of the request are decoded. Prompts that others have sent since the
 * load was reported, or send meanwhile, are read in the same passes: as many as
 * the engine usually takes in that time. If every slot is taken, one becomes
 * free after the occupancy of a slot divided by the number of slots. */
[[nodiscard]] inline double first_event_ms(const engine_profile& engine,
                                           const engine_load& load,
                                           double prompt_tokens)
{
    const auto slots = static_cast<double>(engine.slots);
    const auto in_flight = load.running + load.waiting;
    const auto decoding = std::min(in_flight, slots);
    const auto pass_ms =
        engine.tokens_per_pass * step_ms(engine, std::min(decoding + 1, slots));
    const auto tokens = load.unread_tokens + prompt_tokens;
    const auto passes = std::max(
        1.0, std::ceil(tokens / std::max(engine.prefill_chunk_tokens, 1.0)));
    const auto prefill_time_ms =
        prefill_ms(engine, prompt_tokens) +
        load.unread_tokens / engine.prefill_tokens_per_ms;
    const auto arrivals_per_ms = in_flight / slot_occupancy_ms(engine);
    const auto others_prefill_ms =
        arrivals_per_ms * (pass_ms / 2 + prefill_time_ms + load.age_ms) *
        prefill_ms(engine, engine.typical_prompt_tokens);
    auto total_ms =
        pass_ms / 2 + prefill_time_ms + others_prefill_ms + passes * pass_ms;
    if (in_flight >= slots)
        total_ms += (in_flight - slots + 1) * slot_occupancy_ms(engine) / slots;
    return total_ms * std::max(load.pace, 1.0);
}

} // namespace coursejunction

#endif
