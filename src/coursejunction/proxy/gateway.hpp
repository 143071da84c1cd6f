/*! @file
 * @brief The process role `entry`: accepts callers' requests and forwards them
 * to upstreams, reports whether it is ready, and shuts down without cutting
 * connections short. */
#ifndef COURSEJUNCTION_PROXY_GATEWAY_HPP
#define COURSEJUNCTION_PROXY_GATEWAY_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coursejunction/core/log.hpp"
#include "coursejunction/core/rendezvous.hpp"
#include "coursejunction/fleet/configuration_copy_writer.hpp"
#include "coursejunction/fleet/fleet_node.hpp"
#include "coursejunction/fleet/fleet_view.hpp"
#include "coursejunction/fleet/quarantine_item.hpp"
#include "coursejunction/fleet/quarantine_writer.hpp"
#include "coursejunction/fleet/restore_schedule.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/metrics.hpp"
#include "coursejunction/net/stream_server.hpp"
#include "coursejunction/proxy/caller_connections.hpp"
#include "coursejunction/proxy/cold_start_monitor.hpp"
#include "coursejunction/proxy/exchange_service.hpp"
#include "coursejunction/proxy/live_entries.hpp"
#include "coursejunction/proxy/organisation_messages.hpp"
#include "coursejunction/proxy/refusal_messages.hpp"
#include "coursejunction/proxy/store_change_intake.hpp"
#include "coursejunction/proxy/version_controller.hpp"

namespace coursejunction
{

/*! @brief Addresses and timeouts of an entry. */
struct gateway_options
{
    std::string listen_address;    /*!< `IP:port` where callers connect. */
    std::string readiness_address; /*!< `IP:port` of the load balancer's health
                                              check. */
    std::string readiness_path;
    /*! @brief How long after a version was published requests are still sent to
     * upstreams with older ones: `version_deadlines::send_deadline`. */
    milliseconds old_weights_grace{6000};
    /*! @brief Maximum duration of a shutdown. Connections that remain shortly
     * before its end (`forced_stop_margin`) are cut. */
    milliseconds stop_grace{8000};
    /*! @brief Bound on the memory that callers' requests hold together. */
    std::size_t max_request_bytes{std::size_t{50} << 20U};
    /*! @brief Bounds on the open connections of callers and of health checks;
     * 0: none. Upstreams, peers and the store need descriptors as well. */
    std::size_t max_callers{0};
    std::size_t max_probes{0};
    exchange_options exchange;
    placement_options placement;
};

/*! @brief Serves callers: connects the store's state and the peers' heartbeats
 * to an `exchange_service`.
 * @tparam Platform Provides the types `store`, `catalogue`, `codec` and
 * `origin`. */
template <typename Platform>
class gateway
{
public:
    using codec = typename Platform::codec;
    using node_type = fleet_node<typename Platform::store>;

    /*! @brief Opens the ports.
     * @return The entry, or `unavailable`. */
    [[nodiscard]] static result<std::unique_ptr<gateway>>
    create(event_loop& loop, node_type& node, metrics& counters,
           gateway_options options)
    {
        std::unique_ptr<gateway> entry(
            new gateway(loop, node, counters, std::move(options)));
        auto opened = entry->open();
        if (!opened)
            return failure(opened.error().kind, opened.error().message);
        return entry;
    }

