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
#include "coursejunction/daemon/internal/node_dump.hpp"
#include "coursejunction/daemon/internal/peer_links.hpp"

namespace coursejunction
{

namespace internal
{

using nlohmann::json;

/*! @brief Longest time for a call for the list of instances. */
constexpr milliseconds list_timeout{2000};

/*! @brief Time for others to hear that this instance leaves. */
constexpr milliseconds leave_grace{3000};

/*! @brief Time between two looks whether everything is finished. */
constexpr milliseconds leave_poll{50};

/*! @brief Time in which a configuration that was asked for may come. */
constexpr milliseconds pull_patience{300};

std::uint64_t wall_milliseconds()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

} // namespace internal

struct node::implementation
{
    implementation(event_loop& owner, node_settings set)
        : loop(owner), settings(std::move(set)), client(owner),
          key_values(client, settings.key_value_url,
                     settings.key_value_timeout),
          started(internal::wall_milliseconds()),
          restorer(
              loop, key_values, counters, view, [this] { return watch_rank(); },
              [this](configuration next) { offer(std::move(next)); }),
          watch(loop, key_values, counters, view,
                [this](configuration next) { found(std::move(next)); }),
          gossip(settings, ring, members, view, counters, started,
                 [this](const instance_id& from, std::uint64_t revision)
                 { pull(from, revision); }),
          crashes(counters, [this](const auto& records)
                  { gossip.tell(message::crash_news{records}); })
    {
        gossip.on_crashes([this](const auto& records)
                          { crashes.take(records, event_loop::now()); });
        ring.keys = settings.keys;
        ring.active = settings.active_key;
    }

    result<bool> open()
    {
        peer_hub::callbacks events;
        events.opened = [this](connection_id id, const peer_identity& who)
        { opened(id, who); };
        events.received = [this](connection_id id, frame one)
        { received(id, std::move(one)); };
        events.closed = [this](connection_id id) { closed(id); };
        const auto kind = settings.kind == role::entry ? "entry" : "side";
        auto made_hub =
            peer_hub::create(loop, settings.address, settings.peer_port, ring,
                             {settings.instance, kind}, std::move(events));
        if (!made_hub)
            return failure(made_hub.error().kind, made_hub.error().message);
        hub = std::move(made_hub.value());
        auto made_gossip = gossip.open(loop, hub->port());
        if (!made_gossip)
            return failure(made_gossip.error().kind,
                           made_gossip.error().message);
        http_options options;
        if (settings.max_request_bytes > 0)
            options.max_request_bytes = settings.max_request_bytes;
        auto made_server = http_server::create(
            settings.address, settings.http_port, options,
            [this](http_request request, std::shared_ptr<http_reply> reply)
            {
                loop.post([this, request = std::move(request),
                           reply = std::move(reply)]() mutable
                          { http(std::move(request), reply); });
            });
        if (!made_server)
            return failure(made_server.error().kind,
                           made_server.error().message);
        server = std::move(made_server.value());
        return true;
    }

    void start(node_hooks given)
    {
        hooks = std::move(given);
        poll_list();
        list_timer = loop.every(settings.instance_list_interval,
                                [this] { poll_list(); });
        beat_timer =
            loop.every(settings.heartbeat_interval, [this] { announce(); });
        loop.on_signal(SIGTERM, [this] { leave(); });
        loop.on_signal(SIGINT, [this] { leave(); });
        if (settings.kind == role::entry)
            watch.read_first();
        std::cout << internal::json{{"ready", true},
                                    {"instance", settings.instance.value()},
                                    {"peer_port", hub->port()},
                                    {"http_port", server->port()}}
                  << std::endl;
        log::state("started");
    }

    // Members.

    void poll_list()
    {
        if (list_call != 0)
            return;
        http_call call;
        call.url = settings.instance_list_url;
        call.timeout = internal::list_timeout;
        if (!list_tag.empty())
            call.headers["If-None-Match"] = list_tag;
        list_call = client.start(std::move(call),
                                 [this](const http_result& end)
                                 {
                                     list_call = 0;
                                     listed(end);
                                 });
    }

