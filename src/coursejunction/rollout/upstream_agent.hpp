/*! @file
 * @brief The sidecar's control loop: brings the upstream on its instance to the
 * newest published version and reports its state to the entries.
 *
 * The weights of a version are fetched as chunks from other sidecars and from
 * the origin, written to the upstream's staging area and verified there. The
 * upstream then closes to new requests, drains, and loads them.
 */
#ifndef COURSEJUNCTION_ROLLOUT_UPSTREAM_AGENT_HPP
#define COURSEJUNCTION_ROLLOUT_UPSTREAM_AGENT_HPP

#include <algorithm>
#include <charconv>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coursejunction/core/log.hpp"
#include "coursejunction/fleet/fleet_node.hpp"
#include "coursejunction/fleet/fleet_view.hpp"
#include "coursejunction/fleet/version_gossip.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/metrics.hpp"
#include "coursejunction/rollout/agent_state.hpp"
#include "coursejunction/rollout/close_policy.hpp"
#include "coursejunction/rollout/load_command.hpp"
#include "coursejunction/rollout/loaded_weights.hpp"
#include "coursejunction/rollout/report_order.hpp"
#include "coursejunction/rollout/upstream_engine.hpp"
#include "coursejunction/rollout/version_order.hpp"
#include "coursejunction/rollout/weights_record.hpp"
#include "coursejunction/rollout/weights_record_writer.hpp"
#include "coursejunction/transfer/chunk_transfer.hpp"

namespace coursejunction
{

/*! @brief Intervals, timeouts and limits of a sidecar. */
struct agent_options
{
    /*! @brief How often the upstream's report is read. Entries place requests
     * by it, and each of 12 upstreams gets some 10 requests a second. */
    milliseconds poll_interval{50};
    /*! @brief How often the held chunks are announced to the hall during a
     * transfer; one chunk takes 35 ms on a sidecar's link. */
    milliseconds announce_interval{90};
    /*! @brief How long after a version was published other sidecars may still
     * fetch it: the time until it is enforced. */
    milliseconds fetch_window{8000};
    /*! @brief Time since a version was published after which entries send no
     * requests to older weights: `version_deadlines::send_deadline`. */
    milliseconds send_deadline{6000};
    /*! @brief Time between the announcement that the upstream closes and the
     * load command, so that requests already sent arrive before the command. */
    milliseconds close_propagation_delay{30};
    /*! @brief Time after the close for running requests to finish. The load
     * command then aborts the rest, which entries resume elsewhere. Two thirds
     * of the streams end within 800 ms. A complete drain takes 2 s and more,
     * and the three rounds of a rolling update would not fit into the 8 s until
     * a version is enforced. */
    milliseconds drain_timeout{800};
    /*! @brief Staged chunks that were read back longer ago than this are read
     * back once more before the load command. It exceeds what a drain takes, so
     * that only a suspension makes it necessary. */
    milliseconds staged_check_validity{1500};
    /*! @brief A load that was begun and has no effect this long after the
     * upstream closed is given up; the next update starts it again. */
    milliseconds load_timeout{5000};
    /*! @brief Limit on the time for which a planned stop waits for the check of
     * loaded weights. */
    milliseconds stop_timeout{3000};
    /*! @brief Rate of the instance's link, by which uploads are paced; zero for
     * no limit. */
    byte_rate link_rate{0};
    close_limits closing_limits;
};

/*! @brief Controls one upstream. All members run on the thread of the event
 * loop.
 * @tparam Platform Defines the types `store`, `catalogue`, `engine` and
 * `origin`. */
template <typename Platform>
class upstream_agent
{
public:
    using store_type = typename Platform::store;
    using engine_type = typename Platform::engine;
    using origin_type = typename Platform::origin;
    using node_type = fleet_node<store_type>;
    using transfer_type = chunk_transfer<engine_type, origin_type>;

    upstream_agent(event_loop& main_loop, node_type& own_node,
                   engine_type& local_engine, origin_type& weight_origin,
                   metrics& metric_sink, agent_options settings)
        : loop(main_loop), node(own_node), engine(local_engine),
          origin(weight_origin), counters(metric_sink), options(settings),
          own_address(node.settings().address),
          uploads(main_loop, settings.link_rate),
          records(
              main_loop, node.store_client(), node.mirror(), counters,
              own_address,
              static_cast<std::uint32_t>(std::hash<std::string>()(own_address)))
    {
    }

