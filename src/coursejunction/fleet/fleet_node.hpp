/*! @file
 * @brief The part of every process of an installation that does not depend on
 * its role. It mirrors the platform's store, directly or by pulling from its
 * peers, and exchanges heartbeats with them. A process is either an entry,
 * which accepts requests from callers, or a sidecar of one upstream.
 */
#ifndef COURSEJUNCTION_FLEET_FLEET_NODE_HPP
#define COURSEJUNCTION_FLEET_FLEET_NODE_HPP

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coursejunction/core/log.hpp"
#include "coursejunction/core/result.hpp"
#include "coursejunction/core/suspension.hpp"
#include "coursejunction/fleet/fleet_hooks.hpp"
#include "coursejunction/fleet/heartbeat_plan.hpp"
#include "coursejunction/fleet/heartbeat_sender.hpp"
#include "coursejunction/fleet/lag_tracker.hpp"
#include "coursejunction/fleet/mirror_auditor.hpp"
#include "coursejunction/fleet/mirror_puller.hpp"
#include "coursejunction/fleet/node_address.hpp"
#include "coursejunction/fleet/peer_directory.hpp"
#include "coursejunction/fleet/store_mirror.hpp"
#include "coursejunction/fleet/store_reader.hpp"
#include "coursejunction/net/datagram_socket.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/metrics.hpp"
#include "coursejunction/net/stream_client.hpp"
#include "coursejunction/net/stream_server.hpp"
#include "coursejunction/wire/codec.hpp"
#include "coursejunction/wire/fleet_message.hpp"

namespace coursejunction
{

/*! @brief One process of the fleet.
 * @tparam Store A `Readable_store`. */
template <typename Store>
class fleet_node
{
public:
    /*! @brief Interval of regular heartbeats. A leaving upstream is unavailable
     * after 2 s, so several may be lost before that matters. */
    static constexpr milliseconds heartbeat_interval{200};

    /*! @brief Bound on the bytes that all peers together leave unread. It is
     * above the pages of the store's state that a hall of peers asks for while
     * it starts. */
    static constexpr std::size_t max_unsent_bytes = std::size_t{32} << 20U;

    /*! @brief Bound on the memory that requests of peers hold together. */
    static constexpr std::size_t max_request_bytes = std::size_t{8} << 20U;

    /*! @brief Entries that watch the store; all others learn of changes from
     * them. With three, one may be cut off from the store while another one is
     * stopped. */
    static constexpr std::size_t max_watchers = 3;

    /*! @brief An entry notifies sidecars of its own hall whose mirrors are
     * behind once its own mirror has not changed for this long. */
    static constexpr milliseconds lag_grace{300};

    /*! @brief The same for sidecars of other halls, which may have no entry
     * left. It is longer because every entry notifies every lagging sidecar,
     * and those of the sidecar's own hall are nearer. */
    static constexpr milliseconds remote_lag_grace{1000};

    /*! @brief For this long after its start a process that is no seed ranks at
     * least second in its hall, since it may not know the others yet. */
    static constexpr milliseconds newcomer_period{1000};

    /*! @brief Opens the UDP and the TCP port.
     * @return The node, or `unavailable`. */
    [[nodiscard]] static result<std::unique_ptr<fleet_node>>
    create(event_loop& loop, Store& store, metrics& counters,
           fleet_options options)
    {
        std::unique_ptr<fleet_node> node(
            new fleet_node(loop, store, counters, std::move(options)));
        auto opened = node->open();
        if (!opened)
            return failure(opened.error().kind, opened.error().message);
        return node;
    }

    /*! @brief Starts heartbeats and mirroring; called once, when the role is
     * ready. */
    void start(fleet_hooks given)
    {
        hooks = std::move(given);
        const auto now = event_loop::now();
        started_at = now;
        start_mirroring();
        for (const auto& seed : options.seeds)
        {
            if (seed != options.address)
                directory.add_seed(seed, now);
        }
        announce();
        heartbeat_timer = loop.every(heartbeat_interval,
                                     [this]
                                     {
                                         send_regular_heartbeat();
                                         poll_store();
                                         auditor.poll(event_loop::now());
                                     });
        poll_store();
    }

