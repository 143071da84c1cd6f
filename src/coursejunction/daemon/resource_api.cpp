#include "coursejunction/daemon/resource_api.hpp"

#include <algorithm>
#include <list>
#include <map>
#include <optional>

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/daemon/node.hpp"
#include "coursejunction/daemon/quarantine_api.hpp"
#include "coursejunction/daemon/report_service.hpp"

namespace coursejunction
{

namespace internal
{

using nlohmann::json;
using reply_pointer = std::shared_ptr<http_reply>;

constexpr std::string_view api_root = "/v1/";
constexpr std::chrono::seconds write_timeout{5};
/*! @brief Time after which a watch is answered with the unchanged list. */
constexpr std::chrono::seconds watch_timeout{30};
constexpr std::size_t max_watches = 256;

int http_status_of(error_kind kind)
{
    switch (kind)
    {
    case error_kind::invalid:
        return 400;
    case error_kind::not_found:
        return 404;
    case error_kind::conflict:
        return 409;
    case error_kind::refused:
        return 500;
    case error_kind::unavailable:
    case error_kind::unknown:
        return 503;
    }
    return 500;
}

std::string_view error_name(error_kind kind)
{
    switch (kind)
    {
    case error_kind::invalid:
        return "invalid";
    case error_kind::not_found:
        return "not_found";
    case error_kind::conflict:
        return "conflict";
    case error_kind::refused:
        return "refused";
    case error_kind::unavailable:
        return "unavailable";
    case error_kind::unknown:
        return "unknown";
    }
    return "unknown";
}

void send_json(const reply_pointer& to, int status, const json& body)
{
    to->send(status, "application/json", {}, body.dump());
}

void send_error(const reply_pointer& to, const error& failed)
{
    send_json(
        to, http_status_of(failed.kind),
        {{"error", error_name(failed.kind)}, {"message", failed.message}});
}

void send_error(const reply_pointer& to, error_kind kind,
                const std::string& message)
{
    send_error(to, error{kind, message});
}

std::vector<std::string> path_parts(const std::string& path)
{
    std::vector<std::string> parts;
    std::size_t at = api_root.size();
    while (at <= path.size())
    {
        const auto slash = std::min(path.find('/', at), path.size());
        if (slash > at)
            parts.push_back(path.substr(at, slash - at));
        at = slash + 1;
    }
    return parts;
}

/*! @brief Returns the replicas of a deployment by hall and phase. */
json halls_json(const deployment& spec,
                const std::vector<const message::report*>& replicas)
{
    json halls = json::array();
    for (const auto& placement : spec.placements)
    {
        std::map<std::string, int> phases;
        json troubled = json::array();
        int serving = 0;
        for (const auto* replica : replicas)
        {
            if (replica->hall != placement.hall.value())
                continue;
            ++phases[replica->phase];
            serving += replica->serving == spec.version.hex() ? 1 : 0;
            if (!replica->reason.empty())
                troubled.push_back({{"instance", replica->instance},
                                    {"phase", replica->phase},
                                    {"reason", replica->reason}});
        }
        halls.push_back({{"hall", placement.hall.value()},
                         {"wanted", placement.count},
                         {"serving", serving},
                         {"phases", phases},
                         {"troubled", std::move(troubled)}});
    }
    return halls;
}

json status_json(const deployment& spec, const status_view& view)
{
    std::vector<const message::report*> replicas;
    for (const auto& [id, replica] : view.replicas)
    {
        if (replica.deployment == spec.name.value())
            replicas.push_back(&replica);
    }
    std::size_t wanted = 0;
    for (const auto& placement : spec.placements)
        wanted += placement.count;
    std::uint64_t done = 0;
    std::uint64_t total = 0;
    std::uint64_t origin = 0;
    std::uint64_t cross = 0;
    std::size_t serving = 0;
    std::uint64_t oldest = UINT64_MAX;
    for (const auto* replica : replicas)
    {
        done += replica->bytes_done;
        total += replica->bytes_total;
        origin += replica->origin_bytes;
        cross += replica->cross_hall_bytes;
        serving += replica->serving == spec.version.hex() ? 1 : 0;
        oldest = std::min(oldest, replica->revision);
    }
    json silent = json::array();
    for (const auto& hall : view.silent_halls)
        silent.push_back(hall.value());
    return {{"name", spec.name.value()},
            {"version", spec.version.hex()},
            {"revision", spec.changed_revision.value()},
            {"paused", spec.paused},
            {"wanted", wanted},
            {"replicas", replicas.size()},
            {"serving", serving},
            {"converged", serving >= wanted},
            {"oldest_revision", replicas.empty() ? 0 : oldest},
            {"bytes_done", done},
            {"bytes_total", total},
            {"origin_bytes", origin},
            {"cross_hall_bytes", cross},
            {"silent_halls", std::move(silent)},
            {"halls", halls_json(spec, replicas)}};
}

} // namespace internal

struct resource_api::implementation
{
    using reply_pointer = internal::reply_pointer;
    using json = internal::json;
    using action = configuration_change::action;

