/*! @file
 * @brief The side role: brings the upstream of its instance to the version
 * that is named, and tells the entries what it does.
 */
#ifndef COURSEJUNCTION_ROLLOUT_UPSTREAM_AGENT_HPP
#define COURSEJUNCTION_ROLLOUT_UPSTREAM_AGENT_HPP

#include <algorithm>
#include <charconv>
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
#include "coursejunction/rollout/report_order.hpp"
#include "coursejunction/rollout/upstream_engine.hpp"
#include "coursejunction/rollout/version_order.hpp"
#include "coursejunction/transfer/chunk_transfer.hpp"

namespace coursejunction
{

/*! @brief Times of the side role. */
struct agent_options
{
    /*! @brief How often the upstream's state is read; entries place requests
     * by it, and 12 upstreams get some 10 requests a second each. */
    milliseconds poll_interval{50};
    /*! @brief How often chunks are told to the hall while they come; one
     * chunk takes 35 ms on a side's link. */
    milliseconds announce_interval{90};
    /*! @brief How long after a version was named some side may still fetch it:
     * the time that a version has. */
    milliseconds fetch_window{8000};
    /*! @brief Time after which entries send nothing to weights older than a
     * version that was named: `version_deadlines::send_deadline`. */
    milliseconds send_deadline{6000};
    /*! @brief Between the news that the upstream closes and the order, so that
     * requests on their way still arrive before it. */
    milliseconds close_propagation_delay{30};
    /*! @brief How long running requests may finish before the order cuts the
     * rest, which entries resume elsewhere. A whole drain takes 2 s and more,
     * so that three rounds of it would not fit into a version's 8 s; two
     * thirds of the streams end within 800 ms. */
    milliseconds drain_timeout{800};
    /*! @brief Without effect for this long, an order is given again. */
    milliseconds load_timeout{5000};
    /*! @brief Rate of the instance's link; zero for no limit. */
    byte_rate link_rate{0};
    close_limits closing_limits;
};

/*! @brief Acts for one upstream.
 * @tparam Platform Names the `store`, `catalogue`, `engine` and `origin`. */
template <typename Platform>
class upstream_agent
{
public:
    using store_type = typename Platform::store;
    using engine_type = typename Platform::engine;
    using origin_type = typename Platform::origin;
    using node_type = fleet_node<store_type>;
    using transfer_type = chunk_transfer<engine_type, origin_type>;

    upstream_agent(event_loop& owner, node_type& peers, engine_type& beside,
                   origin_type& weights, metrics& counted, agent_options set)
        : loop(owner), node(peers), engine(beside), origin(weights),
          counters(counted), options(set), own(node.settings().address),
          uploads(owner, set.link_rate)
    {
    }

    /*! @brief Starts to act. */
    void start()
    {
        fleet_hooks hooks;
        hooks.keys_changed = [this](const std::vector<std::string>& keys, bool)
        { changed(keys); };
        hooks.value_overwritten = [this](const message::mirror_item& one)
        { fleet.add_overwritten_version(one, event_loop::now()); };
        hooks.heartbeat_received =
            [this](const std::string& from, const message::fleet_heartbeat& one)
        { heard(from, one); };
        hooks.fill_heartbeat =
            [this](message::fleet_heartbeat& into, chunk_detail detail)
        { describe(into, detail); };
        hooks.handle_request =
            [this](stream_request request, stream_reply reply)
        { serve_peer(request, std::move(reply)); };
        hooks.transfers_active = [this] { return spreading_now(); };
        node.start(std::move(hooks));
        polling = loop.every(options.poll_interval, [this] { poll(); });
        spreading = loop.every(options.announce_interval, [this] { spread(); });
    }

    [[nodiscard]] const fleet_view<Platform>& view() const { return fleet; }

    /*! @brief Returns what this side believes now. */
    [[nodiscard]] agent_state state() const
    {
        agent_state made;
        made.upstream = last;
        made.reachable = reachable;
        made.closing = closing;
        made.ordered_version = ordered_version;
        made.staged_version = staged_version;
        made.uploads_waiting = uploads.size();
        for (const auto& [version, one] : transfers)
            made.versions.push_back(one->progress());
        return made;
    }

private:
    // --- What is wanted --------------------------------------------------