    /*! @brief Joins the fleet and starts the timers. */
    void start()
    {
        fleet_hooks hooks;
        hooks.keys_changed = [this](const std::vector<std::string>& keys,
                                    std::optional<time_point>)
        { keys_changed(keys); };
        hooks.value_overwritten = [this](const message::mirror_item& one)
        { fleet.add_overwritten_version(one, event_loop::now()); };
        hooks.heartbeat_received =
            [this](const std::string& from, const message::fleet_heartbeat& one)
        { heartbeat_received(from, one); };
        hooks.fill_heartbeat =
            [this](message::fleet_heartbeat& into, chunk_detail detail)
        { fill_heartbeat(into, detail); };
        hooks.handle_request =
            [this](stream_request request, stream_reply reply)
        { serve_peer(request, std::move(reply)); };
        hooks.transfers_active = [this] { return may_serve_chunks(); };
        node.start(std::move(hooks));
        poll_timer = loop.every(options.poll_interval, [this] { poll(); });
        announce_timer = loop.every(options.announce_interval,
                                    [this] { announce_chunks(); });
    }

    /*! @brief Prepares a planned stop: begins no further load, and waits for
     * the check of weights that were loaded and for the record of its outcome,
     * without which the next process would have to distrust them.
     * @param done Called once, after `agent_options::stop_timeout` at the
     * latest. */
    void stop(std::function<void()> done)
    {
        stopping = true;
        // Without a load command nothing has changed.
        if (closing && !command)
            end_load();
        stop_done = std::move(done);
        stop_deadline = event_loop::now() + options.stop_timeout;
        stop_timer = loop.every(options.poll_interval, [this] { poll_stop(); });
        poll_stop();
    }

    [[nodiscard]] const fleet_view<Platform>& view() const { return fleet; }

    /*! @brief Returns a snapshot for the state dump. */
    [[nodiscard]] agent_state state() const
    {
        agent_state snapshot;
        snapshot.upstream = last_report;
        snapshot.reachable = reachable;
        snapshot.closing = closing;
        snapshot.open = is_open();
        snapshot.ordered_version = load_version;
        snapshot.staged_version = staged_version;
        snapshot.uploads_waiting = uploads.size();
        for (const auto& [version, transfer] : transfers)
            snapshot.versions.push_back(transfer->progress());
        return snapshot;
    }

private:
    // --- Versions to fetch -----------------------------------------------

    void keys_changed(const std::vector<std::string>& keys)
    {
        fleet.update(node.mirror(), keys);
        for (const auto& [id, upstream] : fleet.upstreams())
        {
            if (!upstream.model_versions.empty() || has_engine(upstream))
                node.add_side(host_of(upstream.address), upstream.hall);
        }
        update();
    }

    [[nodiscard]] bool has_engine(const upstream_record& upstream) const
    {
        const auto* config = fleet.configuration();
        const auto* service =
            config != nullptr ? config->service(upstream.service) : nullptr;
        return service != nullptr && service->engine.has_value();
    }

    /*! @brief Returns the model that this upstream serves; by the configuration
     * while the upstream reports none. */
    [[nodiscard]] std::string model() const
    {
        if (last_report && !last_report->model.empty())
            return last_report->model;
        const auto* config = fleet.configuration();
        if (config == nullptr)
            return {};
        for (const auto& [name, service] : config->services)
        {
            if (service.engine && !service.engine->models.empty())
                return service.engine->models.front();
        }
        return {};
    }

    /*! @brief Takes the next step after a report, a heartbeat or a change of
     * the store's keys. */

    void update()
    {
        const auto name = model();
        if (name.empty() || !last_report)
            return;
        const auto served = last_report->version;
        const auto newest = fleet.newest(name);
        confirm_weights();
        record_weights();
        drop_transfers(name, served, newest);
        add_transfer({name, newest});
        if (closing)
            return continue_load();
        if (served == newest)
            return ensure_right_weights();
        // Wrong weights can't be given up before they are loaded, and their
        // chunks are replaced only afterwards.
        if (last_report->loading && weights.wrong_version() == newest)
            return;
        fetch_in_order(served);
        verify_and_close(assign_staging(served));
    }

