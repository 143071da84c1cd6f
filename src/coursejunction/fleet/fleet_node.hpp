/*! @file
 * @brief What every process of an installation does whatever its role: it
 * mirrors the platform's store, directly or through its peers, and tells its
 * peers that it lives and how far its mirror is.
 */
#ifndef COURSEJUNCTION_FLEET_FLEET_NODE_HPP
#define COURSEJUNCTION_FLEET_FLEET_NODE_HPP

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
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

/*! @brief One process among its peers.
 * @tparam Store A `Readable_store`. */
template <typename Store>
class fleet_node
{
public:
    /*! @brief Heartbeats between two changes; a leaving upstream has 2 s, so
     * that several may be lost. */
    static constexpr milliseconds heartbeat_interval{200};

    /*! @brief Entries that watch the store; all others hear from them. One may
     * be cut from the store and one more stopped at the same time. */
    static constexpr std::size_t max_watchers = 3;

    /*! @brief A side that is behind for this long is told so by an entry of
     * any hall: its own hall may have no entry left. */
    static constexpr milliseconds lag_grace{300};

    /*! @brief An entry of another hall does so after this long: each tells
     * each side that is behind, and a side's own hall is nearer. */
    static constexpr milliseconds remote_lag_grace{1000};

    /*! @brief A process that has just started and is no seed goes after others
     * of its hall, which it has not heard of yet. */
    static constexpr milliseconds newcomer_delay{1000};

    /*! @brief Opens the ports.
     * @return The node, or `unavailable`. */
    [[nodiscard]] static result<std::unique_ptr<fleet_node>>
    create(event_loop& loop, Store& store, metrics& counters,
           fleet_options options)
    {
        std::unique_ptr<fleet_node> made(
            new fleet_node(loop, store, counters, std::move(options)));
        auto opened = made->open();
        if (!opened)
            return failure(opened.error().kind, opened.error().message);
        return made;
    }

    /*! @brief Starts to act; called once when the role is ready. */
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
                                     });
        poll_store();
    }

    /*! @brief Tells at once that the state of this process changed. */
    void announce() { send_heartbeat(context_for(heartbeat_reason::state)); }

    /*! @brief Tells the entries of the own hall that a load changed. Others
     * hear of it with the next heartbeat: they send here only what their own
     * hall cannot take, and bytes between regions cost most. */
    void announce_load()
    {
        send_heartbeat(context_for(heartbeat_reason::load));
    }

    /*! @brief Tells neighbours of the own hall which chunks are here; called
     * while chunks spread. */
    void announce_chunks()
    {
        send_heartbeat(context_for(heartbeat_reason::chunks));
    }

    /*! @brief Tells all entries that upstreams ended under a request. */
    void announce_crashes()
    {
        send_heartbeat(context_for(heartbeat_reason::crash));
    }

    /*! @brief Tells the entries of the own hall which callers were sent away:
     * that is where they come back. */
    void announce_refusals()
    {
        send_heartbeat(context_for(heartbeat_reason::refusals));
    }

    /*! @brief Marks the node as leaving in its heartbeats. */
    void leave()
    {
        leaving = true;
        announce();
    }

    /*! @brief Notes a side that the role knows of, and its hall. */
    void add_side(const std::string& address, const hall_id& hall)
    {
        if (address != options.address)
            directory.add_side(address, hall, event_loop::now());
    }

    /*! @brief Returns for how long peers have known more than this process;
     * zero when none is known to. */
    [[nodiscard]] milliseconds mirror_lag(time_point now) const
    {
        return lag.lag(local_mirror.position(), now);
    }

    /*! @brief Returns how often changes of the store may have been missed. */
    [[nodiscard]] std::uint64_t gaps() const { return reader.gaps(); }

    [[nodiscard]] const store_mirror& mirror() const { return local_mirror; }
    [[nodiscard]] Store& store_client() { return store; }
    [[nodiscard]] const peer_directory& peers() const { return directory; }
    [[nodiscard]] stream_client& client() { return calls; }
    [[nodiscard]] const fleet_options& settings() const { return options; }

    /*! @brief Returns the address of a peer's port for the system's own. */
    [[nodiscard]] std::string peer_endpoint(const std::string& address) const
    {
        return address + port_suffix;
    }