    /*! @brief Starts reading the store, exchanging heartbeats with peers and
     * the periodic work. */
    void start()
    {
        fleet_hooks hooks;
        hooks.keys_changed = [this](const std::vector<std::string>& keys,
                                    std::optional<time_point> lapse_deadline)
        { on_keys_changed(keys, lapse_deadline); };
        hooks.value_overwritten = [this](const message::mirror_item& item)
        { fleet.add_overwritten_version(item, event_loop::now()); };
        hooks.heartbeat_received =
            [this](const std::string& from,
                   const message::fleet_heartbeat& heartbeat)
        { on_heartbeat(from, heartbeat); };
        hooks.fill_heartbeat =
            [this](message::fleet_heartbeat& heartbeat, chunk_detail)
        { fill_heartbeat(heartbeat); };
        hooks.crash_records = [this]
        { return exchanges.crashes().collect_updates(); };
        hooks.refused_callers = [this] {
            return take_refusals_to_send(exchanges.dispatching(),
                                         event_loop::now());
        };
        hooks.recent_terms = [this]
        { return recent_terms(book, event_loop::now()); };
        hooks.add_store_changes =
            [this](message::fleet_heartbeat& heartbeat, bool all)
        {
            store_changes.add_reports(heartbeat, all, event_loop::now());
            if (all)
                organisation_rates.add(heartbeat, node.peers());
        };
        exchanges.on_unsent_refusals([this] { node.announce_refusals(); });
        exchanges.crashes().on_records_changed([this]
                                               { node.announce_crashes(); });
        exchanges.crashes().on_persist(
            [this](const request_content& content,
                   const message::crash_record* record)
            { persist_quarantine(content, record); });
        exchanges.crashes().set_trial_rank(
            [this](const request_content& content)
            { return trial_rank(content); });
        exchanges.set_entry_count(1, event_loop::now());
        loop.track_input_age();
        node.start(std::move(hooks));
        tick_timer = loop.every(tick_interval, [this] { tick(); });
    }

    /*! @brief Begins a graceful shutdown. `done` is called once, after
     * `min_stop_duration` at the earliest: when no request and no caller
     * connection is open, or at the latest `forced_stop_margin` before
     * `stop_grace` is over. Further calls are ignored. */
    void stop(std::function<void()> done)
    {
        if (stopping)
            return;
        stopping = true;
        stop_began_at = event_loop::now();
        on_stopped = std::move(done);
        caller_server->retire();
        log::state("stop_begun",
                   {{"open_requests", std::to_string(exchanges.size())}});
        node.leave();
    }

    [[nodiscard]] const fleet_view<Platform>& view() const { return fleet; }
    [[nodiscard]] const upstream_registry& upstreams() const { return book; }
    [[nodiscard]] crash_guard& crashes() { return exchanges.crashes(); }
    [[nodiscard]] std::size_t open_requests() const { return exchanges.size(); }
    [[nodiscard]] std::size_t queued_requests() const
    {
        return exchanges.queued_count();
    }

private:
    /*! @brief Interval at which expired state is dropped, shares are
     * recalculated, keys that the store lost are rewritten and a shutdown
     * advances. */
    static constexpr milliseconds tick_interval{100};

    /*! @brief The configuration counts as outdated when peers have been ahead
     * for this long. Changes take 0.1 to 0.6 s to arrive, and 2 s are allowed
     * for applying them. */
    static constexpr milliseconds outdated_after{1000};

    /*! @brief A shutdown lasts at least this long. The load balancer checks
     * each second and stops routing here after the second failure, so no new
     * connections arrive by then. */
    static constexpr milliseconds min_stop_duration{2600};

    /*! @brief All requests are accepted for this long after a shutdown began;
     * afterwards those whose time limit ends before idle connections are
     * closed.
     * The rest is refused: a stream that began later might be cut. */
    static constexpr milliseconds accept_duration{2800};

    /*! @brief Time left of `stop_grace` when idle connections are closed.
     * Callers reuse them until they learn of the shutdown from a response or
     * from this close. */
    static constexpr milliseconds idle_close_margin{500};

    /*! @brief Time left of `stop_grace` when the remaining connections are cut,
     * for the process to exit in. */
    static constexpr milliseconds forced_stop_margin{250};

    /*! @brief Bound on the memory of all requests of health checks. */
    static constexpr std::size_t max_probe_bytes = std::size_t{1} << 20U;

    gateway(event_loop& owner, node_type& own_node, metrics& metric_counters,
            gateway_options chosen_options)
        : loop(owner), node(own_node), counters(metric_counters),
          options(std::move(chosen_options)),
          exchanges(owner, own_node.client(), book, metric_counters,
                    placer(options.placement, own_node.settings().hall,
                           own_node.settings().address),
                    options.exchange),
          store_changes(book, own_node.mirror(), metric_counters),
          quarantine_store(owner, own_node.store_client(), own_node.mirror(),
                           metric_counters, jitter_seed(own_node)),
          configuration_copies(owner, own_node.store_client(),
                               own_node.mirror(), metric_counters,
                               jitter_seed(own_node)),
          version_control(owner, own_node, fleet, exchanges.minimum_versions(),
                          metric_counters, options.old_weights_grace,
                          jitter_seed(own_node))
    {
    }

