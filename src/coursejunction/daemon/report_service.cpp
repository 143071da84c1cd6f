#include "coursejunction/daemon/report_service.hpp"

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>

#include "coursejunction/core/rendezvous.hpp"
#include "coursejunction/daemon/node.hpp"
#include "coursejunction/rollout/permit_table.hpp"

namespace coursejunction
{

namespace internal
{

constexpr milliseconds status_timeout{1000};
/*! @brief Report intervals to wait, after the designated halls have changed,
 * before permits are granted. */
constexpr int settling_intervals = 3;

bool is_closed(const message::report& report)
{
    return report.phase == "draining" || report.phase == "loading" ||
           report.phase == "checking";
}

} // namespace internal

struct report_service::implementation
{
    struct query
    {
        status_callback done;
        status_view view;
        std::map<instance_id, hall_id> pending;
        timer timeout;
    };

    implementation(node& owner, report_callback callback)
        : host(owner), on_report(std::move(callback)),
          permits(now(), settling_time())
    {
    }

    static time_point now() { return event_loop::now(); }

    milliseconds settling_time() const
    {
        return host.settings().report_interval * internal::settling_intervals;
    }

    // Subscriptions.

    /*! @brief Selects the sidecars to subscribe to: all of the designated
     * halls, then, up to `max_upstreams` in total, others ranked by rendezvous
     * hashing, those of the own hall first. */
    void update_subscriptions()
    {
        update_designated_halls();
        const auto previously_routed = routed;
        std::vector<instance_id> own_hall;
        std::vector<instance_id> other_halls;
        selected.clear();
        for (const auto& [id, member] : host.members().all())
        {
            if (member.kind != role::side)
                continue;
            if (designated_halls.contains(member.hall))
                selected.insert(id);
            (member.hall == host.settings().hall ? own_hall : other_halls)
                .push_back(id);
        }
        select_from(own_hall);
        select_from(other_halls);
        select_routed(own_hall);
        std::erase_if(subscribed,
                      [&](const auto& id)
                      {
                          return !selected.contains(id) ||
                                 previously_routed.contains(id) !=
                                     routed.contains(id);
                      });
        std::erase_if(reports, [&](const auto& report)
                      { return !selected.contains(report.first); });
        subscribe_missing();
    }

    void select_from(const std::vector<instance_id>& from)
    {
        const auto max_upstreams = host.settings().max_upstreams;
        if (selected.size() >= max_upstreams)
            return;
        for (auto& id : rendezvous_rank(host.settings().instance.value(), from,
                                        max_upstreams - selected.size()))
            selected.insert(std::move(id));
    }

    /*! @brief Selects the sidecars that requests may be routed to: those of the
     * own hall first. The selection is stable as long as they are listed. */
    void select_routed(const std::vector<instance_id>& own_hall)
    {
        const auto max_upstreams = host.settings().max_upstreams;
        const auto chosen = rendezvous_rank(host.settings().instance.value(),
                                            own_hall, max_upstreams);
        routed = {chosen.begin(), chosen.end()};
        for (const auto& id : selected)
        {
            if (routed.size() < max_upstreams)
                routed.insert(id);
        }
    }

    /*! @brief Determines the halls that this entry is designated for. After a
     * change it collects reports for the settling time before it grants
     * permits. */
    void update_designated_halls()
    {
        std::set<hall_id> all;
        for (const auto& [id, member] : host.members().all())
            all.insert(member.hall);
        std::set<hall_id> chosen;
        for (const auto& hall : all)
        {
            const auto entries = host.members().designated_entries(
                hall, designated_entries_per_hall, now());
            if (std::find(entries.begin(), entries.end(),
                          host.settings().instance) != entries.end())
                chosen.insert(hall);
        }
        if (chosen == designated_halls)
            return;
        designated_halls = std::move(chosen);
        permits.delay_grants_until(now() + settling_time());
        host.counters().set("designated_halls",
                            static_cast<double>(designated_halls.size()));
    }

    void subscribe_missing()
    {
        for (const auto& id : selected)
        {
            if (subscribed.contains(id) || !host.members().usable(id, now()))
                continue;
            message::subscribe request;
            request.routing = routed.contains(id);
            if (host.send(id, request))
                subscribed.insert(id);
        }
    }

    void peer_lost(const instance_id& peer)
    {
        subscribed.erase(peer);
        const auto found = reports.find(peer);
        if (found != reports.end())
        {
            found->second.phase = "unreachable";
            found->second.serving.clear();
            on_report(found->second);
        }
        for (auto& [number, query] : queries)
            query.pending.erase(peer);
        finish_queries();
    }

    void handle_report(const instance_id& from, message::report report)
    {
        if (report.instance != from.value())
            return;
        if (report.leaving)
            host.members().record_leaving(from);
        if (!report.deployment.empty())
            permits.update_replica(deployment_name(report.deployment), from,
                                   internal::is_closed(report),
                                   report.phase == "waiting", now());
        on_report(report);
        reports[from] = std::move(report);
    }

    /*! @brief Updates the last full report with the fields of a load report. */
    void handle_load_report(const instance_id& from,
                            const message::load_report& load)
    {
        const auto found = reports.find(from);
        if (found == reports.end())
            return;
        found->second.running = load.running;
        found->second.slots = load.slots;
        found->second.bytes_done = load.bytes_done;
        found->second.bytes_total = load.bytes_total;
        found->second.origin_bytes = load.origin_bytes;
        found->second.cross_hall_bytes = load.cross_hall_bytes;
        if (found->second.phase != "unreachable")
            on_report(found->second);
    }

    // Permits.

