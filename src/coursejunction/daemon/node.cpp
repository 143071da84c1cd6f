#include "coursejunction/daemon/node.hpp"

#include <algorithm>
#include <csignal>
#include <iostream>

#include <nlohmann/json.hpp>

#include "coursejunction/core/log.hpp"
#include "coursejunction/core/rendezvous.hpp"
#include "coursejunction/daemon/internal/configuration_restorer.hpp"
#include "coursejunction/daemon/internal/configuration_watch.hpp"
#include "coursejunction/daemon/internal/heartbeat_gossip.hpp"
#include "coursejunction/daemon/internal/instance_list.hpp"
#include "coursejunction/daemon/internal/node_state.hpp"
#include "coursejunction/daemon/internal/peer_links.hpp"

namespace coursejunction
{

namespace internal
{

using nlohmann::json;

constexpr milliseconds instance_list_timeout{2000};

/*! @brief Minimum time from the announcement of a leave to the stop, so that
 * other instances have received it. */
constexpr milliseconds leave_grace{3000};

/*! @brief Interval of the check whether a leaving node may stop. */
constexpr milliseconds leave_poll_interval{50};

/*! @brief Time after which a configuration may be requested again. */
constexpr milliseconds pull_timeout{300};

std::uint64_t unix_time_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

} // namespace internal

struct node::implementation
{
    implementation(event_loop& owner, node_settings given)
        : loop(owner), settings(std::move(given)), client(owner),
          key_values(client, settings.key_value_url,
                     settings.key_value_timeout),
          started_at_ms(internal::unix_time_ms()),
          restorer(
              loop, key_values, counters, view, [this] { return watch_rank(); },
              [this](configuration next)
              { offer_configuration(std::move(next)); }),
          watch(loop, key_values, counters, view,
                [this](configuration next)
                { handle_stored_configuration(std::move(next)); }),
          gossip(settings, ring, members, view, counters, started_at_ms,
                 [this](const instance_id& from, std::uint64_t revision)
                 { pull_configuration(from, revision); }),
          crashes(counters, [this](const auto& records)
                  { gossip.send_crash_records(message::crash_news{records}); })
    {
        gossip.on_crashes([this](const auto& records)
                          { crashes.merge(records, event_loop::now()); });
        ring.keys = settings.keys;
        ring.active = settings.active_key;
    }

    result<bool> open()
    {
        peer_hub::callbacks events;
        events.opened = [this](connection_id id, const peer_identity& who)
        { connection_opened(id, who); };
        events.received = [this](connection_id id, frame received)
        { frame_received(id, std::move(received)); };
        events.closed = [this](connection_id id) { connection_closed(id); };
        const auto kind = settings.kind == role::entry ? "entry" : "side";
        auto created_hub =
            peer_hub::create(loop, settings.address, settings.peer_port, ring,
                             {settings.instance, kind}, std::move(events));
        if (!created_hub)
            return failure(created_hub.error().kind,
                           created_hub.error().message);
        hub = std::move(created_hub.value());
        auto opened_gossip = gossip.open(loop, hub->port());
        if (!opened_gossip)
            return failure(opened_gossip.error().kind,
                           opened_gossip.error().message);
        http_options options;
        if (settings.max_request_bytes > 0)
            options.max_request_bytes = settings.max_request_bytes;
        auto created_server = http_server::create(
            settings.address, settings.http_port, options,
            [this](http_request request, std::shared_ptr<http_reply> reply)
            {
                loop.post([this, request = std::move(request),
                           reply = std::move(reply)]() mutable
                          { handle_http(std::move(request), reply); });
            });
        if (!created_server)
            return failure(created_server.error().kind,
                           created_server.error().message);
        server = std::move(created_server.value());
        return true;
    }