    /*! @brief Returns a seed that differs between entries. */
    [[nodiscard]] static std::uint32_t jitter_seed(const node_type& node)
    {
        return static_cast<std::uint32_t>(stable_hash(node.settings().address));
    }

    result<bool> open()
    {
        auto caller_listener =
            listen(options.listen_address, {},
                   [this](stream_request request, stream_reply reply)
                   { handle_request(std::move(request), std::move(reply)); });
        if (!caller_listener)
            return failure(caller_listener.error().kind,
                           caller_listener.error().message);
        caller_server = std::move(caller_listener.value());
        caller_server->limit_connections(options.max_callers);
        caller_connections::watch(
            *caller_server, options.max_request_bytes,
            codec::refusal_headers(
                options.exchange.dispatch.admission.min_retry_after),
            counters);
        auto readiness_listener =
            listen(options.readiness_address, without_body(),
                   [this](const stream_request&, stream_reply reply)
                   { reply.send(ready() ? 200 : 503, {}, ""); });
        if (!readiness_listener)
            return failure(readiness_listener.error().kind,
                           readiness_listener.error().message);
        readiness_server = std::move(readiness_listener.value());
        readiness_server->limit_requests(max_probe_bytes);
        readiness_server->limit_connections(options.max_probes);
        return true;
    }

    result<std::unique_ptr<stream_server>>
    listen(const std::string& address, const stream_limits& limits,
           stream_server::handler handler)
    {
        const auto colon = address.rfind(':');
        const auto port = static_cast<std::uint16_t>(
            std::strtoul(address.c_str() + colon + 1, nullptr, 10));
        return stream_server::create(loop, address.substr(0, colon), port,
                                     limits, std::move(handler));
    }

    void handle_request(stream_request request, stream_reply reply)
    {
        if (stopping && !ends_before_stop(codec::decode_request(request)))
        {
            // The client retry goes to another entry.
            constexpr milliseconds retry_after{100};
            counters.count("requests_refused_total", 1, {{"status", "503"}});
            log::problem(
                "request_refused",
                {{"request", codec::decode_request(request).id.value()},
                 {"reason", "this entry is shutting down"}});
            return reply.send(503, codec::refusal_headers(retry_after), "");
        }
        exchanges.handle_request(std::move(request), std::move(reply));
    }

    /*! @brief Returns whether a request that arrives during a shutdown is
     * accepted. */
    [[nodiscard]] bool ends_before_stop(const caller_request& request) const
    {
        const auto since = event_loop::now() - stop_began_at;
        return since < accept_duration ||
               since + time_limit(request) <=
                   options.stop_grace - idle_close_margin;
    }

    /*! @brief Returns how long a request may take; zero if it has no route, as
     * it is rejected at once. */
    [[nodiscard]] milliseconds time_limit(const caller_request& request) const
    {
        const auto* configuration = fleet.configuration();
        const auto* route =
            configuration == nullptr
                ? nullptr
                : configuration->route(request.host, request.path);
        if (route == nullptr)
            return milliseconds(0);
        return std::min(route->timeout,
                        request.deadline.value_or(route->timeout));
    }

    /*! @brief Returns whether this entry can handle a request. */
    [[nodiscard]] bool ready() const
    {
        return !stopping && fleet.configuration() != nullptr;
    }