    void changed(const std::vector<std::string>& keys)
    {
        fleet.update(node.mirror(), keys);
        for (const auto& [id, one] : fleet.upstreams())
        {
            if (!one.model_versions.empty() || has_engine(one))
                node.add_side(host_of(one.address), one.hall);
        }
        decide();
    }

    [[nodiscard]] bool has_engine(const upstream_record& one) const
    {
        const auto* rules = fleet.configuration();
        const auto* service =
            rules != nullptr ? rules->service(one.service) : nullptr;
        return service != nullptr && service->engine.has_value();
    }

    /*! @brief Returns the model that this upstream is for. */
    [[nodiscard]] std::string model() const
    {
        if (last && !last->model.empty())
            return last->model;
        const auto* rules = fleet.configuration();
        if (rules == nullptr)
            return {};
        for (const auto& [name, service] : rules->services)
        {
            if (service.engine && !service.engine->models.empty())
                return service.engine->models.front();
        }
        return {};
    }

    void decide()
    {
        const auto name = model();
        if (name.empty() || !last)
            return;
        const auto serves = last->version;
        const auto newest = fleet.newest(name);
        drop_transfers(name, serves, newest);
        want({name, newest});
        if (closing)
        {
            if (serves == ordered_version)
                opened();
            return await_order();
        }
        if (serves == newest)
            return;
        fetch(serves);
        advance(assign_staging(serves));
    }

    /*! @brief Forgets versions that no longer matter: older than what is
     * served, of another model, overtaken, or passed over before they were
     * whole. */
    void drop_transfers(const std::string& name, std::uint64_t serves,
                        std::uint64_t newest)
    {
        std::erase_if(transfers,
                      [&](const auto& one)
                      {
                          const auto version = one.first;
                          if (one.second->version().model != name)
                              return true;
                          if (version < serves)
                              return true;
                          if (version >= newest || version == serves ||
                              one.second->complete())
                              return false;
                          const auto found = transfers.find(newest);
                          return overtaken(fleet.published_at(name, version),
                                           fleet.published_at(name, newest)) ||
                                 too_late(*one.second, newest) ||
                                 (found != transfers.end() &&
                                  found->second->complete());
                      });
    }

    /*! @brief Tells whether a version would be loaded for nothing, since a
     * newer one takes its requests by then. */
    [[nodiscard]] bool too_late(const transfer_type& one,
                                std::uint64_t newest) const
    {
        const auto needs = one.remaining();
        if (!needs)
            return false;
        const auto used_until =
            fleet.published_at(one.version().model, newest) +
            options.send_deadline;
        if (!comes_too_late(*needs, event_loop::now(), used_until))
            return false;
        log::state("version_passed_over",
                   {{"version", std::to_string(one.version().version)},
                    {"for", std::to_string(newest)},
                    {"chunks_unseen", std::to_string(needs->missing_chunks)}});
        return true;
    }

    /*! @brief Lets versions come one after another, the oldest first: what has
     * begun to spread is whole soonest, and each version binds on its own. One
     * that stands still lets the next one begin beside it. */
    void fetch(std::uint64_t serves)
    {
        const auto now = event_loop::now();
        for (auto& [version, one] : transfers)
        {
            if (version <= serves)
                continue;
            one->allow_fetching();
            if (!one->complete() && !one->is_stalled(now))
                return;
        }
    }

    /*! @brief Gives the staging area of the upstream, which has room for one
     * version only, to the version that is to be loaded next. Chunks of any
     * other that lay there are lost.
     * @return That version. */
    std::uint64_t assign_staging(std::uint64_t serves)
    {
        const auto now = event_loop::now();
        std::vector<coming_version> coming;
        for (const auto& [version, one] : transfers)
            coming.push_back({version, one->complete(), one->is_stalled(now)});
        const auto next = next_version(coming, serves, staged_version);
        if (next == staged_version)
            return next;
        log::state("staging_assigned",
                   {{"version", std::to_string(next)},
                    {"instead_of", std::to_string(staged_version)}});
        std::erase_if(
            transfers, [&](const auto& one)
            { return one.first < next || one.first == staged_version; });
        staged_version = next;
        transfers.at(next)->allow_staging();
        return next;
    }

