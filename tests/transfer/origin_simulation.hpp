/*! @file
 * @brief Simulates in virtual time how one version is sent by a slow origin,
 * which may be unreachable for a while, to sidecars of several halls. Does no
 * I/O.
 */
#ifndef COURSEJUNCTION_TESTS_TRANSFER_ORIGIN_SIMULATION_HPP
#define COURSEJUNCTION_TESTS_TRANSFER_ORIGIN_SIMULATION_HPP

#include <algorithm>
#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "coursejunction/transfer/transfer_planner.hpp"
#include "transfer/fixtures.hpp"

namespace origin_simulation
{

namespace cj = coursejunction;

/*! @brief Parameters of a simulation; times in ms. */
struct transfer_pattern
{
    std::size_t halls{3};
    std::size_t sidecars_per_hall{15};
    cj::chunk_index chunks{64};
    double origin_chunk_ms{44};  /*!< Time of a chunk on the origin's link. */
    double sidecar_chunk_ms{35}; /*!< Time of a chunk on a sidecar's link. */
    double outage_start{-1};     /*!< Of the origin. */
    double outage_end{-1};
    cj::planner_limits limits;
};

/*! @brief Result of a simulation; times in ms. */
struct outcome
{
    double copies{0};       /*!< Chunks sent by the origin / chunks. */
    double last_sent_ms{0}; /*!< When the origin had sent the last chunk. */
    double first_complete_ms{0};
    double last_complete_ms{0};
};

/*! @brief Runs one simulation in steps of 1 ms. */
class simulator
{
public:
    explicit simulator(transfer_pattern simulated)
        : pattern(std::move(simulated))
    {
        std::vector<cj::participant> all;
        for (std::size_t index = 0;
             index < pattern.halls * pattern.sidecars_per_hall; ++index)
            all.push_back({cj::instance_id("s" + std::to_string(index)),
                           hall_of(index),
                           cj::region_id(hall_of(index).value())});
        const auto content =
            fixtures::manifest_of(fixtures::model_bytes(pattern.chunks));
        for (std::size_t index = 0; index < all.size(); ++index)
        {
            auto limits = pattern.limits;
            limits.seed = static_cast<std::uint32_t>(index + 1);
            sidecars.push_back({all[index].id,
                                planner(content, all[index].id, limits,
                                        cj::swarm_policy(), to_time_point(0)),
                                std::vector<bool>(pattern.chunks),
                                {}});
            sidecars.back().plan.set_participants(all, to_time_point(0));
        }
    }

    outcome run()
    {
        constexpr double max_duration_ms = 60'000;
        for (double now_ms = 0;
             now_ms < max_duration_ms && complete_count < sidecars.size();
             ++now_ms)
            step(now_ms);
        result.copies = origin_sent / static_cast<double>(pattern.chunks);
        return result;
    }

private:
    using planner = cj::transfer_planner<cj::swarm_policy>;

    // Intervals in ms; sidecars announce their chunks more often in their hall.
    static constexpr std::size_t planning_interval = 20;
    static constexpr std::size_t announce_interval = 90;
    static constexpr std::size_t far_announce_interval = 800;

    struct upload
    {
        std::size_t receiver{0};
        cj::chunk_index chunk{0};
        double done_at{0};
    };

    struct sidecar
    {
        cj::instance_id id;
        planner plan;
        std::vector<bool> held;
        std::deque<upload> uploads;
        std::size_t held_count{0};
    };

    struct origin_call
    {
        std::size_t requester{0};
        cj::chunk_index chunk{0};
        double remaining_ms{0};
    };

    struct waiting_call
    {
        std::size_t peer{0};
        std::size_t requester{0};
        cj::chunk_index chunk{0};
    };