    /*! @brief Sends a heartbeat immediately because the state of this process
     * changed. */
    void announce() { send_heartbeat(context_for(heartbeat_reason::state)); }

    /*! @brief Reports a changed load to the entries of the own hall. Other
     * halls learn of it from the next regular heartbeat or digest: they send
     * here only what their own upstreams cannot take, and traffic between
     * regions costs most. */
    void announce_load()
    {
        send_heartbeat(context_for(heartbeat_reason::load));
    }

    /*! @brief Reports the chunks held here, of versions that are being
     * downloaded, to the ring neighbours in the own hall. */
    void announce_chunks()
    {
        send_heartbeat(context_for(heartbeat_reason::chunks));
    }

    /*! @brief Reports to all entries that upstreams crashed under a request. */
    void announce_crashes()
    {
        send_heartbeat(context_for(heartbeat_reason::crash));
    }

    /*! @brief Reports refused callers to the entries of the own hall, where
     * their retries arrive. */
    void announce_refusals()
    {
        send_heartbeat(context_for(heartbeat_reason::refusals));
    }

    /*! @brief Marks this process as leaving in its heartbeats. */
    void leave()
    {
        leaving = true;
        announce();
    }

    /*! @brief Adds a sidecar that the role read from an upstream's record.
     * @param address IP address of the sidecar. */
    void add_side(const std::string& address, const hall_id& hall)
    {
        if (address != options.address)
            directory.add_side(address, hall, event_loop::now());
    }

    /*! @brief Returns how long the mirror has lacked a position that a peer
     * reported; zero if it lacks none. See `lag_tracker::lag`. */
    [[nodiscard]] milliseconds mirror_lag(time_point now) const
    {
        return tracker.lag(local_mirror.position(), now);
    }

    /*! @brief Returns how often changes of the store may have been missed. */
    [[nodiscard]] std::uint64_t gaps() const { return reader.gaps(); }

    [[nodiscard]] const store_mirror& mirror() const { return local_mirror; }
    [[nodiscard]] Store& store_client() { return store; }
    [[nodiscard]] const peer_directory& peers() const { return directory; }
    [[nodiscard]] stream_client& client() { return calls; }
    /*! @brief Returns the options given to `create`. */
    [[nodiscard]] const fleet_options& settings() const { return options; }

    /*! @brief Returns `IP:port` of a peer for calls between processes of the
     * fleet. */
    [[nodiscard]] std::string peer_endpoint(const std::string& address) const
    {
        return address + port_suffix;
    }

private:
    fleet_node(event_loop& owner, Store& platform_store, metrics& counted,
               fleet_options given)
        : loop(owner), store(platform_store), counters(counted),
          options(std::move(given)), calls(owner),
          port_suffix(":" + std::to_string(options.port)),
          incarnation(static_cast<std::uint64_t>(
              std::chrono::duration_cast<milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count())),
          local_mirror(options.items),
          reader(owner, platform_store, counted, local_mirror, jitter_seed()),
          puller(owner, calls, counted, local_mirror, directory, jitter_seed()),
          auditor(calls, counted, local_mirror, directory, jitter_seed()),
          heartbeats(
              options, directory, counted,
              [this](time_point now, const heartbeat_context& context)
              { return make_heartbeat(now, context); },
              [this](const std::string& address, const std::string& datagram)
              { socket->send(address + port_suffix, datagram); })
    {
    }

    /*! @brief Returns a number that differs between processes and their
     * restarts. */
    [[nodiscard]] std::uint64_t jitter_seed() const
    {
        return std::hash<std::string>()(options.address) + incarnation;
    }

    void start_mirroring()
    {
        reader.start(
            {[this] { return should_watch_store(); },
             [this](const store_page& page, bool whole)
             { on_store_page(page, whole); },
             [this] { send_heartbeat(context_for(heartbeat_reason::fetch)); }});
        puller.start(
            options.hall, port_suffix,
            {[this] { return fetch_state(); },
             [this](const message::mirror_page& page, const std::string& from)
             { on_peer_page(page, from); },
             [this] { send_heartbeat(context_for(heartbeat_reason::fetch)); }});
        auditor.start(options.hall, port_suffix,
                      [this] { reader.request_listing(); });
    }

