#include "coursejunction/daemon/side.hpp"

#include <algorithm>
#include <map>

#include <nlohmann/json.hpp>

#include "coursejunction/core/log.hpp"
#include "coursejunction/daemon/internal/fenced_orders.hpp"
#include "coursejunction/daemon/internal/side_reports.hpp"
#include "coursejunction/daemon/node.hpp"
#include "coursejunction/daemon/run_service.hpp"
#include "coursejunction/daemon/upstream_client.hpp"
#include "coursejunction/rollout/assignment.hpp"
#include "coursejunction/rollout/replica.hpp"

namespace coursejunction
{

namespace internal
{

constexpr milliseconds side_tick{20};
constexpr milliseconds engine_poll{500};
constexpr std::string_view service_label = "service=";

/*! @brief Name of the plain service that labels give an upstream. */
std::string service_name(const std::vector<std::string>& labels)
{
    for (const auto& label : labels)
    {
        if (label.rfind(service_label, 0) == 0)
            return label.substr(service_label.size());
    }
    return {};
}

} // namespace internal

struct side::implementation
{
    implementation(node& owner, chunk_filter filter)
        : host(owner), engine(owner.http(), owner.settings().upstream_url),
          transfer(
              owner, engine, [this](const digest& version) { staged(version); },
              std::move(filter)),
          runs(owner, engine, make_gate()),
          orders(
              owner, [this] { send_order(); }, [this] { order_refused(); }),
          reports(owner), plain(owner.settings().upstream_kind == "plain")
    {
    }

    void start()
    {
        node_hooks hooks;
        hooks.received = [this](const instance_id& from, frame one)
        { received(from, std::move(one)); };
        hooks.peer_lost = [this](const instance_id& peer)
        {
            reports.peer_lost(peer);
            runs.peer_lost(peer);
            transfer.peer_lost(peer);
        };
        hooks.configuration_changed = [this] { reconcile(); };
        hooks.members_changed = [this] { reconcile(); };
        hooks.http =
            [](const http_request&, const std::shared_ptr<http_reply>& reply)
        { reply->send(404, "text/plain", {}, "no such path\n"); };
        hooks.dump = [this] { return dump(); };
        hooks.leaving = [this] { report(); };
        hooks.idle = [this] { return runs.size() == 0 && transfer.idle(); };
        host.start(std::move(hooks));
        tick_timer = host.loop().every(internal::side_tick, [this] { tick(); });
        report_timer = host.loop().every(host.settings().report_interval, [this]
                                         { reports.tell_load(state()); });
        if (!plain)
            poll_timer = host.loop().every(internal::engine_poll,
                                           [this] { poll_engine(); });
    }

    run_gate make_gate()
    {
        run_gate gate;
        gate.open = [this] { return plain || copy.accepts_requests(); };
        gate.slots = [this] { return slots_now(); };
        gate.weights = [this]
        { return plain ? digest() : copy.serving_version(); };
        gate.doubt = [this] { doubt(); };
        gate.first_token = [this](std::chrono::microseconds took)
        { transfer.first_token(took); };
        return gate;
    }

    static time_point now() { return event_loop::now(); }

    /*! @brief The settings' limit, or the engine's own when that is lower. */
    std::size_t slots_now() const
    {
        const auto most = host.settings().upstream_slots;
        return engine_slots == 0 ? most : std::min(most, engine_slots);
    }

    // What is wanted.

    void reconcile()
    {
        if (plain || !host.view().has_configuration())
            return;
        const auto& wanted = host.view().current();
        const auto assigned = assign_deployments(wanted, slots());
        const auto own = assigned.find(host.settings().instance);
        const auto* spec =
            own == assigned.end() ? nullptr : wanted.find(own->second);
        if (spec == nullptr)
        {
            copy.set_target(std::nullopt);
            transfer.want_nothing();
            return changed();
        }
        target = *spec;
        copy.set_target(replica_target{spec->name, spec->model, spec->adapter,
                                       spec->version, spec->paused});
        transfer.participants(sharers(assigned, wanted, spec->version));
        transfer.want(spec->version, spec->objective);
        changed();
    }