    /*! @brief Drops the transfers of versions that are of another model or
     * older than the served one. Drops incomplete ones also if they are
     * superseded, would be loaded too late, or if the newest version is
     * complete. */
    void drop_transfers(const std::string& model_name, std::uint64_t served,
                        std::uint64_t newest)
    {
        std::erase_if(transfers,
                      [&](const auto& one)
                      {
                          const auto version = one.first;
                          if (one.second->version().model != model_name)
                              return true;
                          if (version < served)
                              return true;
                          if (version >= newest || version == served ||
                              one.second->complete())
                              return false;
                          const auto newest_transfer = transfers.find(newest);
                          return superseded(
                                     fleet.published_at(model_name, version),
                                     fleet.published_at(model_name, newest)) ||
                                 loads_too_late(*one.second, newest) ||
                                 (newest_transfer != transfers.end() &&
                                  newest_transfer->second->complete());
                      });
    }

    /*! @brief Returns whether entries would send all requests to the newest
     * version before this one could be loaded. */
    [[nodiscard]] bool loads_too_late(const transfer_type& transfer,
                                      std::uint64_t newest) const
    {
        const auto remaining = transfer.remaining();
        if (!remaining)
            return false;
        const auto retired_at =
            fleet.published_at(transfer.version().model, newest) +
            options.send_deadline;
        if (!too_late_to_serve(*remaining, event_loop::now(), retired_at))
            return false;
        log::state(
            "version_passed_over",
            {{"version", std::to_string(transfer.version().version)},
             {"for", std::to_string(newest)},
             {"chunks_unseen", std::to_string(remaining->missing_chunks)}});
        return true;
    }

    /*! @brief Fetches versions one after another, the oldest first: what has
     * begun to spread is complete soonest, and each version is enforced at
     * its own time. A stalled transfer lets the next one start in parallel. */
    void fetch_in_order(std::uint64_t served)
    {
        const auto now = event_loop::now();
        for (auto& [version, transfer] : transfers)
        {
            if (version <= served)
                continue;
            transfer->allow_fetching();
            if (!transfer->complete() && !transfer->is_stalled(now))
                return;
        }
    }

    /*! @brief Assigns the staging area of the upstream, which holds one version
     * only, to the version that is to be loaded next. Chunks of another version
     * in it are lost, and the transfers of that version and of older ones are
     * dropped.
     * @return The version that owns the staging area. */
    std::uint64_t assign_staging(std::uint64_t served)
    {
        const auto now = event_loop::now();
        std::vector<candidate_version> candidates;
        for (const auto& [version, transfer] : transfers)
            candidates.push_back(
                {version, transfer->complete(), transfer->is_stalled(now)});
        const auto chosen =
            select_next_version(candidates, served, staged_version);
        if (chosen == staged_version)
        {
            transfers.at(chosen)->allow_staging();
            return chosen;
        }
        log::state("staging_assigned",
                   {{"version", std::to_string(chosen)},
                    {"instead_of", std::to_string(staged_version)}});
        std::erase_if(
            transfers, [&](const auto& item)
            { return item.first < chosen || item.first == staged_version; });
        staged_version = chosen;
        transfers.at(chosen)->allow_staging();
        return chosen;
    }

    void add_transfer(const model_version& wanted)
    {
        auto& transfer = transfers[wanted.version];
        if (transfer)
            return;
        log::state("version_wanted",
                   {{"model", wanted.model},
                    {"version", std::to_string(wanted.version)},
                    {"serves", std::to_string(last_report->version)}});
        transfer = std::make_shared<transfer_type>(
            loop, node.client(), engine, origin, counters, wanted,
            instance_id(own_address), surroundings(), transfer_options);
        transfer->start();
    }

    [[nodiscard]] typename transfer_type::context surroundings()
    {
        typename transfer_type::context made;
        made.origin_address = [this]
        {
            const auto* config = fleet.configuration();
            const auto* service =
                config != nullptr ? config->origin() : nullptr;
            return service != nullptr ? service->origin : std::string();
        };
        made.origin_rate = [this]
        {
            const auto* config = fleet.configuration();
            const auto* service =
                config != nullptr ? config->origin() : nullptr;
            return service != nullptr ? service->origin_rate : byte_rate{0};
        };
        made.participants = [this] { return participants(); };
        made.peer_endpoint = [this](const instance_id& id)
        { return node.peer_endpoint(id.value()); };
        made.uploads = &uploads;
        made.download_window = peer_call_window;
        made.staging_written = [this]
        { weights.chunk_written(event_loop::now()); };
        return made;
    }