    result<bool> open()
    {
        auto opened = datagram_socket::create(
            loop, options.address, options.port,
            [this](const std::string& from, std::string_view bytes)
            { on_datagram(host_of(from), bytes); });
        if (!opened)
            return failure(opened.error().kind, opened.error().message);
        socket = std::move(opened.value());
        auto listening = stream_server::create(
            loop, options.address, options.port, without_body(),
            [this](stream_request request, stream_reply reply)
            { on_peer_request(std::move(request), std::move(reply)); });
        if (!listening)
            return failure(listening.error().kind, listening.error().message);
        server = std::move(listening.value());
        server->limit_connections(options.max_peer_connections);
        server->limit_unsent(max_unsent_bytes);
        server->limit_requests(max_request_bytes);
        return true;
    }

    [[nodiscard]] bool in_own_hall(const peer_state& peer) const
    {
        return peer.last_heartbeat.hall == options.hall.value();
    }

    [[nodiscard]] heartbeat_context context_for(heartbeat_reason reason) const
    {
        heartbeat_context context;
        context.reason = reason;
        context.regular_number = regular_number;
        context.from_entry = options.entry;
        return context;
    }

    /*! @brief Reports that this machine was suspended. Nothing has to be
     * corrected: ages are taken from a clock that runs on during a suspension.
     */
    void note_suspension()
    {
        const auto lasted = suspension.note(
            event_loop::now().time_since_epoch(), event_loop::awake_time());
        if (lasted == milliseconds(0))
            return;
        counters.count("suspended_seconds_total", to_seconds(lasted));
        log::warning("suspended", {{"ms", std::to_string(lasted.count())}});
    }

    void send_regular_heartbeat()
    {
        note_suspension();
        ++regular_number;
        auto regular = context_for(heartbeat_reason::regular);
        regular.transfers_active =
            hooks.transfers_active && hooks.transfers_active();
        send_heartbeat(regular);
        if (regular_number % gauge_period == 0)
            update_gauges(event_loop::now());
    }

    /*! @brief Sets the gauges that show the mirror's position and lag, and how
     * many processes read the store. */
    void update_gauges(time_point now)
    {
        counters.set("fleet_mirror_revision",
                     static_cast<double>(local_mirror.position().revision));
        counters.set("fleet_mirror_era",
                     static_cast<double>(local_mirror.position().era));
        counters.set("fleet_mirror_carried",
                     static_cast<double>(local_mirror.carried()));
        counters.set("fleet_mirror_behind_seconds",
                     to_seconds(mirror_lag(now)));
        counters.set("fleet_store_watchers",
                     static_cast<double>(directory.watchers(now) +
                                         (reader.watching() ? 1 : 0)));
        counters.set("fleet_hall_fetchers",
                     static_cast<double>(fetch_state().fetching));
    }

    void send_heartbeat(const heartbeat_context& context)
    {
        const auto now = event_loop::now();
        directory.expire(now);
        heartbeats.send_heartbeat(context, now);
    }

    message::fleet_heartbeat make_heartbeat(time_point now,
                                            const heartbeat_context& context)
    {
        const bool lists_entries =
            context.reason == heartbeat_reason::regular &&
            context.regular_number % full_report_period == 0;
        message::fleet_heartbeat heartbeat;
        heartbeat.incarnation = incarnation;
        heartbeat.sequence = ++sequence;
        heartbeat.mirrored = local_mirror.position();
        heartbeat.carried = local_mirror.carried();
        heartbeat.hall = options.hall.value();
        heartbeat.entry = options.entry;
        heartbeat.leaving = leaving;
        heartbeat.watching = reader.watching();
        heartbeat.fetching = reader.fetching() || puller.fetching();
        heartbeat.probing = reader.probing();
        heartbeat.lapse_window_ms = lapse_window_ms(now);
        heartbeat.store_distance = own_distance_us();
        for (const auto& [address, peer] : directory.all())
        {
            const auto number = parse_ipv4(address);
            if (lists_entries && peer.entry && number &&
                peer_directory::alive(peer, now) &&
                heartbeat.entries.size() < max_listed_entries)
                heartbeat.entries.push_back(*number);
        }
        if (hooks.fill_heartbeat)
            hooks.fill_heartbeat(heartbeat, chunk_detail_for(context));
        if (hooks.crash_records && carries_crash_records(context.reason))
            heartbeat.crashes = hooks.crash_records();
        if (hooks.refused_callers &&
            context.reason == heartbeat_reason::refusals)
            heartbeat.refusals = hooks.refused_callers();
        if (hooks.recent_terms && context.reason == heartbeat_reason::regular)
            heartbeat.terms = hooks.recent_terms();
        if (hooks.add_store_changes && carries_store_changes(context.reason))
            hooks.add_store_changes(heartbeat, lists_entries);
        heartbeat.upstream.side = incarnation;
        return heartbeat;
    }

