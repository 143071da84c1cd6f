#include "coursejunction/daemon/side.hpp"

#include <algorithm>
#include <map>

#include <nlohmann/json.hpp>

#include "coursejunction/core/log.hpp"
#include "coursejunction/daemon/internal/fenced_commands.hpp"
#include "coursejunction/daemon/internal/report_publisher.hpp"
#include "coursejunction/daemon/node.hpp"
#include "coursejunction/daemon/run_service.hpp"
#include "coursejunction/daemon/upstream_client.hpp"
#include "coursejunction/rollout/assignment.hpp"
#include "coursejunction/rollout/replica.hpp"

namespace coursejunction
{

namespace internal
{

constexpr milliseconds side_tick_interval{20};
constexpr milliseconds engine_poll_interval{500};
constexpr std::string_view service_label_prefix = "service=";

/*! @brief Returns the name of the plain service from an upstream's labels;
 * empty when none has the prefix. */
std::string service_name(const std::vector<std::string>& labels)
{
    for (const auto& label : labels)
    {
        if (label.rfind(service_label_prefix, 0) == 0)
            return label.substr(service_label_prefix.size());
    }
    return {};
}

} // namespace internal

struct side::implementation
{
    implementation(node& owner, chunk_filter filter)
        : host(owner), engine(owner.http(), owner.settings().upstream_url),
          transfer(
              owner, engine,
              [this](const digest& version) { staging_completed(version); },
              std::move(filter)),
          runs(owner, engine, make_replica_callbacks()),
          commands(
              owner, [this] { send_load_command(); },
              [this] { fence_refused(); }),
          reports(owner),
          is_plain_service(owner.settings().upstream_kind == "plain")
    {
    }

    void start()
    {
        node_hooks hooks;
        hooks.frame_received = [this](const instance_id& from, frame received)
        { handle_frame(from, std::move(received)); };
        hooks.peer_lost = [this](const instance_id& peer)
        {
            reports.peer_lost(peer);
            runs.peer_lost(peer);
            transfer.peer_lost(peer);
        };
        hooks.configuration_changed = [this] { update_target(); };
        hooks.members_changed = [this] { update_target(); };
        hooks.handle_http =
            [](const http_request&, const std::shared_ptr<http_reply>& reply)
        { reply->send(404, "text/plain", {}, "no such path\n"); };
        hooks.dump = [this] { return dump(); };
        hooks.leave_started = [this] { send_report(); };
        hooks.is_idle = [this] { return runs.size() == 0 && transfer.idle(); };
        host.start(std::move(hooks));
        tick_timer =
            host.loop().every(internal::side_tick_interval, [this] { tick(); });
        report_timer = host.loop().every(host.settings().report_interval, [this]
                                         { reports.send_load(make_report()); });
        if (!is_plain_service)
            poll_timer = host.loop().every(internal::engine_poll_interval,
                                           [this] { poll_engine(); });
    }

    replica_callbacks make_replica_callbacks()
    {
        replica_callbacks callbacks;
        callbacks.accepts_requests = [this]
        { return is_plain_service || local_replica.accepts_requests(); };
        callbacks.slots = [this] { return effective_slots(); };
        callbacks.serving_version = [this] {
            return is_plain_service ? digest()
                                    : local_replica.serving_version();
        };
        callbacks.invalidate = [this] { invalidate(); };
        callbacks.record_first_token = [this](std::chrono::microseconds took)
        { transfer.record_first_token(took); };
        return callbacks;
    }

    static time_point now() { return event_loop::now(); }

    /*! @brief Returns the maximum number of concurrent runs: the limit of the
     * settings, or that of the engine when it is lower. */
    std::size_t effective_slots() const
    {
        const auto configured = host.settings().upstream_slots;
        return engine_slots == 0 ? configured
                                 : std::min(configured, engine_slots);
    }

    // Target state.

    void update_target()
    {
        if (is_plain_service || !host.view().has_configuration())
            return;
        const auto& wanted = host.view().current();
        const auto assigned = assign_deployments(wanted, candidates());
        const auto own = assigned.find(host.settings().instance);
        const auto* spec =
            own == assigned.end() ? nullptr : wanted.find(own->second);
        if (spec == nullptr)
        {
            local_replica.set_target(std::nullopt);
            transfer.clear_target();
            return report_if_changed();
        }
        target = *spec;
        local_replica.set_target(replica_target{spec->name, spec->model,
                                                spec->adapter, spec->version,
                                                spec->paused});
        transfer.set_participants(replicas_of(assigned, wanted, spec->version));
        transfer.set_target(spec->version, spec->objective);
        report_if_changed();
    }