    /*! @brief Applies changed keys of the store.
     * @param lapse_deadline Until then missing records may come back after an
     * outage of the store. */
    void on_keys_changed(const std::vector<std::string>& keys,
                         std::optional<time_point> lapse_deadline)
    {
        const auto now = event_loop::now();
        const auto* previous = fleet.configuration();
        load_quarantines(keys);
        const auto upstream_changes = fleet.update(node.mirror(), keys);
        // Before the records, as a restarted upstream's requests are sent again
        // at once.
        read_evacuations(now);
        for (const auto& change : upstream_changes)
        {
            const auto record = fleet.upstreams().find(change.id);
            const bool leaves =
                record != fleet.upstreams().end() && record->second.leaving;
            store_changes.add_departure(change, leaves,
                                        lapse_deadline.has_value(), now);
            if (!change.removed)
                update_upstream(record->second);
            log_upstream_change(change, lapse_deadline, now);
            if (change.removed)
                remove_upstream(change, lapse_deadline, now);
        }
        book.set_mirrored(node.mirror().position());
        version_control.on_keys_changed(previous == nullptr, now);
        if (fleet.configuration() != previous)
            configure();
        const auto* configuration = fleet.configuration();
        configuration_copies.on_keys_changed(
            keys, configuration == nullptr ? 0 : configuration->version);
        register_sidecars();
    }

    void read_evacuations(time_point now)
    {
        if (store_changes.read_evacuations(fleet.evacuations(), now))
            exchanges.place_waiting();
    }

    /*! @brief Loads quarantines that the store keeps. They arrive together with
     * the configuration, so a new process knows them before it takes a request.
     */
    void load_quarantines(const std::vector<std::string>& keys)
    {
        for (const auto& key : keys)
        {
            const auto* value = node.mirror().find(key);
            if (value == nullptr ||
                Platform::catalogue::kind(key) != item_kind::quarantine)
                continue;
            const auto record = read_quarantine(key, value->payload, unix_ms());
            if (record)
                exchanges.crashes().restore_quarantine(record.value());
            else
                log::warning("quarantine_unreadable",
                             {{"key", key}, {"why", record.error().message}});
        }
    }

    /*! @brief Writes the record of a quarantine to the store, or removes it.
     * @param record Null if the quarantine is over. */
    void persist_quarantine(const request_content& content,
                            const message::crash_record* record)
    {
        if (record != nullptr)
            quarantine_store.persist(content,
                                     quarantine_payload(*record, unix_ms()));
        else
            quarantine_store.remove(content);
    }

    /*! @brief Writes quarantines again that were lost when the store was rolled
     * back to an older snapshot. An entry that starts now would not know them.
     * @param rank Number of live entries before this one; 0 writes first. */
    void rewrite_lost_quarantines(std::size_t rank, time_point now)
    {
        if (!quarantine_restores.due(node.mirror().position(), rank, now))
            return;
        rewrite_lost_quarantines(exchanges.crashes().records(), now);
        rewrite_lost_quarantines(exchanges.crashes().part_records(), now);
    }

    void rewrite_lost_quarantines(const crash_ledger& records, time_point now)
    {
        for (const auto& [content, history] : records.histories())
        {
            if (records.is_blocked(content) &&
                node.mirror().absent_without_removal(quarantine_key(content)))
                quarantine_store.restore(
                    content, quarantine_payload(records.record(content, now),
                                                unix_ms()));
        }
    }