    void want(const model_version& wanted)
    {
        auto& found = transfers[wanted.version];
        if (found)
            return;
        log::state("version_wanted",
                   {{"model", wanted.model},
                    {"version", std::to_string(wanted.version)},
                    {"serves", std::to_string(last->version)}});
        found = std::make_shared<transfer_type>(
            loop, node.client(), engine, origin, counters, wanted,
            instance_id(own), surroundings(), transfer_options);
        found->start();
    }

    [[nodiscard]] typename transfer_type::context surroundings()
    {
        typename transfer_type::context around;
        around.origin_address = [this]
        {
            const auto* rules = fleet.configuration();
            const auto* from = rules != nullptr ? rules->origin() : nullptr;
            return from != nullptr ? from->origin : std::string();
        };
        around.origin_rate = [this]
        {
            const auto* rules = fleet.configuration();
            const auto* from = rules != nullptr ? rules->origin() : nullptr;
            return from != nullptr ? from->origin_rate : byte_rate{0};
        };
        around.participants = [this] { return participants(); };
        around.peer_endpoint = [this](const instance_id& id)
        { return node.peer_endpoint(id.value()); };
        around.uploads = &uploads;
        around.download_window = window;
        return around;
    }

    /*! @brief Returns every side of the installation, this one included. */
    [[nodiscard]] std::vector<participant> participants() const
    {
        std::vector<participant> all;
        for (const auto& [id, one] : fleet.upstreams())
        {
            if (has_engine(one))
                all.push_back({instance_id(host_of(one.address)), one.hall,
                               region_id(one.hall.value())});
        }
        return all;
    }

    /*! @brief Tells whether a version that is wanted is not whole here. */
    [[nodiscard]] bool incomplete() const
    {
        const auto serves = last ? last->version : 0;
        return std::any_of(transfers.begin(), transfers.end(),
                           [&](const auto& one) {
                               return one.first > serves &&
                                      !one.second->complete();
                           });
    }

    /*! @brief Tells whether sides of other halls may still need to know that
     * this one lives: one of them may fetch from it. */
    [[nodiscard]] bool spreading_now() const
    {
        return incomplete() ||
               (last && lately_named(fleet.newest(last->model)));
    }

    [[nodiscard]] bool lately_named(std::uint64_t version) const
    {
        return version > 1 && last &&
               event_loop::now() - fleet.published_at(last->model, version) <
                   options.fetch_window;
    }

    /*! @brief While chunks still come, the hall hears of each soon. */
    void spread()
    {
        if (incomplete())
            node.announce_chunks();
    }

    // --- The upstream ----------------------------------------------------

    void poll()
    {
        if (polls_open)
            return;
        polls_open = true;
        engine.report(
            [this](result<engine_report> told)
            {
                polls_open = false;
                if (told)
                    return reported(std::move(told.value()));
                unreachable(told.error().message);
            });
    }

    void unreachable(const std::string& why)
    {
        if (!reachable)
            return;
        reachable = false;
        log::warning("upstream_lost", {{"why", why}});
        ++status_sequence;
        node.announce();
    }

    void reported(engine_report told)
    {
        const auto order =
            last ? order_of(*last, told, closing) : report_order::follows;
        if (order == report_order::outdated)
            return counters.count("upstream_reports_outdated_total");
        if (!reachable || !last || told.version != last->version)
            log::state("upstream_read",
                       {{"model", told.model},
                        {"version", std::to_string(told.version)},
                        {"life", std::to_string(told.life.value())},
                        {"sequence", std::to_string(told.sequence)}});
        if (order == report_order::restarted)
            upstream_restarted(told);
        const bool differs =
            !reachable || !last || told.running != last->running ||
            told.waiting != last->waiting || told.version != last->version ||
            told.loading != last->loading;
        reachable = true;
        last = std::move(told);
        ++status_sequence;
        decide();
        if (differs)
            node.announce_load();
    }

