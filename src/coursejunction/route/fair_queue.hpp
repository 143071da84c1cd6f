/*! @file
 * @brief Requests that wait for an upstream: fair between organisations,
 * refused early when they cannot be served in time.
 */
#ifndef COURSEJUNCTION_ROUTE_FAIR_QUEUE_HPP
#define COURSEJUNCTION_ROUTE_FAIR_QUEUE_HPP

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief One waiting request. */
struct queued_request
{
    std::uint64_t number{0};
    organisation_id organisation;
    std::int32_t priority{0};
    time_point deadline{};
};

/*! @brief Whether a request may wait. */
struct offer_result
{
    bool accepted{false};
    milliseconds retry_after{0}; /*!< When refused: when room is expected. */
};

/*! @brief Queues by organisation, served by virtual start time (start-time
 * fair queueing, Goyal, Vin and Cheng, 1996), higher priorities first within
 * an organisation. */
class fair_queue
{
public:
    using value_type = queued_request;
    using size_type = std::size_t;

    /*! @param most Requests that may wait in all. */
    explicit fair_queue(size_type most) : limit(most) {}

    /*! @brief Sets the weight of an organisation; 1 unless set. */
    void set_weight(const organisation_id& organisation, double weight)
    {
        flows[organisation].weight = weight;
    }

    /*! @brief Notes that a request ended, for the rate of service. */
    void record_completion(time_point now)
    {
        if (completions.size() == rate_window)
            completions.pop_front();
        completions.push_back(now);
    }

    /*! @brief Returns how long a request queued now would wait, by the rate
     * at which requests ended lately; zero when nothing is known. */
    [[nodiscard]] std::chrono::microseconds
    expected_wait(const organisation_id& organisation, time_point now) const
    {
        const auto found = flows.find(organisation);
        const auto own =
            found == flows.end() ? 0 : found->second.waiting.size();
        return wait_at(organisation, own, now);
    }

    /*! @brief Offers a request.
     * @param service Time that the request itself is expected to take. */
    [[nodiscard]] offer_result
    offer(queued_request one, std::chrono::microseconds service, time_point now)
    {
        const auto wait = expected_wait(one.organisation, now);
        if (total >= limit || now + wait + service > one.deadline)
            return {false, retry_after(wait)};
        forget_idle();
        auto& flow = flows[one.organisation];
        if (flow.waiting.empty())
            flow.start = std::max(flow.start, virtual_now);
        const auto place = std::upper_bound(
            flow.waiting.begin(), flow.waiting.end(), one.priority,
            [](std::int32_t priority, const queued_request& other)
            { return priority > other.priority; });
        flow.waiting.insert(place, std::move(one));
        ++total;
        return {true, milliseconds(0)};
    }

    /*! @brief Returns organisations with waiting requests in the order in
     * which they are due. */
    [[nodiscard]] std::vector<organisation_id> service_order() const
    {
        std::vector<std::pair<double, organisation_id>> due;
        for (const auto& [id, flow] : flows)
        {
            if (!flow.waiting.empty())
                due.emplace_back(flow.start, id);
        }
        std::sort(due.begin(), due.end());
        std::vector<organisation_id> ids;
        ids.reserve(due.size());
        for (auto& [start, id] : due)
            ids.push_back(std::move(id));
        return ids;
    }

    /*! @brief Returns the first waiting request of an organisation. */
    [[nodiscard]] const queued_request*
    front(const organisation_id& organisation) const
    {
        const auto found = flows.find(organisation);
        if (found == flows.end() || found->second.waiting.empty())
            return nullptr;
        return &found->second.waiting.front();
    }

    /*! @brief Takes the first waiting request of an organisation. */
    queued_request pop(const organisation_id& organisation)
    {
        auto& flow = flows.at(organisation);
        auto one = std::move(flow.waiting.front());
        flow.waiting.pop_front();
        --total;
        charge(flow);
        return one;
    }

    /*! @brief Notes that a request of an organisation left the queue for an
     * upstream, for the organisation's own rate. */
    void record_dispatch(const organisation_id& organisation, time_point now)
    {
        auto& flow = flows[organisation];
        if (flow.dispatches.size() == flow_window)
            flow.dispatches.pop_front();
        flow.dispatches.push_back(now);
    }

    /*! @brief Charges an organisation for a request that did not wait. */
    void charge(const organisation_id& organisation)
    {
        forget_idle();
        auto& flow = flows[organisation];
        flow.start = std::max(flow.start, virtual_now);
        charge(flow);
    }

