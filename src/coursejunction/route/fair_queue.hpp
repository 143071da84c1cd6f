/*! @file
 * @brief Queue of requests that wait for an upstream: shares service fairly
 * between organisations and refuses early what cannot be served in time.
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

/*! @brief A waiting request. */
struct queued_request
{
    std::uint64_t number{0};
    organisation_id organisation;
    std::int32_t priority{0};
    time_point deadline{};
};

/*! @brief Whether a request was queued. */
struct offer_result
{
    bool accepted{false};
    milliseconds retry_after{0}; /*!< If refused. */
};

/*! @brief One flow per organisation, served in the order of virtual start times
 * (start-time fair queueing; Goyal, Vin and Cheng, 1996). Within an
 * organisation higher priorities come first. */
class fair_queue
{
public:
    using value_type = queued_request;
    using size_type = std::size_t;

    /*! @param max_waiting Largest number of waiting requests in total. */
    explicit fair_queue(size_type max_waiting) : max_total(max_waiting) {}

    /*! @brief Sets the weight of an organisation; the default is 1. */
    void set_weight(const organisation_id& organisation, double weight)
    {
        flows[organisation].weight = weight;
    }

    /*! @brief Records that a request completed, to measure the service rate. */
    void record_completion(time_point now)
    {
        if (completions.size() == completion_samples)
            completions.pop_front();
        completions.push_back(now);
    }

    /*! @brief Returns how long a request queued now is expected to wait, at the
     * recent service rate; zero when that is not known. */
    [[nodiscard]] std::chrono::microseconds
    expected_wait(const organisation_id& organisation, time_point now) const
    {
        const auto found = flows.find(organisation);
        const auto own =
            found == flows.end() ? 0 : found->second.waiting.size();
        return wait_at(organisation, own, now);
    }

    /*! @brief Queues a request if the queue is not full and the request can be
     * served before its deadline.
     * @param expected_duration Expected duration of the request itself. */
    [[nodiscard]] offer_result
    offer(queued_request request, std::chrono::microseconds expected_duration,
          time_point now)
    {
        const auto wait = expected_wait(request.organisation, now);
        if (total >= max_total ||
            now + wait + expected_duration > request.deadline)
            return {false, retry_after(wait)};
        forget_idle();
        auto& flow = flows[request.organisation];
        if (flow.waiting.empty())
            flow.virtual_start = std::max(flow.virtual_start, virtual_now);
        const auto position = std::upper_bound(
            flow.waiting.begin(), flow.waiting.end(), request.priority,
            [](std::int32_t priority, const queued_request& other)
            { return priority > other.priority; });
        flow.waiting.insert(position, std::move(request));
        ++total;
        return {true, milliseconds(0)};
    }

    /*! @brief Returns the organisations that have waiting requests, next to be
     * served first. */
    [[nodiscard]] std::vector<organisation_id> service_order() const
    {
        std::vector<std::pair<double, organisation_id>> due;
        for (const auto& [id, flow] : flows)
        {
            if (!flow.waiting.empty())
                due.emplace_back(flow.virtual_start, id);
        }
        std::sort(due.begin(), due.end());
        std::vector<organisation_id> ids;
        ids.reserve(due.size());
        for (auto& [start, id] : due)
            ids.push_back(std::move(id));
        return ids;
    }

    /*! @brief Returns the first waiting request of an organisation; null if
     * there is none. */
    [[nodiscard]] const queued_request*
    front(const organisation_id& organisation) const
    {
        const auto found = flows.find(organisation);
        if (found == flows.end() || found->second.waiting.empty())
            return nullptr;
        return &found->second.waiting.front();
    }

    /*! @brief Removes and returns the first waiting request of an organisation,
     * which must have one. */
    queued_request pop(const organisation_id& organisation)
    {
        auto& flow = flows.at(organisation);
        auto request = std::move(flow.waiting.front());
        flow.waiting.pop_front();
        --total;
        charge(flow);
        return request;
    }

    /*! @brief Records that a request of an organisation left the queue for an
     * upstream, to measure the organisation's own rate. */
    void record_dispatch(const organisation_id& organisation, time_point now)
    {
        auto& flow = flows[organisation];
        if (flow.dispatches.size() == dispatch_samples)
            flow.dispatches.pop_front();
        flow.dispatches.push_back(now);
    }

