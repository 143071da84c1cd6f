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
#include "coursejunction/proxy/refusal_news.hpp"
#include "coursejunction/proxy/version_controller.hpp"

namespace coursejunction
{

/*! @brief Addresses and times of an entry. */
struct gateway_options
{
    std::string caller_address; /*!< `IP:port` for callers. */
    std::string ready_address;  /*!< `IP:port` for the balancer's question. */
    std::string ready_path;
    /*! @brief Time after which older weights take no request any more:
     * `version_times::send_until`. */
    milliseconds version_time{6000};
    /*! @brief A stop that takes longer is ended by force. */
    milliseconds stop_grace{8000};
    exchange_options exchange;
    placement_options weights;
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
        { changed(keys, store_returned); };
        hooks.overwritten = [this](const message::mirror_item& one)
        { fleet.pass(one, event_loop::now()); };
        hooks.heard =
            [this](const std::string& from, const message::fleet_heartbeat& one)
        { heard(from, one); };
        hooks.describe = [this](message::fleet_heartbeat& into, chunk_detail)
        { describe(into); };
        hooks.crashes = [this] { return exchanges.crashing().told(); };
        hooks.refusals = [this] { return refusals_told(); };
        hooks.terms = [this] { return terms_news(book, event_loop::now()); };
        exchanges.on_refusals([this] { node.announce_refusals(); });
        exchanges.crashing().on_news([this] { node.announce_crashes(); });
        exchanges.crashing().on_keep([this](const request_content& what,
                                            const message::crash_record* record)
                                     { keep_quarantine(what, record); });
        exchanges.crashing().owns_trials([this](const request_content& what)
                                         { return owns_trials(what); });
        node.start(std::move(hooks));
        ticking = loop.every(tick_interval, [this] { tick(); });
    }

    /*! @brief Begins a planned stop; `done` is called when nothing is open. */
    void stop(std::function<void()> done)
    {
        if (leaving)
            return;
        leaving = true;
        stopped_at = event_loop::now();
        stopped = std::move(done);
        callers->retire();
        log::state("stop_begun",
                   {{"open_requests", std::to_string(exchanges.size())}});
        node.leave();
    }

    [[nodiscard]] const fleet_view<Platform>& view() const { return fleet; }
    [[nodiscard]] const upstream_registry& upstreams() const { return book; }
    [[nodiscard]] crash_guard& crashing() { return exchanges.crashing(); }
    [[nodiscard]] std::size_t open_requests() const { return exchanges.size(); }
    [[nodiscard]] std::size_t queued() const { return exchanges.queued(); }

private:
    /*! @brief How often lapses, readiness and a stop are looked at. */
    static constexpr milliseconds tick_interval{100};

    /*! @brief After peers have known more for this long, the configuration here
     * counts as old: changes take 0.1 to 0.6 s to come, and 2 s are allowed. */
    static constexpr milliseconds outdated_time{1000};

    /*! @brief Idle connections are closed this long after a stop began: the
     * balancer asks each second and believes the second miss, so that no new
     * ones come, and every answer since has told its caller to leave. */
    static constexpr milliseconds idle_notice{2600};

    /*! @brief Requests that come later are refused: a stream that begins now
     * may not end before the process must. */
    static constexpr milliseconds last_taken{2800};

    /*! @brief Requests a second that an entry counts for at least: one whose
     * callers have asked nothing yet has a place for the first of them. An
     * engine of the installations ends 4.8 a second. */
    static constexpr double least_demand{0.5};

    /*! @brief Refusals in one heartbeat, so that it fits a packet; more wait
     * for the next tick. */
    static constexpr std::size_t most_refusals_told = 48;

    /*! @brief What is left of the grace when the rest is cut. */
    static constexpr milliseconds last_moment{250};

    gateway(event_loop& owner, node_type& peers, metrics& counted,
            gateway_options set)
        : loop(owner), node(peers), counters(counted), options(std::move(set)),
          exchanges(owner, peers.client(), book, counted,
                    placer(options.weights, peers.settings().hall,
                           peers.settings().address),
                    options.exchange),
          keeper(owner, peers.service(), peers.mirror(), counted,
                 seed_of(peers)),
          configurations(owner, peers.service(), peers.mirror(), counted,
                         seed_of(peers)),
          versions(owner, peers, fleet, exchanges.floors(), counted,
                   options.version_time, seed_of(peers))
    {
    }

    /*! @brief Returns a number that differs between entries. */
    [[nodiscard]] static std::uint32_t seed_of(const node_type& node)
    {
        return static_cast<std::uint32_t>(stable_hash(node.settings().address));
    }

