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

constexpr milliseconds status_limit{1000};
constexpr int settling_reports = 3;

bool is_closed(const message::report& one)
{
    return one.phase == "draining" || one.phase == "loading" ||
           one.phase == "checking";
}

} // namespace internal

struct report_service::implementation
{
    struct query
    {
        status_callback done;
        status_view view;
        std::map<instance_id, hall_id> asked;
        timer limit;
    };

    implementation(node& owner, report_callback call)
        : host(owner), heard(std::move(call)), permits(now(), settling())
    {
    }

    static time_point now() { return event_loop::now(); }

    milliseconds settling() const
    {
        return host.settings().report_interval * internal::settling_reports;
    }

    // Subscriptions.

    /*! @brief Picks the sides to hear: all of the halls that this entry is
     * designated for, and a fixed random part of the others, the own hall's
     * first. */
    void members_changed()
    {
        choose_halls();
        const auto before = routed;
        std::vector<instance_id> near;
        std::vector<instance_id> far;
        wanted.clear();
        for (const auto& [id, one] : host.members().all())
        {
            if (one.kind != role::side)
                continue;
            if (halls.contains(one.hall))
                wanted.insert(id);
            (one.hall == host.settings().hall ? near : far).push_back(id);
        }
        fill(near);
        fill(far);
        choose_routed(near);
        std::erase_if(subscribed,
                      [&](const auto& id) {
                          return !wanted.contains(id) ||
                                 before.contains(id) != routed.contains(id);
                      });
        std::erase_if(reports, [&](const auto& one)
                      { return !wanted.contains(one.first); });
        tick();
    }

    void fill(const std::vector<instance_id>& from)
    {
        const auto most = host.settings().max_upstreams;
        if (wanted.size() >= most)
            return;
        for (auto& id : rendezvous_rank(host.settings().instance.value(), from,
                                        most - wanted.size()))
            wanted.insert(std::move(id));
    }

    /*! @brief Chooses the part that this entry sends requests to: its own
     * hall's sides first, the same ones as long as they are listed. */
    void choose_routed(const std::vector<instance_id>& near)
    {
        const auto most = host.settings().max_upstreams;
        const auto chosen =
            rendezvous_rank(host.settings().instance.value(), near, most);
        routed = {chosen.begin(), chosen.end()};
        for (const auto& id : wanted)
        {
            if (routed.size() < most)
                routed.insert(id);
        }
    }

    /*! @brief Finds the halls that this entry is designated for. When they
     * change, it listens for a while before it grants permits. */
    void choose_halls()
    {
        std::set<hall_id> all;
        for (const auto& [id, one] : host.members().all())
            all.insert(one.hall);
        std::set<hall_id> chosen;
        for (const auto& hall : all)
        {
            const auto entries = host.members().designated_entries(
                hall, designated_per_hall, now());
            if (std::find(entries.begin(), entries.end(),
                          host.settings().instance) != entries.end())
                chosen.insert(hall);
        }
        if (chosen == halls)
            return;
        halls = std::move(chosen);
        permits.delay_grants_until(now() + settling());
        host.counters().set("designated_halls",
                            static_cast<double>(halls.size()));
    }

    void tick()
    {
        for (const auto& id : wanted)
        {
            if (subscribed.contains(id) || !host.members().usable(id, now()))
                continue;
            message::subscribe ask;
            ask.routing = routed.contains(id);
            if (host.send(id, ask))
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
            heard(found->second);
        }
        for (auto& [number, one] : queries)
            one.asked.erase(peer);
        end_queries();
    }

    void reported(const instance_id& from, message::report one)
    {
        if (one.instance != from.value())
            return;
        if (one.leaving)
            host.members().record_leaving(from);
        if (!one.deployment.empty())
            permits.update_replica(deployment_name(one.deployment), from,
                                   internal::is_closed(one),
                                   one.phase == "waiting", now());
        heard(one);
        reports[from] = std::move(one);
    }

    /*! @brief Takes what has changed since the last whole report. */
    void load_reported(const instance_id& from, const message::load_report& one)
    {
        const auto found = reports.find(from);
        if (found == reports.end())
            return;
        found->second.running = one.running;
        found->second.slots = one.slots;
        found->second.bytes_done = one.bytes_done;
        found->second.bytes_total = one.bytes_total;
        found->second.origin_bytes = one.origin_bytes;
        found->second.cross_hall_bytes = one.cross_hall_bytes;
        if (found->second.phase != "unreachable")
            heard(found->second);
    }

    // Permits.

    void asked_permit(const instance_id& from,
                      const message::permit_request& ask)
    {
        message::permit_reply reply;
        reply.deployment = ask.deployment;
        reply.version = ask.version;
        const deployment_name name(ask.deployment);
        const auto* spec = host.view().current().find(name);
        reply.granted =
            spec != nullptr && halls.contains(hall_id(ask.hall)) &&
            !spec->paused && spec->version.hex() == ask.version &&
            permits.request(name, from, spec->max_closed_per_hall, now());
        host.counters().count("permits_total", 1,
                              {{"granted", reply.granted ? "yes" : "no"}});
        host.send(from, reply);
    }