    /*! @brief Returns every sidecar of the installation, this one included. */
    [[nodiscard]] std::vector<participant> participants() const
    {
        std::vector<participant> all;
        for (const auto& [id, upstream] : fleet.upstreams())
        {
            if (has_engine(upstream))
                all.push_back({instance_id(host_of(upstream.address)),
                               upstream.hall,
                               region_id(upstream.hall.value())});
        }
        return all;
    }

    /*! @brief Returns whether a version newer than the served one lacks chunks.
     */
    [[nodiscard]] bool has_incomplete() const
    {
        const auto served = last_report ? last_report->version : 0;
        return std::any_of(transfers.begin(), transfers.end(),
                           [&](const auto& one) {
                               return one.first > served &&
                                      !one.second->complete();
                           });
    }

    /*! @brief Returns whether sidecars of other halls may fetch from this one
     * and therefore need its heartbeats. */
    [[nodiscard]] bool may_serve_chunks() const
    {
        return has_incomplete() ||
               (last_report &&
                recently_published(fleet.newest(last_report->model)));
    }

    /*! @brief Returns whether a version was published within the fetch window.
     */

    [[nodiscard]] bool recently_published(std::uint64_t version) const
    {
        return version > 1 && last_report &&
               event_loop::now() -
                       fleet.published_at(last_report->model, version) <
                   options.fetch_window;
    }

    /*! @brief Announces the held chunks to the hall during a transfer. */
    void announce_chunks()
    {
        if (has_incomplete())
            node.announce_chunks();
    }

    // --- The upstream ----------------------------------------------------

    void poll()
    {
        if (poll_pending)
            return;
        poll_pending = true;
        engine.report(
            [this,
             requested_at = event_loop::now()](result<engine_report> report)
            {
                poll_pending = false;
                if (report)
                    return report_received(std::move(report.value()),
                                           requested_at);
                poll_failed(report.error().message);
            });
    }

    void poll_failed(const std::string& why)
    {
        // Before the first report nothing is lost, but the reason is logged.
        if (!reachable && why == last_poll_fault)
            return;
        reachable = false;
        last_poll_fault = why;
        log::warning("upstream_lost", {{"why", why}});
        ++status_sequence;
        node.announce();
    }

    /*! @brief Handles a report of the upstream, unless it is outdated. */

    void report_received(engine_report report, time_point requested_at)
    {
        const auto relation =
            last_report ? classify_report(*last_report, report, closing)
                        : report_order::follows;
        if (relation == report_order::outdated)
            return counters.count("upstream_reports_outdated_total");
        if (!reachable || !last_report ||
            report.version != last_report->version)
            log::state("upstream_read",
                       {{"model", report.model},
                        {"version", std::to_string(report.version)},
                        {"life", std::to_string(report.life.value())},
                        {"sequence", std::to_string(report.sequence)}});
        const bool restarted = relation == report_order::restarted;
        const bool first = restarted || !last_report;
        if (restarted)
            upstream_restarted(report);
        weights.report_received(report, restarted, requested_at);
        report_requested_at = requested_at;
        const bool status_changed = !reachable || !last_report ||
                                    report.running != last_report->running ||
                                    report.waiting != last_report->waiting ||
                                    report.version != last_report->version ||
                                    report.loading != last_report->loading;
        reachable = true;
        last_report = std::move(report);
        ++status_sequence;
        if (first)
            log_trust(last_report->sequence == 0 ? "no command was taken"
                                                 : "not checked yet");
        update();
        if (status_changed)
            node.announce_load();
    }

    /*! @brief Discards all state that belongs to the earlier incarnation: the
     * load command, the closing and the staged chunks. */
    void upstream_restarted(const engine_report& report)
    {
        log::warning("upstream_restarted",
                     {{"life", std::to_string(report.life.value())},
                      {"before", std::to_string(last_report->life.value())}});
        counters.count("upstream_restarts_total");
        ++restart_count;
        closing = false;
        command.reset();
        load_version = 0;
        load_timer.stop();
        // The new transfers read what the upstream has staged.
        transfers.clear();
        staged_version = 0;
    }

    /*! @brief Trusts weights that an earlier process of this sidecar found
     * right, according to its record. */
    void confirm_weights()
    {
        const auto version = last_report->version;
        if (version == 0 || weights.state(version) != weights_state::unchecked)
            return;
        const auto stored = records.stored();
        if (stored && *stored == weights_record::of(*last_report) &&
            weights.confirm(version, stored->sequence))
            log_trust("record");
    }

