/*! @file
 * @brief Decides when an instance requests which chunk, and from whom.
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

/*! @brief Limits and delays of a planner. */
struct planner_limits
{
    std::size_t max_holder_requests{4};
    std::size_t max_origin_requests{2};
    std::size_t max_waiting_requests{16}; /*!< To future holders. */
    /*! @brief A holder with a longer upload queue is skipped. */
    std::size_t max_peer_queue{4};
    milliseconds max_origin_backoff{3000};
    /*! @brief Minimum time without progress that counts as a stall. */
    milliseconds min_stall_time{10'000};
    /*! @brief After a chunk has had a single holder in the hall for this long,
     * stand-ins may request it from its first sources; zero disables this. */
    milliseconds single_copy_delay{0};
    /*! @brief When the hall has no copy of a chunk this long after chunks began
     * to arrive, stand-ins may request it; zero disables this. */
    milliseconds first_copy_delay{0};
    /*! @brief A chunk that takes this long from a peer indicates a narrow link
     * of this instance: fewer are requested at the same time; zero disables
     * this. */
    milliseconds slow_chunk_time{0};
    /*! @brief Calls to the origin fail on their own when no more data arrives.
     * A stall then does not repeat a call that is open, and a slow chunk is
     * requested from a holder besides. */
    bool origin_calls_time_out{false};
    std::uint32_t seed{1};
};

/*! @brief A request that the caller is to send. */
struct transfer_request
{
    enum class source_kind : std::uint8_t
    {
        holder,        /*!< A peer that holds the chunk. */
        future_holder, /*!< A peer that sends the chunk once it holds it. */
        origin         /*!< The origin. */
    };

    source_kind source{source_kind::holder};
    chunk_index chunk{0};
    instance_id peer;
};

/*! @brief Plans the transfer of one version to one instance. Does no I/O: it is
 * given every event and the current time.
 *
 * Each chunk has first sources, chosen by the policy, that bring it to a hall;
 * inside the hall it is requested from any holder, the rarest first. A
 * stand-in is an instance of lower rank that fetches a chunk in place of a
 * first source that is slow or failed.
 * @tparam Policy A `Source_policy`. */
template <Source_policy Policy>
class transfer_planner
{
public:
    /*! @brief Peers whose chunks are tracked: one bit each in a 64-bit mask. */
    static constexpr std::size_t max_holders = 64;

    /*! @brief A peer that sent this many corrupt chunks is not asked again. */
    static constexpr std::size_t max_corrupt_chunks = 2;

    /*! @param shared_window Limit of concurrent downloads, shared by all
     * versions that arrive over the same link; null creates one for this
     * planner alone. */
    transfer_planner(manifest list, instance_id self,
                     planner_limits initial_limits, Policy initial_policy,
                     time_point now,
                     std::shared_ptr<call_window> shared_window = nullptr)
        : content(std::move(list)), own(std::move(self)),
          limits(initial_limits), policy(std::move(initial_policy)),
          random(initial_limits.seed),
          window(shared_window ? std::move(shared_window)
                               : std::make_shared<call_window>(
                                     initial_limits.max_holder_requests,
                                     initial_limits.slow_chunk_time)),
          chunks(content.size()), missing_count(content.size()),
          flow_started(now), last_progress(now), last_sighting(now)
    {
        for (chunk_index chunk = 0; chunk < chunks.size(); ++chunk)
            missing_chunks.push_back(chunk);
        for (std::size_t position = 0; position < missing_chunks.size();
             ++position)
            chunks[missing_chunks[position]].missing_position = position;
    }

    /*! @brief Sets the participants; called again when they change. */
    void set_participants(const std::vector<participant>& all, time_point now)
    {
        halls.clear();
        for (const auto& one : all)
            halls.emplace(one.id, one.hall);
        policy.assign(content, all, own);
        for (const auto& id : policy.watched())
            watch(id, now);
    }

    /*! @brief Starts to track whether a peer is alive. */
    void watch(const instance_id& peer, time_point now)
    {
        if (peer != own)
            last_alive.emplace(peer, now);
    }

    /*! @brief Returns the peers that are tracked for liveness. */
    [[nodiscard]] std::vector<instance_id> watched() const
    {
        std::vector<instance_id> ids;
        for (const auto& [id, when] : last_alive)
            ids.push_back(id);
        return ids;
    }