    /*! @brief Nothing that was known of the earlier life holds: no order that
     * was given, no turn, no weights. */
    void upstream_restarted(const engine_report& told)
    {
        log::warning("upstream_restarted",
                     {{"life", std::to_string(told.life.value())},
                      {"before", std::to_string(last->life.value())}});
        counters.count("upstream_restarts_total");
        ++restarts;
        closing = false;
        ordered_version = 0;
        order_timer.stop();
        // What it has staged must be read anew.
        transfers.clear();
        staged_version = 0;
    }

    void opened()
    {
        closing = false;
        log::state("version_served",
                   {{"model", last->model},
                    {"version", std::to_string(last->version)}});
        counters.count("versions_loaded_total");
    }

    // --- Loading ---------------------------------------------------------

    /*! @brief An order is out, or about to be given. */
    void await_order()
    {
        if (!closing || event_loop::now() - ordered_at <= options.load_timeout)
            return;
        log::warning("order_without_effect",
                     {{"version", std::to_string(ordered_version)}});
        closing = false;
    }

    /*! @brief Takes the next step towards a version. */
    void advance(std::uint64_t version)
    {
        const auto now = event_loop::now();
        const auto& next = transfers.at(version);
        if (!verified.expired() || !next->is_staged() || !my_turn(*next, now))
            return;
        verified = next;
        next->verify_staged(
            [this, version](bool right)
            {
                verified.reset();
                if (right && transfers.contains(version))
                    close(version);
            });
    }

    [[nodiscard]] bool my_turn(const transfer_type& next, time_point now) const
    {
        if (last->version == 0)
            return true;
        const auto& wanted = next.version();
        std::vector<hall_peer> others;
        for (const auto& [address, one] : node.peers().all())
        {
            if (one.entry || !peer_directory::alive(one, now) ||
                one.last_heartbeat.hall != node.settings().hall.value())
                continue;
            others.push_back(
                {instance_id(address), !one.last_heartbeat.upstream.open,
                 one.last_heartbeat.upstream.version < wanted.version &&
                     next.any_complete(one.last_heartbeat.chunks)});
        }
        const auto known =
            now - fleet.published_at(wanted.model, wanted.version);
        return may_close(options.closing_limits, instance_id(own), others,
                         wanted.rank_key(), known);
    }

    /*! @brief Tells the entries first, then gives the order. */
    void close(std::uint64_t version)
    {
        closing = true;
        ordered_at = event_loop::now();
        ordered_version = version;
        ++status_sequence;
        node.announce();
        log::state("upstream_closed",
                   {{"version", std::to_string(version)},
                    {"running", std::to_string(last->running)}});
        order_timer =
            loop.after(options.close_propagation_delay, [this] { drain(); });
    }

    /*! @brief Waits until nothing runs, or until the time for it is over. */
    void drain()
    {
        if (!closing)
            return;
        const bool over =
            event_loop::now() - ordered_at >= options.drain_timeout;
        const bool empty = last && last->running + last->waiting == 0;
        if (over || empty || !may_cut())
            return order();
        order_timer = loop.after(options.poll_interval, [this] { drain(); });
    }

    /*! @brief Tells whether every request here can be resumed elsewhere. */
    [[nodiscard]] bool may_cut() const
    {
        const auto* rules = fleet.configuration();
        if (rules == nullptr)
            return false;
        return std::all_of(rules->routes.begin(), rules->routes.end(),
                           [&](const route_rule& one)
                           {
                               const auto* service =
                                   one.services.empty()
                                       ? nullptr
                                       : rules->service(
                                             one.services.front().service);
                               return service == nullptr || !service->engine ||
                                      one.repeatable();
                           });
    }

    void order()
    {
        const auto found = transfers.find(ordered_version);
        if (!closing || found == transfers.end() || !last)
            return;
        const auto wanted = found->second->version();
        counters.count("orders_total");
        engine.load(
            wanted, last->sequence,
            may_cut() ? load_method::abort : load_method::drain,
            [this, wanted, life = restarts](load_outcome outcome)
            {
                if (life != restarts)
                    return;
                log::state(
                    "order_given",
                    {{"model", wanted.model},
                     {"version", std::to_string(wanted.version)},
                     {"outcome", std::to_string(static_cast<int>(outcome))}});
                if (outcome == load_outcome::accepted ||
                    outcome == load_outcome::already_applied ||
                    outcome == load_outcome::unknown)
                    return;
                closing = false;
                ++status_sequence;
                node.announce();
            });
    }