    /*! @brief Returns the Unix time in milliseconds. */
    [[nodiscard]] static std::int64_t unix_ms()
    {
        return std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    void log_upstream_change(const upstream_change& change,
                             std::optional<time_point> lapse_deadline,
                             time_point now)
    {
        const auto* known = book.find(change.id);
        const bool leaving = known != nullptr && known->announced_leaving();
        // A malformed record is removed at once: it was not lost in an outage.
        const bool lapse =
            change.removed && !change.malformed && lapse_deadline;
        const auto left = std::chrono::duration_cast<milliseconds>(
            lapse ? *lapse_deadline - now : time_point::duration::zero());
        if (change.removed)
            counters.count("upstream_records_removed_total", 1,
                           {{"lapse", lapse ? "yes" : "no"}});
        log::state("upstream_changed",
                   {{"upstream", change.id.value()},
                    {"life", std::to_string(change.life.value())},
                    {"removed", change.removed ? "true" : "false"},
                    {"malformed", change.malformed ? "true" : "false"},
                    {"leaving", leaving ? "true" : "false"},
                    {"revision", change.position.text()},
                    {"lapse", lapse ? "true" : "false"},
                    {"lapse_left_ms", std::to_string(left.count())}});
    }

    /*! @brief Drops upstreams whose record did not return in time. */
    void expire_upstreams(time_point now)
    {
        for (const auto& id : book.expire(now))
            log::state("upstream_expired", {{"upstream", id.value()}});
    }

    void remove_upstream(const upstream_change& change,
                         std::optional<time_point> lapse_deadline,
                         time_point now)
    {
        if (change.malformed)
            return book.remove(change.id, std::nullopt, now);
        const auto* known = book.find(change.id);
        const bool expected = known == nullptr || known->announced_leaving();
        if (!expected && !lapse_deadline)
            exchanges.crashes().upstream_record_expired(change.id);
        book.remove(change.id, lapse_deadline, now);
    }

    void update_upstream(const upstream_record& record)
    {
        exchanges.crashes().address_reassigned(record.id, record.address);
        if (const auto restarted = book.apply_record(record, event_loop::now()))
            exchanges.upstream_restarted(*restarted);
    }

    void update_status(const std::string& host,
                       const message::upstream_status& status,
                       time_point sent_at)
    {
        for (const auto& restarted : book.apply_status(host, status, sent_at))
            exchanges.upstream_restarted(restarted);
    }

    void configure()
    {
        book.configure(*fleet.configuration());
        exchanges.configure(fleet.shared_configuration());
        caller_server->limits(fleet.configuration()->caller_limits);
    }

    /*! @brief Registers the sidecars; each upstream that has an engine has one
     * on its host. */
    void register_sidecars()
    {
        const auto* configuration = fleet.configuration();
        if (configuration == nullptr)
            return;
        for (const auto& [id, upstream] : fleet.upstreams())
        {
            const auto* service = configuration->service(upstream.service);
            if (service != nullptr && service->engine)
                node.add_side(host_of(upstream.address), upstream.hall);
        }
    }

    void on_heartbeat(const std::string& from,
                      const message::fleet_heartbeat& heartbeat)
    {
        const auto now = event_loop::now();
        for (const auto& sidecar : heartbeat.digest.sides)
            update_status(format_ipv4(sidecar.address),
                          status_in(heartbeat.digest, sidecar),
                          now - milliseconds(sidecar.age_ms));
        if (heartbeat.entry)
        {
            for (const auto& refusal : heartbeat.refusals)
                exchanges.dispatching().record_remote_refusal(
                    decode_refusal(refusal, now), now);
            organisation_rates.merge(heartbeat, from, now);
            for (const auto& terms : heartbeat.terms)
                exchanges.notices().apply_reported_terms(terms, from, now);
            if (store_changes.merge_reports(heartbeat, from, now))
                exchanges.place_waiting();
            version_control.merge_reported(heartbeat.versions, now);
            return exchanges.crashes().merge_records(heartbeat.crashes, from);
        }
        update_status(from, heartbeat.upstream, now);
        if (exchanges.queued_count() > 0)
            exchanges.place_waiting();
    }

    /*! @brief Returns the place of this entry among those that run the trials
     * of a request: all live ones rank each other by rendezvous hashing. */
    [[nodiscard]] std::size_t trial_rank(const request_content& content) const
    {
        if (stopping)
            return std::numeric_limits<std::size_t>::max();
        const auto now = event_loop::now();
        const auto key = content.hex();
        const auto own = rendezvous_weight(key, node.settings().address);
        const auto& peers = node.peers().all();
        return static_cast<std::size_t>(std::count_if(
            peers.begin(), peers.end(),
            [&](const auto& item)
            {
                const auto& [address, peer] = item;
                return peer.entry && !peer.last_heartbeat.leaving &&
                       peer_directory::alive(peer, now) &&
                       rendezvous_weight(key, address) > own;
            }));
    }

    /*! @brief Adds this entry's request rates to a heartbeat, and the versions
     * that the store does not show. */
    void fill_heartbeat(message::fleet_heartbeat& heartbeat) const
    {
        const auto now = event_loop::now();
        const auto rates = exchanges.rates(now);
        heartbeat.versions = version_control.versions_to_report(now);
        heartbeat.load.arrived = static_cast<float>(rates.arrived);
        heartbeat.load.refused = static_cast<float>(rates.refused);
        heartbeat.load.demand = static_cast<float>(rates.demand);
    }

    /*! @brief Divides the engines and the rates of limited and of cold
     * upstreams between the entries. */
    void divide_engines(time_point now)
    {
        const auto& self = node.settings();
        const auto entries = collect_live_entries(
            {self.hall, self.address, exchanges.rates(now).demand},
            node.peers(), now);
        exchanges.set_other_entries_rates(entries.others, now);
        // An entry that shuts down passes no address, so it gets no share; the
        // other entries divide the limits without it.
        const auto own = stopping ? std::string{} : self.address;
        book.assign_limit_shares(own, entries.demands, now);
        book.assign_cold_shares(own, entries.demands, entries.unheard, now,
                                entries.leaving);
        book.assign_engine_shares(
            demand_interval_of(self.address, entries.demands),
            [&](const known_upstream& upstream)
            { return exchanges.accepts_new_requests(upstream, now); });
        cold_monitor.update(book, now);
    }

    void tick()
    {
        const auto now = event_loop::now();
        book.set_mirrored(node.mirror().position());
        // The mirror may advance, or change its era, without a changed key.
        static_cast<void>(fleet.update(node.mirror(), {}));
        read_evacuations(now);
        expire_upstreams(now);
        exchanges.crashes().tick(now);
        exchanges.expire(now);
        counters.set("upstream_records_unreadable",
                     static_cast<double>(fleet.unreadable_records()));
        caller_connections::set_gauges(*caller_server, loop, counters);
        const auto entries = node.peers().live_entries(now) + 1;
        exchanges.set_entry_count(entries, now);
        exchanges.set_configuration_outdated(node.mirror_lag(now) >=
                                             outdated_after);
        book.set_entry_count(entries);
        divide_engines(now);
        version_control.tick(!stopping, now);
        if (stopping)
            continue_stop(now);
        else
            restore_lost_keys(now);
    }

    /*! @brief Rewrites keys that the store lost. The entry with rank 0 among
     * the live ones writes first. */
    void restore_lost_keys(time_point now)
    {
        const auto rank =
            node.peers().entries_before(node.settings().address, now);
        rewrite_lost_quarantines(rank, now);
        configuration_copies.write_if_due(rank, now);
    }

    void continue_stop(time_point now)
    {
        const auto since = now - stop_began_at;
        if (since >= options.stop_grace - idle_close_margin)
            caller_server->close_idle();
        else if (since >= min_stop_duration)
            caller_server->close_rested();
        const bool idle = since >= min_stop_duration &&
                          caller_server->size() == 0 && exchanges.size() == 0;
        if (!idle && since < options.stop_grace - forced_stop_margin)
            return;
        if (exchanges.size() > 0)
        {
            // The responses are sent before the next tick ends the process.
            log::state("stop_forced",
                       {{"open_requests", std::to_string(exchanges.size())}});
            return exchanges.end_all();
        }
        const auto callback = std::exchange(on_stopped, nullptr);
        if (!callback)
            return;
        log::state("stop_done",
                   {{"open_requests", std::to_string(exchanges.size())},
                    {"connections", std::to_string(caller_server->size())}});
        callback();
    }

    event_loop& loop;
    node_type& node;
    metrics& counters;
    gateway_options options;
    upstream_registry book;
    cold_start_monitor cold_monitor{counters};
    fleet_view<Platform> fleet;
    exchange_service<codec> exchanges;
    organisation_rate_exchange organisation_rates{
        exchanges.dispatching().organisations()};
    store_change_intake store_changes;
    quarantine_writer<typename Platform::store> quarantine_store;
    restore_schedule quarantine_restores;
    configuration_copy_writer<typename Platform::store,
                              typename Platform::catalogue>
        configuration_copies;
    version_controller<Platform> version_control;
    std::unique_ptr<stream_server> caller_server;
    std::unique_ptr<stream_server> readiness_server;
    std::function<void()> on_stopped;
    time_point stop_began_at{};
    bool stopping{false};
    timer tick_timer;
};

} // namespace coursejunction

#endif