    /*! @brief Returns the listed upstreams that are not leaving. Missed
     * heartbeats and failures do not count, so that a short partition moves no
     * deployment. */
    std::vector<upstream_candidate> candidates() const
    {
        std::vector<upstream_candidate> found;
        for (const auto& [id, member] : host.members().all())
        {
            if (member.kind == role::side && member.upstream_kind != "plain" &&
                !member.leaving)
                found.push_back(
                    {id, member.hall, member.region, member.labels});
        }
        return found;
    }

    std::vector<participant>
    replicas_of(const std::map<instance_id, deployment_name>& assigned,
                const configuration& wanted, const digest& version) const
    {
        std::vector<participant> all;
        for (const auto& [id, name] : assigned)
        {
            const auto* spec = wanted.find(name);
            const auto* member = host.members().find(id);
            if (spec != nullptr && member != nullptr &&
                spec->version == version)
                all.push_back({id, member->hall, member->region});
        }
        return all;
    }

    void staging_completed(const digest& version)
    {
        local_replica.staging_completed(version);
        report_if_changed();
    }

    void invalidate()
    {
        local_replica.invalidate();
        report_if_changed();
    }

    // The replica.

    void tick()
    {
        if (commands.tick(now()))
        {
            host.counters().count("pauses_noticed_total");
            log::warning("pause_noticed");
        }
        transfer.tick();
        if (is_plain_service)
            return;
        const auto phase_before = local_replica.phase();
        execute(local_replica.next_action(runs.size(), now()));
        if (local_replica.phase() != phase_before)
            report_if_changed();
    }

    void execute(replica_action action)
    {
        switch (action)
        {
        case replica_action::read_upstream:
            return read_engine();
        case replica_action::request_permit:
            return request_permit();
        case replica_action::send_load_command:
            return commands.authorize();
        case replica_action::stage:
        case replica_action::none:
            return;
        }
    }

    void read_engine()
    {
        if (read_pending)
            return;
        read_pending = true;
        engine.read_state(
            [this](const result<engine_state>& state)
            {
                read_pending = false;
                if (!state)
                {
                    local_replica.version_read_failed(state.error().message,
                                                      now());
                    return report_if_changed();
                }
                engine_state_read(state.value());
            });
    }

    void engine_state_read(const engine_state& state)
    {
        cached_prefixes = state.cached_prefixes;
        engine_slots = state.slots;
        commands.record_seen_token(state.newest_token);
        if (state.loading)
            return;
        const auto served_before = local_replica.serving_version();
        if (state.serving.empty() &&
            (!served_before.empty() ||
             local_replica.phase() == replica_phase::checking))
            restage_version();
        local_replica.version_read(state.serving, now());
        if (served_before != local_replica.serving_version())
        {
            transfer.set_served_version(local_replica.serving_version());
            log::state("upstream_serves", {{"version", state.serving.hex()}});
        }
        report_if_changed();
    }

    /*! @brief Stages the version again before the next load command: an engine
     * that serves nothing any more may have restarted and lost what was
     * staged. */
    void restage_version()
    {
        local_replica.staging_lost();
        transfer.restage();
    }

    /*! @brief Reads the engine's state (serving version, slots and cached
     * prefixes), except while it is loading; called regularly. */
    void poll_engine()
    {
        if (local_replica.phase() != replica_phase::loading)
            read_engine();
    }

    void request_permit()
    {
        const auto entries =
            host.members().designated_entries(host.settings().hall, 1, now());
        if (entries.empty())
            return;
        message::permit_request request;
        request.instance = host.settings().instance.value();
        request.hall = host.settings().hall.value();
        request.deployment = local_replica.target()->name.value();
        request.version = local_replica.target()->version.hex();
        host.send(entries.front(), request);
    }

    // Load commands.

    void fence_refused()
    {
        local_replica.load_finished(
            false, "another sidecar controls the upstream", now());
        report_if_changed();
    }

    void send_load_command()
    {
        if (!local_replica.may_load())
            return local_replica.load_finished(
                false, "the version is not wanted or not staged any more",
                now());
        load_command command;
        command.version = local_replica.target()->version;
        command.model = local_replica.target()->model;
        command.adapter = local_replica.target()->adapter;
        command.engine_role = target.engine_role;
        command.token = commands.token();
        commands.command_sent();
        host.counters().count("load_orders_total");
        engine.load(command, [this](const load_response& response)
                    { load_ended(response); });
    }