    /*! @brief Instances that are listed and not leaving; heartbeats and
     * failures do not move deployments, so that a short cut moves nothing. */
    std::vector<upstream_candidate> slots() const
    {
        std::vector<upstream_candidate> found;
        for (const auto& [id, one] : host.members().all())
        {
            if (one.kind == role::side && one.upstream_kind != "plain" &&
                !one.leaving)
                found.push_back({id, one.hall, one.region, one.labels});
        }
        return found;
    }

    std::vector<participant>
    sharers(const std::map<instance_id, deployment_name>& assigned,
            const configuration& wanted, const digest& version) const
    {
        std::vector<participant> all;
        for (const auto& [id, name] : assigned)
        {
            const auto* spec = wanted.find(name);
            const auto* listed = host.members().find(id);
            if (spec != nullptr && listed != nullptr &&
                spec->version == version)
                all.push_back({id, listed->hall, listed->region});
        }
        return all;
    }

    void staged(const digest& version)
    {
        copy.staging_completed(version);
        changed();
    }

    void doubt()
    {
        copy.invalidate();
        changed();
    }

    // The replica.

    void tick()
    {
        if (orders.tick(now()))
        {
            host.counters().count("pauses_noticed_total");
            log::warning("pause_noticed");
        }
        transfer.tick();
        if (plain)
            return;
        const auto before = copy.phase();
        act(copy.next_action(runs.size(), now()));
        if (copy.phase() != before)
            changed();
    }

    void act(replica_action action)
    {
        switch (action)
        {
        case replica_action::read_upstream:
            return read_engine();
        case replica_action::request_permit:
            return ask_permit();
        case replica_action::send_load_command:
            return orders.request();
        case replica_action::stage:
        case replica_action::none:
            return;
        }
    }

    void read_engine()
    {
        if (reading)
            return;
        reading = true;
        engine.read_state(
            [this](const result<engine_state>& got)
            {
                reading = false;
                if (!got)
                {
                    copy.version_read_failed(got.error().message, now());
                    return changed();
                }
                seen(got.value());
            });
    }

    void seen(const engine_state& state)
    {
        cached = state.cached;
        engine_slots = state.slots;
        orders.seen(state.newest);
        if (state.loading)
            return;
        const auto before = copy.serving_version();
        if (state.serving.empty() &&
            (!before.empty() || copy.phase() == replica_phase::checking))
            engine_lost_all();
        copy.version_read(state.serving, now());
        if (before != copy.serving_version())
        {
            transfer.serving(copy.serving_version());
            log::state("upstream_serves", {{"version", state.serving.hex()}});
        }
        changed();
    }

    /*! @brief The engine serves nothing any more: it may have restarted and
     * lost what was staged, so it is handed over again before an order. */
    void engine_lost_all()
    {
        copy.staging_lost();
        transfer.hand_over_again();
    }

    /*! @brief Looks at the engine regularly: load, cache, and whether it
     * still serves what it should. */
    void poll_engine()
    {
        if (copy.phase() != replica_phase::loading)
            read_engine();
    }

    void ask_permit()
    {
        const auto first =
            host.members().designated_entries(host.settings().hall, 1, now());
        if (first.empty())
            return;
        message::permit_request request;
        request.instance = host.settings().instance.value();
        request.hall = host.settings().hall.value();
        request.deployment = copy.target()->name.value();
        request.version = copy.target()->version.hex();
        host.send(first.front(), request);
    }

    // Orders.

    void order_refused()
    {
        copy.load_finished(false, "another side is in charge of the upstream",
                           now());
        changed();
    }

    void send_order()
    {
        if (!copy.target())
            return copy.load_finished(false, "nothing is wanted any more",
                                      now());
        load_order order;
        order.version = copy.target()->version;
        order.model = copy.target()->model;
        order.adapter = copy.target()->adapter;
        order.engine_role = target.engine_role;
        order.token = orders.token();
        orders.ordered();
        host.counters().count("load_orders_total");
        engine.load(order, [this](const load_answer& got) { loaded(got); });
    }