    /*! @brief Has the weights recorded if they are known to be right. */
    void record_weights()
    {
        if (needs_record(*last_report, serves_right_weights(),
                         records.stored()))
            records.set(weights_record::of(*last_report));
        records.write_if_missing();
    }

    /*! @brief Logs why the upstream's weights are trusted, or that they are
     * not. */
    void log_trust(const std::string& reason) const
    {
        log::state("weights_found",
                   {{"version", std::to_string(last_report->version)},
                    {"life", std::to_string(last_report->life.value())},
                    {"sequence", std::to_string(last_report->sequence)},
                    {"trusted", serves_right_weights() ? "true" : "false"},
                    {"reason", reason}});
    }

    void poll_stop()
    {
        const bool awaits_check = (command && weights.state(load_version) ==
                                                  weights_state::unchecked) ||
                                  !checking.expired() || unload_pending ||
                                  records.pending();
        if (!stop_done || (awaits_check && event_loop::now() < stop_deadline))
            return;
        stop_timer.stop();
        std::exchange(stop_done, nullptr)();
    }

    void load_completed()
    {
        end_load();
        log::state("version_served",
                   {{"model", last_report->model},
                    {"version", std::to_string(last_report->version)}});
        counters.count("versions_loaded_total");
    }

    // --- Loading ---------------------------------------------------------

    /*! @brief Continues a load after a report. While the upstream may still
     * take the load command, the load goes on, so that the staging area stays
     * that of its version. */
    void continue_load()
    {
        const auto now = event_loop::now();
        if (command && !command->taken(*last_report))
        {
            const auto step = command->next(now);
            // A conflict shows that a report from before it is outdated.
            const bool settled = report_requested_at >= command_ended_at;
            if (step == command_step::send_again)
                repeat_load_command();
            else if (step == command_step::withdrawn && settled)
                end_load();
            return;
        }
        if (!command)
        {
            // Without its transfer the load cannot be continued.
            if (!transfers.contains(load_version))
                end_load();
            return;
        }
        check_loaded_weights(load_version);
        if (last_report->version == load_version &&
            weights.trusted(load_version))
            return load_completed();
        if (weights.state(load_version) == weights_state::wrong)
            return end_load();
        if (now - closed_at <= options.load_timeout || last_report->loading ||
            !checking.expired())
            return;
        log::warning("order_without_effect",
                     {{"version", std::to_string(load_version)}});
        end_load();
    }

    /*! @brief Ends a load, with or without effect. */
    void end_load()
    {
        closing = false;
        command.reset();
        load_timer.stop();
        ++status_sequence;
        node.announce();
    }

    /*! @brief Checks the weights of the newest version if they are not known to
     * be right, and has them loaded again if they are wrong. They are given up
     * before the chunks are replaced: otherwise a sidecar that starts in
     * between would find right chunks beside wrong weights. */
    void ensure_right_weights()
    {
        const auto version = last_report->version;
        check_loaded_weights(version);
        if (weights.state(version) != weights_state::wrong)
            return;
        transfers.at(version)->allow_fetching();
        // Reports lag, so that one may not show yet that it was given up.
        if (!unload_pending &&
            event_loop::now() - unloaded_at >= load_command::repeat_interval)
            unload();
    }

    /*! @brief Reads the staged chunks back after a load command was taken,
     * since it is not known what the staging area held at that moment. */
    void check_loaded_weights(std::uint64_t version)
    {
        const auto found = transfers.find(version);
        if (found == transfers.end() || !checking.expired() ||
            weights.state(version) != weights_state::unchecked ||
            !found->second->is_manifest_known())
            return;
        checking = found->second;
        // A chunk that is replaced would hide what was loaded.
        found->second->hold_staging();
        found->second->verify_staged(
            [this, begun = weights.begin_check(version)](staged_result outcome)
            {
                checking.reset();
                if (!weights.end_check(begun, outcome))
                    return;
                log_loaded_weights(begun.version,
                                   weights.trusted(begun.version));
                if (last_report->version == begun.version)
                    update();
            });
    }

