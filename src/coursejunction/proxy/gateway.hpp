/*! @file
 * @brief The entry role: takes callers' requests, says whether it is ready,
 * and stops without cutting anything.
 */
#ifndef COURSEJUNCTION_PROXY_GATEWAY_HPP
#define COURSEJUNCTION_PROXY_GATEWAY_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "coursejunction/core/log.hpp"
#include "coursejunction/core/rendezvous.hpp"
#include "coursejunction/fleet/configuration_keeper.hpp"
#include "coursejunction/fleet/fleet_node.hpp"
#include "coursejunction/fleet/fleet_view.hpp"
#include "coursejunction/fleet/quarantine_item.hpp"
#include "coursejunction/fleet/quarantine_keeper.hpp"
#include "coursejunction/fleet/restore_turn.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/metrics.hpp"
#include "coursejunction/net/stream_server.hpp"
#include "coursejunction/proxy/exchange_service.hpp"
#include "coursejunction/proxy/refusal_messages.hpp"
#include "coursejunction/proxy/version_controller.hpp"

namespace coursejunction
{

/*! @brief Addresses and times of an entry. */
struct gateway_options
{
    std::string listen_address; /*!< `IP:port` for callers. */
    std::string
        readiness_address; /*!< `IP:port` for the balancer's question. */
    std::string readiness_path;
    /*! @brief Time after which older weights take no request any more:
     * `version_times::send_until`. */
    milliseconds old_weights_grace{6000};
    /*! @brief A stop that takes longer is ended by force. */
    milliseconds stop_grace{8000};
    exchange_options exchange;
    placement_weights placement;
};

/*! @brief Serves callers.
 * @tparam Platform Names the `store`, `catalogue`, `codec` and `origin`. */
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
        std::unique_ptr<gateway> made(
            new gateway(loop, node, counters, std::move(options)));
        auto opened = made->open();
        if (!opened)
            return failure(opened.error().kind, opened.error().message);
        return made;
    }

    /*! @brief Starts to act. */
    void start()
    {
        fleet_hooks hooks;
        hooks.changed =
            [this](const std::vector<std::string>& keys, bool store_returned)
        { on_keys_changed(keys, store_returned); };
        hooks.overwritten = [this](const message::mirror_item& one)
        { fleet.pass(one, event_loop::now()); };
        hooks.heard = [this](const std::string& from,
                             const message::fleet_heartbeat& heartbeat)
        { on_heartbeat(from, heartbeat); };
        hooks.describe = [this](message::fleet_heartbeat& heartbeat,
                                chunk_detail) { fill_heartbeat(heartbeat); };
        hooks.crashes = [this]
        { return exchanges.crashes().collect_updates(); };
        hooks.refusals = [this] { return take_refusals_to_send(); };
        hooks.terms = [this] { return recent_terms(book, event_loop::now()); };
        exchanges.on_unsent_refusals([this] { node.announce_refusals(); });
        exchanges.crashes().on_records_changed([this]
                                               { node.announce_crashes(); });
        exchanges.crashes().on_persist(
            [this](const request_content& content,
                   const message::crash_record* record)
            { persist_quarantine(content, record); });
        exchanges.crashes().set_trial_owner(
            [this](const request_content& content)
            { return owns_trials(content); });
        node.start(std::move(hooks));
        tick_timer = loop.every(tick_interval, [this] { tick(); });
    }

    /*! @brief Begins a planned stop; `done` is called when nothing is open. */
    void stop(std::function<void()> done)
    {
        if (stopping)
            return;
        stopping = true;
        stop_began_at = event_loop::now();
        on_stopped = std::move(done);
        callers->retire();
        log::state("stop_begun",
                   {{"open_requests", std::to_string(exchanges.size())}});
        node.leave();
    }

    [[nodiscard]] const fleet_view<Platform>& view() const { return fleet; }
    [[nodiscard]] const upstream_book& upstreams() const { return book; }
    [[nodiscard]] crash_guard& crashes() { return exchanges.crashes(); }
    [[nodiscard]] std::size_t open_requests() const { return exchanges.size(); }
    [[nodiscard]] std::size_t queued_requests() const
    {
        return exchanges.queued_count();
    }