    /*! @brief Takes out requests whose deadline cannot be met any more: those
     * that are late already, and those behind so many others that they clearly
     * will be. They are told at once, not when their time is over. */
    [[nodiscard]] std::vector<queued_request>
    remove_late(std::chrono::microseconds service, time_point now)
    {
        std::vector<queued_request> late;
        for (auto& [id, flow] : flows)
        {
            auto& waiting = flow.waiting;
            std::size_t place = 0;
            for (auto it = waiting.begin(); it != waiting.end();)
            {
                const auto left = it->deadline - now - service;
                const auto wait = wait_at(id, place, now);
                if (left.count() >= 0 &&
                    to_seconds(wait) <= to_seconds(left) * clearly_late)
                {
                    ++it;
                    ++place;
                    continue;
                }
                late.push_back(std::move(*it));
                it = waiting.erase(it);
                --total;
            }
        }
        return late;
    }

    /*! @brief Takes out one request, when its caller has left. */
    bool remove(const organisation_id& organisation, std::uint64_t number)
    {
        const auto found = flows.find(organisation);
        if (found == flows.end())
            return false;
        const auto gone =
            std::erase_if(found->second.waiting, [&](const queued_request& one)
                          { return one.number == number; });
        total -= gone;
        return gone > 0;
    }

    /*! @brief Returns how many organisations are remembered. */
    [[nodiscard]] size_type organisation_count() const noexcept
    {
        return flows.size();
    }

    [[nodiscard]] size_type size() const noexcept { return total; }
    [[nodiscard]] bool empty() const noexcept { return total == 0; }

    /*! @brief Returns when a refused caller should come back. */
    [[nodiscard]] static milliseconds
    retry_after(std::chrono::microseconds wait)
    {
        const auto rounded =
            std::chrono::duration_cast<milliseconds>(wait) + milliseconds(1);
        return std::clamp(rounded, retry_least, retry_most);
    }

private:
    static constexpr size_type rate_window = 64;
    static constexpr size_type max_flows = 1024;
    static constexpr size_type flow_window = 32;
    static constexpr size_type flow_least = 8;
    static constexpr std::chrono::seconds flow_age{2};
    static constexpr double clearly_late = 1.3;
    static constexpr milliseconds retry_least{100};
    static constexpr milliseconds retry_most{60'000};

    struct flow_state
    {
        double weight{1};
        double start{0};
        std::deque<queued_request> waiting;
        std::deque<time_point> dispatches;
    };

    /*! @brief Names of organisations come from outside: when there are many,
     * those are forgotten that wait for nothing and have no weight. */
    void forget_idle()
    {
        if (flows.size() < max_flows)
            return;
        std::erase_if(
            flows, [](const auto& one)
            { return one.second.waiting.empty() && one.second.weight == 1; });
    }

    void charge(flow_state& flow)
    {
        virtual_now = std::max(virtual_now, flow.start);
        flow.start += 1.0 / flow.weight;
    }

    static double rate_of(const std::deque<time_point>& times, time_point now)
    {
        if (times.size() < 2)
            return 0;
        const auto span = to_seconds(now - times.front());
        return span <= 0 ? 0 : static_cast<double>(times.size() - 1) / span;
    }

    /*! @brief Returns the wait behind a number of requests of the same
     * organisation: by the rate at which its own left the queue lately or,
     * when too few did, by its fair share of all that ended. */
    [[nodiscard]] std::chrono::microseconds
    wait_at(const organisation_id& organisation, size_type place,
            time_point now) const
    {
        const auto found = flows.find(organisation);
        const auto ahead = static_cast<double>(place + 1);
        if (found != flows.end() &&
            found->second.dispatches.size() >= flow_least &&
            now - found->second.dispatches.front() < flow_age)
            return from_seconds(ahead / rate_of(found->second.dispatches, now));
        const auto rate = rate_of(completions, now);
        if (rate <= 0)
            return std::chrono::microseconds(0);
        return from_seconds(std::min(ahead / (rate * share_of(organisation)),
                                     static_cast<double>(total + 1) / rate));
    }

    [[nodiscard]] double share_of(const organisation_id& organisation) const
    {
        double own = 1;
        double all = 0;
        bool counted = false;
        for (const auto& [id, flow] : flows)
        {
            if (id == organisation)
            {
                own = flow.weight;
                counted = true;
                all += flow.weight;
            }
            else if (!flow.waiting.empty())
            {
                all += flow.weight;
            }
        }
        return own / (counted ? all : all + own);
    }

    size_type limit;
    size_type total{0};
    double virtual_now{0};
    std::map<organisation_id, flow_state> flows;
    std::deque<time_point> completions;
};

} // namespace coursejunction

#endif