    void start(node_hooks given)
    {
        hooks = std::move(given);
        poll_instance_list();
        list_timer = loop.every(settings.instance_list_interval,
                                [this] { poll_instance_list(); });
        heartbeat_timer = loop.every(settings.heartbeat_interval,
                                     [this] { send_heartbeats(); });
        loop.on_signal(SIGTERM, [this] { leave(); });
        loop.on_signal(SIGINT, [this] { leave(); });
        if (settings.kind == role::entry)
            watch.read_initial();
        std::cout << internal::json{{"ready", true},
                                    {"instance", settings.instance.value()},
                                    {"peer_port", hub->port()},
                                    {"http_port", server->port()}}
                  << std::endl;
        log::state("started");
    }

    // Members.

    void poll_instance_list()
    {
        if (list_call != 0)
            return;
        http_call call;
        call.url = settings.instance_list_url;
        call.timeout = internal::instance_list_timeout;
        if (!list_etag.empty())
            call.headers["If-None-Match"] = list_etag;
        list_call = client.start(std::move(call),
                                 [this](const http_result& end)
                                 {
                                     list_call = 0;
                                     handle_instance_list(end);
                                 });
    }

    void handle_instance_list(const http_result& end)
    {
        counters.count("instance_list_calls_total");
        if (!end.ok() || end.status != 200)
            return;
        auto list = internal::parse_instance_list(end.body);
        if (!list)
            return;
        const auto etag = end.headers.find("etag");
        list_etag = etag == end.headers.end() ? "" : etag->second;
        if (!members.assign(std::move(*list)))
            return;
        const auto* own = members.find(settings.instance);
        if (own != nullptr && own->leaving)
            leave();
        close_relocated();
        update_watch();
        hooks.members_changed();
    }

    // Connections.

    /*! @brief Returns the connection to an instance: the one opened to its
     * listed address. A connection that the peer opened is used only to answer
     * an instance that is not listed (yet): two processes may claim the same
     * id, and the list decides which one has it. */
    connection_id connection_to(const instance_id& to)
    {
        const auto dialled = links.outgoing(to);
        if (!dialled.empty())
            return dialled;
        const auto* listed_member = members.find(to);
        if (to == settings.instance)
            return {};
        if (listed_member == nullptr)
            return links.incoming(to);
        const auto id = hub->open(listed_member->peer_address);
        links.add_outgoing(to, id, listed_member->peer_address);
        return id;
    }

    void connection_opened(connection_id id, const peer_identity& who)
    {
        const auto expected = links.peer_of(id);
        if (!expected)
            return links.add_incoming(who.instance, id);
        if (*expected == who.instance)
            return members.record_response(who.instance);
        // The address now belongs to another instance.
        links.remove(id);
        hub->close(id);
        members.record_failure(*expected, now());
        hooks.peer_lost(*expected);
    }

    /*! @brief Closes connections to addresses that are no longer listed. */
    void close_relocated()
    {
        for (const auto& instance : links.relocated(members))
        {
            const auto id = links.outgoing(instance);
            links.remove(id);
            hub->close(id);
            hooks.peer_lost(instance);
        }
    }

    void connection_closed(connection_id id)
    {
        const auto instance = links.peer_of(id);
        if (!instance)
            return;
        const bool was_dialled = links.outgoing(*instance) == id;
        links.remove(id);
        if (was_dialled)
            members.record_failure(*instance, now());
        hooks.peer_lost(*instance);
    }

    void frame_received(connection_id id, frame received)
    {
        const auto from = links.peer_of(id);
        if (!from)
            return;
        switch (received.type)
        {
        case frame_type::configuration_pull:
            return handle_pull(*from, received);
        case frame_type::configuration_snapshot:
            return handle_snapshot(received);
        default:
            return hooks.frame_received(*from, std::move(received));
        }
    }

    // Configuration.

    /*! @brief Handles a configuration read from the key-value service. */
    void handle_stored_configuration(configuration next)
    {
        restorer.on_stored(next);
        offer_configuration(std::move(next));
    }