private:
    fleet_node(event_loop& owner, Store& service, metrics& counted,
               fleet_options given)
        : loop(owner), store(service), counters(counted),
          options(std::move(given)), calls(owner),
          port_suffix(":" + std::to_string(options.port)),
          incarnation(static_cast<std::uint64_t>(
              std::chrono::duration_cast<milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count())),
          local_mirror(options.items),
          reader(owner, service, counted, local_mirror, jitter_seed()),
          puller(owner, calls, counted, local_mirror, directory, jitter_seed()),
          heartbeats(
              options, directory, counted,
              [this](time_point now, const heartbeat_context& sent)
              { return make_heartbeat(now, sent); },
              [this](const std::string& address, const std::string& datagram)
              { socket->send(address + port_suffix, datagram); })
    {
    }

    /*! @brief Returns a number that differs between processes. */
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
    }

    result<bool> open()
    {
        auto made = datagram_socket::create(
            loop, options.address, options.port,
            [this](const std::string& from, std::string_view bytes)
            { on_datagram(host_of(from), bytes); });
        if (!made)
            return failure(made.error().kind, made.error().message);
        socket = std::move(made.value());
        auto served = stream_server::create(
            loop, options.address, options.port, {},
            [this](stream_request request, stream_reply reply)
            { on_peer_request(std::move(request), std::move(reply)); });
        if (!served)
            return failure(served.error().kind, served.error().message);
        server = std::move(served.value());
        return true;
    }

    [[nodiscard]] bool in_own_hall(const peer_state& one) const
    {
        return one.last_heartbeat.hall == options.hall.value();
    }

    [[nodiscard]] heartbeat_context context_for(heartbeat_reason reason) const
    {
        heartbeat_context made;
        made.reason = reason;
        made.regular_number = regular_number;
        made.from_entry = options.entry;
        return made;
    }

    /*! @brief What was heard before a suspension is as old as it lasted; here
     * it is only told, since every age is taken from a clock that went on. */
    void note_suspension()
    {
        const auto lasted = suspension.note(
            event_loop::now().time_since_epoch(), event_loop::awake());
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

    /*! @brief Shows what this process decides by, and who reads the store. */
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

    void send_heartbeat(const heartbeat_context& sent)
    {
        const auto now = event_loop::now();
        directory.expire(now);
        heartbeats.send_heartbeat(sent, now);
    }

    message::fleet_heartbeat make_heartbeat(time_point now,
                                            const heartbeat_context& sent)
    {
        const bool lists_entries =
            sent.reason == heartbeat_reason::regular &&
            sent.regular_number % full_report_period == 0;
        message::fleet_heartbeat made;
        made.incarnation = incarnation;
        made.sequence = ++sequence;
        made.mirrored = local_mirror.position();
        made.carried = local_mirror.carried();
        made.hall = options.hall.value();
        made.entry = options.entry;
        made.leaving = leaving;
        made.watching = reader.watching();
        made.fetching = reader.fetching() || puller.fetching();
        made.probing = reader.probing();
        made.store_returned = store_returned(now);
        made.store_distance = own_distance();
        for (const auto& [address, one] : directory.all())
        {
            const auto number = parse_ipv4(address);
            if (lists_entries && one.entry && number &&
                peer_directory::alive(one, now) &&
                made.entries.size() < max_listed_entries)
                made.entries.push_back(*number);
        }
        if (hooks.fill_heartbeat)
            hooks.fill_heartbeat(made, chunk_detail_for(sent));
        if (hooks.crash_records && carries_crash_records(sent.reason))
            made.crashes = hooks.crash_records();
        if (hooks.refused_callers && sent.reason == heartbeat_reason::refusals)
            made.refusals = hooks.refused_callers();
        if (hooks.recent_terms && sent.reason == heartbeat_reason::regular)
            made.terms = hooks.recent_terms();
        made.upstream.side = incarnation;
        return made;
    }

    void on_datagram(const std::string& from, std::string_view bytes)
    {
        const auto read = decode<message::fleet_heartbeat>(bytes);
        if (!read)
        {
            counters.count("fleet_datagrams_refused_total");
            return;
        }
        const auto now = event_loop::now();
        const bool known = directory.alive(from, now);
        if (!directory.record_heartbeat(from, read.value(), now))
            return;
        if (!known)
            log::state("peer_heard",
                       {{"peer", from},
                        {"entry", read.value().entry ? "true" : "false"}});
        for (const auto number : read.value().entries)
        {
            const auto address = format_ipv4(number);
            if (address != options.address &&
                directory.find(address) == nullptr)
                directory.add_entry(address, now);
        }
        const bool own = read.value().hall == options.hall.value();
        if (options.entry && !read.value().entry &&
            read.value().mirrored < local_mirror.position() &&
            now - advanced_at >= (own ? lag_grace : remote_lag_grace))
            heartbeats.send_mirror_position(from, now);
        if (own && has_more_carried_values(read.value()))
            puller.peer_ahead(from, own);
        if (read.value().mirrored > local_mirror.position())
        {
            lag.report_ahead(read.value().mirrored, local_mirror.position(),
                             now);
            puller.peer_ahead(from, own);
        }
        if (hooks.heartbeat_received)
            hooks.heartbeat_received(from, read.value());
    }

    void on_peer_request(stream_request request, stream_reply reply)
    {
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
        reply.send(200, {},
                   encode(local_mirror.changes_since(
                       store_position::parse(text), event_loop::now())));
    }

    /*! @brief Tells whether this entry is among those that read the store. */
    [[nodiscard]] bool should_watch_store() const
    {
        const auto now = event_loop::now();
        return options.entry && !leaving &&
               directory.watchers_before(options.address, store_distance(now),
                                         now) < max_watchers;
    }

    /*! @brief Returns the distance to the store in microseconds, of this
     * process or else of its hall; 0 when it is not known. */
    [[nodiscard]] std::uint32_t store_distance(time_point now) const
    {
        const auto own = own_distance();
        return own > 0 ? own : directory.store_distance(options.hall, now);
    }

    [[nodiscard]] std::uint32_t own_distance() const
    {
        const std::chrono::microseconds own = store.distance();
        return static_cast<std::uint32_t>(own.count());
    }

    [[nodiscard]] hall_fetch_state fetch_state() const
    {
        const auto now = event_loop::now();
        auto made = directory.fetch_state(options.address, options.hall,
                                          options.entry, now);
        const bool is_seed =
            std::find(options.seeds.begin(), options.seeds.end(),
                      options.address) != options.seeds.end();
        if (!is_seed && now - started_at < newcomer_delay)
            made.rank = std::max<std::size_t>(made.rank, 1);
        return made;
    }

    /*! @brief Probes of the store are taken in turns too; pulls from other
     * halls do not wait for them, as the store may turn this hall away. */
    void poll_store()
    {
        auto turn = fetch_state();
        turn.fetching += turn.probing;
        reader.poll(turn, event_loop::now());
    }

    /*! @brief Tells the role of values that a later one of the page hides.
     * @return Their keys. */
    std::set<std::string> report_overwritten(const store_mirror::items& items)
    {
        std::set<std::string> keys;
        if (!hooks.value_overwritten)
            return keys;
        std::map<std::string_view, std::size_t> last;
        for (std::size_t index = 0; index < items.size(); ++index)
            last[items[index].key] = index;
        for (std::size_t index = 0; index < items.size(); ++index)
        {
            const auto& one = items[index];
            if (last[one.key] == index || one.removed || known(one))
                continue;
            hooks.value_overwritten(one);
            keys.insert(one.key);
        }
        return keys;
    }

    /*! @brief Tells whether the mirror has a value of a key that is as new. */
    [[nodiscard]] bool known(const message::mirror_item& one) const
    {
        const auto found = local_mirror.all().find(one.key);
        return found != local_mirror.all().end() &&
               found->second.position() >= one.position();
    }

    void on_store_page(const store_page& page, bool whole)
    {
        const auto now = event_loop::now();
        const auto era = local_mirror.position().era;
        const auto overwritten_keys = report_overwritten(page.items);
        auto changed =
            whole ? local_mirror.replace(page.items, page.position, now)
                  : local_mirror.apply(page.items, page.position, now);
        // A peer may have told the last value of a key before.
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
        if (page.position.era == era)
            carried_seen = std::max(carried_seen, page.carried);
        on_mirror_changed(
            page.whole ? local_mirror.replace(page.items, page.position, now)
                       : local_mirror.apply(page.items, page.position, now),
            from, era);
    }

    /*! @brief Tells whether a peer knows values of earlier eras of the store
     * which this process may lack: it started in the middle. */
    [[nodiscard]] bool
    has_more_carried_values(const message::fleet_heartbeat& told) const
    {
        return told.mirrored.era == local_mirror.position().era &&
               told.carried > std::max(local_mirror.carried(), carried_seen);
    }

    /*! @brief Tells whether the store itself, not only the way to it from here,
     * was away until just now. */
    [[nodiscard]] bool store_returned(time_point now) const
    {
        return reader.outage_recently_ended(now) &&
               !directory.has_undisturbed_watcher(now);
    }

    /*! @param era Of the mirror before. Records that a new era lacks may only
     * have lapsed. */
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
        const bool returned = peer != nullptr
                                  ? peer->last_heartbeat.store_returned
                                  : store_returned(event_loop::now());
        advanced_at = event_loop::now();
        lag.advance(local_mirror.position(), advanced_at);
        if (hooks.keys_changed)
            hooks.keys_changed(changed, returned || era_changed);
        auto sent = context_for(heartbeat_reason::mirror);
        sent.from_store = peer == nullptr;
        send_heartbeat(sent);
    }

    /*! @brief Each this many heartbeats the gauges are set: once a second. */
    static constexpr std::uint64_t gauge_period = 5;

    /*! @brief Entries named in one heartbeat, so that it fits a datagram. */
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
    std::uint32_t carried_seen{0}; /*!< By a peer of this era, and taken. */
    lag_tracker lag;
    suspension_meter suspension;
    peer_directory directory;
    std::unique_ptr<datagram_socket> socket;
    std::unique_ptr<stream_server> server;
    timer heartbeat_timer;
    store_reader<Store> reader;
    mirror_puller puller;
    heartbeat_sender heartbeats;
    time_point started_at{};
    bool leaving{false};
};

} // namespace coursejunction

#endif