private:
    /*! @brief How often lapses, readiness and a stop are looked at. */
    static constexpr milliseconds tick_interval{100};

    /*! @brief After peers have known more for this long, the configuration here
     * counts as old: changes take 0.1 to 0.6 s to come, and 2 s are allowed. */
    static constexpr milliseconds outdated_after{1000};

    /*! @brief Idle connections are closed this long after a stop began: the
     * balancer asks each second and believes the second miss, so that no new
     * ones come, and every answer since has told its caller to leave. */
    static constexpr milliseconds idle_close_delay{2600};

    /*! @brief Requests that come later are refused: a stream that begins now
     * may not end before the process must. */
    static constexpr milliseconds accept_until{2800};

    /*! @brief Requests a second that an entry counts for at least: one whose
     * callers have asked nothing yet has a place for the first of them. An
     * engine of the installations ends 4.8 a second. */
    static constexpr double min_demand{0.5};

    /*! @brief Refusals in one heartbeat, so that it fits a packet; more wait
     * for the next tick. */
    static constexpr std::size_t max_refusals_per_heartbeat = 48;

    /*! @brief What is left of the grace when the rest is cut. */
    static constexpr milliseconds forced_stop_margin{250};

    gateway(event_loop& owner, node_type& peers, metrics& counted,
            gateway_options set)
        : loop(owner), node(peers), counters(counted), options(std::move(set)),
          exchanges(owner, peers.client(), book, counted,
                    placer(options.placement, peers.settings().hall,
                           peers.settings().address),
                    options.exchange),
          quarantines(owner, peers.service(), peers.mirror(), counted,
                      jitter_seed(peers)),
          configuration_copies(owner, peers.service(), peers.mirror(), counted,
                               jitter_seed(peers)),
          versions(owner, peers, fleet, exchanges.floors(), counted,
                   options.old_weights_grace, jitter_seed(peers))
    {
    }

    /*! @brief Returns a number that differs between entries. */
    [[nodiscard]] static std::uint32_t jitter_seed(const node_type& node)
    {
        return static_cast<std::uint32_t>(stable_hash(node.settings().address));
    }

    result<bool> open()
    {
        auto made =
            listen(options.listen_address,
                   [this](stream_request request, stream_reply reply)
                   { handle_request(std::move(request), std::move(reply)); });
        if (!made)
            return failure(made.error().kind, made.error().message);
        callers = std::move(made.value());
        auto asked = listen(options.readiness_address,
                            [this](const stream_request&, stream_reply reply)
                            { reply.send(ready() ? 200 : 503, {}, ""); });
        if (!asked)
            return failure(asked.error().kind, asked.error().message);
        readiness = std::move(asked.value());
        return true;
    }

    result<std::unique_ptr<stream_server>> listen(const std::string& address,
                                                  stream_server::handler call)
    {
        const auto colon = address.rfind(':');
        const auto port = static_cast<std::uint16_t>(
            std::strtoul(address.c_str() + colon + 1, nullptr, 10));
        return stream_server::create(loop, address.substr(0, colon), port, {},
                                     std::move(call));
    }

    void handle_request(stream_request request, stream_reply reply)
    {
        if (stopping && event_loop::now() - stop_began_at >= accept_until)
        {
            constexpr milliseconds retry_after{100};
            counters.count("requests_refused_total", 1, {{"status", "503"}});
            log::problem(
                "request_refused",
                {{"request", codec::decode_request(request).id.value()},
                 {"reason", "this entry stops"}});
            return reply.send(503, codec::refusal_headers(retry_after), "");
        }
        exchanges.handle_request(std::move(request), std::move(reply));
    }

    /*! @brief Ready means: knows what to do with a request. */
    [[nodiscard]] bool ready() const
    {
        return !stopping && fleet.rules() != nullptr;
    }

    /*! @param store_returned Whether records that are gone may come back. */
    void on_keys_changed(const std::vector<std::string>& keys,
                         bool store_returned)
    {
        const auto now = event_loop::now();
        const auto* before = fleet.rules();
        load_quarantines(keys);
        for (const auto& one : fleet.update(node.mirror(), keys))
        {
            if (one.removed)
                remove_upstream(one, store_returned, now);
            else
                update_upstream(fleet.upstreams().at(one.id));
            log::state("upstream_changed",
                       {{"upstream", one.id.value()},
                        {"life", std::to_string(one.life.value())},
                        {"removed", one.removed ? "true" : "false"},
                        {"lapse", store_returned ? "true" : "false"}});
        }
        versions.on_keys_changed(before == nullptr, now);
        if (fleet.rules() != before)
            configure();
        const auto* rules = fleet.rules();
        configuration_copies.read(keys, rules == nullptr ? 0 : rules->version);
        register_sidecars();
    }

    /*! @brief Takes in quarantines that the store keeps. They come with the
     * configuration: an entry that has just started knows them before it takes
     * a request. */
    void load_quarantines(const std::vector<std::string>& keys)
    {
        for (const auto& key : keys)
        {
            const auto* value = node.mirror().find(key);
            if (value == nullptr ||
                Platform::catalogue::kind(key) != item_kind::quarantine)
                continue;
            const auto read = read_quarantine(key, value->payload, unix_ms());
            if (read)
                exchanges.crashes().restore_quarantine(read.value());
            else
                log::warning("quarantine_unreadable",
                             {{"key", key}, {"why", read.error().message}});
        }
    }

    /*! @param record Nothing where the quarantine is over. */
    void persist_quarantine(const request_content& content,
                            const message::crash_record* record)
    {
        if (record != nullptr)
            quarantines.keep(content, quarantine_payload(*record, unix_ms()));
        else
            quarantines.drop(content);
    }

    /*! @brief Writes quarantines again that the store lost by coming back from
     * an older copy: an entry that starts now would not know them. */
    void rewrite_lost_quarantines(std::size_t rank, time_point now)
    {
        if (!quarantine_restores.due(node.mirror().position(), rank, now))
            return;
        const auto& records = exchanges.crashes().records();
        for (const auto& [content, history] : records.all())
        {
            if (records.suspects(content) &&
                node.mirror().lacks_by_loss(quarantine_key(content)))
                quarantines.restore(
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

    void remove_upstream(const upstream_change& one, bool store_returned,
                         time_point now)
    {
        const auto* known = book.find(one.id);
        const bool expected = known == nullptr || known->leaving();
        if (!expected && !store_returned && !one.malformed)
            exchanges.crashes().record_expired(one.id);
        book.remove(one.id, store_returned && !one.malformed, now);
    }

    void update_upstream(const upstream_record& one)
    {
        exchanges.crashes().address_reassigned(one.id, one.address);
        if (const auto ended = book.record(one))
            exchanges.upstream_restarted(*ended);
    }

    void update_status(const std::string& host,
                       const message::upstream_status& told, time_point at)
    {
        for (const auto& one : book.status(host, told, at))
            exchanges.upstream_restarted(one);
    }

    void configure()
    {
        exchanges.configure(fleet.shared_rules());
        callers->limits(fleet.rules()->limits);
    }

    /*! @brief Sides stand beside the upstreams that have an engine. */
    void register_sidecars()
    {
        const auto* rules = fleet.rules();
        if (rules == nullptr)
            return;
        for (const auto& [id, one] : fleet.upstreams())
        {
            const auto* service = rules->service(one.service);
            if (service != nullptr && service->engine)
                node.name_side(host_of(one.address), one.hall);
        }
    }

    void on_heartbeat(const std::string& from,
                      const message::fleet_heartbeat& heartbeat)
    {
        const auto now = event_loop::now();
        for (const auto& told : heartbeat.digest.sides)
            update_status(address_text(told.address),
                          status_in(heartbeat.digest, told),
                          now - milliseconds(told.age_ms));
        if (heartbeat.entry)
        {
            for (const auto& told : heartbeat.refusals)
                exchanges.record_remote_refusal(decode_refusal(told, now), now);
            for (const auto& told : heartbeat.terms)
                exchanges.notices().apply_reported_terms(told, from, now);
            versions.merge_reported(heartbeat.versions, now);
            return exchanges.crashes().merge_records(heartbeat.crashes, from);
        }
        update_status(from, heartbeat.upstream, now);
        if (exchanges.queued_count() > 0)
            exchanges.place_waiting();
    }

    [[nodiscard]] std::vector<message::refused_caller> take_refusals_to_send()
    {
        const auto now = event_loop::now();
        std::vector<message::refused_caller> told;
        for (const auto& one :
             exchanges.take_unsent_refusals(max_refusals_per_heartbeat))
            told.push_back(encode_refusal(one, now));
        return told;
    }

    /*! @brief All entries agree on the one that runs the trials of a request,
     * by a rendezvous among those that live. */
    [[nodiscard]] bool owns_trials(const request_content& content) const
    {
        const auto now = event_loop::now();
        const auto key = content.hex();
        const auto own = rendezvous_weight(key, node.settings().address);
        for (const auto& [address, one] : node.peers().all())
        {
            if (one.entry && !one.last.leaving &&
                peer_directory::alive(one, now) &&
                rendezvous_weight(key, address) > own)
                return false;
        }
        return !stopping;
    }

    /*! @brief Adds what this entry's callers ask to a heartbeat, and versions
     * that the store does not show. */
    void fill_heartbeat(message::fleet_heartbeat& heartbeat) const
    {
        const auto now = event_loop::now();
        const auto rates = exchanges.rates(now);
        heartbeat.versions = versions.versions_to_report(now);
        heartbeat.load.asked = static_cast<float>(rates.asked);
        heartbeat.load.refused = static_cast<float>(rates.refused);
        heartbeat.load.demanded = static_cast<float>(rates.demanded);
    }

    /*! @brief Takes in what the other entries tell of their callers. */
    void divide_engines(time_point now)
    {
        const auto& self = node.settings();
        std::vector<entry_demand> demands{make_demand(
            self.hall, self.address, exchanges.rates(now).demanded)};
        request_rates others;
        for (const auto& [address, one] : node.peers().all())
        {
            if (!one.entry || one.last.leaving ||
                !peer_directory::alive(one, now))
                continue;
            const auto& told = one.last.load;
            demands.push_back(
                make_demand(hall_id(one.last.hall), address, told.demanded));
            others.asked += told.asked;
            others.refused += told.refused;
        }
        exchanges.set_other_entries_rates(others, now);
        // An entry that stops has no share: the others count without it.
        book.share_limits(stopping ? std::string{} : self.address, demands,
                          now);
        book.divide(stretch_of(self.address, demands),
                    [&](const known_upstream& one)
                    { return exchanges.accepts_new_requests(one, now); });
    }

    [[nodiscard]] static entry_demand
    make_demand(const hall_id& hall, const std::string& address, double demand)
    {
        return {hall, address, std::max(demand, min_demand)};
    }

    void tick()
    {
        const auto now = event_loop::now();
        book.expire(now);
        exchanges.crashes().tick(now);
        exchanges.expire(now);
        counters.set("upstream_records_unreadable",
                     static_cast<double>(fleet.unreadable_records()));
        const auto entries = node.peers().entries(now) + 1;
        exchanges.set_entry_count(entries);
        exchanges.set_configuration_outdated(node.behind_for(now) >=
                                             outdated_after);
        book.entries(entries);
        divide_engines(now);
        versions.tick(!stopping, now);
        if (stopping)
            continue_stop(now);
        else
            restore_lost_keys(now);
    }

    /*! @brief Writes what the store lacks. */
    void restore_lost_keys(time_point now)
    {
        const auto rank =
            node.peers().entries_before(node.settings().address, now);
        rewrite_lost_quarantines(rank, now);
        configuration_copies.consider(rank, now);
    }

    void continue_stop(time_point now)
    {
        const auto since = now - stop_began_at;
        if (since >= idle_close_delay)
            callers->close_idle();
        const bool idle = since >= idle_close_delay && callers->size() == 0 &&
                          exchanges.size() == 0;
        if (!idle && since < options.stop_grace - forced_stop_margin)
            return;
        const auto callback = std::exchange(on_stopped, nullptr);
        if (!callback)
            return;
        log::state("stop_done",
                   {{"open_requests", std::to_string(exchanges.size())},
                    {"connections", std::to_string(callers->size())}});
        callback();
    }

    event_loop& loop;
    node_type& node;
    metrics& counters;
    gateway_options options;
    upstream_book book;
    fleet_view<Platform> fleet;
    exchange_service<codec> exchanges;
    quarantine_keeper<typename Platform::store> quarantines;
    restore_turn quarantine_restores;
    configuration_keeper<typename Platform::store, typename Platform::catalogue>
        configuration_copies;
    version_controller<Platform> versions;
    std::unique_ptr<stream_server> callers;
    std::unique_ptr<stream_server> readiness;
    std::function<void()> on_stopped;
    time_point stop_began_at{};
    bool stopping{false};
    timer tick_timer;
};

} // namespace coursejunction

#endif