    void on_datagram(const std::string& from, std::string_view bytes)
    {
        const auto decoded = decode<message::fleet_heartbeat>(bytes);
        if (!decoded)
        {
            counters.count("fleet_datagrams_refused_total");
            return;
        }
        const auto now = event_loop::now();
        const bool known = directory.alive(from, now);
        if (!directory.record_heartbeat(from, decoded.value(), now))
            return;
        if (!known)
            log::state("peer_heard",
                       {{"peer", from},
                        {"entry", decoded.value().entry ? "true" : "false"}});
        for (const auto ip : decoded.value().entries)
        {
            const auto address = format_ipv4(ip);
            if (address != options.address &&
                directory.find(address) == nullptr)
                directory.add_entry(address, now);
        }
        const bool same_hall = decoded.value().hall == options.hall.value();
        if (options.entry && !decoded.value().entry &&
            decoded.value().mirrored < local_mirror.position() &&
            now - advanced_at >= (same_hall ? lag_grace : remote_lag_grace))
            heartbeats.send_mirror_position(from, now);
        if (same_hall && has_more_carried_values(decoded.value()))
            puller.peer_ahead(from, same_hall);
        if (decoded.value().mirrored > local_mirror.position())
        {
            tracker.report_ahead(decoded.value().mirrored,
                                 local_mirror.position(), now);
            puller.peer_ahead(from, same_hall);
        }
        if (const auto deadline =
                reported_lapse_deadline(*directory.find(from)))
            reader.peer_reached_store(*deadline - store_outage::lapse_window);
        if (hooks.heartbeat_received)
            hooks.heartbeat_received(from, decoded.value());
    }

    void on_peer_request(stream_request request, stream_reply reply)
    {
        if (request.target == mirror_auditor::target)
            return reply.send(200, {}, encode(sum_of(local_mirror)));
        constexpr auto target_prefix = mirror_puller::target_prefix;
        if (!request.target.starts_with(target_prefix))
        {
            if (hooks.handle_request)
                return hooks.handle_request(std::move(request),
                                            std::move(reply));
            return reply.send(404, {}, "no such resource\n");
        }
        const auto text =
            std::string_view(request.target).substr(target_prefix.size());
        const auto after = store_position::parse(text);
        const auto now = event_loop::now();
        const auto page = text.ends_with(mirror_puller::extent_suffix)
                              ? local_mirror.changes_with_extent(after, now)
                              : local_mirror.changes_since(after, now);
        count_page_sent(page);
        reply.send(200, {}, encode(page));
    }

    void count_page_sent(const message::mirror_page& page)
    {
        counters.count("fleet_mirror_pages_sent_total", 1,
                       {{"whole", page.whole ? "true" : "false"}});
    }

    /*! @brief Logs a page that was taken from a peer, so that a missed change
     * can be traced to it. */
    static void log_page(const message::mirror_page& page,
                         const std::string& from, store_position before)
    {
        log::state(
            "mirror_page_taken",
            {{"from", from},
             {"before", before.text()},
             {"position", page.position.text()},
             {"whole", page.whole ? "true" : "false"},
             {"items", std::to_string(page.items.size())},
             {"removals_known_from",
              page.extent.items.empty()
                  ? std::string("unknown")
                  : page.extent.items.front().removals_known_from.text()}});
    }

    /*! @brief Returns whether this entry is among the `max_watchers` that watch
     * the store. */
    [[nodiscard]] bool should_watch_store() const
    {
        const auto now = event_loop::now();
        return options.entry && !leaving &&
               directory.watchers_before(
                   options.address, store_distance_us(now), now) < max_watchers;
    }