    void listed(const http_result& end)
    {
        counters.count("instance_list_calls_total");
        if (!end.ok() || end.status != 200)
            return;
        auto list = internal::parse_instance_list(end.body);
        if (!list)
            return;
        const auto tag = end.headers.find("etag");
        list_tag = tag == end.headers.end() ? "" : tag->second;
        if (!members.assign(std::move(*list)))
            return;
        const auto* own = members.find(settings.instance);
        if (own != nullptr && own->leaving)
            leave();
        drop_moved();
        watch_if_designated();
        hooks.members_changed();
    }

    // Connections.

    /*! @brief Returns the connection for an instance: the one opened to its
     * listed address. A connection that the other end opened is used only to
     * answer an instance that is not listed (yet): two processes may claim
     * one id, and the list says which of them counts. */
    connection_id connection_to(const instance_id& to)
    {
        const auto known = links.dialled(to);
        if (!known.empty())
            return known;
        const auto* listed_member = members.find(to);
        if (to == settings.instance)
            return {};
        if (listed_member == nullptr)
            return links.accepted(to);
        const auto id = hub->open(listed_member->peer_address);
        links.dial(to, id, listed_member->peer_address);
        return id;
    }

    void opened(connection_id id, const peer_identity& who)
    {
        const auto expected = links.instance(id);
        if (!expected)
            return links.accept(who.instance, id);
        if (*expected == who.instance)
            return members.record_response(who.instance);
        // Another instance has taken over the address.
        links.drop(id);
        hub->close(id);
        members.record_failure(*expected, now());
        hooks.peer_lost(*expected);
    }

    /*! @brief Leaves connections to addresses that are no longer listed. */
    void drop_moved()
    {
        for (const auto& instance : links.moved(members))
        {
            const auto id = links.dialled(instance);
            links.drop(id);
            hub->close(id);
            hooks.peer_lost(instance);
        }
    }

    void closed(connection_id id)
    {
        const auto instance = links.instance(id);
        if (!instance)
            return;
        const bool was_dialled = links.dialled(*instance) == id;
        links.drop(id);
        if (was_dialled)
            members.record_failure(*instance, now());
        hooks.peer_lost(*instance);
    }

    void received(connection_id id, frame one)
    {
        const auto from = links.instance(id);
        if (!from)
            return;
        switch (one.type)
        {
        case frame_type::configuration_pull:
            return pulled(*from, one);
        case frame_type::configuration_snapshot:
            return snapshot(one);
        default:
            return hooks.received(*from, std::move(one));
        }
    }

    // Configuration.

    /*! @brief The key-value service holds this configuration. */
    void found(configuration next)
    {
        restorer.stored(next);
        offer(std::move(next));
    }

    void offer(configuration next)
    {
        if (view.diverges_from(next))
            return restorer.diverged(std::move(next));
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
            restorer.changed();
            announce();
        }
        if (newer || !was_ready)
            hooks.configuration_changed();
    }

    void watch_if_designated()
    {
        if (settings.kind == role::entry)
            watch.designate(designated(settings.instance, settings.hall));
    }

    bool designated(const instance_id& id, const hall_id& hall) const
    {
        const auto chosen =
            members.designated_entries(hall, designated_per_hall, now());
        return std::find(chosen.begin(), chosen.end(), id) != chosen.end();
    }

    /*! @brief Returns the place of this instance among all that watch. */
    std::optional<std::size_t> watch_rank() const
    {
        if (!watch.designated())
            return std::nullopt;
        std::vector<instance_id> watchers;
        for (const auto& one : members.select(role::entry, std::nullopt, now()))
        {
            if (designated(one.id, one.hall))
                watchers.push_back(one.id);
        }
        const auto ranked =
            rendezvous_rank(configuration_key, watchers, watchers.size());
        const auto own =
            std::find(ranked.begin(), ranked.end(), settings.instance);
        return static_cast<std::size_t>(own - ranked.begin());
    }

