/*! @file
 * @brief Fetches one version of a model for one upstream: from what its engine
 * still has staged, from peers, and from the origin.
 */
#ifndef COURSEJUNCTION_TRANSFER_CHUNK_TRANSFER_HPP
#define COURSEJUNCTION_TRANSFER_CHUNK_TRANSFER_HPP

#include <algorithm>
#include <bit>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coursejunction/core/guarded.hpp"
#include "coursejunction/core/log.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/metrics.hpp"
#include "coursejunction/net/stream_client.hpp"
#include "coursejunction/net/stream_server.hpp"
#include "coursejunction/rollout/agent_state.hpp"
#include "coursejunction/rollout/upstream_engine.hpp"
#include "coursejunction/rollout/version_order.hpp"
#include "coursejunction/transfer/chunk_store.hpp"
#include "coursejunction/transfer/chunk_transfer_options.hpp"
#include "coursejunction/transfer/manifest_fetch.hpp"
#include "coursejunction/transfer/paced_uploads.hpp"
#include "coursejunction/transfer/transfer_context.hpp"
#include "coursejunction/transfer/transfer_planner.hpp"
#include "coursejunction/transfer/upload_priority.hpp"
#include "coursejunction/wire/fleet_message.hpp"

namespace coursejunction
{

/*! @brief Transfers one version to one upstream and serves its chunks to peers.
 * @tparam Engine A `Staging_engine`.
 * @tparam Origin A `Weight_origin`. */
template <typename Engine, typename Origin>
class chunk_transfer
    : public std::enable_shared_from_this<chunk_transfer<Engine, Origin>>
{
public:
    using context = transfer_context;

    chunk_transfer(event_loop& events, stream_client& http_client,
                   Engine& upstream, Origin& weight_origin,
                   metrics& metric_registry, model_version wanted,
                   instance_id self, context shared_context,
                   chunk_transfer_options chosen_options)
        : loop(events), client(http_client), engine(upstream),
          origin(weight_origin), counters(metric_registry),
          target(std::move(wanted)), own(std::move(self)),
          view(std::move(shared_context)), options(chosen_options),
          started_at(event_loop::now()), last_chunk_at(started_at)
    {
    }

    ~chunk_transfer()
    {
        for (const auto id : open_calls)
            client.cancel(id);
    }

    /*! @brief Starts to fetch the manifest. The object must be owned by a
     * shared pointer. */
    void start()
    {
        manifest_fetcher = std::make_shared<manifest_fetch<Origin>>(
            loop, client, origin, target, own, view, options,
            guarded([this](manifest list) { set_manifest(std::move(list)); }));
        manifest_fetcher->start();
    }

    /*! @brief Allows chunks to be fetched from peers and the origin. Until then
     * only those staged at the upstream are read. */
    void allow_fetching()
    {
        if (fetching_allowed)
            return;
        fetching_allowed = true;
        if (store)
            start_planner();
    }

    [[nodiscard]] const model_version& version() const { return target; }

    /*! @brief Allows chunks to be staged at the upstream, which has room for
     * one version only. */
    void allow_staging()
    {
        if (staging_allowed)
            return;
        staging_allowed = true;
        stage_more();
    }

    /*! @brief Writes no further chunk until staging is allowed again. */
    void hold_staging() { staging_allowed = false; }

    /*! @brief Returns the manifest as lines for a peer; empty while it is
     * unknown. */
    [[nodiscard]] std::string manifest_lines() const
    {
        return store ? store->get_manifest().to_lines() : std::string();
    }

    /*! @brief Returns whether no chunk has arrived for `stall_time`. */
    [[nodiscard]] bool is_stalled(time_point now) const
    {
        return now - last_chunk_at > options.stall_time;
    }

    /*! @brief Returns whether every chunk is held here. */
    [[nodiscard]] bool complete() const { return store && store->complete(); }

    /*! @brief Returns what is still to be downloaded before upstreams can serve
     * this version; nothing while the plan or the rate of the origin is
     * unknown. */
    [[nodiscard]] std::optional<remaining_download> remaining() const
    {
        const auto rate = view.origin_rate();
        if (!planner || rate <= 0)
            return std::nullopt;
        const auto& list = store->get_manifest();
        const auto bytes = static_cast<double>(list.total_bytes()) /
                           static_cast<double>(list.size());
        return remaining_download{planner->unseen_chunks(),
                                  from_seconds(bytes / rate)};
    }

    /*! @brief Returns whether the hashes of the chunks are known and it was
     * read which chunks lie staged. */
    [[nodiscard]] bool is_manifest_known() const
    {
        return store.has_value() && staged_reads_done;
    }

    /*! @brief Returns whether every chunk is held and staged at the
     * upstream. */
    [[nodiscard]] bool is_staged() const
    {
        return store && store->complete() &&
               staged_chunks.size() == store->get_manifest().size();
    }

    /*! @brief Returns the progress of this version. */
    [[nodiscard]] version_progress progress() const
    {
        return {target.version, store ? store->get_manifest().size() : 0,
                store ? store->size() : 0, staged_chunks.size()};
    }

    /*! @brief Returns the held chunks as a bit mask, for heartbeats to
     * peers. */
    [[nodiscard]] message::chunk_possession held_chunks() const
    {
        message::chunk_possession possession;
        possession.model = target.model;
        possession.version = target.version;
        possession.queue = static_cast<std::uint32_t>(view.uploads->size());
        if (!store)
            return possession;
        constexpr std::size_t bits = 64;
        possession.held.assign((store->get_manifest().size() + bits - 1) / bits,
                               0);
        for (const auto chunk : store->held_chunks())
            possession.held[chunk / bits] |= std::uint64_t{1} << (chunk % bits);
        return possession;
    }

    /*! @brief Returns whether the report of a peer lists every chunk of this
     * version.
     * @param reported Chunks that the peer holds, per version. */
    [[nodiscard]] bool
    any_complete(const std::vector<message::chunk_possession>& reported) const
    {
        return std::any_of(reported.begin(), reported.end(),
                           [&](const message::chunk_possession& one)
                           {
                               std::size_t count = 0;
                               for (const auto word : one.held)
                                   count += static_cast<std::size_t>(
                                       std::popcount(word));
                               return one.model == target.model &&
                                      one.version == target.version && store &&
                                      count == store->get_manifest().size();
                           });
    }

    /*! @brief Records that a peer is alive. */
    void record_peer_alive(const instance_id& peer)
    {
        if (planner)
            planner->record_alive(peer, event_loop::now());
    }

    /*! @brief Records the chunks that a peer reports to hold. */
    void add_peer_chunks(const instance_id& peer,
                         const message::chunk_possession& reported)
    {
        if (!planner)
            return;
        const auto now = event_loop::now();
        if (reported.model != target.model ||
            reported.version != target.version)
            return planner->record_alive(peer, now);
        constexpr std::size_t bits = 64;
        std::vector<chunk_index> held;
        for (std::size_t word = 0; word < reported.held.size(); ++word)
        {
            for (std::size_t bit = 0; bit < bits; ++bit)
            {
                if ((reported.held[word] >> bit & 1U) != 0)
                    held.push_back(static_cast<chunk_index>(word * bits + bit));
            }
        }
        planner->add_peer_chunks(peer, held, reported.queue, now);
    }

    /*! @brief Responds to a request for a chunk, now or once the chunk is held.
     * @param wait Whether the peer waits for a chunk that is not held yet; it
     * brings the first copy to another hall, so its upload is urgent.
     * @param peer The requesting peer; empty when it did not say. */
    void serve_chunk(chunk_index chunk, bool wait, std::string_view peer,
                     stream_reply reply)
    {
        if (store && store->contains(chunk))
            return enqueue_upload(
                chunk, std::move(reply),
                wait ? upload_priority::urgent
                     : upload_priority_of(target.rank_key(), peer));
        if (!wait)
            return reply.send(404, {}, "");
        waiters[chunk].push_back({std::move(reply), event_loop::now()});
    }

    /*! @brief Reads every staged chunk back and fetches those again that are
     * missing or do not match the manifest. If some are corrupt, try again once
     * `is_staged` returns true. */
    void verify_staged(std::function<void(staged_result)> done)
    {
        auto check = std::make_shared<verification>();
        check->done = std::move(done);
        verify_next(check);
    }

private:
    /*! @brief Open requests to future holders in other halls. */
    static constexpr std::size_t max_waiting_calls = 8;

    struct verification
    {
        std::function<void(staged_result)> done;
        chunk_index next{0};
        std::size_t open_reads{0};
        std::size_t mismatches{0};
        std::size_t unreadable{0};
    };

    struct waiter
    {
        stream_reply reply;
        time_point since{};
    };

    template <typename Call>
    auto guarded(Call call)
    {
        return guarded_by(this->weak_from_this(), std::move(call));
    }

    // --- Manifest --------------------------------------------------------

    void set_manifest(manifest list)
    {
        log::state("manifest_known",
                   {{"model", target.model},
                    {"version", std::to_string(target.version)},
                    {"chunks", std::to_string(list.size())}});
        store.emplace(std::move(list));
        corrupt_counts.clear();
        engine.staged(target.model,
                      guarded(
                          [this](result<std::vector<chunk_index>> held)
                          {
                              if (held)
                                  staged_to_read = {held.value().begin(),
                                                    held.value().end()};
                              read_staged();
                          }));
    }

    // --- Chunks already staged at the upstream -------------------------------

    void read_staged()
    {
        while (open_staged_reads < options.max_engine_calls &&
               !staged_to_read.empty())
        {
            const auto chunk = staged_to_read.front();
            staged_to_read.pop_front();
            ++open_staged_reads;
            engine.staged_chunk(
                target.model, chunk,
                guarded(
                    [this, chunk](result<std::string> bytes)
                    {
                        --open_staged_reads;
                        if (bytes &&
                            store->add(chunk, std::move(bytes.value())) ==
                                chunk_store::add_result::added)
                        {
                            mark_staged(chunk);
                            handle_held_chunk(chunk);
                        }
                        read_staged();
                    }));
        }
        if (open_staged_reads > 0 || staged_reads_done)
            return;
        staged_reads_done = true;
        log::state("staged_chunks_read",
                   {{"model", target.model},
                    {"version", std::to_string(target.version)},
                    {"right", std::to_string(store->size())}});
        if (fetching_allowed)
            start_planner();
    }

    // --- Fetching --------------------------------------------------------

    void start_planner()
    {
        if (planner || !staged_reads_done)
            return;
        planner_limits limits;
        constexpr milliseconds min_stall_time{700};
        limits.min_stall_time = min_stall_time;
        limits.max_origin_backoff = options.max_origin_backoff;
        limits.single_copy_delay = options.single_copy_delay;
        limits.first_copy_delay = first_copy_delay(
            options, store->get_manifest().total_bytes(), view.origin_rate());
        limits.slow_chunk_time = options.slow_chunk_time;
        limits.origin_calls_time_out = true;
        limits.max_holder_requests = options.max_holder_calls;
        limits.max_origin_requests = 2;
        limits.max_waiting_requests = max_waiting_calls;
        limits.seed =
            static_cast<std::uint32_t>(std::hash<std::string>{}(own.value()));
        planner.emplace(store->get_manifest(), own, limits, swarm_policy(),
                        event_loop::now(), view.download_window);
        for (const auto chunk : store->held_chunks())
            planner->add_chunk(chunk, event_loop::now());
        // A new planner has no participants and would not even ask the origin:
        // without this call the transfer hung after a staged chunk turned out
        // to be corrupt.
        current_participants = view.participants();
        planner->set_participants(current_participants, event_loop::now());
        planning_timer =
            loop.every(options.planning_interval, [this] { plan(); });
        plan();
    }

    void plan()
    {
        const auto now = event_loop::now();
        expire_waiters(now);
        if (!planner || planner->complete())
            return;
        auto all = view.participants();
        if (all != current_participants)
        {
            current_participants = std::move(all);
            planner->set_participants(current_participants, now);
        }
        for (const auto& one : planner->next_requests(now))
            send_request(one);
    }

    void send_request(const transfer_request& one)
    {
        if (one.source == transfer_request::source_kind::origin)
            return request_from_origin(one.chunk);
        stream_call call;
        call.address = view.peer_endpoint(one.peer);
        call.target = "/chunk?model=" + target.model +
                      "&version=" + std::to_string(target.version) +
                      "&index=" + std::to_string(one.chunk) +
                      "&by=" + own.value();
        if (one.source == transfer_request::source_kind::future_holder)
            call.target += "&wait=1";
        call.timeout = options.peer_timeout;
        call.connect_time = options.connect_timeout;
        call.may_reuse_connection = true;
        const auto id = std::make_shared<stream_client::call_id>();
        *id =
            client.gather(std::move(call),
                          guarded(
                              [this, one, id](stream_client::answer answer)
                              {
                                  open_calls.erase(*id);
                                  handle_peer_response(one, std::move(answer));
                              }));
        open_calls.insert(*id);
    }

    void handle_peer_response(const transfer_request& one,
                              stream_client::answer answer)
    {
        if (!planner)
            return;
        const auto now = event_loop::now();
        if (answer.end != stream_end::whole)
        {
            log_failure(one.chunk, one.peer.value(), answer.why);
            planner->record_refusal(one.chunk, one.peer, true, 0, now);
            return plan();
        }
        if (!answer.is(200))
        {
            planner->record_refusal(one.chunk, one.peer, answer.status == 404,
                                    0, now);
            return plan();
        }
        counters.count("chunk_bytes_total",
                       static_cast<double>(answer.body.size()),
                       {{"from", "peer"}});
        handle_chunk(one.chunk, std::move(answer.body), one.peer);
    }

    void request_from_origin(chunk_index chunk)
    {
        const auto address = view.origin_address();
        if (address.empty())
            return planner->record_origin_failure(chunk, event_loop::now());
        origin.chunk(
            address, target, chunk,
            guarded(
                [this, chunk](result<std::string> bytes)
                {
                    if (!planner)
                        return;
                    if (!bytes)
                    {
                        log_failure(chunk, "origin", bytes.error().message);
                        planner->record_origin_failure(chunk,
                                                       event_loop::now());
                        return;
                    }
                    counters.count("chunk_bytes_total",
                                   static_cast<double>(bytes.value().size()),
                                   {{"from", "origin"}});
                    handle_chunk(chunk, std::move(bytes.value()), {});
                }));
    }

    void log_failure(chunk_index chunk, const std::string& from,
                     const std::string& reason)
    {
        log::problem("chunk_failed",
                     {{"model", target.model},
                      {"version", std::to_string(target.version)},
                      {"chunk", std::to_string(chunk)},
                      {"from", from},
                      {"why", reason}});
    }

    void handle_chunk(chunk_index chunk, std::string bytes,
                      const instance_id& from)
    {
        switch (store->add(chunk, std::move(bytes)))
        {
        case chunk_store::add_result::added:
            log::decision("chunk_received",
                          {{"version", std::to_string(target.version)},
                           {"chunk", std::to_string(chunk)},
                           {"from", from.empty() ? "origin" : from.value()},
                           {"held", std::to_string(store->size())}});
            handle_held_chunk(chunk);
            staging_queue.push_back(chunk);
            stage_more();
            break;
        case chunk_store::add_result::already_held:
            planner->add_chunk(chunk, event_loop::now());
            break;
        case chunk_store::add_result::corrupt:
            handle_corrupt_chunk(chunk, from);
            break;
        }
        plan();
    }

    void handle_corrupt_chunk(chunk_index chunk, const instance_id& from)
    {
        counters.count("chunks_corrupt_total");
        log::warning("chunk_corrupt",
                     {{"model", target.model},
                      {"version", std::to_string(target.version)},
                      {"chunk", std::to_string(chunk)},
                      {"from", from.empty() ? "origin" : from.value()}});
        planner->record_corrupt(chunk, from);
        if (++corrupt_counts[chunk] < options.max_corrupt)
            return;
        // The manifest itself may be corrupt, from the origin or from the
        // sidecar that passed it on: the origin is asked for it again.
        planner.reset();
        planning_timer.stop();
        store.reset();
        staged_chunks.clear();
        staging_queue.clear();
        staged_reads_done = false;
        manifest_fetcher->reject("chunks do not match the manifest");
    }

    void handle_held_chunk(chunk_index chunk)
    {
        last_chunk_at = event_loop::now();
        if (planner)
            planner->add_chunk(chunk, event_loop::now());
        const auto found = waiters.find(chunk);
        if (found != waiters.end())
        {
            for (auto& one : found->second)
                enqueue_upload(chunk, std::move(one.reply),
                               upload_priority::urgent);
            waiters.erase(found);
        }
        if (store->complete())
            log::state(
                "chunks_complete",
                {{"model", target.model},
                 {"version", std::to_string(target.version)},
                 {"took_ms",
                  std::to_string(static_cast<std::int64_t>(
                      to_seconds(event_loop::now() - started_at) * 1000))}});
    }

    void enqueue_upload(chunk_index chunk, stream_reply reply,
                        upload_priority priority)
    {
        auto shared = std::make_shared<stream_reply>(std::move(reply));
        const bool accepted = view.uploads->offer(
            store->get_manifest().chunk_bytes(chunk), priority,
            guarded([this, chunk, shared] { send_chunk(chunk, *shared); }));
        if (!accepted)
            shared->send(503, {}, "");
    }

    /*! @brief Sends a chunk; it is read back from the upstream when its bytes
     * are no longer in memory. */
    void send_chunk(chunk_index chunk, stream_reply reply)
    {
        if (!store || !store->contains(chunk))
            return reply.send(404, {}, "");
        if (const auto bytes = store->find(chunk))
        {
            counters.count("chunks_given_total");
            return reply.send(200, {}, *bytes);
        }
        engine.staged_chunk(
            target.model, chunk,
            guarded(
                [this, chunk,
                 to = std::make_shared<stream_reply>(std::move(reply))](
                    result<std::string> bytes)
                {
                    const bool matches = bytes && store &&
                                         digest::of(bytes.value()) ==
                                             store->get_manifest()[chunk];
                    if (!matches)
                        return to->send(404, {}, "");
                    counters.count("chunks_given_total");
                    to->send(200, {}, bytes.value());
                }));
    }

    void expire_waiters(time_point now)
    {
        for (auto& [chunk, list] : waiters)
        {
            std::erase_if(list,
                          [&](waiter& one)
                          {
                              if (now - one.since < options.max_peer_wait)
                                  return false;
                              one.reply.send(404, {}, "");
                              return true;
                          });
        }
        std::erase_if(waiters,
                      [](const auto& one) { return one.second.empty(); });
    }

    // --- Staging chunks at the upstream --------------------------------------

    void stage_more()
    {
        if (!store || !staging_allowed)
            return;
        if (staging_queue.empty() && open_staging_calls.empty())
        {
            for (const auto chunk : store->held_chunks())
            {
                if (!staged_chunks.contains(chunk))
                    staging_queue.push_back(chunk);
            }
        }
        while (open_staging_calls.size() < options.max_engine_calls &&
               !staging_queue.empty())
        {
            const auto chunk = staging_queue.front();
            staging_queue.pop_front();
            const auto bytes = store->find(chunk);
            if (!bytes || !open_staging_calls.insert(chunk).second)
                continue;
            note_staging_write();
            engine.stage(target.model, chunk, *bytes,
                         guarded(
                             [this, chunk](bool succeeded)
                             {
                                 note_staging_write();
                                 open_staging_calls.erase(chunk);
                                 if (succeeded && store)
                                     mark_staged(chunk);
                                 else
                                     staging_retry = loop.after(
                                         options.manifest_retry_delay,
                                         [this] { stage_more(); });
                                 if (succeeded)
                                     stage_more();
                             }));
        }
    }

    void note_staging_write() const
    {
        if (view.staging_written)
            view.staging_written();
    }

    /*! @brief Records that a chunk is staged and frees its copy in memory. */
    void mark_staged(chunk_index chunk)
    {
        staged_chunks.insert(chunk);
        store->release_bytes(chunk);
    }

    // --- Verification of staged chunks ---------------------------------------

    void verify_next(const std::shared_ptr<verification>& check)
    {
        while (store && check->open_reads < options.max_engine_calls &&
               check->next < store->get_manifest().size())
        {
            const auto chunk = check->next++;
            ++check->open_reads;
            engine.staged_chunk(
                target.model, chunk,
                guarded(
                    [this, check, chunk](result<std::string> bytes)
                    {
                        --check->open_reads;
                        verify_chunk(chunk, bytes, *check);
                        verify_next(check);
                    }));
        }
        const bool all_started =
            !store || check->next >= store->get_manifest().size();
        if (all_started && check->open_reads == 0 && check->done)
        {
            const auto done = std::exchange(check->done, nullptr);
            done(outcome_of(*check));
        }
    }

    void verify_chunk(chunk_index chunk, const result<std::string>& bytes,
                      verification& check)
    {
        if (!store || (!bytes && bytes.error().kind != error_kind::not_found))
            ++check.unreadable;
        else if (!bytes ||
                 digest::of(bytes.value()) != store->get_manifest()[chunk])
            handle_staged_mismatch(chunk, check);
    }

    [[nodiscard]] staged_result outcome_of(const verification& check) const
    {
        if (check.mismatches > 0)
            return staged_result::corrupt;
        return store && check.unreadable == 0 ? staged_result::intact
                                              : staged_result::unreadable;
    }

    void handle_staged_mismatch(chunk_index chunk, verification& check)
    {
        ++check.mismatches;
        log::warning("staged_chunk_wrong",
                     {{"model", target.model},
                      {"version", std::to_string(target.version)},
                      {"chunk", std::to_string(chunk)}});
        staged_chunks.erase(chunk);
        if (!store)
            return;
        store->discard(chunk);
        // A new planner requests the chunks that are missing now.
        planner.reset();
        planning_timer.stop();
        if (fetching_allowed)
            start_planner();
    }

    event_loop& loop;
    stream_client& client;
    Engine& engine;
    Origin& origin;
    metrics& counters;
    model_version target;
    instance_id own;
    context view;
    chunk_transfer_options options;
    time_point started_at;
    time_point last_chunk_at;
    std::optional<chunk_store> store;
    std::optional<transfer_planner<swarm_policy>> planner;
    std::vector<participant> current_participants;
    std::set<stream_client::call_id> open_calls;
    std::map<chunk_index, std::vector<waiter>> waiters;
    std::map<chunk_index, std::size_t> corrupt_counts;
    std::deque<chunk_index> staged_to_read;
    std::size_t open_staged_reads{0};
    std::set<chunk_index> staged_chunks;
    std::set<chunk_index> open_staging_calls;
    std::deque<chunk_index> staging_queue;
    std::shared_ptr<manifest_fetch<Origin>> manifest_fetcher;
    bool staged_reads_done{false};
    bool fetching_allowed{false};
    bool staging_allowed{false};
    timer planning_timer;
    timer staging_retry;
};

} // namespace coursejunction

#endif