    struct watch
    {
        std::uint64_t after_revision{0};
        reply_pointer reply;
        timer timeout;
    };

    implementation(node& owner, report_service& source)
        : host(owner), reports(source)
    {
    }

    void handle_request(const http_request& from, const reply_pointer& reply)
    {
        if (!is_authorised(from))
            return internal::send_json(
                reply, 401,
                {{"error", "unauthorised"},
                 {"message",
                  "Authorization: the operators' bearer token is required"}});
        const auto parts = internal::path_parts(from.path);
        if (parts.empty())
            return send_not_found(reply);
        if (parts[0] == "deployments" && parts.size() <= 2)
            return handle_deployments(parts, from, reply);
        if (parts[0] == "status" && parts.size() <= 2)
            return send_status(parts, reply);
        if (parts[0] == "writes" && parts.size() == 2)
            return send_write_result(write_id(parts[1]), reply);
        if (parts[0] == "quarantine")
            return handle_quarantine_request(
                from, *reply, {host.crashes().records()},
                [this](const request_content& content) {
                    return host.crashes().lift_quarantine(content, node::now());
                },
                node::now());
        if (parts[0] == "leave" && from.method == "POST")
        {
            host.leave();
            return internal::send_json(reply, 202, {{"leaving", true}});
        }
        send_not_found(reply);
    }

    static void send_not_found(const reply_pointer& reply)
    {
        internal::send_error(reply, error_kind::not_found, "no such path");
    }

    bool is_authorised(const http_request& from) const
    {
        const auto given = from.header("authorization");
        const auto wanted = "Bearer " + host.settings().operator_token;
        return given.size() == wanted.size() &&
               CRYPTO_memcmp(given.data(), wanted.data(), wanted.size()) == 0;
    }

    void handle_deployments(const std::vector<std::string>& parts,
                            const http_request& from,
                            const reply_pointer& reply)
    {
        if (!host.view().has_configuration() && from.method == "GET")
            return internal::send_error(
                reply, error_kind::unavailable,
                "no configuration has been received yet");
        const auto name = parts.size() == 2 ? parts[1] : std::string{};
        if (from.method == "GET" && name.empty())
            return handle_list(from, reply);
        if (from.method == "GET")
            return send_deployment(deployment_name(name), reply);
        if (from.method == "POST" && name.empty())
            return handle_write(action::create, name, from, reply);
        if (from.method == "PUT" && !name.empty())
            return handle_write(action::replace, name, from, reply);
        if (from.method == "DELETE" && !name.empty())
            return handle_delete(deployment_name(name), from, reply);
        internal::send_json(reply, 405, {{"error", "method_not_allowed"}});
    }

    // Reading.

    void send_deployment(const deployment_name& name,
                         const reply_pointer& reply)
    {
        const auto* spec = host.view().current().find(name);
        if (spec == nullptr)
            return internal::send_error(reply, error_kind::not_found,
                                        "no deployment named " + name.value());
        internal::send_json(reply, 200, json::parse(spec->to_json()));
    }

    void handle_list(const http_request& from, const reply_pointer& reply)
    {
        if (!from.parameter("watch"))
            return send_list(reply);
        const auto after = std::strtoull(
            from.parameter("revision").value_or("0").c_str(), nullptr, 10);
        if (host.view().current().current_revision().value() > after)
            return send_list(reply);
        if (watches.size() >= internal::max_watches)
            return internal::send_error(reply, error_kind::unavailable,
                                        "too many open watches");
        auto& watching = watches.emplace_back();
        const auto at = std::prev(watches.end());
        watching.after_revision = after;
        watching.reply = reply;
        watching.timeout = host.loop().after(internal::watch_timeout,
                                             [this, at]
                                             {
                                                 const auto open = at->reply;
                                                 watches.erase(at);
                                                 send_list(open);
                                             });
    }

    void send_list(const reply_pointer& reply)
    {
        const auto& now = host.view().current();
        json items = json::array();
        for (const auto& [name, spec] : now.deployments())
            items.push_back(json::parse(spec.to_json()));
        internal::send_json(reply, 200,
                            {{"revision", now.current_revision().value()},
                             {"items", std::move(items)}});
    }

    void configuration_changed()
    {
        const auto number = host.view().current().current_revision().value();
        for (auto it = watches.begin(); it != watches.end();)
        {
            if (it->after_revision >= number)
            {
                ++it;
                continue;
            }
            send_list(it->reply);
            it = watches.erase(it);
        }
    }

    // Writing.