    /*! @brief Returns the time to connect to the store in microseconds, as
     * measured here or else by the nearest process of the own hall; 0 if
     * unknown. */
    [[nodiscard]] std::uint32_t store_distance_us(time_point now) const
    {
        const auto own = own_distance_us();
        return own > 0 ? own : directory.store_distance_us(options.hall, now);
    }

    /*! @brief Returns the time to connect to the store as measured here; 0 if
     * unknown. */
    [[nodiscard]] std::uint32_t own_distance_us() const
    {
        const std::chrono::microseconds own = store.distance();
        return static_cast<std::uint32_t>(own.count());
    }

    [[nodiscard]] hall_fetch_state fetch_state() const
    {
        const auto now = event_loop::now();
        auto state = directory.fetch_state(options.address, options.hall,
                                           options.entry, now);
        const bool is_seed =
            std::find(options.seeds.begin(), options.seeds.end(),
                      options.address) != options.seeds.end();
        if (!is_seed && now - started_at < newcomer_period)
            state.rank = std::max<std::size_t>(state.rank, 1);
        return state;
    }

    /*! @brief Lets the store reader begin if it is this process's turn. For the
     * store, probes count as fetches, so that they are taken in turns too.
     * Pulls from other halls do not wait for probes, since the store may be
     * unreachable from this hall. */
    void poll_store()
    {
        auto state = fetch_state();
        state.fetching += state.probing;
        reader.poll(state, event_loop::now());
    }

    /*! @brief Reports values to the role that a later item of the same page
     * overwrites.
     * @return Their keys. */
    std::set<std::string> report_overwritten(const store_mirror::items& items)
    {
        std::set<std::string> keys;
        if (!hooks.value_overwritten)
            return keys;
        std::map<std::string_view, std::size_t> last_index;
        for (std::size_t index = 0; index < items.size(); ++index)
            last_index[items[index].key] = index;
        for (std::size_t index = 0; index < items.size(); ++index)
        {
            const auto& item = items[index];
            if (last_index[item.key] == index || item.removed || is_known(item))
                continue;
            hooks.value_overwritten(item);
            keys.insert(item.key);
        }
        return keys;
    }

    /*! @brief Returns whether the mirror has a value of the key at least as
     * recent. */
    [[nodiscard]] bool is_known(const message::mirror_item& item) const
    {
        const auto found = local_mirror.all().find(item.key);
        return found != local_mirror.all().end() &&
               found->second.position() >= item.position();
    }

    void on_store_page(const store_page& page, bool whole)
    {
        const auto now = event_loop::now();
        const auto era = local_mirror.position().era;
        const auto overwritten_keys = report_overwritten(page.items);
        auto changed =
            whole ? local_mirror.replace(page.items, page.position, now)
                  : local_mirror.apply(page.items, page.position, now);
        if (whole)
            auditor.record_listing(now);
        // A peer may already have sent the last value of a key, so that the
        // mirror saw no change.
        for (const auto& key : overwritten_keys)
        {
            if (local_mirror.find(key) != nullptr &&
                std::find(changed.begin(), changed.end(), key) == changed.end())
                changed.push_back(key);
        }
        on_mirror_changed(changed, "store", era);
    }

    void on_peer_page(const message::mirror_page& page, const std::string& from)
    {
        const auto now = event_loop::now();
        const auto era = local_mirror.position().era;
        log_page(page, from, local_mirror.position());
        if (page.position.era == era)
            carried_seen = std::max(carried_seen, page.carried);
        on_mirror_changed(local_mirror.merge(page, now), from, era);
    }

    /*! @brief Returns whether a peer of the same era holds more values of
     * earlier eras, which this process may lack if it started after the
     * rollback. */
    [[nodiscard]] bool
    has_more_carried_values(const message::fleet_heartbeat& heartbeat) const
    {
        return heartbeat.mirrored.era == local_mirror.position().era &&
               heartbeat.carried >
                   std::max(local_mirror.carried(), carried_seen);
    }

    /*! @brief Returns until when missing records may come back because the
     * store itself, and not only the connection to it from here, had an outage;
     * nothing if none ended recently. */
    [[nodiscard]] std::optional<time_point>
    own_lapse_deadline(time_point now) const
    {
        if (directory.has_undisturbed_watcher(now))
            return std::nullopt;
        return reader.lapse_deadline(now);
    }

