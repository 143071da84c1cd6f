/*! @file
 * @brief Decides which chunk an instance asks from whom, and when.
 */
#ifndef COURSEJUNCTION_TRANSFER_TRANSFER_PLANNER_HPP
#define COURSEJUNCTION_TRANSFER_TRANSFER_PLANNER_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "coursejunction/core/assert.hpp"
#include "coursejunction/transfer/call_window.hpp"
#include "coursejunction/transfer/source_policy.hpp"

namespace coursejunction
{

/*! @brief Limits of a planner. */
struct planner_limits
{
    std::size_t max_holder_requests{
        4}; /*!< Chunks asked from holders at once. */
    std::size_t max_origin_requests{
        2}; /*!< Chunks asked from the origin at once. */
    std::size_t max_waiting_requests{
        16}; /*!< Chunks waited for at first sources. */
    std::size_t max_peer_queue{
        4}; /*!< Queue at a holder above which to skip. */
    milliseconds max_origin_backoff{
        3000}; /*!< Longest after failures in a row. */
    milliseconds min_stall_time{
        10'000}; /*!< Least time without any progress. */
    /*! @brief A chunk that one holder of the hall has had for this long and
     * that nobody got from it is asked of stand-ins; zero for never. */
    milliseconds single_copy_delay{0};
    /*! @brief A chunk that nobody of the hall has this long after the beginning
     * is asked of stand-ins; zero for never. */
    milliseconds first_copy_delay{0};
    /*! @brief A peer's chunk that takes this long shows that the own link is
     * narrow: fewer are asked at once; zero for never. */
    milliseconds slow_chunk_time{0};
    /*! @brief A call of the origin ends by itself when nothing comes any more:
     * as long as it is open, the chunk is not asked of the origin again. */
    bool origin_calls_time_out{false};
    std::uint32_t seed{1};
};

/*! @brief One thing to do. */
struct transfer_request
{
    enum class source_kind : std::uint8_t
    {
        holder,        /*!< Ask a peer that holds the chunk. */
        future_holder, /*!< Ask a peer to send the chunk once it holds it. */
        origin         /*!< Ask the origin. */
    };

    source_kind source{source_kind::holder};
    chunk_index chunk{0};
    instance_id peer;
};

/*! @brief Plans the transfer of one manifest to one instance. Pure: it is
 * told what happened and what time it is.
 * @tparam Policy A `Source_policy`. */
template <Source_policy Policy>
class transfer_planner
{
public:
    /*! @brief Known holders a planner can follow. */
    static constexpr std::size_t max_holders = 64;

    /*! @brief Peers that sent this many bad chunks are asked no more. */
    static constexpr std::size_t max_corrupt_chunks = 2;

    /*! @param link How narrow the own link was seen to be, shared by all
     * versions that come over it; none makes one for this plan alone. */
    transfer_planner(manifest of, instance_id self, planner_limits set,
                     Policy how, time_point now,
                     std::shared_ptr<call_window> link = nullptr)
        : plan(std::move(of)), own(std::move(self)), limits(set),
          policy(std::move(how)), random(set.seed),
          window(link ? std::move(link)
                      : std::make_shared<call_window>(set.max_holder_requests,
                                                      set.slow_chunk_time)),
          chunks(plan.size()), missing(plan.size()), flow_began(now),
          last_news(now), last_arrival(now)
    {
        for (chunk_index at = 0; at < chunks.size(); ++at)
            open.push_back(at);
        for (std::size_t at = 0; at < open.size(); ++at)
            chunks[open[at]].place = at;
    }

    /*! @brief Sets who takes part; called again when the list changes. */
    void set_participants(const std::vector<participant>& all, time_point now)
    {
        hall_of.clear();
        for (const auto& one : all)
            hall_of.emplace(one.id, one.hall);
        policy.assign(plan, all, own);
        for (const auto& id : policy.watched())
            watch(id, now);
    }