    /*! @brief Charges an organisation for a request that was sent without
     * waiting. */
    void charge(const organisation_id& organisation)
    {
        forget_idle();
        auto& flow = flows[organisation];
        flow.virtual_start = std::max(flow.virtual_start, virtual_now);
        charge(flow);
    }

    /*! @brief Removes and returns the requests that can't meet their deadline
     * any more, or that clearly won't because of the requests before them, so
     * that their clients can be refused immediately. As the wait is an
     * estimate, it must exceed the time left by `late_factor`.
     * @param expected_duration Expected duration of a request itself. */
    [[nodiscard]] std::vector<queued_request>
    remove_late(std::chrono::microseconds expected_duration, time_point now)
    {
        std::vector<queued_request> removed;
        for (auto& [id, flow] : flows)
        {
            auto& waiting = flow.waiting;
            std::size_t position = 0;
            for (auto it = waiting.begin(); it != waiting.end();)
            {
                const auto left = it->deadline - now - expected_duration;
                const auto wait = wait_at(id, position, now);
                if (left.count() >= 0 &&
                    to_seconds(wait) <= to_seconds(left) * late_factor)
                {
                    ++it;
                    ++position;
                    continue;
                }
                removed.push_back(std::move(*it));
                it = waiting.erase(it);
                --total;
            }
        }
        return removed;
    }

    /*! @brief Removes one request whose client has disconnected.
     * @return Whether it was queued. */
    bool remove(const organisation_id& organisation, std::uint64_t number)
    {
        const auto found = flows.find(organisation);
        if (found == flows.end())
            return false;
        const auto erased =
            std::erase_if(found->second.waiting, [&](const queued_request& one)
                          { return one.number == number; });
        total -= erased;
        return erased > 0;
    }

    /*! @brief Returns the number of organisations with state. */
    [[nodiscard]] size_type organisation_count() const noexcept
    {
        return flows.size();
    }

    [[nodiscard]] size_type size() const noexcept { return total; }
    [[nodiscard]] bool empty() const noexcept { return total == 0; }

    /*! @brief Returns the Retry-After for an expected wait, within bounds. */
    [[nodiscard]] static milliseconds
    retry_after(std::chrono::microseconds wait)
    {
        const auto rounded =
            std::chrono::duration_cast<milliseconds>(wait) + milliseconds(1);
        return std::clamp(rounded, min_retry_after, max_retry_after);
    }

private:
    static constexpr size_type completion_samples = 64;
    static constexpr size_type max_flows = 1024;
    static constexpr size_type dispatch_samples = 32;
    static constexpr size_type min_flow_samples = 8;
    static constexpr std::chrono::seconds max_dispatch_age{2};
    static constexpr double late_factor = 1.3;
    static constexpr milliseconds min_retry_after{100};
    static constexpr milliseconds max_retry_after{60'000};

    struct flow_state
    {
        double weight{1};
        double virtual_start{0};
        std::deque<queued_request> waiting;
        std::deque<time_point> dispatches;
    };

    /*! @brief Bounds the memory for organisations, whose names come from
     * requests: above `max_flows`, drops those without waiting requests and
     * with the default weight. */
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
        virtual_now = std::max(virtual_now, flow.virtual_start);
        flow.virtual_start += 1.0 / flow.weight;
    }

    static double rate_of(const std::deque<time_point>& times, time_point now)
    {
        if (times.size() < 2)
            return 0;
        const auto span = to_seconds(now - times.front());
        return span <= 0 ? 0 : static_cast<double>(times.size() - 1) / span;
    }

    /*! @brief Returns the expected wait behind a number of requests of the same
     * organisation: at the rate at which its requests left the queue recently
     * or, when too few did, at its fair share of the total service rate. */
    [[nodiscard]] std::chrono::microseconds
    wait_at(const organisation_id& organisation, size_type position,
            time_point now) const
    {
        const auto found = flows.find(organisation);
        const auto ahead = static_cast<double>(position + 1);
        if (found != flows.end() &&
            found->second.dispatches.size() >= min_flow_samples &&
            now - found->second.dispatches.front() < max_dispatch_age)
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

    size_type max_total;
    size_type total{0};
    double virtual_now{0};
    std::map<organisation_id, flow_state> flows;
    std::deque<time_point> completions;
};

} // namespace coursejunction

#endif