    void log_loaded_weights(std::uint64_t version, bool right)
    {
        counters.count("loads_checked_total", 1,
                       {{"result", right ? "right" : "wrong"}});
        log::state("loaded_weights_checked",
                   {{"version", std::to_string(version)},
                    {"sequence", std::to_string(last_report->sequence)},
                    {"result", right ? "right" : "wrong"}});
    }

    /*! @brief Makes the upstream give up wrong weights; the next update loads
     * the version again. */
    void unload()
    {
        unload_pending = true;
        unloaded_at = event_loop::now();
        counters.count("unloads_total");
        const model_version held{model(), last_report->version};
        engine.unload(held, last_report->sequence,
                      [this, held](load_outcome outcome)
                      {
                          unload_pending = false;
                          log::warning(
                              "wrong_weights_unloaded",
                              {{"version", std::to_string(held.version)},
                               {"outcome", outcome_name(outcome)}});
                      });
    }

    /*! @brief Verifies the staged chunks of a version when all are staged and
     * this sidecar may close, then closes the upstream to load it. If a chunk
     * is corrupt, the transfer stages it again and a later update retries. */
    void verify_and_close(std::uint64_t version)
    {
        const auto now = event_loop::now();
        const auto& transfer = transfers.at(version);
        if (stopping || !verifying.expired() || !transfer->is_staged() ||
            !may_close_now(*transfer, now))
            return;
        verify_staged(transfer,
                      [this, version](bool intact)
                      {
                          if (intact && !stopping &&
                              transfers.contains(version))
                              close_upstream(version);
                      });
    }

    /*! @brief Verifies the staged chunks and notes since when they are known to
     * be right.
     * @param done Called with whether all are. */
    void verify_staged(const std::shared_ptr<transfer_type>& transfer,
                       std::function<void(bool)> done)
    {
        verifying = transfer;
        transfer->verify_staged(
            [this, done = std::move(done),
             begun_at = event_loop::now()](staged_result outcome)
            {
                verifying.reset();
                staged_verified_at = begun_at;
                done(outcome == staged_result::intact);
            });
    }

    /*! @brief Applies `may_close` to the live sidecars of this hall. */

    [[nodiscard]] bool may_close_now(const transfer_type& transfer,
                                     time_point now) const
    {
        // Nothing is served, so that closing costs no capacity.
        if (!serves_right_weights())
            return true;
        const auto& wanted = transfer.version();
        std::vector<hall_peer> others;
        for (const auto& [address, peer] : node.peers().all())
        {
            if (peer.entry || !peer_directory::alive(peer, now) ||
                peer.last_heartbeat.hall != node.settings().hall.value())
                continue;
            others.push_back(
                {instance_id(address), !peer.last_heartbeat.upstream.open,
                 peer.last_heartbeat.upstream.version < wanted.version &&
                     transfer.any_complete(peer.last_heartbeat.chunks)});
        }
        const auto since_published =
            now - fleet.published_at(wanted.model, wanted.version);
        return may_close(options.closing_limits, instance_id(own_address),
                         others, wanted.rank_key(), since_published);
    }

    /*! @brief Announces that the upstream closes; the load command follows. */
    void close_upstream(std::uint64_t version)
    {
        closing = true;
        closed_at = event_loop::now();
        load_version = version;
        ++status_sequence;
        node.announce();
        log::state("upstream_closed",
                   {{"version", std::to_string(version)},
                    {"running", std::to_string(last_report->running)}});
        load_timer =
            loop.after(options.close_propagation_delay, [this] { drain(); });
    }

    /*! @brief Sends the load command once no request runs or the drain timed
     * out. Where requests can't be aborted the upstream drains by itself, so
     * that the command is sent immediately. */
    void drain()
    {
        if (!closing)
            return;
        const bool timed_out =
            event_loop::now() - closed_at >= options.drain_timeout;
        const bool idle =
            last_report && last_report->running + last_report->waiting == 0;
        if ((timed_out || idle || !may_abort()) && weights.settled())
            return begin_load();
        load_timer = loop.after(options.poll_interval, [this] { drain(); });
    }

    /*! @brief Sends the load command if the staged chunks were found right a
     * short time ago. They are read back once more after a suspension, since
     * they may have changed during it. */
    void begin_load()
    {
        if (!closing)
            return;
        const auto transfer = transfers.find(load_version);
        if (transfer == transfers.end())
            return end_load();
        if (is_staged_check_valid())
            return send_load_command();
        counters.count("staged_checks_expired_total");
        verify_staged(transfer->second,
                      [this](bool intact)
                      {
                          if (closing)
                              intact ? send_load_command() : end_load();
                      });
    }