    /*! @brief Starts to expect signs of life of a peer. */
    void watch(const instance_id& peer, time_point now)
    {
        if (peer != own)
            heard_at.emplace(peer, now);
    }

    /*! @brief Returns the peers whose signs of life are expected. */
    [[nodiscard]] std::vector<instance_id> watched() const
    {
        std::vector<instance_id> ids;
        for (const auto& [id, when] : heard_at)
            ids.push_back(id);
        return ids;
    }

    /*! @brief Notes a sign of life of a peer. */
    void record_alive(const instance_id& peer, time_point now)
    {
        const auto found = heard_at.find(peer);
        if (found != heard_at.end())
            found->second = now;
        lost.erase(peer);
    }

    /*! @brief Notes chunks that a peer holds and the length of its queue. */
    void add_peer_chunks(const instance_id& peer,
                         const std::vector<chunk_index>& held,
                         std::uint32_t queue, time_point now)
    {
        record_alive(peer, now);
        const bool near = same_hall(peer);
        const auto number =
            near ? holder_number(peer) : std::optional<std::size_t>{};
        const auto mask = number ? bit(*number) : std::uint64_t{0};
        if (number)
            holders[*number].queue = queue;
        for (const auto at : held)
        {
            if (at >= chunks.size())
                continue;
            if (!chunks[at].seen && !chunks[at].held)
                news(now);
            chunks[at].seen = true;
            if (chunks[at].holders == 0 && mask != 0)
                chunks[at].near_since = now;
            chunks[at].holders |= mask;
        }
    }

    /*! @brief Notes that this instance now holds a chunk. */
    void add_chunk(chunk_index at, time_point now)
    {
        auto& one = chunks[at];
        if (one.held)
            return;
        if (!one.seen)
            news(now);
        one.seen = true;
        measure(one, now);
        settle(at);
        one.held = true;
        remove_open(at);
        --missing;
    }

    /*! @brief Notes that a request got no chunk. */
    void record_refusal(chunk_index at, const instance_id& peer, bool absent,
                        std::uint32_t queue, time_point now)
    {
        if (at >= chunks.size())
            return;
        const auto number = same_hall(peer) ? holder_number(peer)
                                            : std::optional<std::size_t>{};
        if (number && absent)
            chunks[at].holders &= ~bit(*number);
        if (number)
            busy(*number, queue, now);
        if (absent)
            refused_until[peer] = now + refused_pause;
        if (!chunks[at].held && chunks[at].asked_peer == peer)
            settle(at);
    }

    /*! @brief Notes that the origin did not give a chunk. */
    void record_origin_failure(chunk_index at, time_point now)
    {
        if (chunks[at].source == transfer_request::source_kind::origin)
            settle(at);
        origin_backoff = std::clamp(origin_backoff * 2, origin_least,
                                    limits.max_origin_backoff);
        origin_after = now + origin_backoff;
    }

    /*! @brief Notes a chunk with a wrong hash. */
    void record_corrupt(chunk_index at, const instance_id& peer)
    {
        if (!peer.empty() && ++bad[peer] >= max_corrupt_chunks)
            forget(peer);
        if (at < chunks.size() && !chunks[at].held)
            settle(at);
    }

    /*! @brief Notes that a peer cannot be reached. */
    void record_peer_loss(const instance_id& peer)
    {
        lost.insert(peer);
        forget(peer);
    }

    /*! @brief Returns what to ask now. */
    [[nodiscard]] std::vector<transfer_request> next_requests(time_point now)
    {
        std::vector<transfer_request> requests;
        if (complete())
            return requests;
        expire(now);
        escalate(now);
        ask_first_sources(requests, now);
        if constexpr (Policy::uses_possession)
        {
            free_slow_origin_calls(now);
            ask_holders(requests, now);
        }
        return requests;
    }

    /*! @brief Tells whether every chunk is held. */
    [[nodiscard]] bool complete() const noexcept { return missing == 0; }

