/*! @file
 * @brief Brings one version of a model to one instance: from what its upstream
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

/*! @brief One version on its way to one upstream.
 * @tparam Engine A `Staging_engine`.
 * @tparam Origin A `Weight_origin`. */
template <typename Engine, typename Origin>
class chunk_transfer
    : public std::enable_shared_from_this<chunk_transfer<Engine, Origin>>
{
public:
    using context = transfer_context;

    chunk_transfer(event_loop& owner, stream_client& carrier, Engine& beside,
                   Origin& from, metrics& counted, model_version wanted,
                   instance_id self, context around, chunk_transfer_options set)
        : loop(owner), client(carrier), engine(beside), origin(from),
          counters(counted), what(std::move(wanted)), own(std::move(self)),
          view(std::move(around)), options(set), began(event_loop::now()),
          last_chunk(began)
    {
    }

    ~chunk_transfer()
    {
        for (const auto id : calls)
            client.cancel(id);
    }

    /*! @brief Begins; the object is held by a shared pointer. */
    void start()
    {
        manifests = std::make_shared<manifest_fetch<Origin>>(
            loop, client, origin, what, own, view, options,
            guarded([this](manifest list)
                    { manifest_known(std::move(list)); }));
        manifests->start();
    }

    /*! @brief Lets chunks be fetched from peers and the origin. Until then only
     * what the upstream has staged is read. */
    void allow_fetching()
    {
        if (fetching)
            return;
        fetching = true;
        if (store)
            start_planner();
    }

    [[nodiscard]] const model_version& version() const { return what; }

    /*! @brief Lets chunks be put to the upstream, which has room for one
     * version only. */
    void allow_staging()
    {
        if (staging_allowed)
            return;
        staging_allowed = true;
        put_more();
    }

    /*! @brief Returns the manifest as lines for a peer; empty when it is not
     * known. */
    [[nodiscard]] std::string manifest_lines() const
    {
        return store ? store->get_manifest().to_lines() : std::string();
    }

    /*! @brief Tells whether nothing came for long. */
    [[nodiscard]] bool is_stalled(time_point now) const
    {
        return now - last_chunk > options.stall_time;
    }

    /*! @brief Tells whether every chunk is held here. */
    [[nodiscard]] bool complete() const { return store && store->complete(); }

    /*! @brief Returns what is missing until upstreams can serve this version;
     * nothing while too little is known to say. */
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

    /*! @brief Tells whether every chunk is held and staged at the upstream. */
    [[nodiscard]] bool is_staged() const
    {
        return store && store->complete() &&
               put_chunks.size() == store->get_manifest().size();
    }

    /*! @brief Returns how far this version is. */
    [[nodiscard]] version_progress progress() const
    {
        return {what.version, store ? store->get_manifest().size() : 0,
                store ? store->size() : 0, put_chunks.size()};
    }

    /*! @brief Returns what others may be told. */
    [[nodiscard]] message::chunk_possession held_chunks() const
    {
        message::chunk_possession made;
        made.model = what.model;
        made.version = what.version;
        made.queue = static_cast<std::uint32_t>(view.uploads->size());
        if (!store)
            return made;
        constexpr std::size_t bits = 64;
        made.held.assign((store->get_manifest().size() + bits - 1) / bits, 0);
        for (const auto at : store->held_chunks())
            made.held[at / bits] |= std::uint64_t{1} << (at % bits);
        return made;
    }

    /*! @brief Tells whether a peer that tells of its chunks has all of this
     * version. */
    [[nodiscard]] bool
    any_complete(const std::vector<message::chunk_possession>& told) const
    {
        return std::any_of(
            told.begin(), told.end(),
            [&](const message::chunk_possession& one)
            {
                std::size_t count = 0;
                for (const auto word : one.held)
                    count += static_cast<std::size_t>(std::popcount(word));
                return one.model == what.model && one.version == what.version &&
                       store && count == store->get_manifest().size();
            });
    }

    /*! @brief Notes a sign of life of a peer. */
    void record_peer_alive(const instance_id& peer)
    {
        if (planner)
            planner->record_alive(peer, event_loop::now());
    }

    /*! @brief Takes what a peer tells of its chunks. */
    void add_peer_chunks(const instance_id& peer,
                         const message::chunk_possession& told)
    {
        if (!planner)
            return;
        const auto now = event_loop::now();
        if (told.model != what.model || told.version != what.version)
            return planner->record_alive(peer, now);
        constexpr std::size_t bits = 64;
        std::vector<chunk_index> held;
        for (std::size_t word = 0; word < told.held.size(); ++word)
        {
            for (std::size_t bit = 0; bit < bits; ++bit)
            {
                if ((told.held[word] >> bit & 1U) != 0)
                    held.push_back(static_cast<chunk_index>(word * bits + bit));
            }
        }
        planner->add_peer_chunks(peer, held, told.queue, now);
    }

    /*! @brief Answers a peer that asks for a chunk, now or once it is here.
     * @param peer Who asks; empty when it does not say. */
    void serve_chunk(chunk_index at, bool wait, std::string_view peer,
                     stream_reply reply)
    {
        if (store && store->contains(at))
            return give_now(at, std::move(reply),
                            wait ? upload_priority::urgent
                                 : upload_priority_of(what.rank_key(), peer));
        if (!wait)
            return reply.send(404, {}, "");
        waiters[at].push_back({std::move(reply), event_loop::now()});
    }

    /*! @brief Reads every staged chunk back and puts wrong ones anew.
     * @param done Told whether all were right; when not, `is_staged` says when
     * to try again. */
    void verify_staged(std::function<void(bool)> done)
    {
        auto check = std::make_shared<verification>();
        check->done = std::move(done);
        verify_more(check);
    }

private:
    /*! @brief Chunks waited for at first sources of other halls. */
    static constexpr std::size_t waiting_calls = 8;

    struct verification
    {
        std::function<void(bool)> done;
        chunk_index next{0};
        std::size_t open{0};
        std::size_t wrong{0};
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

    void manifest_known(manifest list)
    {
        log::state("manifest_known", {{"model", what.model},
                                      {"version", std::to_string(what.version)},
                                      {"chunks", std::to_string(list.size())}});
        store.emplace(std::move(list));
        corrupt.clear();
        engine.staged(
            what.model,
            guarded(
                [this](result<std::vector<chunk_index>> held)
                {
                    if (held)
                        local_left = {held.value().begin(), held.value().end()};
                    read_local();
                }));
    }

    // --- What the upstream has staged ------------------------------------

    void read_local()
    {
        while (local_open < options.max_engine_calls && !local_left.empty())
        {
            const auto at = local_left.front();
            local_left.pop_front();
            ++local_open;
            engine.staged_chunk(
                what.model, at,
                guarded(
                    [this, at](result<std::string> bytes)
                    {
                        --local_open;
                        if (bytes && store->add(at, std::move(bytes.value())) ==
                                         chunk_store::add_result::added)
                        {
                            put(at);
                            chunk_here(at);
                        }
                        read_local();
                    }));
        }
        if (local_open > 0 || local_read)
            return;
        local_read = true;
        log::state("staged_chunks_read",
                   {{"model", what.model},
                    {"version", std::to_string(what.version)},
                    {"right", std::to_string(store->size())}});
        if (fetching)
            start_planner();
    }

    // --- Fetching --------------------------------------------------------

    void start_planner()
    {
        if (planner || !local_read)
            return;
        planner_limits limits;
        constexpr milliseconds stall{700};
        limits.min_stall_time = stall;
        limits.max_origin_backoff = options.max_origin_backoff;
        limits.single_copy_delay = options.single_copy_delay;
        limits.first_copy_delay = first_copy_delay(
            options, store->get_manifest().total_bytes(), view.origin_rate());
        limits.slow_chunk_time = options.slow_chunk_time;
        limits.origin_calls_time_out = true;
        limits.max_holder_requests = options.max_holder_calls;
        limits.max_origin_requests = 2;
        limits.max_waiting_requests = waiting_calls;
        limits.seed =
            static_cast<std::uint32_t>(std::hash<std::string>{}(own.value()));
        planner.emplace(store->get_manifest(), own, limits, swarm_policy(),
                        event_loop::now(), view.download_window);
        for (const auto at : store->held_chunks())
            planner->add_chunk(at, event_loop::now());
        // A new plan knows nobody, not even that it may ask the origin: after a
        // staged chunk turned bad its side would wait for ever.
        taking_part = view.participants();
        planner->set_participants(taking_part, event_loop::now());
        ticking = loop.every(options.planning_interval, [this] { plan(); });
        plan();
    }

    void plan()
    {
        const auto now = event_loop::now();
        expire_waiters(now);
        if (!planner || planner->complete())
            return;
        auto all = view.participants();
        if (all != taking_part)
        {
            taking_part = std::move(all);
            planner->set_participants(taking_part, now);
        }
        for (const auto& one : planner->next_requests(now))
            ask(one);
    }

    void ask(const transfer_request& one)
    {
        if (one.source == transfer_request::source_kind::origin)
            return ask_origin(one.chunk);
        stream_call call;
        call.address = view.peer_endpoint(one.peer);
        call.target = "/chunk?model=" + what.model +
                      "&version=" + std::to_string(what.version) +
                      "&index=" + std::to_string(one.chunk) +
                      "&by=" + own.value();
        if (one.source == transfer_request::source_kind::future_holder)
            call.target += "&wait=1";
        call.timeout = options.peer_timeout;
        call.connect_time = options.connect_timeout;
        call.repeatable = true;
        const auto id = std::make_shared<stream_client::call_id>();
        *id = client.gather(std::move(call),
                            guarded(
                                [this, one, id](stream_client::answer answer)
                                {
                                    calls.erase(*id);
                                    peer_answered(one, std::move(answer));
                                }));
        calls.insert(*id);
    }

    void peer_answered(const transfer_request& one,
                       stream_client::answer answer)
    {
        if (!planner)
            return;
        const auto now = event_loop::now();
        if (answer.end != stream_end::whole)
        {
            log_failed(one.chunk, one.peer.value(), answer.why);
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
        took(one.chunk, std::move(answer.body), one.peer);
    }

    void ask_origin(chunk_index at)
    {
        const auto address = view.origin_address();
        if (address.empty())
            return planner->record_origin_failure(at, event_loop::now());
        origin.chunk(
            address, what, at,
            guarded(
                [this, at](result<std::string> bytes)
                {
                    if (!planner)
                        return;
                    if (!bytes)
                    {
                        log_failed(at, "origin", bytes.error().message);
                        planner->record_origin_failure(at, event_loop::now());
                        return;
                    }
                    counters.count("chunk_bytes_total",
                                   static_cast<double>(bytes.value().size()),
                                   {{"from", "origin"}});
                    took(at, std::move(bytes.value()), {});
                }));
    }

    void log_failed(chunk_index at, const std::string& from,
                    const std::string& why)
    {
        log::problem("chunk_failed", {{"model", what.model},
                                      {"version", std::to_string(what.version)},
                                      {"chunk", std::to_string(at)},
                                      {"from", from},
                                      {"why", why}});
    }

    void took(chunk_index at, std::string bytes, const instance_id& from)
    {
        switch (store->add(at, std::move(bytes)))
        {
        case chunk_store::add_result::added:
            log::decision("chunk_received",
                          {{"version", std::to_string(what.version)},
                           {"chunk", std::to_string(at)},
                           {"from", from.empty() ? "origin" : from.value()},
                           {"held", std::to_string(store->size())}});
            chunk_here(at);
            put_queue.push_back(at);
            put_more();
            break;
        case chunk_store::add_result::already_held:
            planner->add_chunk(at, event_loop::now());
            break;
        case chunk_store::add_result::corrupt:
            chunk_corrupt(at, from);
            break;
        }
        plan();
    }

    void chunk_corrupt(chunk_index at, const instance_id& from)
    {
        counters.count("chunks_corrupt_total");
        log::warning("chunk_corrupt",
                     {{"model", what.model},
                      {"version", std::to_string(what.version)},
                      {"chunk", std::to_string(at)},
                      {"from", from.empty() ? "origin" : from.value()}});
        planner->record_corrupt(at, from);
        if (++corrupt[at] < options.max_corrupt)
            return;
        // The manifest itself may have come spoilt, from the origin or from a
        // side that took it so: the origin is asked again.
        planner.reset();
        ticking.stop();
        store.reset();
        put_chunks.clear();
        put_queue.clear();
        local_read = false;
        manifests->distrust("chunks do not match the manifest");
    }

    void chunk_here(chunk_index at)
    {
        last_chunk = event_loop::now();
        if (planner)
            planner->add_chunk(at, event_loop::now());
        const auto found = waiters.find(at);
        if (found != waiters.end())
        {
            for (auto& one : found->second)
                give_now(at, std::move(one.reply), upload_priority::urgent);
            waiters.erase(found);
        }
        if (store->complete())
            log::state("chunks_complete",
                       {{"model", what.model},
                        {"version", std::to_string(what.version)},
                        {"took_ms",
                         std::to_string(static_cast<std::int64_t>(
                             to_seconds(event_loop::now() - began) * 1000))}});
    }

    void give_now(chunk_index at, stream_reply reply, upload_priority order)
    {
        auto shared = std::make_shared<stream_reply>(std::move(reply));
        const bool taken = view.uploads->offer(
            store->get_manifest().chunk_bytes(at), order,
            guarded([this, at, shared] { upload(at, *shared); }));
        if (!taken)
            shared->send(503, {}, "");
    }

    /*! @brief Sends a chunk, read back from the upstream when its bytes are
     * not in memory any more. */
    void upload(chunk_index at, stream_reply reply)
    {
        if (!store || !store->contains(at))
            return reply.send(404, {}, "");
        if (const auto bytes = store->find(at))
        {
            counters.count("chunks_given_total");
            return reply.send(200, {}, *bytes);
        }
        engine.staged_chunk(
            what.model, at,
            guarded(
                [this, at,
                 to = std::make_shared<stream_reply>(std::move(reply))](
                    result<std::string> bytes)
                {
                    const bool right =
                        bytes && store &&
                        digest::of(bytes.value()) == store->get_manifest()[at];
                    if (!right)
                        return to->send(404, {}, "");
                    counters.count("chunks_given_total");
                    to->send(200, {}, bytes.value());
                }));
    }

    void expire_waiters(time_point now)
    {
        for (auto& [at, list] : waiters)
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

    // --- Putting chunks to the upstream ----------------------------------

    void put_more()
    {
        if (!store || !staging_allowed)
            return;
        if (put_queue.empty() && putting.empty())
        {
            for (const auto at : store->held_chunks())
            {
                if (!put_chunks.contains(at))
                    put_queue.push_back(at);
            }
        }
        while (putting.size() < options.max_engine_calls && !put_queue.empty())
        {
            const auto at = put_queue.front();
            put_queue.pop_front();
            const auto bytes = store->find(at);
            if (!bytes || !putting.insert(at).second)
                continue;
            engine.stage(what.model, at, *bytes,
                         guarded(
                             [this, at](bool done)
                             {
                                 putting.erase(at);
                                 if (done && store)
                                     put(at);
                                 else
                                     put_again = loop.after(
                                         options.manifest_retry_delay,
                                         [this] { put_more(); });
                                 if (done)
                                     put_more();
                             }));
        }
    }

    /*! @brief The upstream has a chunk: it need not lie in memory as well. */
    void put(chunk_index at)
    {
        put_chunks.insert(at);
        store->release_bytes(at);
    }

    // --- Reading back ----------------------------------------------------

    void verify_more(const std::shared_ptr<verification>& check)
    {
        while (store && check->open < options.max_engine_calls &&
               check->next < store->get_manifest().size())
        {
            const auto at = check->next++;
            ++check->open;
            engine.staged_chunk(what.model, at,
                                guarded(
                                    [this, check, at](result<std::string> bytes)
                                    {
                                        --check->open;
                                        if (!bytes || !store ||
                                            digest::of(bytes.value()) !=
                                                store->get_manifest()[at])
                                            chunk_turned_bad(at, *check);
                                        verify_more(check);
                                    }));
        }
        const bool over = !store || check->next >= store->get_manifest().size();
        if (over && check->open == 0 && check->done)
        {
            const auto done = std::exchange(check->done, nullptr);
            done(store && check->wrong == 0);
        }
    }

    void chunk_turned_bad(chunk_index at, verification& check)
    {
        ++check.wrong;
        log::warning("staged_chunk_wrong",
                     {{"model", what.model},
                      {"version", std::to_string(what.version)},
                      {"chunk", std::to_string(at)}});
        put_chunks.erase(at);
        if (!store)
            return;
        store->discard(at);
        // A new plan asks for what is missing now.
        planner.reset();
        ticking.stop();
        if (fetching)
            start_planner();
    }

    event_loop& loop;
    stream_client& client;
    Engine& engine;
    Origin& origin;
    metrics& counters;
    model_version what;
    instance_id own;
    context view;
    chunk_transfer_options options;
    time_point began;
    time_point last_chunk;
    std::optional<chunk_store> store;
    std::optional<transfer_planner<swarm_policy>> planner;
    std::vector<participant> taking_part;
    std::set<stream_client::call_id> calls;
    std::map<chunk_index, std::vector<waiter>> waiters;
    std::map<chunk_index, std::size_t> corrupt;
    std::deque<chunk_index> local_left;
    std::size_t local_open{0};
    std::set<chunk_index> put_chunks;
    std::set<chunk_index> putting;
    std::deque<chunk_index> put_queue;
    std::shared_ptr<manifest_fetch<Origin>> manifests;
    bool local_read{false};
    bool fetching{false};
    bool staging_allowed{false};
    timer ticking;
    timer put_again;
};

} // namespace coursejunction

#endif
