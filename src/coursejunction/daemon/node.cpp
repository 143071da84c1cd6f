#include "coursejunction/daemon/node.hpp"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <map>
#include <set>

#include <nlohmann/json.hpp>

#include "coursejunction/core/log.hpp"
#include "coursejunction/net/datagram_socket.hpp"

namespace coursejunction
{

namespace internal
{

using nlohmann::json;

constexpr std::chrono::milliseconds list_timeout{2000};
constexpr std::chrono::milliseconds leave_grace{3000};
constexpr std::chrono::milliseconds leave_poll{50};
constexpr std::chrono::milliseconds watch_wait{10'000};
constexpr std::chrono::milliseconds watch_retry{500};
constexpr std::chrono::milliseconds answer_gap{200};
constexpr std::chrono::milliseconds pull_patience{300};

std::uint64_t wall_milliseconds()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

std::string text_of(const json& from, const char* name)
{
    const auto found = from.find(name);
    if (found == from.end() || !found->is_string())
        return {};
    return found->get<std::string>();
}

std::optional<member> parse_member(const json& from)
{
    if (!from.is_object())
        return std::nullopt;
    member one;
    one.id = instance_id(text_of(from, "id"));
    one.hall = hall_id(text_of(from, "hall"));
    one.region = region_id(text_of(from, "region"));
    one.peer_address = text_of(from, "peer");
    one.http_address = text_of(from, "http");
    one.upstream_kind = text_of(from, "kind");
    one.leaving = text_of(from, "state") == "leaving";
    one.kind = text_of(from, "role") == "side" ? role::side : role::entry;
    if (from.contains("labels") && from["labels"].is_array())
    {
        for (const auto& label : from["labels"])
        {
            if (label.is_string())
                one.labels.push_back(label.get<std::string>());
        }
    }
    if (one.id.empty() || one.peer_address.empty())
        return std::nullopt;
    return one;
}

} // namespace internal

struct node::implementation
{
    struct dialled_link
    {
        connection_id id;
        std::string address;
    };

    implementation(event_loop& owner, node_settings set)
        : loop(owner), settings(std::move(set)), client(owner),
          key_values(client, settings.key_value_url,
                     settings.key_value_timeout),
          started(internal::wall_milliseconds())
    {
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
        auto made_socket = datagram_socket::create(
            loop, settings.address, hub->port(),
            [this](const std::string&, std::string_view bytes)
            { datagram(bytes); });
        if (!made_socket)
            return failure(made_socket.error().kind,
                           made_socket.error().message);
        gossip = std::move(made_socket.value());
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
            first_read();
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
        const auto list = internal::json::parse(end.body, nullptr, false);
        if (!list.is_array())
            return;
        const auto tag = end.headers.find("etag");
        list_tag = tag == end.headers.end() ? "" : tag->second;
        std::vector<member> found;
        for (const auto& one : list)
        {
            auto parsed = internal::parse_member(one);
            if (parsed)
                found.push_back(std::move(*parsed));
        }
        if (!members.assign(std::move(found)))
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
        const auto found = dialled.find(to);
        if (found != dialled.end())
            return found->second.id;
        const auto* listed_member = members.find(to);
        if (to == settings.instance)
            return {};
        if (listed_member == nullptr)
        {
            const auto known = accepted.find(to);
            return known == accepted.end() ? connection_id() : known->second;
        }
        const auto id = hub->open(listed_member->peer_address);
        dialled[to] = {id, listed_member->peer_address};
        by_connection[id] = to;
        return id;
    }

    void opened(connection_id id, const peer_identity& who)
    {
        const auto known = by_connection.find(id);
        if (known == by_connection.end())
        {
            by_connection[id] = who.instance;
            accepted[who.instance] = id;
            return;
        }
        if (known->second == who.instance)
            return members.answered(who.instance);
        // Another instance has taken over the address.
        const auto expected = known->second;
        drop(id);
        hub->close(id);
        members.failed(expected, now());
        hooks.peer_lost(expected);
    }

    void drop(connection_id id)
    {
        const auto known = by_connection.find(id);
        if (known == by_connection.end())
            return;
        const auto out = dialled.find(known->second);
        if (out != dialled.end() && out->second.id == id)
            dialled.erase(out);
        const auto in = accepted.find(known->second);
        if (in != accepted.end() && in->second == id)
            accepted.erase(in);
        by_connection.erase(known);
    }