    /*! @brief Returns how many chunks nobody is known to hold. */
    [[nodiscard]] std::size_t unseen_chunks() const
    {
        return static_cast<std::size_t>(
            std::count_if(open.begin(), open.end(),
                          [&](chunk_index at) { return !chunks[at].seen; }));
    }

    /*! @brief Returns how often first sources stalled. */
    [[nodiscard]] std::size_t stall_level() const noexcept { return stalls; }

    /*! @brief Tells whether a peer has sent too many bad chunks. */
    [[nodiscard]] bool banned(const instance_id& peer) const
    {
        const auto found = bad.find(peer);
        return found != bad.end() && found->second >= max_corrupt_chunks;
    }

    /*! @brief Returns how many requests are open, waits left out. */
    [[nodiscard]] std::size_t open_holder_requests() const noexcept
    {
        return holder_pending;
    }

private:
    static constexpr milliseconds origin_least{200};
    static constexpr milliseconds busy_pause{50};
    static constexpr milliseconds refused_pause{300};
    static constexpr milliseconds silence{1500};
    static constexpr milliseconds longest_origin_request{60'000};
    static constexpr milliseconds least_deadline{500};
    static constexpr std::size_t sample = 48;
    static constexpr std::size_t most_levels = 4;
    /*! @brief After a failure of the origin stand-ins wait this many times
     * longer: when it is back after an outage, first sources ask it first, and
     * its link carries each chunk once. */
    static constexpr int stand_in_pauses = 3;
    static constexpr double stall_intervals = 20;
    static constexpr double smoothing = 0.1;
    static constexpr double deadline_ratio = 4;
    static constexpr std::size_t scanned_most = 4096;

    struct chunk_state
    {
        std::uint64_t holders{0};
        bool held{false};
        bool seen{false};
        bool asked{false};
        transfer_request::source_kind source{};
        instance_id asked_peer;
        time_point asked_at{};
        time_point deadline{};
        time_point near_since{}; /*!< Since when the hall has a holder. */
        std::size_t place{0};
    };

    struct holder_state
    {
        instance_id id;
        std::uint32_t queue{0};
        std::uint32_t asked{0};
        time_point not_before{};
    };

    [[nodiscard]] bool same_hall(const instance_id& peer) const
    {
        const auto mine = hall_of.find(own);
        const auto other = hall_of.find(peer);
        return mine != hall_of.end() && other != hall_of.end() &&
               mine->second == other->second;
    }

    /*! @brief A peer is alive unless its connection failed or its expected
     * signs of life are missing. */
    [[nodiscard]] bool alive(const instance_id& peer, time_point now) const
    {
        if (lost.contains(peer) || banned(peer))
            return false;
        const auto found = heard_at.find(peer);
        return found == heard_at.end() || now - found->second <= silence;
    }

    static std::uint64_t bit(std::size_t number)
    {
        return std::uint64_t{1} << number;
    }

    std::optional<std::size_t> holder_number(const instance_id& peer)
    {
        if (banned(peer) || peer == own)
            return std::nullopt;
        for (std::size_t at = 0; at < holders.size(); ++at)
        {
            if (holders[at].id == peer)
                return at;
        }
        for (std::size_t at = 0; at < holders.size(); ++at)
        {
            if (!holders[at].id.empty())
                continue;
            holders[at] = holder_state{peer, 0, 0, {}};
            return at;
        }
        if (holders.size() == max_holders)
            return std::nullopt;
        holders.push_back(holder_state{peer, 0, 0, {}});
        return holders.size() - 1;
    }

    void busy(std::size_t number, std::uint32_t queue, time_point now)
    {
        holders[number].queue = queue;
        holders[number].not_before = now + busy_pause;
    }

    void forget(const instance_id& peer)
    {
        for (chunk_index at = 0; at < chunks.size(); ++at)
        {
            if (chunks[at].asked && chunks[at].asked_peer == peer)
                settle(at);
        }
        for (std::size_t at = 0; at < holders.size(); ++at)
        {
            if (holders[at].id != peer)
                continue;
            for (auto& one : chunks)
                one.holders &= ~bit(at);
            holders[at] = holder_state{};
        }
    }

    /*! @brief A chunk is seen for the first time anywhere. */
    void news(time_point now)
    {
        const auto gap = to_seconds(now - last_news);
        interval =
            interval == 0 ? gap : interval + (gap - interval) * smoothing;
        // Chunks come again: stand-ins asked while nothing came would now
        // only fetch the same ones more often.
        if (now - last_arrival > limits.min_stall_time)
        {
            stalls = 0;
            flow_began = now;
        }
        else if (stalls > 0)
            --stalls;
        last_arrival = now;
        last_news = now;
    }

    /*! @brief Learns from how long a chunk took. */
    void measure(const chunk_state& one, time_point now)
    {
        if (!one.asked)
            return;
        const auto took = now - one.asked_at;
        if (one.source == transfer_request::source_kind::holder)
        {
            chunk_seconds += (to_seconds(took) - chunk_seconds) * smoothing;
            window->record_duration(
                std::chrono::duration_cast<std::chrono::microseconds>(took));
        }
        if (one.source == transfer_request::source_kind::origin)
            origin_backoff = milliseconds(0);
    }

    /*! @brief Ends the request for a chunk. */
    void settle(chunk_index at)
    {
        auto& one = chunks[at];
        if (!one.asked)
            return;
        one.asked = false;
        switch (one.source)
        {
        case transfer_request::source_kind::holder:
            --holder_pending;
            for (auto& peer : holders)
            {
                if (peer.id == one.asked_peer && peer.asked > 0)
                    --peer.asked;
            }
            break;
        case transfer_request::source_kind::future_holder:
            --waiting_pending;
            break;
        case transfer_request::source_kind::origin:
            --origin_pending;
            break;
        }
        one.asked_peer = instance_id();
    }

    void remove_open(chunk_index at)
    {
        const auto place = chunks[at].place;
        open[place] = open.back();
        chunks[open[place]].place = place;
        open.pop_back();
    }

    void ask(std::vector<transfer_request>& requests, chunk_index at,
             transfer_request::source_kind source, instance_id peer,
             time_point now, std::chrono::microseconds allowed)
    {
        auto& one = chunks[at];
        COURSEJUNCTION_ASSERT(!one.asked && !one.held, "asked twice");
        one.asked = true;
        one.source = source;
        one.asked_peer = peer;
        one.asked_at = now;
        one.deadline = now + allowed;
        if (source == transfer_request::source_kind::holder)
            ++holder_pending;
        else if (source == transfer_request::source_kind::future_holder)
            ++waiting_pending;
        else
            ++origin_pending;
        requests.push_back({source, at, std::move(peer)});
    }

    /*! @brief Gives up requests whose deadline has passed. A late chunk is
     * still taken when it comes. */
    void expire(time_point now)
    {
        for (const auto at : open)
        {
            auto& one = chunks[at];
            if (!one.asked)
                continue;
            const bool silent =
                !one.asked_peer.empty() && !alive(one.asked_peer, now);
            if (now < one.deadline && !silent)
                continue;
            if (one.source == transfer_request::source_kind::holder)
            {
                const auto number = holder_number(one.asked_peer);
                if (number)
                    holders[*number].not_before = now + least_deadline;
                window->record_duration(
                    std::chrono::duration_cast<std::chrono::microseconds>(
                        now - one.asked_at));
            }
            settle(at);
        }
    }

    /*! @brief Lets later ranks stand in although earlier ones are alive, when
     * nothing new is seen for long, measured by how often something new was
     * seen before. Each further step takes twice as long. */
    void escalate(time_point now)
    {
        const auto least = std::max<std::chrono::microseconds>(
            limits.min_stall_time, from_seconds(interval * stall_intervals));
        if (now - last_news < least * (1 << std::min(stalls, most_levels)))
            return;
        ++stalls;
        last_news = now;
        for (const auto at : open)
        {
            const auto& one = chunks[at];
            const bool goes_on =
                one.source == transfer_request::source_kind::origin &&
                limits.origin_calls_time_out;
            if (one.asked &&
                one.source != transfer_request::source_kind::holder && !goes_on)
                settle(at);
        }
    }

    /*! @brief A chunk that the origin gives slowly may be asked of a holder of
     * the hall; the call of the origin goes on, and the first one counts. */
    void free_slow_origin_calls(time_point now)
    {
        if (!limits.origin_calls_time_out)
            return;
        for (const auto at : open)
        {
            const auto& one = chunks[at];
            if (one.asked &&
                one.source == transfer_request::source_kind::origin &&
                one.holders != 0 &&
                now - one.asked_at > limits.single_copy_delay)
                settle(at);
        }
    }

    /*! @brief Returns how long a chunk may take from a holder: a multiple of
     * what chunks took lately. */
    std::chrono::microseconds allowance() const
    {
        return std::max<std::chrono::microseconds>(
            least_deadline,
            from_seconds(chunk_seconds * deadline_ratio *
                         static_cast<double>(limits.max_peer_queue + 1)));
    }

    /*! @brief Asks for chunks that this instance is the first source of, then
     * for those that it stands in for. */
    void ask_first_sources(std::vector<transfer_request>& requests,
                           time_point now)
    {
        if (open.empty())
            return;
        const auto start = random() % open.size();
        ask_sources(requests, now, start, false);
        ask_sources(requests, now, start, true);
    }

    /*! @param stand_in Whether to ask for what others are first sources of. */
    void ask_sources(std::vector<transfer_request>& requests, time_point now,
                     std::size_t start, bool stand_in)
    {
        constexpr std::size_t examined_most = 512;
        std::size_t examined = 0;
        const liveness living = [&](const instance_id& peer)
        { return alive(peer, now); };
        for (std::size_t step = 0;
             step < open.size() && examined < examined_most; ++step)
        {
            const auto at = open[(start + step) % open.size()];
            auto& one = chunks[at];
            const auto late = late_level(one, now);
            const auto stalled = std::max(stalls, late);
            if (stand_in && stalled == 0)
                continue;
            const bool asked_long =
                one.asked && late > 0 &&
                now - one.asked_at > limits.single_copy_delay &&
                one.source != transfer_request::source_kind::origin;
            if ((one.asked && !asked_long) ||
                (Policy::uses_possession && one.holders != 0 && late == 0))
                continue;
            ++examined;
            const auto from = policy.source(at, living, stand_in ? stalled : 0);
            // A peer that stalls is left for the one that stands in for it.
            if (from.kind == chunk_source::source_kind::none ||
                (!stand_in && stalled > 0 &&
                 from.kind == chunk_source::source_kind::peer) ||
                (one.asked && from.peer == one.asked_peer))
                continue;
            if (asked_long)
                settle(at);
            ask_first_source(requests, at, from, now, stand_in);
        }
    }

    /*! @brief Returns how many ranks may stand in for a chunk that does not
     * spread: the link of the only one who has it may be narrow, and all that
     * ask it share that. Each further second lets one more stand in. While
     * nothing comes at all, `escalate` decides alone. */
    [[nodiscard]] std::size_t late_level(const chunk_state& one,
                                         time_point now) const
    {
        if (!Policy::uses_possession || limits.single_copy_delay.count() == 0)
            return 0;
        const int count = __builtin_popcountll(one.holders);
        if (count > 1)
            return 0;
        if (count == 0 && now - last_arrival > limits.min_stall_time)
            return 0;
        const auto since = count == 1
                               ? one.near_since + limits.single_copy_delay
                               : flow_began + limits.first_copy_delay;
        if (now < since)
            return 0;
        const auto more =
            static_cast<std::size_t>((now - since) / limits.single_copy_delay);
        return std::min(more + 1, most_levels);
    }

    void ask_first_source(std::vector<transfer_request>& requests,
                          chunk_index at, const chunk_source& from,
                          time_point now, bool stand_in)
    {
        if (from.kind == chunk_source::source_kind::origin &&
            origin_pending < window->limit(limits.max_origin_requests) &&
            now >= origin_after +
                       (stand_in ? stand_in_pauses : 0) * origin_backoff)
            ask(requests, at, transfer_request::source_kind::origin, {}, now,
                longest_origin_request);
        if (from.kind == chunk_source::source_kind::peer &&
            waiting_pending < window->limit(limits.max_waiting_requests) &&
            !banned(from.peer) && from.peer != own &&
            now >= refused_until[from.peer])
            ask(requests, at, transfer_request::source_kind::future_holder,
                from.peer, now, longest_origin_request);
    }

    void ask_holders(std::vector<transfer_request>& requests, time_point now)
    {
        while (holder_pending < window->limit(limits.max_holder_requests))
        {
            if (!ask_best_holder(requests, now))
                return;
        }
    }

    /*! @brief Asks the least busy holder for the rarest of some chunks. */
    bool ask_best_holder(std::vector<transfer_request>& requests,
                         time_point now)
    {
        std::vector<std::pair<std::uint64_t, std::size_t>> order;
        for (std::size_t at = 0; at < holders.size(); ++at)
        {
            const auto& one = holders[at];
            const auto load = one.queue + one.asked;
            if (one.id.empty() || load > limits.max_peer_queue ||
                now < one.not_before)
                continue;
            order.emplace_back((std::uint64_t{load} << 32U) | random(), at);
        }
        std::sort(order.begin(), order.end());
        for (const auto& [load, number] : order)
        {
            const auto at = rarest_of(number);
            if (!at)
                continue;
            ++holders[number].asked;
            ask(requests, *at, transfer_request::source_kind::holder,
                holders[number].id, now, allowance());
            return true;
        }
        return false;
    }

    std::optional<chunk_index> rarest_of(std::size_t number)
    {
        std::optional<chunk_index> best;
        int fewest = static_cast<int>(max_holders) + 1;
        std::size_t seen = 0;
        const auto start = random() % open.size();
        for (std::size_t step = 0;
             step < open.size() && step < scanned_most && seen < sample; ++step)
        {
            const auto at = open[(start + step) % open.size()];
            const auto& one = chunks[at];
            if (one.asked || (one.holders & bit(number)) == 0)
                continue;
            ++seen;
            const int count = __builtin_popcountll(one.holders);
            if (count >= fewest)
                continue;
            fewest = count;
            best = at;
        }
        return best;
    }

    manifest plan;
    instance_id own;
    planner_limits limits;
    Policy policy;
    std::minstd_rand random;
    std::shared_ptr<call_window> window;
    std::vector<chunk_state> chunks;
    std::vector<chunk_index> open;
    std::vector<holder_state> holders;
    std::map<instance_id, std::size_t> bad;
    std::size_t missing;
    std::size_t holder_pending{0};
    std::size_t waiting_pending{0};
    std::size_t origin_pending{0};
    std::size_t stalls{0};
    milliseconds origin_backoff{0};
    time_point origin_after{};
    time_point flow_began; /*!< Since when chunks have come steadily. */
    time_point last_news;  /*!< Of a chunk, or of a step of `escalate`. */
    time_point last_arrival;
    double interval{0};
    double chunk_seconds{0.1};
    std::map<instance_id, hall_id> hall_of;
    std::map<instance_id, time_point> heard_at;
    std::set<instance_id> lost;
    std::map<instance_id, time_point> refused_until;
};

} // namespace coursejunction

#endif