    static cj::time_point to_time_point(double ms)
    {
        return cj::time_point{std::chrono::hours(1)} +
               std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000));
    }

    [[nodiscard]] cj::hall_id hall_of(std::size_t index) const
    {
        return cj::hall_id("h" + std::to_string(index % pattern.halls));
    }

    [[nodiscard]] bool unreachable(double now_ms) const
    {
        return now_ms >= pattern.outage_start && now_ms < pattern.outage_end;
    }

    void step(double now_ms)
    {
        serve_origin(now_ms);
        for (auto& one : sidecars)
            serve_uploads(one, now_ms);
        const auto tick = static_cast<std::size_t>(now_ms);
        for (std::size_t index = 0; index < sidecars.size(); ++index)
        {
            if ((tick + index * 7) % announce_interval == 0)
                announce(index, now_ms,
                         (tick / announce_interval) %
                                 (far_announce_interval / announce_interval) ==
                             0);
            if ((tick + index * 3) % planning_interval == 0)
                send_requests(index, now_ms);
        }
    }

    /*! @brief Sends on the link of the origin, one chunk after another; in an
     * outage all calls fail. */
    void serve_origin(double now_ms)
    {
        if (unreachable(now_ms))
        {
            for (const auto& one : origin_calls)
                sidecars[one.requester].plan.record_origin_failure(
                    one.chunk, to_time_point(now_ms));
            origin_calls.clear();
            return;
        }
        if (origin_calls.empty() || --origin_calls.front().remaining_ms > 0)
            return;
        const auto done = origin_calls.front();
        origin_calls.pop_front();
        if (!origin_calls.empty())
            origin_calls.front().remaining_ms +=
                std::min(done.remaining_ms, 0.0);
        ++origin_sent;
        result.last_sent_ms = now_ms;
        receive(done.requester, done.chunk, now_ms);
    }

    void serve_uploads(sidecar& one, double now_ms)
    {
        if (one.uploads.empty() || one.uploads.front().done_at > now_ms)
            return;
        const auto first = one.uploads.front();
        one.uploads.pop_front();
        if (!one.uploads.empty())
            one.uploads.front().done_at = now_ms + pattern.sidecar_chunk_ms;
        receive(first.receiver, first.chunk, now_ms);
    }

    void receive(std::size_t receiver, cj::chunk_index chunk, double now_ms)
    {
        auto& one = sidecars[receiver];
        one.plan.add_chunk(chunk, to_time_point(now_ms));
        if (one.held[chunk])
            return;
        one.held[chunk] = true;
        if (++one.held_count == pattern.chunks)
        {
            ++complete_count;
            result.last_complete_ms = now_ms;
            if (complete_count == 1)
                result.first_complete_ms = now_ms;
        }
        std::erase_if(waiting_calls,
                      [&](const waiting_call& call)
                      {
                          if (call.peer != receiver || call.chunk != chunk)
                              return false;
                          enqueue_upload(receiver, call.requester, chunk,
                                         now_ms);
                          return true;
                      });
    }

    void enqueue_upload(std::size_t from, std::size_t to, cj::chunk_index chunk,
                        double now_ms)
    {
        sidecars[from].uploads.push_back(
            {to, chunk, now_ms + pattern.sidecar_chunk_ms});
    }

    void announce(std::size_t from, double now_ms, bool all_halls)
    {
        std::vector<cj::chunk_index> held;
        for (cj::chunk_index chunk = 0; chunk < pattern.chunks; ++chunk)
            if (sidecars[from].held[chunk])
                held.push_back(chunk);
        const auto queue =
            static_cast<std::uint32_t>(sidecars[from].uploads.size());
        for (std::size_t to = 0; to < sidecars.size(); ++to)
            if (to != from && (all_halls || hall_of(to) == hall_of(from)))
                sidecars[to].plan.add_peer_chunks(sidecars[from].id, held,
                                                  queue, to_time_point(now_ms));
    }

    void send_requests(std::size_t requester, double now_ms)
    {
        using kind = cj::transfer_request::source_kind;
        for (const auto& one :
             sidecars[requester].plan.next_requests(to_time_point(now_ms)))
        {
            if (one.source == kind::origin)
            {
                origin_calls.push_back(
                    {requester, one.chunk, pattern.origin_chunk_ms});
                continue;
            }
            const auto peer = std::stoul(one.peer.value().substr(1));
            if (sidecars[peer].held[one.chunk])
                enqueue_upload(peer, requester, one.chunk, now_ms);
            else if (one.source == kind::future_holder)
                waiting_calls.push_back({peer, requester, one.chunk});
            else
                sidecars[requester].plan.record_refusal(
                    one.chunk, one.peer, true, 0, to_time_point(now_ms));
        }
    }

    transfer_pattern pattern;
    std::vector<sidecar> sidecars;
    std::deque<origin_call> origin_calls;
    std::vector<waiting_call> waiting_calls;
    std::size_t complete_count{0};
    double origin_sent{0};
    outcome result;
};

} // namespace origin_simulation

#endif
