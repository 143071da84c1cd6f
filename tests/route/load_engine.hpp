/*! @file
 * @brief The engine of a replay of load: the product's own model, played pass
 * by pass in virtual time.
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

/*! @brief The engine that is played: 16 places, 7.2 ms a step when full. */
inline cj::engine_profile engine_figures()
{
    cj::engine_profile made;
    made.slots = 16;
    made.step_ms = 6.73;
    made.step_per_running = 0.0219;
    made.step_per_kilo = 0.0068;
    made.read_per_ms = 30.6;
    made.pairs_per_million = 0.647;
    made.read_chunk = 2048;
    made.stride = 6;
    made.usual_prompt = 930;
    made.usual_answer = 120;
    return made;
}

/*! @brief A slower engine with fewer places: 8, 14 ms a step when full. */
inline cj::engine_profile slow_engine_figures()
{
    cj::engine_profile made;
    made.slots = 8;
    made.step_ms = 13.3;
    made.step_per_running = 0.0582;
    made.step_per_kilo = 0.0341;
    made.read_per_ms = 12.7;
    made.pairs_per_million = 2.21;
    made.read_chunk = 2048;
    made.stride = 5;
    made.usual_prompt = 960;
    made.usual_answer = 73;
    return made;
}

/*! @brief One request of a caller, over both of its tries. */
struct job
{
    std::uint64_t number{0};
    std::size_t kind{0};
    std::size_t entry{0};
    double first_ms{0}; /*!< Of the first try. */
    double prompt{0};
    double tokens{0};
    bool returned{false};
    // The try in progress.
    double arrived_ms{0};
    cj::arrival_state standing;
    cj::request_fingerprint fingerprint;
    double deadline_ms{6000}; /*!< From its caller's first try. */
    std::size_t engine{0};
    int rank{5};
    double unread{0};
    double left{0};
    bool began{false};
};

using job_ptr = std::shared_ptr<job>;

/*! @brief One engine: passes that read a chunk and write a stride. */
class engine
{
public:
    engine(cj::engine_profile set,
           std::function<void(const job_ptr&, double)> first,
           std::function<void(const job_ptr&, double)> done)
        : figures(std::move(set)), on_first(std::move(first)),
          on_done(std::move(done))
    {
    }

    void take(const job_ptr& one) { waiting.push_back(one); }

    void play(double now)
    {
        if (now < busy_until)
            return;
        finish_pass(now);
        let_in();
        if (inside.empty())
            return;
        busy_until = now + begin_pass();
    }

    [[nodiscard]] std::size_t running() const { return inside.size(); }
    [[nodiscard]] std::size_t queued() const { return waiting.size(); }

private:
    void finish_pass(double now)
    {
        if (!in_pass)
            return;
        in_pass = false;
        for (auto& one : inside)
        {
            if (one->unread > 0)
                continue;
            if (one->left < one->tokens && !one->began)
            {
                one->began = true;
                on_first(one, now);
            }
            if (one->left <= 0)
                on_done(one, now);
        }
        std::erase_if(inside,
                      [](const job_ptr& one) { return one->left <= 0; });
    }

    void let_in()
    {
        std::stable_sort(waiting.begin(), waiting.end(),
                         [](const job_ptr& a, const job_ptr& b)
                         { return a->rank < b->rank; });
        while (!waiting.empty() && inside.size() < figures.slots)
        {
            inside.push_back(waiting.front());
            waiting.erase(waiting.begin());
        }
    }

    double begin_pass()
    {
        in_pass = true;
        double took = 0;
        double budget = figures.read_chunk;
        for (auto& one : inside)
        {
            const auto part = std::min(one->unread, budget);
            one->unread -= part;
            budget -= part;
            took += part / figures.read_per_ms;
        }
        double writers = 0;
        for (auto& one : inside)
            writers += one->unread <= 0 ? 1 : 0;
        if (writers == 0)
            return took;
        for (auto& one : inside)
            one->left -= one->unread <= 0 ? figures.stride : 0;
        return took + figures.stride * cj::step_ms(figures, writers);
    }

    cj::engine_profile figures;
    std::function<void(const job_ptr&, double)> on_first;
    std::function<void(const job_ptr&, double)> on_done;
    std::vector<job_ptr> waiting;
    std::vector<job_ptr> inside;
    double busy_until{0};
    bool in_pass{false};
};

} // namespace load_replay

#endif