    /*! @brief Records that a peer is alive. */
    void record_alive(const instance_id& peer, time_point now)
    {
        const auto found = last_alive.find(peer);
        if (found != last_alive.end())
            found->second = now;
        lost_peers.erase(peer);
    }

    /*! @brief Records chunks that a peer holds and the length of its upload
     * queue. Earlier chunks of the peer stay recorded. */
    void add_peer_chunks(const instance_id& peer,
                         const std::vector<chunk_index>& held,
                         std::uint32_t queue, time_point now)
    {
        record_alive(peer, now);
        const bool in_hall = same_hall(peer);
        const auto number =
            in_hall ? holder_number(peer) : std::optional<std::size_t>{};
        const auto mask = number ? bit(*number) : std::uint64_t{0};
        if (number)
            holders[*number].queue = queue;
        for (const auto chunk : held)
        {
            if (chunk >= chunks.size())
                continue;
            if (!chunks[chunk].seen && !chunks[chunk].held)
                record_first_sighting(now);
            chunks[chunk].seen = true;
            if (chunks[chunk].holder_mask == 0 && mask != 0)
                chunks[chunk].in_hall_since = now;
            chunks[chunk].holder_mask |= mask;
        }
    }

    /*! @brief Records that this instance now holds a chunk. */
    void add_chunk(chunk_index chunk, time_point now)
    {
        auto& one = chunks[chunk];
        if (one.held)
            return;
        if (!one.seen)
            record_first_sighting(now);
        one.seen = true;
        record_duration(one, now);
        close_request(chunk);
        one.held = true;
        remove_missing(chunk);
        --missing_count;
    }

    /*! @brief Records that a peer refused a request.
     * @param not_held The peer does not hold the chunk, as opposed to being
     * busy.
     * @param queue Length of its upload queue. */
    void record_refusal(chunk_index chunk, const instance_id& peer,
                        bool not_held, std::uint32_t queue, time_point now)
    {
        if (chunk >= chunks.size())
            return;
        const auto number = same_hall(peer) ? holder_number(peer)
                                            : std::optional<std::size_t>{};
        if (number && not_held)
            chunks[chunk].holder_mask &= ~bit(*number);
        if (number)
            mark_busy(*number, queue, now);
        if (not_held)
            refused_until[peer] = now + refusal_backoff;
        if (!chunks[chunk].held && chunks[chunk].requested_peer == peer)
            close_request(chunk);
    }

    /*! @brief Records that the origin failed to send a chunk. Each failure in a
     * row doubles the time until the next request to it. */
    void record_origin_failure(chunk_index chunk, time_point now)
    {
        if (chunks[chunk].source == transfer_request::source_kind::origin)
            close_request(chunk);
        origin_backoff = std::clamp(origin_backoff * 2, min_origin_backoff,
                                    limits.max_origin_backoff);
        next_origin_request = now + origin_backoff;
    }

    /*! @brief Records a chunk with a wrong hash.
     * @param peer The sender; empty for the origin. */
    void record_corrupt(chunk_index chunk, const instance_id& peer)
    {
        if (!peer.empty() && ++corrupt_counts[peer] >= max_corrupt_chunks)
            remove_holder(peer);
        if (chunk < chunks.size() && !chunks[chunk].held)
            close_request(chunk);
    }

    /*! @brief Records that a peer cannot be reached. */
    void record_peer_loss(const instance_id& peer)
    {
        lost_peers.insert(peer);
        remove_holder(peer);
    }

    /*! @brief Returns the requests to send now. */
    [[nodiscard]] std::vector<transfer_request> next_requests(time_point now)
    {
        std::vector<transfer_request> requests;
        if (complete())
            return requests;
        expire_requests(now);
        escalate_if_stalled(now);
        request_from_first_sources(requests, now);
        if constexpr (Policy::uses_possession)
        {
            reopen_slow_origin_chunks(now);
            request_from_holders(requests, now);
        }
        return requests;
    }

    /*! @brief Returns whether every chunk is held. */
    [[nodiscard]] bool complete() const noexcept { return missing_count == 0; }

    /*! @brief Returns how many chunks no instance is known to hold. */
    [[nodiscard]] std::size_t unseen_chunks() const
    {
        return static_cast<std::size_t>(std::count_if(
            missing_chunks.begin(), missing_chunks.end(),
            [&](chunk_index chunk) { return !chunks[chunk].seen; }));
    }