    // Status.

    void status(status_callback done)
    {
        const auto number = ++last_query;
        auto& one = queries[number];
        one.done = std::move(done);
        std::set<hall_id> halls;
        for (const auto& [id, listed] : host.members().all())
            halls.insert(listed.hall);
        for (const auto& hall : halls)
            ask_hall(number, one, hall);
        merge(one, own_reports());
        one.limit = host.loop().after(internal::status_limit,
                                      [this, number] { give(number); });
        end_queries();
    }

    void ask_hall(std::uint64_t number, query& one, const hall_id& hall)
    {
        if (halls.contains(hall))
            return;
        const auto entries =
            host.members().designated_entries(hall, designated_per_hall, now());
        bool sent = false;
        for (const auto& id : entries)
        {
            if (id == host.settings().instance)
                continue;
            message::status_query ask;
            ask.query = number;
            if (!host.send(id, ask))
                continue;
            one.asked[id] = hall;
            sent = true;
        }
        if (!sent)
            one.view.silent_halls.push_back(hall);
    }

    std::vector<message::report> own_reports() const
    {
        std::vector<message::report> list;
        for (const auto& [id, one] : reports)
            list.push_back(one);
        return list;
    }

    static void merge(query& into, std::vector<message::report> list)
    {
        for (auto& one : list)
        {
            const instance_id id(one.instance);
            const auto found = into.view.replicas.find(id);
            if (found == into.view.replicas.end() ||
                found->second.phase == "unreachable")
                into.view.replicas[id] = std::move(one);
        }
    }

    void asked_status(const instance_id& from, const message::status_query& ask)
    {
        message::status_reply reply;
        reply.query = ask.query;
        for (const auto& [id, one] : reports)
        {
            if (halls.contains(hall_id(one.hall)))
            {
                reply.replicas.push_back(one);
                reply.replicas.back().cached_prefixes.clear();
            }
        }
        host.send(from, reply);
    }

    void answered_status(const instance_id& from, message::status_reply reply)
    {
        const auto found = queries.find(reply.query);
        if (found == queries.end())
            return;
        merge(found->second, std::move(reply.replicas));
        found->second.asked.erase(from);
        end_queries();
    }

    void end_queries()
    {
        std::vector<std::uint64_t> whole;
        for (const auto& [number, one] : queries)
        {
            if (one.asked.empty())
                whole.push_back(number);
        }
        for (const auto number : whole)
            give(number);
    }

    void give(std::uint64_t number)
    {
        const auto found = queries.find(number);
        if (found == queries.end())
            return;
        const auto done = std::move(found->second.done);
        auto view = std::move(found->second.view);
        for (const auto& [id, hall] : found->second.asked)
            view.silent_halls.push_back(hall);
        queries.erase(found);
        done(view);
    }

    node& host;
    report_callback heard;
    permit_table permits;
    std::set<hall_id> halls;
    std::set<instance_id> wanted;
    std::set<instance_id> routed;
    std::set<instance_id> subscribed;
    std::map<instance_id, message::report> reports;
    std::map<std::uint64_t, query> queries;
    std::uint64_t last_query{0};
};

report_service::report_service(node& owner, report_callback heard)
    : self(std::make_unique<implementation>(owner, std::move(heard)))
{
}

report_service::~report_service() = default;

void report_service::members_changed()
{
    self->members_changed();
}

bool report_service::received(const instance_id& from, frame& one)
{
    switch (one.type)
    {
    case frame_type::report:
        if (auto got = decode<message::report>(one.head))
            self->reported(from, std::move(got.value()));
        return true;
    case frame_type::load_report:
        if (const auto got = decode<message::load_report>(one.head))
            self->load_reported(from, got.value());
        return true;
    case frame_type::permit_request:
        if (const auto got = decode<message::permit_request>(one.head))
            self->asked_permit(from, got.value());
        return true;
    case frame_type::status_query:
        if (const auto got = decode<message::status_query>(one.head))
            self->asked_status(from, got.value());
        return true;
    case frame_type::status_reply:
        if (auto got = decode<message::status_reply>(one.head))
            self->answered_status(from, std::move(got.value()));
        return true;
    default:
        return false;
    }
}

void report_service::peer_lost(const instance_id& peer)
{
    self->peer_lost(peer);
}

void report_service::tick()
{
    self->tick();
}

void report_service::status(status_callback done)
{
    self->status(std::move(done));
}

std::size_t report_service::size() const
{
    return self->reports.size();
}

std::string report_service::dump() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [id, one] : self->reports)
        list.push_back({{"instance", id.value()},
                        {"phase", one.phase},
                        {"serving", one.serving},
                        {"running", one.running},
                        {"revision", one.revision}});
    nlohmann::json halls = nlohmann::json::array();
    for (const auto& hall : self->halls)
        halls.push_back(hall.value());
    return nlohmann::json{{"designated_halls", std::move(halls)},
                          {"routed", self->routed.size()},
                          {"subscribed", self->subscribed.size()},
                          {"reports", std::move(list)}}
        .dump();
}

} // namespace coursejunction