    void pulled(const instance_id& from, const frame& one)
    {
        const auto pull = decode<message::configuration_pull>(one.head);
        const auto number = view.current().current_revision().value();
        if (!pull || !view.has_configuration() || pull.value().known >= number)
            return;
        message::configuration_snapshot reply;
        reply.number = number;
        const auto connection = connection_to(from);
        if (!connection.empty())
            hub->send(connection, reply, view.json_text());
    }

    void snapshot(const frame& one)
    {
        auto parsed = configuration::parse(one.payload);
        if (parsed)
            offer(std::move(parsed.value()));
    }

    void announce()
    {
        gossip.announce();
        crashes.announce(event_loop::now());
        watch_if_designated();
    }

    /*! @brief Asks a neighbour for a newer configuration, unless one at least
     * as new has just been asked for. */
    void pull(const instance_id& from, std::uint64_t newest)
    {
        if (newest <= pull_asked && now() - pull_at < internal::pull_patience)
            return;
        const auto connection = connection_to(from);
        if (connection.empty())
            return;
        pull_asked = newest;
        pull_at = now();
        message::configuration_pull ask;
        ask.known = view.current().current_revision().value();
        hub->send(connection, ask);
    }

    // Stopping.

    void leave()
    {
        if (leaving)
            return;
        leaving = true;
        leaving_since = now();
        gossip.leave();
        log::state("leaving");
        announce();
        hooks.leaving();
        leave_timer =
            loop.every(internal::leave_poll,
                       [this]
                       {
                           if (now() - leaving_since < internal::leave_grace ||
                               !hooks.idle())
                               return;
                           log::state("stopped");
                           loop.stop();
                       });
    }

    // HTTP.

    void http(http_request request, const std::shared_ptr<http_reply>& reply)
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
        hooks.http(std::move(request), reply);
    }

    std::string metrics_text()
    {
        const auto& counts = hub->counters();
        counters.set("peer_bytes_in", static_cast<double>(counts.bytes_in));
        counters.set("peer_bytes_out", static_cast<double>(counts.bytes_out));
        counters.set("peer_connections", static_cast<double>(hub->size()));
        counters.set("frames_refused", static_cast<double>(counts.refused));
        counters.set("gossip_bytes", static_cast<double>(gossip.bytes()));
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
            {"incarnation", started},
            {"leaving", leaving},
            {"designated", watch.designated()},
            {"revision", view.current().current_revision().value()},
            {"ready", view.has_configuration()},
            {"configuration", internal::json::parse(view.json_text())},
            {"members", internal::members_dump(members, now())},
            {"connections", hub->size()},
            {"traffic", internal::traffic_dump(hub->counters(), gossip.bytes(),
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
    std::string list_tag;
    std::uint64_t started;
    internal::configuration_restorer restorer;
    internal::configuration_watch watch;
    internal::heartbeat_gossip gossip;
    internal::crash_gossip crashes;
    std::uint64_t pull_asked{0};
    time_point pull_at{};
    bool leaving{false};
    time_point leaving_since{};
    timer list_timer;
    timer beat_timer;
    timer leave_timer;
};

node::node(std::unique_ptr<implementation> owned) : self(std::move(owned)) {}

node::~node() = default;

result<std::unique_ptr<node>> node::create(event_loop& loop,
                                           node_settings settings)
{
    auto made = std::make_unique<implementation>(loop, std::move(settings));
    auto opened = made->open();
    if (!opened)
        return failure(opened.error().kind, opened.error().message);
    return std::unique_ptr<node>(new node(std::move(made)));
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

void node::adopt(const configuration& next)
{
    self->offer(next);
}

std::uint64_t node::incarnation() const
{
    return self->started;
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