    result<bool> open()
    {
        auto made = listen(options.caller_address,
                           [this](stream_request request, stream_reply reply)
                           { take(std::move(request), std::move(reply)); });
        if (!made)
            return failure(made.error().kind, made.error().message);
        callers = std::move(made.value());
        auto asked = listen(options.ready_address,
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

    void take(stream_request request, stream_reply reply)
    {
        if (leaving && event_loop::now() - stopped_at >= last_taken)
        {
            constexpr milliseconds elsewhere{100};
            counters.count("requests_refused_total", 1, {{"status", "503"}});
            log::problem("request_refused",
                         {{"request", codec::decode(request).id.value()},
                          {"reason", "this entry stops"}});
            return reply.send(503, codec::refusal_headers(elsewhere), "");
        }
        exchanges.request(std::move(request), std::move(reply));
    }

    /*! @brief Ready means: knows what to do with a request. */
    [[nodiscard]] bool ready() const
    {
        return !leaving && fleet.rules() != nullptr;
    }

    /*! @param lapse Whether records that are gone may come back. */
    void changed(const std::vector<std::string>& keys, bool lapse)
    {
        const auto now = event_loop::now();
        const auto* before = fleet.rules();
        take_quarantines(keys);
        for (const auto& one : fleet.update(node.mirror(), keys))
        {
            if (one.removed)
                drop_record(one, lapse, now);
            else
                take_record(fleet.upstreams().at(one.id));
            log::state("upstream_changed",
                       {{"upstream", one.id.value()},
                        {"life", std::to_string(one.life.value())},
                        {"removed", one.removed ? "true" : "false"},
                        {"lapse", lapse ? "true" : "false"}});
        }
        versions.read(before == nullptr, now);
        if (fleet.rules() != before)
            configure();
        const auto* rules = fleet.rules();
        configurations.read(keys, rules == nullptr ? 0 : rules->version);
        name_sides();
    }

    /*! @brief Takes in quarantines that the store keeps. They come with the
     * configuration: an entry that has just started knows them before it takes
     * a request. */
    void take_quarantines(const std::vector<std::string>& keys)
    {
        for (const auto& key : keys)
        {
            const auto* value = node.mirror().find(key);
            if (value == nullptr ||
                Platform::catalogue::kind(key) != item_kind::quarantine)
                continue;
            const auto read = read_quarantine(key, value->payload, wall_ms());
            if (read)
                exchanges.crashing().restore(read.value());
            else
                log::warning("quarantine_unreadable",
                             {{"key", key}, {"why", read.error().message}});
        }
    }

    /*! @param record Nothing where the quarantine is over. */
    void keep_quarantine(const request_content& what,
                         const message::crash_record* record)
    {
        if (record != nullptr)
            keeper.keep(what, quarantine_payload(*record, wall_ms()));
        else
            keeper.drop(what);
    }

    /*! @brief Writes quarantines again that the store lost by coming back from
     * an older copy: an entry that starts now would not know them. */
    void restore_quarantines(std::size_t rank, time_point now)
    {
        if (!restoring.due(node.mirror().position(), rank, now))
            return;
        const auto& records = exchanges.crashing().records();
        for (const auto& [what, one] : records.all())
        {
            if (records.suspects(what) &&
                node.mirror().lacks_by_loss(quarantine_key(what)))
                keeper.restore(what, quarantine_payload(
                                         records.record(what, now), wall_ms()));
        }
    }

    /*! @brief Returns the Unix time in milliseconds. */
    [[nodiscard]] static std::int64_t wall_ms()
    {
        return std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    void drop_record(const upstream_change& one, bool lapse, time_point now)
    {
        const auto* known = book.find(one.id);
        const bool expected = known == nullptr || known->leaving();
        if (!expected && !lapse && !one.malformed)
            exchanges.crashing().record_gone(one.id);
        book.remove(one.id, lapse && !one.malformed, now);
    }

    void take_record(const upstream_record& one)
    {
        exchanges.crashing().address_taken(one.id, one.address);
        if (const auto ended = book.apply_record(one))
            exchanges.life_ended(*ended);
    }

    void take_status(const std::string& host,
                     const message::upstream_status& told, time_point at)
    {
        for (const auto& one : book.apply_status(host, told, at))
            exchanges.life_ended(one);
    }

    void configure()
    {
        exchanges.configure(fleet.shared_rules());
        callers->limits(fleet.rules()->limits);
    }

    /*! @brief Sides stand beside the upstreams that have an engine. */
    void name_sides()
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

    void heard(const std::string& from, const message::fleet_heartbeat& one)
    {
        const auto now = event_loop::now();
        for (const auto& told : one.digest.sides)
            take_status(address_text(told.address), status_in(one.digest, told),
                        now - milliseconds(told.age_ms));
        if (one.entry)
        {
            for (const auto& told : one.refusals)
                exchanges.sent_away_elsewhere(refusal_of(told, now), now);
            for (const auto& told : one.terms)
                exchanges.notices().told(told, from, now);
            versions.heard(one.versions, now);
            return exchanges.crashing().take(one.crashes, from);
        }
        take_status(from, one.upstream, now);
        if (exchanges.queued() > 0)
            exchanges.tick();
    }

    [[nodiscard]] std::vector<message::refused_caller> refusals_told()
    {
        const auto now = event_loop::now();
        std::vector<message::refused_caller> told;
        for (const auto& one : exchanges.news_of_refusals(most_refusals_told))
            told.push_back(told_of(one, now));
        return told;
    }

    /*! @brief All entries agree on the one that runs the trials of a request,
     * by a rendezvous among those that live. */
    [[nodiscard]] bool owns_trials(const request_content& what) const
    {
        const auto now = event_loop::now();
        const auto key = what.hex();
        const auto own = rendezvous_weight(key, node.settings().address);
        for (const auto& [address, one] : node.peers().all())
        {
            if (one.entry && !one.last.leaving &&
                peer_directory::alive(one, now) &&
                rendezvous_weight(key, address) > own)
                return false;
        }
        return !leaving;
    }

    /*! @brief Adds what this entry's callers ask to a heartbeat, and versions
     * that the store does not show. */
    void describe(message::fleet_heartbeat& into) const
    {
        const auto now = event_loop::now();
        const auto rates = exchanges.rates(now);
        into.versions = versions.told(now);
        into.load.asked = static_cast<float>(rates.arrived);
        into.load.refused = static_cast<float>(rates.refused);
        into.load.demanded = static_cast<float>(rates.demand);
    }

    /*! @brief Takes in what the other entries tell of their callers. */
    void share_engines(time_point now)
    {
        const auto& self = node.settings();
        std::vector<entry_demand> demands{
            demand_of(self.hall, self.address, exchanges.rates(now).demand)};
        request_rates others;
        for (const auto& [address, one] : node.peers().all())
        {
            if (!one.entry || one.last.leaving ||
                !peer_directory::alive(one, now))
                continue;
            const auto& told = one.last.load;
            demands.push_back(
                demand_of(hall_id(one.last.hall), address, told.demanded));
            others.arrived += told.asked;
            others.refused += told.refused;
        }
        exchanges.elsewhere(others, now);
        // An entry that stops has no share: the others count without it.
        book.assign_limit_shares(leaving ? std::string{} : self.address,
                                 demands, now);
        book.assign_engine_shares(demand_interval_of(self.address, demands),
                                  [&](const known_upstream& one)
                                  { return exchanges.takes_new(one, now); });
    }

    [[nodiscard]] static entry_demand
    demand_of(const hall_id& hall, const std::string& address, double rate)
    {
        return {hall, address, std::max(rate, least_demand)};
    }

    void tick()
    {
        const auto now = event_loop::now();
        book.expire(now);
        exchanges.crashing().tick(now);
        exchanges.expire(now);
        counters.set("upstream_records_unreadable",
                     static_cast<double>(fleet.unreadable_records()));
        const auto entries = node.peers().entries(now) + 1;
        exchanges.entries(entries);
        exchanges.outdated(node.behind_for(now) >= outdated_time);
        book.set_entry_count(entries);
        share_engines(now);
        versions.tick(!leaving, now);
        if (leaving)
            go_on_stopping(now);
        else
            keep_up(now);
    }

    /*! @brief Writes what the store lacks. */
    void keep_up(time_point now)
    {
        const auto rank =
            node.peers().entries_before(node.settings().address, now);
        restore_quarantines(rank, now);
        configurations.consider(rank, now);
    }

    void go_on_stopping(time_point now)
    {
        const auto since = now - stopped_at;
        if (since >= idle_notice)
            callers->close_idle();
        const bool idle = since >= idle_notice && callers->size() == 0 &&
                          exchanges.size() == 0;
        if (!idle && since < options.stop_grace - last_moment)
            return;
        const auto call = std::exchange(stopped, nullptr);
        if (!call)
            return;
        log::state("stop_done",
                   {{"open_requests", std::to_string(exchanges.size())},
                    {"connections", std::to_string(callers->size())}});
        call();
    }

    event_loop& loop;
    node_type& node;
    metrics& counters;
    gateway_options options;
    upstream_registry book;
    fleet_view<Platform> fleet;
    exchange_service<codec> exchanges;
    quarantine_keeper<typename Platform::store> keeper;
    restore_turn restoring;
    configuration_keeper<typename Platform::store, typename Platform::catalogue>
        configurations;
    version_controller<Platform> versions;
    std::unique_ptr<stream_server> callers;
    std::unique_ptr<stream_server> readiness;
    std::function<void()> stopped;
    time_point stopped_at{};
    bool leaving{false};
    timer ticking;
};

} // namespace coursejunction

#endif