    void handle_permit_request(const instance_id& from,
                               const message::permit_request& request)
    {
        message::permit_reply reply;
        reply.deployment = request.deployment;
        reply.version = request.version;
        const deployment_name name(request.deployment);
        const auto* spec = host.view().current().find(name);
        reply.granted =
            spec != nullptr &&
            designated_halls.contains(hall_id(request.hall)) && !spec->paused &&
            spec->version.hex() == request.version &&
            permits.request(name, from, spec->max_closed_per_hall, now());
        host.counters().count("permits_total", 1,
                              {{"granted", reply.granted ? "yes" : "no"}});
        host.send(from, reply);
    }

    // Status.

    void query_status(status_callback done)
    {
        const auto number = ++last_query;
        auto& started = queries[number];
        started.done = std::move(done);
        std::set<hall_id> all;
        for (const auto& [id, member] : host.members().all())
            all.insert(member.hall);
        for (const auto& hall : all)
            query_hall(number, started, hall);
        merge(started, local_reports());
        started.timeout = host.loop().after(
            internal::status_timeout, [this, number] { finish_query(number); });
        finish_queries();
    }

    void query_hall(std::uint64_t number, query& started, const hall_id& hall)
    {
        if (designated_halls.contains(hall))
            return;
        const auto entries = host.members().designated_entries(
            hall, designated_entries_per_hall, now());
        bool sent = false;
        for (const auto& id : entries)
        {
            if (id == host.settings().instance)
                continue;
            message::status_query request;
            request.query = number;
            if (!host.send(id, request))
                continue;
            started.pending[id] = hall;
            sent = true;
        }
        if (!sent)
            started.view.silent_halls.push_back(hall);
    }

    std::vector<message::report> local_reports() const
    {
        std::vector<message::report> list;
        for (const auto& [id, report] : reports)
            list.push_back(report);
        return list;
    }

    static void merge(query& into, std::vector<message::report> list)
    {
        for (auto& report : list)
        {
            const instance_id id(report.instance);
            const auto found = into.view.replicas.find(id);
            if (found == into.view.replicas.end() ||
                found->second.phase == "unreachable")
                into.view.replicas[id] = std::move(report);
        }
    }

    void handle_status_query(const instance_id& from,
                             const message::status_query& query)
    {
        message::status_reply reply;
        reply.query = query.query;
        for (const auto& [id, report] : reports)
        {
            if (designated_halls.contains(hall_id(report.hall)))
            {
                reply.replicas.push_back(report);
                reply.replicas.back().cached_prefixes.clear();
            }
        }
        host.send(from, reply);
    }

    void handle_status_reply(const instance_id& from,
                             message::status_reply reply)
    {
        const auto found = queries.find(reply.query);
        if (found == queries.end())
            return;
        merge(found->second, std::move(reply.replicas));
        found->second.pending.erase(from);
        finish_queries();
    }

    void finish_queries()
    {
        std::vector<std::uint64_t> finished;
        for (const auto& [number, open] : queries)
        {
            if (open.pending.empty())
                finished.push_back(number);
        }
        for (const auto number : finished)
            finish_query(number);
    }

    void finish_query(std::uint64_t number)
    {
        const auto found = queries.find(number);
        if (found == queries.end())
            return;
        const auto done = std::move(found->second.done);
        auto view = std::move(found->second.view);
        for (const auto& [id, hall] : found->second.pending)
            view.silent_halls.push_back(hall);
        queries.erase(found);
        done(view);
    }

    node& host;
    report_callback on_report;
    permit_table permits;
    std::set<hall_id> designated_halls;
    std::set<instance_id> selected;
    std::set<instance_id> routed;
    std::set<instance_id> subscribed;
    std::map<instance_id, message::report> reports;
    std::map<std::uint64_t, query> queries;
    std::uint64_t last_query{0};
};

report_service::report_service(node& owner, report_callback on_report)
    : self(std::make_unique<implementation>(owner, std::move(on_report)))
{
}

report_service::~report_service() = default;

void report_service::update_subscriptions()
{
    self->update_subscriptions();
}

bool report_service::handle_frame(const instance_id& from, frame& received)
{
    switch (received.type)
    {
    case frame_type::report:
        if (auto content = decode<message::report>(received.head))
            self->handle_report(from, std::move(content.value()));
        return true;
    case frame_type::load_report:
        if (const auto content = decode<message::load_report>(received.head))
            self->handle_load_report(from, content.value());
        return true;
    case frame_type::permit_request:
        if (const auto content = decode<message::permit_request>(received.head))
            self->handle_permit_request(from, content.value());
        return true;
    case frame_type::status_query:
        if (const auto content = decode<message::status_query>(received.head))
            self->handle_status_query(from, content.value());
        return true;
    case frame_type::status_reply:
        if (auto content = decode<message::status_reply>(received.head))
            self->handle_status_reply(from, std::move(content.value()));
        return true;
    default:
        return false;
    }
}

void report_service::peer_lost(const instance_id& peer)
{
    self->peer_lost(peer);
}

void report_service::subscribe_missing()
{
    self->subscribe_missing();
}

void report_service::query_status(status_callback done)
{
    self->query_status(std::move(done));
}

std::size_t report_service::size() const
{
    return self->reports.size();
}

std::string report_service::dump() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [id, report] : self->reports)
        list.push_back({{"instance", id.value()},
                        {"phase", report.phase},
                        {"serving", report.serving},
                        {"running", report.running},
                        {"revision", report.revision}});
    nlohmann::json halls = nlohmann::json::array();
    for (const auto& hall : self->designated_halls)
        halls.push_back(hall.value());
    return nlohmann::json{{"designated_halls", std::move(halls)},
                          {"routed", self->routed.size()},
                          {"subscribed", self->subscribed.size()},
                          {"reports", std::move(list)}}
        .dump();
}

} // namespace coursejunction