    void load_ended(const load_response& response)
    {
        using kind = load_response::kind;
        if (response.outcome == kind::stale_token)
            commands.token_rejected();
        if (response.outcome == kind::chunks_missing)
            restage_version();
        if (response.outcome != kind::loaded)
            log::warning("load_failed", {{"reason", response.reason}});
        local_replica.load_finished(response.outcome == kind::loaded,
                                    response.reason, now());
        report_if_changed();
    }

    // Peers.

    void handle_frame(const instance_id& from, frame received)
    {
        if (runs.handle_frame(from, received) ||
            transfer.handle_frame(from, received))
            return;
        if (received.type == frame_type::subscribe)
        {
            const auto request = decode<message::subscribe>(received.head);
            if (!request)
                return;
            reports.subscribe(from, request.value().routing, make_report());
        }
        else if (received.type == frame_type::permit_reply)
        {
            const auto reply = decode<message::permit_reply>(received.head);
            const auto version = reply ? digest::parse(reply.value().version)
                                       : digest::parse("");
            if (version && reply.value().granted)
                local_replica.permit_granted(version.value(), now());
        }
    }

    message::report make_report() const
    {
        const auto& settings = host.settings();
        const auto progress = transfer.progress();
        message::report report;
        report.instance = settings.instance.value();
        report.region = settings.region.value();
        report.hall = settings.hall.value();
        report.kind = settings.upstream_kind;
        report.revision = host.view().current().current_revision().value();
        report.running = static_cast<std::uint32_t>(runs.size());
        report.slots = static_cast<std::uint32_t>(effective_slots());
        report.leaving = host.is_leaving();
        if (is_plain_service)
        {
            report.model = internal::service_name(settings.labels);
            report.phase = "serving";
            return report;
        }
        fill_replica_state(report);
        report.bytes_done = progress.bytes_done;
        report.bytes_total = progress.bytes_total;
        report.reason = local_replica.failure_reason().empty()
                            ? progress.reason
                            : local_replica.failure_reason();
        report.origin_bytes = transfer.counters().origin_bytes;
        report.cross_hall_bytes = transfer.counters().cross_hall_bytes;
        report.cached_prefixes = cached_prefixes;
        return report;
    }

    void fill_replica_state(message::report& into) const
    {
        into.phase = to_string(local_replica.phase());
        into.serving = local_replica.serving_version().empty()
                           ? ""
                           : local_replica.serving_version().hex();
        if (local_replica.target())
        {
            into.deployment = local_replica.target()->name.value();
            into.model = local_replica.target()->model;
            into.wanted = local_replica.target()->version.hex();
        }
        if (!local_replica.accepts_requests())
            into.serving.clear();
    }

    /*! @brief Sends a report now when the phase or the serving version has
     * changed, which routing and status depend on; other changes wait for the
     * next regular report. */
    void report_if_changed()
    {
        const auto key =
            std::pair(local_replica.phase(), local_replica.serving_version());
        if (key == reported)
            return;
        reported = key;
        log::state("replica",
                   {{"phase", std::string(to_string(local_replica.phase()))},
                    {"reason", local_replica.failure_reason()}});
        send_report();
    }

    void send_report() { reports.send_report(make_report()); }

    std::string dump() const
    {
        using nlohmann::json;
        return json{
            {"phase", to_string(local_replica.phase())},
            {"reason", local_replica.failure_reason()},
            {"serving", local_replica.serving_version().hex()},
            {"wanted", local_replica.target()
                           ? local_replica.target()->version.hex()
                           : std::string{}},
            {"open", is_plain_service || local_replica.accepts_requests()},
            {"fencing_token", commands.token().value()},
            {"subscribers", reports.size()},
            {"transfer", json::parse(transfer.dump())},
            {"requests", json::parse(runs.dump())}}
            .dump();
    }

    node& host;
    upstream_client engine;
    replica local_replica;
    transfer_service transfer;
    run_service runs;
    internal::fenced_commands commands;
    internal::report_publisher reports;
    deployment target;
    bool is_plain_service;
    bool read_pending{false};
    std::size_t engine_slots{0};
    std::vector<std::uint64_t> cached_prefixes;
    /*! @brief Phase and serving version of the last report. */
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