    [[nodiscard]] bool is_staged_check_valid() const
    {
        return event_loop::now() - staged_verified_at <=
               options.staged_check_validity;
    }

    /*! @brief Sends a copy of the load command once the staged chunks were read
     * back again: the first copy may be lost, and chunks may have turned bad
     * since. */
    void repeat_load_command()
    {
        const auto transfer = transfers.find(load_version);
        if (transfer == transfers.end() || is_staged_check_valid())
            return send_load_command();
        if (!verifying.expired() || !transfer->second->is_staged())
            return;
        verify_staged(transfer->second,
                      [this](bool intact)
                      {
                          if (closing && command && intact)
                              send_load_command();
                      });
    }

    /*! @brief Returns whether all routes to engines allow their requests to be
     * repeated, so that entries can resume aborted ones elsewhere. */
    [[nodiscard]] bool may_abort() const
    {
        const auto* config = fleet.configuration();
        if (config == nullptr)
            return false;
        return std::all_of(config->routes.begin(), config->routes.end(),
                           [&](const route_rule& route)
                           {
                               const auto* service =
                                   route.services.empty()
                                       ? nullptr
                                       : config->service(
                                             route.services.front().service);
                               return service == nullptr || !service->engine ||
                                      route.repeatable();
                           });
    }

    /*! @brief Sends the load command, for the first time or once more. The next
     * reports tell whether it was taken. */
    void send_load_command()
    {
        if (!closing || !last_report)
            return;
        const auto now = event_loop::now();
        const model_version wanted{model(), load_version};
        if (!command)
            command.emplace(last_report->sequence);
        command->sent(now);
        counters.count("orders_total");
        engine.load(
            wanted, command->expected(),
            may_abort() ? load_method::abort : load_method::drain,
            [this, wanted, sent_at = now, verified_at = staged_verified_at,
             expected = command->expected(),
             restarts_at_send = restart_count](load_outcome outcome)
            {
                if (restarts_at_send != restart_count || !command ||
                    command->expected() != expected)
                    return;
                command->ended(outcome);
                command_ended_at = event_loop::now();
                log::state(
                    "order_given",
                    {{"model", wanted.model},
                     {"version", std::to_string(wanted.version)},
                     {"sequence", std::to_string(command->expected())},
                     {"outcome", outcome_name(outcome)},
                     {"verified_ms_before", to_ms_text(sent_at - verified_at)},
                     {"in_doubt", command->in_doubt() ? "true" : "false"}});
            });
    }

    static std::string outcome_name(load_outcome outcome)
    {
        return std::to_string(static_cast<int>(outcome));
    }

    static std::string to_ms_text(time_point::duration passed)
    {
        return std::to_string(
            std::chrono::duration_cast<milliseconds>(passed).count());
    }

    /*! @brief Returns whether requests may be sent to the weights that the
     * upstream holds. */
    [[nodiscard]] bool serves_right_weights() const
    {
        return last_report->version > 0 &&
               weights.trusted(last_report->version);
    }

    /*! @brief Returns whether entries may send requests to the upstream. */
    [[nodiscard]] bool is_open() const
    {
        return last_report && !closing && serves_right_weights();
    }

    // --- Peers -----------------------------------------------------------

    /*! @brief Adds this sidecar's state to a heartbeat. */
    void fill_heartbeat(message::fleet_heartbeat& into,
                        chunk_detail detail) const
    {
        auto& status = into.upstream;
        status.sequence = status_sequence;
        status.reachable = reachable;
        if (last_report)
        {
            status.life = last_report->life.value();
            status.model = last_report->model;
            status.version = last_report->version;
            status.running = last_report->running;
            status.waiting = last_report->waiting;
            status.memory_used = last_report->memory_used;
            status.memory_size = last_report->memory_size;
            status.pace = last_report->pace;
            status.open = is_open();
        }
        const auto served = last_report ? last_report->version : 0;
        for (const auto& [version, transfer] : transfers)
        {
            if (detail == chunk_detail::all ||
                (detail == chunk_detail::in_transfer &&
                 (version > served || recently_published(version))))
                into.chunks.push_back(transfer->held_chunks());
        }
    }

    /*! @brief Takes published versions from an entry, or the held chunks from
     * another sidecar. */