    void offer_configuration(configuration next)
    {
        if (view.diverges_from(next))
            return restorer.on_diverged(std::move(next));
        const bool was_ready = view.has_configuration();
        const bool newer = view.offer(std::move(next));
        if (newer)
        {
            counters.set(
                "configuration_revision",
                static_cast<double>(view.current().current_revision().value()));
            log::state(
                "configuration_in_force",
                {{"revision",
                  std::to_string(view.current().current_revision().value())}});
            restorer.on_changed();
            send_heartbeats();
        }
        if (newer || !was_ready)
            hooks.configuration_changed();
    }

    void update_watch()
    {
        if (settings.kind == role::entry)
            watch.set_designated(
                is_designated(settings.instance, settings.hall));
    }

    bool is_designated(const instance_id& id, const hall_id& hall) const
    {
        const auto chosen = members.designated_entries(
            hall, designated_entries_per_hall, now());
        return std::find(chosen.begin(), chosen.end(), id) != chosen.end();
    }

    /*! @brief Returns the rank of this instance among the entries that watch
     * the key-value service; none when it does not watch. */
    std::optional<std::size_t> watch_rank() const
    {
        if (!watch.designated())
            return std::nullopt;
        std::vector<instance_id> watchers;
        for (const auto& entry :
             members.select(role::entry, std::nullopt, now()))
        {
            if (is_designated(entry.id, entry.hall))
                watchers.push_back(entry.id);
        }
        const auto ranked =
            rendezvous_rank(configuration_key, watchers, watchers.size());
        const auto own =
            std::find(ranked.begin(), ranked.end(), settings.instance);
        return static_cast<std::size_t>(own - ranked.begin());
    }

    void handle_pull(const instance_id& from, const frame& received)
    {
        const auto pull = decode<message::configuration_pull>(received.head);
        const auto number = view.current().current_revision().value();
        if (!pull || !view.has_configuration() || pull.value().known >= number)
            return;
        message::configuration_snapshot reply;
        reply.number = number;
        const auto connection = connection_to(from);
        if (!connection.empty())
            hub->send(connection, reply, view.json_text());
    }

    void handle_snapshot(const frame& received)
    {
        auto parsed = configuration::parse(received.payload);
        if (parsed)
            offer_configuration(std::move(parsed.value()));
    }

    void send_heartbeats()
    {
        gossip.send_heartbeats();
        crashes.send_updates(event_loop::now());
        update_watch();
    }

    /*! @brief Requests a newer configuration from a neighbour, unless one at
     * least as new has just been requested. */
    void pull_configuration(const instance_id& from, std::uint64_t newest)
    {
        if (newest <= last_pulled_revision &&
            now() - last_pull_at < internal::pull_timeout)
            return;
        const auto connection = connection_to(from);
        if (connection.empty())
            return;
        last_pulled_revision = newest;
        last_pull_at = now();
        message::configuration_pull request;
        request.known = view.current().current_revision().value();
        hub->send(connection, request);
    }

    // Stopping.

    void leave()
    {
        if (leaving)
            return;
        leaving = true;
        leaving_since = now();
        gossip.set_leaving();
        log::state("leaving");
        send_heartbeats();
        hooks.leave_started();
        leave_timer =
            loop.every(internal::leave_poll_interval,
                       [this]
                       {
                           if (now() - leaving_since < internal::leave_grace ||
                               !hooks.is_idle())
                               return;
                           log::state("stopped");
                           loop.stop();
                       });
    }

    // HTTP.

    void handle_http(http_request request,
                     const std::shared_ptr<http_reply>& reply)
    {
        if (request.path == "/metrics")
            return reply->send(200, "text/plain; version=0.0.4", {},
                               metrics_text());
        if (request.path == "/health")
            return reply->send(leaving || !view.has_configuration() ? 503 : 200,
                               "text/plain", {},
                               leaving ? "leaving\n" : "ok\n");
        if (request.path == "/dump")
            return reply->send(200, "application/json", {}, dump());
        hooks.handle_http(std::move(request), reply);
    }