    void handle_write(action kind, const std::string& name,
                      const http_request& from, const reply_pointer& reply)
    {
        auto spec = deployment::parse(from.body);
        if (!spec)
            return internal::send_error(reply, spec.error());
        if (kind == action::replace && spec.value().name.value() != name)
            return internal::send_error(reply, error_kind::invalid,
                                        "name: differs from the path");
        configuration_change change;
        change.kind = kind;
        change.name = spec.value().name;
        change.base_revision = spec.value().changed_revision;
        change.spec = std::move(spec.value());
        start_write(std::move(change), reply);
    }

    void handle_delete(const deployment_name& name, const http_request& from,
                       const reply_pointer& reply)
    {
        const auto number = from.parameter("revision");
        if (!number)
            return internal::send_error(reply, error_kind::invalid,
                                        "revision: is missing");
        configuration_change change;
        change.kind = action::remove;
        change.name = name;
        change.base_revision =
            revision(std::strtoull(number->c_str(), nullptr, 10));
        start_write(std::move(change), reply);
    }

    void start_write(configuration_change change, const reply_pointer& reply)
    {
        auto store = std::make_shared<configuration_store>(
            host.loop(), host.key_values(),
            event_loop::now() + internal::write_timeout);
        const auto name = change.name;
        configuration_writer<configuration_store>::start(
            *store, std::move(change), write_id(random_id()),
            host.view().current(),
            [this, store, name, reply](const write_result& written)
            { write_finished(name, written, reply); });
    }

    void write_finished(const deployment_name& name,
                        const write_result& written, const reply_pointer& reply)
    {
        if (!written.outcome)
        {
            host.counters().count(
                "configuration_writes_total", 1,
                {{"result", std::string(internal::error_name(
                                written.outcome.error().kind))}});
            json body{
                {"error", internal::error_name(written.outcome.error().kind)},
                {"message", written.outcome.error().message}};
            if (written.outcome.error().kind == error_kind::unknown)
                body["write"] = written.id.value();
            return internal::send_json(
                reply, internal::http_status_of(written.outcome.error().kind),
                body);
        }
        host.counters().count("configuration_writes_total", 1,
                              {{"result", "accepted"}});
        host.offer_configuration(written.outcome.value());
        const auto* spec = written.outcome.value().find(name);
        internal::send_json(
            reply, 200,
            {{"write", written.id.value()},
             {"revision", written.outcome.value().current_revision().value()},
             {"deployment",
              spec == nullptr ? json() : json::parse(spec->to_json())}});
    }

    /*! @brief Sends the result of a write. A write that is part of the
     * configuration in force was accepted, even if the key-value service has
     * lost it since. */
    void send_write_result(const write_id& id, const reply_pointer& reply)
    {
        const auto known = host.view().current().revision_of_write(id);
        if (known)
            return send_accepted(id, *known, reply);
        host.key_values().read(
            configuration_key,
            [this, id, reply](const result<stored_value>& read)
            {
                if (!read)
                    return internal::send_error(reply, read.error());
                const auto stored = configuration::parse(read.value().text);
                const auto accepted = stored
                                          ? stored.value().revision_of_write(id)
                                          : std::nullopt;
                if (!accepted)
                    return internal::send_json(
                        reply, 404,
                        {{"write", id.value()}, {"accepted", false}});
                host.offer_configuration(stored.value());
                send_accepted(id, *accepted, reply);
            });
    }

    static void send_accepted(const write_id& id, revision accepted,
                              const reply_pointer& reply)
    {
        internal::send_json(reply, 200,
                            {{"write", id.value()},
                             {"accepted", true},
                             {"revision", accepted.value()}});
    }

    // Status.

    void send_status(const std::vector<std::string>& parts,
                     const reply_pointer& reply)
    {
        const auto name = parts.size() == 2 ? parts[1] : std::string{};
        if (!name.empty() &&
            host.view().current().find(deployment_name(name)) == nullptr)
            return internal::send_error(reply, error_kind::not_found,
                                        "no deployment named " + name);
        reports.query_status(
            [this, name, reply](const status_view& view)
            {
                json items = json::array();
                for (const auto& [key, spec] :
                     host.view().current().deployments())
                {
                    if (name.empty() || key.value() == name)
                        items.push_back(internal::status_json(spec, view));
                }
                internal::send_json(
                    reply, 200,
                    {{"revision",
                      host.view().current().current_revision().value()},
                     {"items", std::move(items)}});
            });
    }

    node& host;
    report_service& reports;
    std::list<watch> watches;
};

resource_api::resource_api(node& owner, report_service& reports)
    : self(std::make_unique<implementation>(owner, reports))
{
}

resource_api::~resource_api() = default;

void resource_api::handle_request(const http_request& from,
                                  const std::shared_ptr<http_reply>& reply)
{
    self->handle_request(from, reply);
}

void resource_api::configuration_changed()
{
    self->configuration_changed();
}

} // namespace coursejunction
