/*! @file
 * @brief Replays in virtual time how one version comes from a slow origin, that
 * may be away for a while, to sides of several halls. Without input or output.
 */
#ifndef COURSEJUNCTION_TESTS_TRANSFER_ORIGIN_REPLAY_HPP
#define COURSEJUNCTION_TESTS_TRANSFER_ORIGIN_REPLAY_HPP

#include <algorithm>
#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "coursejunction/transfer/transfer_planner.hpp"
#include "transfer/fixtures.hpp"

namespace origin_replay
{

namespace cj = coursejunction;

/*! @brief What is played; times in ms. */
struct pattern
{
    std::size_t halls{3};
    std::size_t sides_each{15};
    cj::chunk_index chunks{64};
    double origin_chunk{44}; /*!< A chunk on the origin's whole link. */
    double side_chunk{35};   /*!< A chunk on a side's link. */
    double away_from{-1};
    double away_to{-1};
    cj::planner_limits limits;
};

/*! @brief What came of it. */
struct outcome
{
    double copies{0};    /*!< Sent by the origin. */
    double last_sent{0}; /*!< When the origin sent the last chunk. */
    double first_whole{0};
    double last_whole{0};
};

/*! @brief Plays one pattern. */
class player
{
public:
    explicit player(pattern set) : played(std::move(set))
    {
        std::vector<cj::participant> all;
        for (std::size_t at = 0; at < played.halls * played.sides_each; ++at)
            all.push_back({cj::instance_id("s" + std::to_string(at)),
                           hall_of(at), cj::region_id(hall_of(at).value())});
        const auto list =
            fixtures::manifest_of(fixtures::model_bytes(played.chunks));
        for (std::size_t at = 0; at < all.size(); ++at)
        {
            auto limits = played.limits;
            limits.seed = static_cast<std::uint32_t>(at + 1);
            sides.push_back({all[at].id,
                             planner(list, all[at].id, limits,
                                     cj::swarm_policy(), moment(0)),
                             std::vector<bool>(played.chunks),
                             {}});
            sides.back().plan.set_participants(all, moment(0));
        }
    }

    outcome play()
    {
        constexpr double longest = 60'000;
        for (double now = 0; now < longest && whole < sides.size(); ++now)
            step(now);
        made.copies = sent / static_cast<double>(played.chunks);
        return made;
    }

private:
    using planner = cj::transfer_planner<cj::swarm_policy>;

    static constexpr std::size_t planning = 20;
    static constexpr std::size_t telling = 90;
    static constexpr std::size_t far_telling = 800;

    struct upload
    {
        std::size_t to{0};
        cj::chunk_index chunk{0};
        double ready{0};
    };

    struct side
    {
        cj::instance_id id;
        planner plan;
        std::vector<bool> held;
        std::deque<upload> uploads;
        std::size_t count{0};
    };

    struct origin_call
    {
        std::size_t by{0};
        cj::chunk_index chunk{0};
        double left{0};
    };

    struct waiting_call
    {
        std::size_t at{0};
        std::size_t by{0};
        cj::chunk_index chunk{0};
    };

    static cj::time_point moment(double ms)
    {
        return cj::time_point{std::chrono::hours(1)} +
               std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000));
    }

    [[nodiscard]] cj::hall_id hall_of(std::size_t at) const
    {
        return cj::hall_id("h" + std::to_string(at % played.halls));
    }

    [[nodiscard]] bool away(double now) const
    {
        return now >= played.away_from && now < played.away_to;
    }

    void step(double now)
    {
        serve_origin(now);
        for (auto& one : sides)
            serve_uploads(one, now);
        const auto tick = static_cast<std::size_t>(now);
        for (std::size_t at = 0; at < sides.size(); ++at)
        {
            if ((tick + at * 7) % telling == 0)
                tell(at, now, (tick / telling) % (far_telling / telling) == 0);
            if ((tick + at * 3) % planning == 0)
                ask(at, now);
        }
    }

    /*! @brief The origin's link sends one chunk after the other. */
    void serve_origin(double now)
    {
        if (away(now))
        {
            for (const auto& one : calls)
                sides[one.by].plan.record_origin_failure(one.chunk,
                                                         moment(now));
            calls.clear();
            return;
        }
        if (calls.empty() || --calls.front().left > 0)
            return;
        const auto done = calls.front();
        calls.pop_front();
        if (!calls.empty())
            calls.front().left += std::min(done.left, 0.0);
        ++sent;
        made.last_sent = now;
        take(done.by, done.chunk, now);
    }

    void serve_uploads(side& one, double now)
    {
        if (one.uploads.empty() || one.uploads.front().ready > now)
            return;
        const auto first = one.uploads.front();
        one.uploads.pop_front();
        if (!one.uploads.empty())
            one.uploads.front().ready = now + played.side_chunk;
        take(first.to, first.chunk, now);
    }

    void take(std::size_t by, cj::chunk_index chunk, double now)
    {
        auto& one = sides[by];
        one.plan.add_chunk(chunk, moment(now));
        if (one.held[chunk])
            return;
        one.held[chunk] = true;
        if (++one.count == played.chunks)
        {
            ++whole;
            made.last_whole = now;
            if (whole == 1)
                made.first_whole = now;
        }
        std::erase_if(waiting,
                      [&](const waiting_call& call)
                      {
                          if (call.at != by || call.chunk != chunk)
                              return false;
                          give(by, call.by, chunk, now);
                          return true;
                      });
    }

    void give(std::size_t from, std::size_t to, cj::chunk_index chunk,
              double now)
    {
        sides[from].uploads.push_back({to, chunk, now + played.side_chunk});
    }

    void tell(std::size_t from, double now, bool far)
    {
        std::vector<cj::chunk_index> held;
        for (cj::chunk_index at = 0; at < played.chunks; ++at)
            if (sides[from].held[at])
                held.push_back(at);
        const auto queue =
            static_cast<std::uint32_t>(sides[from].uploads.size());
        for (std::size_t to = 0; to < sides.size(); ++to)
            if (to != from && (far || hall_of(to) == hall_of(from)))
                sides[to].plan.add_peer_chunks(sides[from].id, held, queue,
                                               moment(now));
    }

    void ask(std::size_t by, double now)
    {
        using kind = cj::transfer_request::source_kind;
        for (const auto& one : sides[by].plan.next_requests(moment(now)))
        {
            if (one.source == kind::origin)
            {
                calls.push_back({by, one.chunk, played.origin_chunk});
                continue;
            }
            const auto peer = std::stoul(one.peer.value().substr(1));
            if (sides[peer].held[one.chunk])
                give(peer, by, one.chunk, now);
            else if (one.source == kind::future_holder)
                waiting.push_back({peer, by, one.chunk});
            else
                sides[by].plan.record_refusal(one.chunk, one.peer, true, 0,
                                              moment(now));
        }
    }

    pattern played;
    std::vector<side> sides;
    std::deque<origin_call> calls;
    std::vector<waiting_call> waiting;
    std::size_t whole{0};
    double sent{0};
    outcome made;
};

} // namespace origin_replay

#endif