    std::string metrics_text()
    {
        const auto& counts = hub->counters();
        counters.set("peer_bytes_in", static_cast<double>(counts.bytes_in));
        counters.set("peer_bytes_out", static_cast<double>(counts.bytes_out));
        counters.set("peer_connections", static_cast<double>(hub->size()));
        counters.set("frames_refused", static_cast<double>(counts.refused));
        counters.set("gossip_bytes", static_cast<double>(gossip.total_bytes()));
        counters.set("key_value_calls",
                     static_cast<double>(key_values.call_count()));
        counters.set("configuration_older_refused",
                     static_cast<double>(view.refused_older_count()));
        return counters.text();
    }

    std::string dump()
    {
        return internal::json{
            {"instance", settings.instance.value()},
            {"role", settings.kind == role::entry ? "entry" : "side"},
            {"hall", settings.hall.value()},
            {"region", settings.region.value()},
            {"incarnation", started_at_ms},
            {"leaving", leaving},
            {"designated", watch.designated()},
            {"revision", view.current().current_revision().value()},
            {"ready", view.has_configuration()},
            {"configuration", internal::json::parse(view.json_text())},
            {"members", internal::members_json(members, now())},
            {"connections", hub->size()},
            {"traffic",
             internal::traffic_json(hub->counters(), gossip.total_bytes(),
                                    key_values.call_count())},
            {"state", internal::json::parse(hooks.dump())}}
            .dump();
    }

    static time_point now() { return event_loop::now(); }

    event_loop& loop;
    node_settings settings;
    key_ring ring;
    metrics counters;
    http_client client;
    key_value_client key_values;
    member_table members;
    configuration_view view;
    node_hooks hooks;
    std::unique_ptr<peer_hub> hub;
    std::unique_ptr<http_server> server;
    internal::peer_links links;
    http_client::call_id list_call{0};
    std::string list_etag;
    std::uint64_t started_at_ms;
    internal::configuration_restorer restorer;
    internal::configuration_watch watch;
    internal::heartbeat_gossip gossip;
    internal::crash_gossip crashes;
    std::uint64_t last_pulled_revision{0};
    time_point last_pull_at{};
    bool leaving{false};
    time_point leaving_since{};
    timer list_timer;
    timer heartbeat_timer;
    timer leave_timer;
};

node::node(std::unique_ptr<implementation> owned) : self(std::move(owned)) {}

node::~node() = default;

result<std::unique_ptr<node>> node::create(event_loop& loop,
                                           node_settings settings)
{
    auto created = std::make_unique<implementation>(loop, std::move(settings));
    auto opened = created->open();
    if (!opened)
        return failure(opened.error().kind, opened.error().message);
    return std::unique_ptr<node>(new node(std::move(created)));
}

void node::start(node_hooks hooks)
{
    self->start(std::move(hooks));
}

connection_id node::connection_to(const instance_id& to)
{
    return self->connection_to(to);
}

void node::leave()
{
    self->leave();
}

bool node::is_leaving() const
{
    return self->leaving;
}

std::chrono::microseconds node::leaving_for() const
{
    if (!self->leaving)
        return std::chrono::microseconds(0);
    return now() - self->leaving_since;
}

void node::offer_configuration(const configuration& next)
{
    self->offer_configuration(next);
}

std::uint64_t node::incarnation() const
{
    return self->started_at_ms;
}

event_loop& node::loop()
{
    return self->loop;
}

peer_hub& node::hub()
{
    return *self->hub;
}

http_client& node::http()
{
    return self->client;
}

key_value_client& node::key_values()
{
    return self->key_values;
}

internal::crash_gossip& node::crashes()
{
    return self->crashes;
}

member_table& node::members()
{
    return self->members;
}

const configuration_view& node::view() const
{
    return self->view;
}

const node_settings& node::settings() const
{
    return self->settings;
}

metrics& node::counters()
{
    return self->counters;
}

} // namespace coursejunction