    void loaded(const load_answer& got)
    {
        using kind = load_answer::kind;
        if (got.end == kind::stale)
            orders.refused();
        if (got.end == kind::incomplete)
            engine_lost_all();
        if (got.end != kind::loaded)
            log::warning("load_failed", {{"reason", got.reason}});
        copy.load_finished(got.end == kind::loaded, got.reason, now());
        changed();
    }

    // Peers.

    void received(const instance_id& from, frame one)
    {
        if (runs.received(from, one) || transfer.received(from, one))
            return;
        if (one.type == frame_type::subscribe)
        {
            const auto ask = decode<message::subscribe>(one.head);
            if (!ask)
                return;
            reports.subscribe(from, ask.value().routing, state());
        }
        else if (one.type == frame_type::permit_reply)
        {
            const auto reply = decode<message::permit_reply>(one.head);
            const auto version = reply ? digest::parse(reply.value().version)
                                       : digest::parse("");
            if (version && reply.value().granted)
                copy.permit_granted(version.value(), now());
        }
    }

    message::report state() const
    {
        const auto& settings = host.settings();
        const auto progress = transfer.progress();
        message::report now_state;
        now_state.instance = settings.instance.value();
        now_state.region = settings.region.value();
        now_state.hall = settings.hall.value();
        now_state.kind = settings.upstream_kind;
        now_state.revision = host.view().current().current_revision().value();
        now_state.running = static_cast<std::uint32_t>(runs.size());
        now_state.slots = static_cast<std::uint32_t>(slots_now());
        now_state.leaving = host.is_leaving();
        if (plain)
        {
            now_state.model = internal::service_name(settings.labels);
            now_state.phase = "serving";
            return now_state;
        }
        describe_replica(now_state);
        now_state.bytes_done = progress.done;
        now_state.bytes_total = progress.total;
        now_state.reason = copy.failure_reason().empty()
                               ? progress.reason
                               : copy.failure_reason();
        now_state.origin_bytes = transfer.counters().origin_bytes;
        now_state.cross_hall_bytes = transfer.counters().cross_hall_bytes;
        now_state.cached_prefixes = cached;
        return now_state;
    }

    void describe_replica(message::report& into) const
    {
        into.phase = to_string(copy.phase());
        into.serving =
            copy.serving_version().empty() ? "" : copy.serving_version().hex();
        if (copy.target())
        {
            into.deployment = copy.target()->name.value();
            into.model = copy.target()->model;
            into.wanted = copy.target()->version.hex();
        }
        if (!copy.accepts_requests())
            into.serving.clear();
    }

    /*! @brief Reports now when something that matters to routing or status
     * has changed, else with the next regular report. */
    void changed()
    {
        const auto key = std::pair(copy.phase(), copy.serving_version());
        if (key == reported)
            return;
        reported = key;
        log::state("replica", {{"phase", std::string(to_string(copy.phase()))},
                               {"reason", copy.failure_reason()}});
        report();
    }

    void report() { reports.tell(state()); }

    std::string dump() const
    {
        using nlohmann::json;
        return json{{"phase", to_string(copy.phase())},
                    {"reason", copy.failure_reason()},
                    {"serving", copy.serving_version().hex()},
                    {"wanted", copy.target() ? copy.target()->version.hex()
                                             : std::string{}},
                    {"open", plain || copy.accepts_requests()},
                    {"fencing_token", orders.token().value()},
                    {"subscribers", reports.size()},
                    {"transfer", json::parse(transfer.dump())},
                    {"requests", json::parse(runs.dump())}}
            .dump();
    }

    node& host;
    upstream_client engine;
    replica copy;
    transfer_service transfer;
    run_service runs;
    internal::fenced_orders orders;
    internal::side_reports reports;
    deployment target;
    bool plain;
    bool reading{false};
    std::size_t engine_slots{0};
    std::vector<std::uint64_t> cached;
    std::pair<replica_phase, digest> reported{};
    timer tick_timer;
    timer report_timer;
    timer poll_timer;
};

side::side(node& owner, chunk_filter filter)
    : self(std::make_unique<implementation>(owner, std::move(filter)))
{
    self->start();
}

side::~side() = default;

} // namespace coursejunction
