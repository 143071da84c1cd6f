/*! @file
 * @brief A simulated engine for load replays: the engine model of the service,
 * run pass by pass in virtual time.
 */
#ifndef COURSEJUNCTION_TESTS_ROUTE_LOAD_ENGINE_HPP
#define COURSEJUNCTION_TESTS_ROUTE_LOAD_ENGINE_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "coursejunction/route/engine_estimate.hpp"
#include "coursejunction/route/placement.hpp"

namespace load_replay
{

namespace cj = coursejunction;

/*! @brief Profile of the default engine: 16 slots, 7.2 ms a step when full. */
inline cj::engine_profile fast_engine_profile()
{
    cj::engine_profile result;
    result.slots = 16;
    result.step_ms = 6.73;
    result.step_ms_per_request = 0.0219;
    result.step_ms_per_kilotoken = 0.0068;
    result.prefill_tokens_per_ms = 30.6;
    result.prefill_ms_per_million_pairs = 0.647;
    result.prefill_chunk_tokens = 2048;
    result.tokens_per_pass = 6;
    result.typical_prompt_tokens = 930;
    result.typical_answer_tokens = 120;
    return result;
}

/*! @brief Profile of a slower engine: 8 slots, 14 ms a step when full. */
inline cj::engine_profile slow_engine_profile()
{
    cj::engine_profile result;
    result.slots = 8;
    result.step_ms = 13.3;
    result.step_ms_per_request = 0.0582;
    result.step_ms_per_kilotoken = 0.0341;
    result.prefill_tokens_per_ms = 12.7;
    result.prefill_ms_per_million_pairs = 2.21;
    result.prefill_chunk_tokens = 2048;
    result.tokens_per_pass = 5;
    result.typical_prompt_tokens = 960;
    result.typical_answer_tokens = 73;
    return result;
}

/*! @brief One request of a client including its retry. */
struct simulated_request
{
    std::uint64_t number{0};
    std::size_t kind{0};
    std::size_t entry{0};
    double first_arrival_ms{0}; /*!< Of the client's first request. */
    double prompt{0};
    double answer_tokens{0};
    bool retried{false};
    // State of the current request of the client.
    double arrived_ms{0};
    cj::arrival_state arrival;
    cj::request_fingerprint fingerprint;
    double deadline_ms{6000}; /*!< From the client's first request. */
    std::size_t engine{0};
    int urgency{5};
    double unread_tokens{0};
    double unwritten_tokens{0};
    bool first_event_sent{false};
    /*! @brief The other one of two copies at different engines. */
    std::weak_ptr<simulated_request> twin;
};

using request_ptr = std::shared_ptr<simulated_request>;

/*! @brief An engine whose passes read a chunk of prompts and decode some tokens
 * of each request. */
class simulated_engine
{
public:
    simulated_engine(
        cj::engine_profile configured,
        std::function<void(const request_ptr&, double)> first_event,
        std::function<void(const request_ptr&, double)> done)
        : profile(std::move(configured)),
          on_first_event(std::move(first_event)), on_done(std::move(done))
    {
    }

    void enqueue(const request_ptr& one) { waiting.push_back(one); }

    /*! @brief Drops a request that was cancelled. */
    void cancel(const request_ptr& one)
    {
        std::erase(waiting, one);
        std::erase(admitted, one);
    }

    /*! @param slowness Factor by which it is slower than profiled now. */
    void advance(double now, double slowness = 1)
    {
        if (now < busy_until)
            return;
        finish_pass(now);
        admit_waiting();
        if (admitted.empty())
            return;
        busy_until = now + begin_pass() * slowness;
    }

    [[nodiscard]] std::size_t running() const { return admitted.size(); }
    [[nodiscard]] std::size_t queued() const { return waiting.size(); }

private:
    void finish_pass(double now)
    {
        if (!in_pass)
            return;
        in_pass = false;
        for (auto& one : admitted)
        {
            if (one->unread_tokens > 0)
                continue;
            if (one->unwritten_tokens < one->answer_tokens &&
                !one->first_event_sent)
            {
                one->first_event_sent = true;
                on_first_event(one, now);
            }
            if (one->unwritten_tokens <= 0)
                on_done(one, now);
        }
        std::erase_if(admitted, [](const request_ptr& one)
                      { return one->unwritten_tokens <= 0; });
    }

    void admit_waiting()
    {
        std::stable_sort(waiting.begin(), waiting.end(),
                         [](const request_ptr& a, const request_ptr& b)
                         { return a->urgency < b->urgency; });
        while (!waiting.empty() && admitted.size() < profile.slots)
        {
            admitted.push_back(waiting.front());
            waiting.erase(waiting.begin());
        }
    }

    double begin_pass()
    {
        in_pass = true;
        double took = 0;
        double budget = profile.prefill_chunk_tokens;
        for (auto& one : admitted)
        {
            const auto part = std::min(one->unread_tokens, budget);
            one->unread_tokens -= part;
            budget -= part;
            took += part / profile.prefill_tokens_per_ms;
        }
        double writers = 0;
        for (auto& one : admitted)
            writers += one->unread_tokens <= 0 ? 1 : 0;
        if (writers == 0)
            return took;
        for (auto& one : admitted)
            one->unwritten_tokens -=
                one->unread_tokens <= 0 ? profile.tokens_per_pass : 0;
        return took + profile.tokens_per_pass * cj::step_ms(profile, writers);
    }

    cj::engine_profile profile;
    std::function<void(const request_ptr&, double)> on_first_event;
    std::function<void(const request_ptr&, double)> on_done;
    std::vector<request_ptr> waiting;
    std::vector<request_ptr> admitted;
    double busy_until{0};
    bool in_pass{false};
};

} // namespace load_replay

#endif