    /*! @brief Leaves connections to addresses that are no longer listed. */
    void drop_moved()
    {
        std::vector<instance_id> moved;
        for (const auto& [instance, link] : dialled)
        {
            const auto* one = members.find(instance);
            if (one != nullptr && one->peer_address != link.address)
                moved.push_back(instance);
        }
        for (const auto& instance : moved)
        {
            const auto id = dialled.at(instance).id;
            drop(id);
            hub->close(id);
            hooks.peer_lost(instance);
        }
    }

    void closed(connection_id id)
    {
        const auto known = by_connection.find(id);
        if (known == by_connection.end())
            return;
        const auto instance = known->second;
        const auto out = dialled.find(instance);
        const bool was_dialled = out != dialled.end() && out->second.id == id;
        drop(id);
        if (was_dialled)
            members.failed(instance, now());
        hooks.peer_lost(instance);
    }

    void received(connection_id id, frame one)
    {
        const auto known = by_connection.find(id);
        if (known == by_connection.end())
            return;
        const auto from = known->second;
        switch (one.type)
        {
        case frame_type::configuration_pull:
            return pulled(from, one);
        case frame_type::configuration_snapshot:
            return snapshot(one);
        default:
            return hooks.received(from, std::move(one));
        }
    }

    // Configuration.

    void first_read()
    {
        key_values.read(configuration_key,
                        [this](result<stored_value> got)
                        {
                            if (got)
                                offer_stored(got.value());
                            else if (!view.ready())
                                retry_timer =
                                    loop.after(internal::watch_retry,
                                               [this] { first_read(); });
                        });
    }

    void offer_stored(const stored_value& stored)
    {
        auto parsed = stored.index == 0 ? result<configuration>(configuration())
                                        : configuration::parse(stored.text);
        if (!parsed)
        {
            log::warning("configuration_unreadable",
                         {{"reason", parsed.error().message}});
            return;
        }
        offer(std::move(parsed.value()));
    }

    void offer(configuration next)
    {
        const bool was_ready = view.ready();
        const bool newer = view.offer(std::move(next));
        if (newer)
        {
            counters.set("configuration_revision",
                         static_cast<double>(view.current().number().value()));
            log::state("configuration_in_force",
                       {{"revision",
                         std::to_string(view.current().number().value())}});
            announce();
        }
        if (newer || !was_ready)
            hooks.configuration_changed();
    }

    void watch_if_designated()
    {
        if (settings.kind != role::entry)
            return;
        const auto chosen = members.designated_entries(
            settings.hall, designated_per_hall, now());
        designated = std::find(chosen.begin(), chosen.end(),
                               settings.instance) != chosen.end();
        if (designated && !watching)
            watch();
    }

    void watch()
    {
        watching = designated;
        if (!designated)
            return;
        key_values.watch(configuration_key, watch_index, internal::watch_wait,
                         [this](result<stored_value> got)
                         {
                             counters.count("key_value_watches_total");
                             if (!got)
                             {
                                 retry_watch = loop.after(internal::watch_retry,
                                                          [this] { watch(); });
                                 return;
                             }
                             watch_index = got.value().index;
                             offer_stored(got.value());
                             watch();
                         });
    }

    void pulled(const instance_id& from, const frame& one)
    {
        const auto pull = decode<message::configuration_pull>(one.head);
        const auto number = view.current().number().value();
        if (!pull || !view.ready() || pull.value().known >= number)
            return;
        message::configuration_snapshot reply;
        reply.number = number;
        const auto connection = connection_to(from);
        if (!connection.empty())
            hub->send(connection, reply, view.text());
    }

    void snapshot(const frame& one)
    {
        auto parsed = configuration::parse(one.payload);
        if (parsed)
            offer(std::move(parsed.value()));
    }

    // Gossip.

    void announce()
    {
        for (const auto& id : members.neighbours(
                 settings.instance, settings.gossip_neighbours, now()))
            beat_to(id);
        watch_if_designated();
    }