    void heartbeat_received(const std::string& from,
                            const message::fleet_heartbeat& heartbeat)
    {
        if (heartbeat.entry)
        {
            if (fleet.configuration() != nullptr &&
                merge_gossiped_versions(fleet, heartbeat.versions,
                                        event_loop::now()))
                update();
            return;
        }
        for (const auto& [version, transfer] : transfers)
            transfer->record_peer_alive(instance_id(from));
        for (const auto& possession : heartbeat.chunks)
        {
            const auto found = transfers.find(possession.version);
            if (found != transfers.end())
                found->second->add_peer_chunks(instance_id(from), possession);
        }
    }

    static std::string_view query_parameter(std::string_view target,
                                            std::string_view name)
    {
        auto at = target.find('?');
        while (at != std::string_view::npos)
        {
            const auto begin = at + 1;
            at = target.find('&', begin);
            const auto pair = target.substr(
                begin, at == std::string_view::npos ? at : at - begin);
            if (pair.starts_with(name) && pair.size() > name.size() &&
                pair[name.size()] == '=')
                return pair.substr(name.size() + 1);
        }
        return {};
    }

    static std::uint64_t parse_number(std::string_view text)
    {
        std::uint64_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

    /*! @brief Answers a peer's request for the manifest or a chunk of a
     * version. */

    void serve_peer(const stream_request& request, stream_reply reply)
    {
        const model_version requested{
            std::string(query_parameter(request.target, "model")),
            parse_number(query_parameter(request.target, "version"))};
        const auto found = transfers.find(requested.version);
        if (found == transfers.end() || found->second->version() != requested)
            return reply.send(404, {}, "");
        auto& transfer = found->second;
        if (request.target.starts_with("/chunks?"))
        {
            const auto text = transfer->manifest_lines();
            return reply.send(text.empty() ? 404 : 200, {}, text);
        }
        transfer->serve_chunk(static_cast<chunk_index>(parse_number(
                                  query_parameter(request.target, "index"))),
                              !query_parameter(request.target, "wait").empty(),
                              query_parameter(request.target, "by"),
                              std::move(reply));
    }

    event_loop& loop;
    node_type& node;
    engine_type& engine;
    origin_type& origin;
    metrics& counters;
    agent_options options;
    std::string own_address;
    fleet_view<Platform> fleet;
    paced_uploads uploads;
    /*! @brief Of the weights that were found right. */
    weights_record_writer<store_type> records;
    chunk_transfer_options transfer_options;
    /*! @brief Limits the chunks that all transfers together request from peers
     * at the same time. */
    std::shared_ptr<call_window> peer_call_window{std::make_shared<call_window>(
        transfer_options.max_holder_calls, transfer_options.slow_chunk_time)};
    std::map<std::uint64_t, std::shared_ptr<transfer_type>> transfers;
    std::optional<engine_report> last_report;
    std::uint64_t status_sequence{0};
    std::uint64_t restart_count{0}; /*!< Detected restarts of the upstream. */
    time_point closed_at{}; /*!< When the upstream last closed for a load. */
    /*! @brief The version that the upstream last closed for; 0: none. */
    std::uint64_t load_version{0};
    std::uint64_t staged_version{0}; /*!< Owns the staging area; 0: none. */
    bool reachable{false};
    std::string last_poll_fault; /*!< Why the last report failed. */
    bool poll_pending{false};
    bool closing{false};
    bool stopping{false}; /*!< A planned stop has begun. */
    bool unload_pending{false};
    time_point unloaded_at{}; /*!< When wrong weights were last unloaded. */
    time_point report_requested_at{}; /*!< Of the last report. */
    /*! @brief When the last call of a load command ended. */
    time_point command_ended_at{};
    /*! @brief The load command of the current load, once it was sent. */
    std::optional<load_command> command;
    loaded_weights weights;
    /*! @brief When the last verification of staged chunks began. */
    time_point staged_verified_at{};
    /*! @brief The transfer whose staged chunks are being verified. */
    std::weak_ptr<transfer_type> verifying;
    /*! @brief The transfer whose staged chunks are read back after a load. */
    std::weak_ptr<transfer_type> checking;
    /*! @brief Called when a planned stop needs not wait any longer. */
    std::function<void()> stop_done;
    time_point stop_deadline{};
    timer poll_timer;
    timer announce_timer;
    timer load_timer;
    timer stop_timer;
};

} // namespace coursejunction

#endif