    /*! @brief Returns how many further ranks may stand in because of stalls. */
    [[nodiscard]] std::size_t stall_level() const noexcept
    {
        return current_stall_level;
    }

    /*! @brief Returns whether a peer has sent too many corrupt chunks. */
    [[nodiscard]] bool banned(const instance_id& peer) const
    {
        const auto found = corrupt_counts.find(peer);
        return found != corrupt_counts.end() &&
               found->second >= max_corrupt_chunks;
    }

    /*! @brief Returns the number of open requests to holders. */
    [[nodiscard]] std::size_t open_holder_requests() const noexcept
    {
        return open_holder_count;
    }

private:
    static constexpr milliseconds min_origin_backoff{200};
    static constexpr milliseconds busy_backoff{50};
    static constexpr milliseconds refusal_backoff{300};
    static constexpr milliseconds max_silence{1500};
    static constexpr milliseconds first_source_timeout{60'000};
    static constexpr milliseconds min_holder_timeout{500};
    /*! @brief Candidates among which the rarest chunk is chosen. */
    static constexpr std::size_t rarity_sample = 48;
    /*! @brief Upper bound of `stand_in_level`, and of the doublings of the time
     * between two escalations. */
    static constexpr std::size_t max_level = 4;
    /*! @brief After a failure of the origin, stand-ins wait this many times
     * longer than first sources: after an outage, first sources then ask it
     * first, and its link carries each chunk once. */
    static constexpr int stand_in_backoff_factor = 3;
    /*! @brief A stall takes this many usual intervals between sightings. */
    static constexpr double stall_intervals = 20;
    /*! @brief Weight of a new sample in moving averages. */
    static constexpr double smoothing = 0.1;
    /*! @brief Timeout of a request to a holder, in mean durations. */
    static constexpr double timeout_ratio = 4;
    /*! @brief Missing chunks scanned for candidates in one search. */
    static constexpr std::size_t max_scanned = 4096;

    struct chunk_state
    {
        std::uint64_t holder_mask{0};
        bool held{false};
        bool seen{false};
        bool requested{false};
        transfer_request::source_kind source{};
        instance_id requested_peer;
        time_point requested_at{};
        time_point deadline{};
        time_point in_hall_since{}; /*!< When the hall got its first holder. */
        std::size_t missing_position{0};
    };

    struct holder_state
    {
        instance_id id;
        std::uint32_t queue{0};
        std::uint32_t open_requests{0};
        time_point not_before{};
    };

    [[nodiscard]] bool same_hall(const instance_id& peer) const
    {
        const auto own_hall = halls.find(own);
        const auto peer_hall = halls.find(peer);
        return own_hall != halls.end() && peer_hall != halls.end() &&
               own_hall->second == peer_hall->second;
    }

    /*! @brief A peer counts as alive unless its connection failed, it is
     * banned, or it is tracked and has been silent for `max_silence`. */
    [[nodiscard]] bool alive(const instance_id& peer, time_point now) const
    {
        if (lost_peers.contains(peer) || banned(peer))
            return false;
        const auto found = last_alive.find(peer);
        return found == last_alive.end() || now - found->second <= max_silence;
    }

    static std::uint64_t bit(std::size_t number)
    {
        return std::uint64_t{1} << number;
    }

    std::optional<std::size_t> holder_number(const instance_id& peer)
    {
        if (banned(peer) || peer == own)
            return std::nullopt;
        for (std::size_t number = 0; number < holders.size(); ++number)
        {
            if (holders[number].id == peer)
                return number;
        }
        for (std::size_t number = 0; number < holders.size(); ++number)
        {
            if (!holders[number].id.empty())
                continue;
            holders[number] = holder_state{peer, 0, 0, {}};
            return number;
        }
        if (holders.size() == max_holders)
            return std::nullopt;
        holders.push_back(holder_state{peer, 0, 0, {}});
        return holders.size() - 1;
    }

    void mark_busy(std::size_t number, std::uint32_t queue, time_point now)
    {
        holders[number].queue = queue;
        holders[number].not_before = now + busy_backoff;
    }

    void remove_holder(const instance_id& peer)
    {
        for (chunk_index chunk = 0; chunk < chunks.size(); ++chunk)
        {
            if (chunks[chunk].requested && chunks[chunk].requested_peer == peer)
                close_request(chunk);
        }
        for (std::size_t number = 0; number < holders.size(); ++number)
        {
            if (holders[number].id != peer)
                continue;
            for (auto& one : chunks)
                one.holder_mask &= ~bit(number);
            holders[number] = holder_state{};
        }
    }

    /*! @brief Records that some instance holds a chunk that none was known to
     * hold. */
    void record_first_sighting(time_point now)
    {
        const auto gap = to_seconds(now - last_progress);
        sighting_interval =
            sighting_interval == 0
                ? gap
                : sighting_interval + (gap - sighting_interval) * smoothing;
        // After a stall of the whole transfer, stand-ins are dismissed: they
        // would only fetch chunks that first sources now fetch anyway.
        if (now - last_sighting > limits.min_stall_time)
        {
            current_stall_level = 0;
            flow_started = now;
        }
        else if (current_stall_level > 0)
            --current_stall_level;
        last_sighting = now;
        last_progress = now;
    }

    /*! @brief Updates the estimates by how long a request took. */
    void record_duration(const chunk_state& one, time_point now)
    {
        if (!one.requested)
            return;
        const auto duration = now - one.requested_at;
        if (one.source == transfer_request::source_kind::holder)
        {
            mean_chunk_seconds +=
                (to_seconds(duration) - mean_chunk_seconds) * smoothing;
            window->record_duration(
                std::chrono::duration_cast<std::chrono::microseconds>(
                    duration));
        }
        if (one.source == transfer_request::source_kind::origin)
            origin_backoff = milliseconds(0);
    }

    /*! @brief Closes the request for a chunk, if one is open. */
    void close_request(chunk_index chunk)
    {
        auto& one = chunks[chunk];
        if (!one.requested)
            return;
        one.requested = false;
        switch (one.source)
        {
        case transfer_request::source_kind::holder:
            --open_holder_count;
            for (auto& peer : holders)
            {
                if (peer.id == one.requested_peer && peer.open_requests > 0)
                    --peer.open_requests;
            }
            break;
        case transfer_request::source_kind::future_holder:
            --open_future_holder_count;
            break;
        case transfer_request::source_kind::origin:
            --open_origin_count;
            break;
        }
        one.requested_peer = instance_id();
    }

    void remove_missing(chunk_index chunk)
    {
        const auto missing_position = chunks[chunk].missing_position;
        missing_chunks[missing_position] = missing_chunks.back();
        chunks[missing_chunks[missing_position]].missing_position =
            missing_position;
        missing_chunks.pop_back();
    }

    void open_request(std::vector<transfer_request>& requests,
                      chunk_index chunk, transfer_request::source_kind source,
                      instance_id peer, time_point now,
                      std::chrono::microseconds timeout)
    {
        auto& one = chunks[chunk];
        COURSEJUNCTION_ASSERT(!one.requested && !one.held,
                              "chunk is held or already requested");
        one.requested = true;
        one.source = source;
        one.requested_peer = peer;
        one.requested_at = now;
        one.deadline = now + timeout;
        if (source == transfer_request::source_kind::holder)
            ++open_holder_count;
        else if (source == transfer_request::source_kind::future_holder)
            ++open_future_holder_count;
        else
            ++open_origin_count;
        requests.push_back({source, chunk, std::move(peer)});
    }

    /*! @brief Closes requests whose deadline has passed or whose peer is not
     * alive. A chunk that arrives later is still accepted. */
    void expire_requests(time_point now)
    {
        for (const auto chunk : missing_chunks)
        {
            auto& one = chunks[chunk];
            if (!one.requested)
                continue;
            const bool silent =
                !one.requested_peer.empty() && !alive(one.requested_peer, now);
            if (now < one.deadline && !silent)
                continue;
            if (one.source == transfer_request::source_kind::holder)
            {
                const auto number = holder_number(one.requested_peer);
                if (number)
                    holders[*number].not_before = now + min_holder_timeout;
                window->record_duration(
                    std::chrono::duration_cast<std::chrono::microseconds>(
                        now - one.requested_at));
            }
            close_request(chunk);
        }
    }

    /*! @brief Lets one more rank stand in, although earlier ones are alive,
     * when nothing new has been seen for a multiple of the usual interval. The
     * time to each further step doubles. */
    void escalate_if_stalled(time_point now)
    {
        const auto stall_time = std::max<std::chrono::microseconds>(
            limits.min_stall_time,
            from_seconds(sighting_interval * stall_intervals));
        if (now - last_progress <
            stall_time * (1 << std::min(current_stall_level, max_level)))
            return;
        ++current_stall_level;
        last_progress = now;
        for (const auto chunk : missing_chunks)
        {
            const auto& one = chunks[chunk];
            const bool origin_call_continues =
                one.source == transfer_request::source_kind::origin &&
                limits.origin_calls_time_out;
            if (one.requested &&
                one.source != transfer_request::source_kind::holder &&
                !origin_call_continues)
                close_request(chunk);
        }
    }

    /*! @brief Lets a chunk that arrives slowly from the origin be requested
     * from a holder in the hall. The call to the origin continues; whichever
     * copy arrives first is kept. */
    void reopen_slow_origin_chunks(time_point now)
    {
        if (!limits.origin_calls_time_out)
            return;
        for (const auto chunk : missing_chunks)
        {
            const auto& one = chunks[chunk];
            if (one.requested &&
                one.source == transfer_request::source_kind::origin &&
                one.holder_mask != 0 &&
                now - one.requested_at > limits.single_copy_delay)
                close_request(chunk);
        }
    }

    /*! @brief Returns the timeout of a request to a holder: a multiple of the
     * mean duration of a chunk, times the longest queue that may be ahead of
     * it. */
    std::chrono::microseconds holder_timeout() const
    {
        return std::max<std::chrono::microseconds>(
            min_holder_timeout,
            from_seconds(mean_chunk_seconds * timeout_ratio *
                         static_cast<double>(limits.max_peer_queue + 1)));
    }

    /*! @brief Requests chunks whose first fetch is up to this instance, then
     * those that it stands in for. */
    void request_from_first_sources(std::vector<transfer_request>& requests,
                                    time_point now)
    {
        if (missing_chunks.empty())
            return;
        const auto start = random() % missing_chunks.size();
        request_from_sources(requests, now, start, false);
        request_from_sources(requests, now, start, true);
    }

    /*! @param stand_in Whether to request chunks in place of first sources. */
    void request_from_sources(std::vector<transfer_request>& requests,
                              time_point now, std::size_t start, bool stand_in)
    {
        constexpr std::size_t max_examined = 512;
        std::size_t examined = 0;
        const liveness is_alive = [&](const instance_id& peer)
        { return alive(peer, now); };
        for (std::size_t step = 0;
             step < missing_chunks.size() && examined < max_examined; ++step)
        {
            const auto chunk =
                missing_chunks[(start + step) % missing_chunks.size()];
            auto& one = chunks[chunk];
            const auto chunk_level = stand_in_level(one, now);
            const auto level = std::max(current_stall_level, chunk_level);
            if (stand_in && level == 0)
                continue;
            const bool requested_long =
                one.requested && chunk_level > 0 &&
                now - one.requested_at > limits.single_copy_delay &&
                one.source != transfer_request::source_kind::origin;
            if ((one.requested && !requested_long) ||
                (Policy::uses_possession && one.holder_mask != 0 &&
                 chunk_level == 0))
                continue;
            ++examined;
            const auto from =
                policy.source(chunk, is_alive, stand_in ? level : 0);
            // During a stall, a peer is not asked again as first source: the
            // stand-in pass chooses another one.
            if (from.kind == chunk_source::source_kind::none ||
                (!stand_in && level > 0 &&
                 from.kind == chunk_source::source_kind::peer) ||
                (one.requested && from.peer == one.requested_peer))
                continue;
            if (requested_long)
                close_request(chunk);
            request_from_source(requests, chunk, from, now, stand_in);
        }
    }

    /*! @brief Returns how many ranks may stand in for a chunk that has at most
     * one holder in the hall: the link of a single holder may be narrow, and
     * all that ask it share that link. One more stands in after each further
     * `single_copy_delay`. While nothing arrives at all, `escalate_if_stalled`
     * alone decides. */
    [[nodiscard]] std::size_t stand_in_level(const chunk_state& one,
                                             time_point now) const
    {
        if (!Policy::uses_possession || limits.single_copy_delay.count() == 0)
            return 0;
        const int count = __builtin_popcountll(one.holder_mask);
        if (count > 1)
            return 0;
        if (count == 0 && now - last_sighting > limits.min_stall_time)
            return 0;
        const auto due = count == 1
                             ? one.in_hall_since + limits.single_copy_delay
                             : flow_started + limits.first_copy_delay;
        if (now < due)
            return 0;
        const auto elapsed_steps =
            static_cast<std::size_t>((now - due) / limits.single_copy_delay);
        return std::min(elapsed_steps + 1, max_level);
    }

    void request_from_source(std::vector<transfer_request>& requests,
                             chunk_index chunk, const chunk_source& from,
                             time_point now, bool stand_in)
    {
        if (from.kind == chunk_source::source_kind::origin &&
            open_origin_count < window->limit(limits.max_origin_requests) &&
            now >=
                next_origin_request +
                    (stand_in ? stand_in_backoff_factor : 0) * origin_backoff)
            open_request(requests, chunk, transfer_request::source_kind::origin,
                         {}, now, first_source_timeout);
        if (from.kind == chunk_source::source_kind::peer &&
            open_future_holder_count <
                window->limit(limits.max_waiting_requests) &&
            !banned(from.peer) && from.peer != own &&
            now >= refused_until[from.peer])
            open_request(requests, chunk,
                         transfer_request::source_kind::future_holder,
                         from.peer, now, first_source_timeout);
    }

    void request_from_holders(std::vector<transfer_request>& requests,
                              time_point now)
    {
        while (open_holder_count < window->limit(limits.max_holder_requests))
        {
            if (!request_from_best_holder(requests, now))
                return;
        }
    }

    /*! @brief Requests, from the least busy holder, the rarest chunk of a
     * sample.
     * @return Whether a request was added. */
    bool request_from_best_holder(std::vector<transfer_request>& requests,
                                  time_point now)
    {
        std::vector<std::pair<std::uint64_t, std::size_t>> order;
        for (std::size_t number = 0; number < holders.size(); ++number)
        {
            const auto& one = holders[number];
            const auto load = one.queue + one.open_requests;
            if (one.id.empty() || load > limits.max_peer_queue ||
                now < one.not_before)
                continue;
            order.emplace_back((std::uint64_t{load} << 32U) | random(), number);
        }
        std::sort(order.begin(), order.end());
        for (const auto& [load, number] : order)
        {
            const auto chunk = rarest_chunk_of(number);
            if (!chunk)
                continue;
            ++holders[number].open_requests;
            open_request(requests, *chunk,
                         transfer_request::source_kind::holder,
                         holders[number].id, now, holder_timeout());
            return true;
        }
        return false;
    }

    std::optional<chunk_index> rarest_chunk_of(std::size_t number)
    {
        std::optional<chunk_index> best;
        int fewest_holders = static_cast<int>(max_holders) + 1;
        std::size_t candidates = 0;
        const auto start = random() % missing_chunks.size();
        for (std::size_t step = 0;
             step < missing_chunks.size() && step < max_scanned &&
             candidates < rarity_sample;
             ++step)
        {
            const auto chunk =
                missing_chunks[(start + step) % missing_chunks.size()];
            const auto& one = chunks[chunk];
            if (one.requested || (one.holder_mask & bit(number)) == 0)
                continue;
            ++candidates;
            const int count = __builtin_popcountll(one.holder_mask);
            if (count >= fewest_holders)
                continue;
            fewest_holders = count;
            best = chunk;
        }
        return best;
    }

    manifest content;
    instance_id own;
    planner_limits limits;
    Policy policy;
    std::minstd_rand random;
    std::shared_ptr<call_window> window;
    std::vector<chunk_state> chunks;
    std::vector<chunk_index> missing_chunks;
    std::vector<holder_state> holders;
    std::map<instance_id, std::size_t> corrupt_counts;
    std::size_t missing_count;
    std::size_t open_holder_count{0};
    std::size_t open_future_holder_count{0};
    std::size_t open_origin_count{0};
    std::size_t current_stall_level{0};
    milliseconds origin_backoff{0};
    time_point next_origin_request{};
    time_point flow_started;  /*!< Start, or the end of the last long stall. */
    time_point last_progress; /*!< Last sighting or escalation. */
    time_point last_sighting;
    double sighting_interval{0};
    double mean_chunk_seconds{0.1};
    std::map<instance_id, hall_id> halls;
    std::map<instance_id, time_point> last_alive;
    std::set<instance_id> lost_peers;
    std::map<instance_id, time_point> refused_until;
};

} // namespace coursejunction

#endif