    void beat_to(const instance_id& to)
    {
        const auto* listed_member = members.find(to);
        if (listed_member == nullptr)
            return;
        message::heartbeat beat;
        beat.instance = settings.instance.value();
        beat.incarnation = started;
        beat.sequence = ++beats;
        beat.revision = view.ready() ? view.current().number().value() : 0;
        beat.leaving = leaving;
        gossip->send(listed_member->peer_address,
                     seal_datagram(ring, frame_type::heartbeat, encode(beat)));
    }

    void datagram(std::string_view bytes)
    {
        const auto opened_frame = open_datagram(ring, bytes);
        if (!opened_frame || opened_frame.value().type != frame_type::heartbeat)
        {
            counters.count("datagrams_refused_total");
            return;
        }
        const auto beat = decode<message::heartbeat>(opened_frame.value().head);
        if (!beat)
            return;
        heard(beat.value());
    }

    void heard(const message::heartbeat& beat)
    {
        const instance_id from(beat.instance);
        if (!members.heard(
                {from, beat.incarnation, beat.sequence, beat.leaving}, now()))
        {
            counters.count("heartbeats_replayed_total");
            return;
        }
        const auto own = view.current().number().value();
        if (beat.revision > own || !view.ready())
            pull(from, own, beat.revision);
        else if (beat.revision < own &&
                 now() - answered[from] > internal::answer_gap)
        {
            answered[from] = now();
            beat_to(from);
        }
    }

    /*! @brief Asks a neighbour for a newer configuration, unless one at least
     * as new has just been asked for. */
    void pull(const instance_id& from, std::uint64_t own, std::uint64_t newest)
    {
        if (newest <= pull_asked && now() - pull_at < internal::pull_patience)
            return;
        const auto connection = connection_to(from);
        if (connection.empty())
            return;
        pull_asked = newest;
        pull_at = now();
        message::configuration_pull ask;
        ask.known = own;
        hub->send(connection, ask);
    }

    // Stopping.

    void leave()
    {
        if (leaving)
            return;
        leaving = true;
        leaving_since = now();
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
            return reply->send(leaving || !view.ready() ? 503 : 200,
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
        counters.set("gossip_bytes", static_cast<double>(gossip->bytes()));
        counters.set("key_value_calls",
                     static_cast<double>(key_values.calls()));
        counters.set("configuration_older_refused",
                     static_cast<double>(view.refused()));
        return counters.text();
    }

    std::string dump()
    {
        internal::json listed_members = internal::json::array();
        for (const auto& [id, one] : members.all())
            listed_members.push_back(
                {{"id", id.value()},
                 {"hall", one.hall.value()},
                 {"role", one.kind == role::entry ? "entry" : "side"},
                 {"peer", one.peer_address},
                 {"usable", members.usable(id, now())}});
        const auto& counts = hub->counters();
        return internal::json{
            {"instance", settings.instance.value()},
            {"role", settings.kind == role::entry ? "entry" : "side"},
            {"hall", settings.hall.value()},
            {"region", settings.region.value()},
            {"incarnation", started},
            {"leaving", leaving},
            {"designated", designated},
            {"revision", view.current().number().value()},
            {"ready", view.ready()},
            {"configuration", internal::json::parse(view.text())},
            {"members", std::move(listed_members)},
            {"connections", hub->size()},
            {"traffic",
             {{"bytes_in", counts.bytes_in},
              {"bytes_out", counts.bytes_out},
              {"frames_in", counts.frames_in},
              {"frames_out", counts.frames_out},
              {"frames_refused", counts.refused},
              {"gossip_bytes", gossip->bytes()},
              {"key_value_calls", key_values.calls()}}},
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
    std::unique_ptr<datagram_socket> gossip;
    std::unique_ptr<http_server> server;
    std::map<instance_id, dialled_link> dialled;
    std::map<instance_id, connection_id> accepted;
    std::map<connection_id, instance_id> by_connection;
    std::map<instance_id, time_point> answered;
    http_client::call_id list_call{0};
    std::string list_tag;
    std::uint64_t started;
    std::uint64_t beats{0};
    std::uint64_t pull_asked{0};
    time_point pull_at{};
    std::uint64_t watch_index{0};
    bool designated{false};
    bool watching{false};
    bool leaving{false};
    time_point leaving_since{};
    timer list_timer;
    timer beat_timer;
    timer retry_timer;
    timer retry_watch;
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