    // --- Peers -----------------------------------------------------------

    /*! @brief Adds what this side knows to a heartbeat. */
    void describe(message::fleet_heartbeat& into, chunk_detail detail) const
    {
        auto& told = into.upstream;
        told.sequence = status_sequence;
        told.reachable = reachable;
        if (last)
        {
            told.life = last->life.value();
            told.model = last->model;
            told.version = last->version;
            told.running = last->running;
            told.waiting = last->waiting;
            told.memory_used = last->memory_used;
            told.memory_size = last->memory_size;
            told.pace = last->pace;
            told.open = !closing && last->version > 0;
        }
        const auto serves = last ? last->version : 0;
        for (const auto& [version, one] : transfers)
        {
            if (detail == chunk_detail::all ||
                (detail == chunk_detail::in_transfer &&
                 (version > serves || lately_named(version))))
                into.chunks.push_back(one->held_chunks());
        }
    }

    void heard(const std::string& from, const message::fleet_heartbeat& one)
    {
        if (one.entry)
        {
            if (fleet.configuration() != nullptr &&
                merge_gossiped_versions(fleet, one.versions, event_loop::now()))
                decide();
            return;
        }
        for (const auto& [version, transfer] : transfers)
            transfer->record_peer_alive(instance_id(from));
        for (const auto& told : one.chunks)
        {
            const auto found = transfers.find(told.version);
            if (found != transfers.end())
                found->second->add_peer_chunks(instance_id(from), told);
        }
    }

    static std::string_view parameter(std::string_view target,
                                      std::string_view name)
    {
        auto at = target.find('?');
        while (at != std::string_view::npos)
        {
            const auto from = at + 1;
            at = target.find('&', from);
            const auto part = target.substr(
                from, at == std::string_view::npos ? at : at - from);
            if (part.starts_with(name) && part.size() > name.size() &&
                part[name.size()] == '=')
                return part.substr(name.size() + 1);
        }
        return {};
    }

    static std::uint64_t number(std::string_view text)
    {
        std::uint64_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

    void serve_peer(const stream_request& request, stream_reply reply)
    {
        const model_version asked{
            std::string(parameter(request.target, "model")),
            number(parameter(request.target, "version"))};
        const auto found = transfers.find(asked.version);
        if (found == transfers.end() || found->second->version() != asked)
            return reply.send(404, {}, "");
        auto& transfer = found->second;
        if (request.target.starts_with("/chunks?"))
        {
            const auto text = transfer->manifest_lines();
            return reply.send(text.empty() ? 404 : 200, {}, text);
        }
        transfer->serve_chunk(static_cast<chunk_index>(
                                  number(parameter(request.target, "index"))),
                              !parameter(request.target, "wait").empty(),
                              parameter(request.target, "by"),
                              std::move(reply));
    }

    event_loop& loop;
    node_type& node;
    engine_type& engine;
    origin_type& origin;
    metrics& counters;
    agent_options options;
    std::string own;
    fleet_view<Platform> fleet;
    paced_uploads uploads;
    chunk_transfer_options transfer_options;
    std::shared_ptr<call_window> window{std::make_shared<call_window>(
        transfer_options.max_holder_calls, transfer_options.slow_chunk_time)};
    std::map<std::uint64_t, std::shared_ptr<transfer_type>> transfers;
    std::optional<engine_report> last;
    std::uint64_t status_sequence{0};
    std::uint64_t restarts{0}; /*!< Of the upstream, that were noticed. */
    time_point ordered_at{};
    std::uint64_t ordered_version{0};
    std::uint64_t staged_version{0}; /*!< Holds the staging area; 0: none. */
    bool reachable{false};
    bool polls_open{false};
    bool closing{false};
    /*! @brief The transfer whose staged chunks are being read back. */
    std::weak_ptr<transfer_type> verified;
    timer polling;
    timer spreading;
    timer order_timer;
};

} // namespace coursejunction

#endif