    /*! @brief Returns the same as a peer reports it; possibly in the past. */
    [[nodiscard]] static std::optional<time_point>
    reported_lapse_deadline(const peer_state& peer)
    {
        const milliseconds left(peer.last_heartbeat.lapse_window_ms);
        if (left == milliseconds(0))
            return std::nullopt;
        return peer.heard_at + std::min(left, store_outage::lapse_window);
    }

    /*! @brief Returns the remaining time until `own_lapse_deadline`; 0 if there
     * is none. */
    [[nodiscard]] std::uint32_t lapse_window_ms(time_point now) const
    {
        const auto deadline = own_lapse_deadline(now);
        if (!deadline)
            return 0;
        return static_cast<std::uint32_t>(
            std::chrono::ceil<milliseconds>(*deadline - now).count());
    }

    /*! @brief Returns until when records missing in a page may come back.
     * @param sender Peer that sent the page; null for the store.
     * @param era_changed Whether the page is of a later era. The store lost
     * what it had not saved, even if no call of this process failed. */
    [[nodiscard]] std::optional<time_point>
    lapse_deadline(const peer_state* sender, bool era_changed,
                   time_point now) const
    {
        const auto deadline = sender == nullptr
                                  ? own_lapse_deadline(now)
                                  : reported_lapse_deadline(*sender);
        if (deadline && *deadline > now)
            return deadline;
        if (era_changed)
            return now + store_outage::lapse_window;
        return std::nullopt;
    }

    /*! @brief Logs and reports a change of the mirror, and announces it to
     * peers.
     * @param from Address of the peer that sent the page, or `store`.
     * @param era Era of the mirror before the change. Records missing in a new
     * era may only have expired during the outage. */
    void on_mirror_changed(const std::vector<std::string>& changed,
                           const std::string& from, std::uint64_t era)
    {
        const bool era_changed = era != 0 && local_mirror.position().era != era;
        if (era_changed)
        {
            carried_seen = 0;
            log::state("mirror_era_changed",
                       {{"from", from},
                        {"position", local_mirror.position().text()},
                        {"carried", std::to_string(local_mirror.carried())}});
        }
        if (changed.empty())
            return;
        for (const auto& key : changed)
        {
            const auto found = local_mirror.all().find(key);
            log::state("mirror_changed",
                       {{"key", key},
                        {"from", from},
                        {"revision", found->second.position().text()},
                        {"removed", found->second.removed ? "true" : "false"}});
        }
        const auto* peer = directory.find(from);
        advanced_at = event_loop::now();
        tracker.advance(local_mirror.position(), advanced_at);
        if (hooks.keys_changed)
            hooks.keys_changed(changed,
                               lapse_deadline(peer, era_changed, advanced_at));
        auto context = context_for(heartbeat_reason::mirror);
        context.from_store = peer == nullptr;
        send_heartbeat(context);
    }

    /*! @brief The gauges are set once in this many regular heartbeats: once a
     * second. */
    static constexpr std::uint64_t gauge_period = 5;

    /*! @brief Maximum number of entries listed in one heartbeat, so that it
     * fits into a datagram. */
    static constexpr std::size_t max_listed_entries = 64;

    event_loop& loop;
    Store& store;
    metrics& counters;
    fleet_options options;
    fleet_hooks hooks;
    stream_client calls;
    std::string port_suffix;
    std::uint64_t incarnation;
    std::uint64_t sequence{0};
    std::uint64_t regular_number{0};
    time_point advanced_at{}; /*!< When the mirror last changed. */
    store_mirror local_mirror;
    /*! @brief Largest count of carried values in a page that was taken from a
     * peer in this era. */
    std::uint32_t carried_seen{0};
    lag_tracker tracker;
    suspension_meter suspension;
    peer_directory directory;
    std::unique_ptr<datagram_socket> socket;
    std::unique_ptr<stream_server> server;
    timer heartbeat_timer;
    store_reader<Store> reader;
    mirror_puller puller;
    mirror_auditor auditor;
    heartbeat_sender heartbeats;
    time_point started_at{};
    bool leaving{false};
};

} // namespace coursejunction

#endif
