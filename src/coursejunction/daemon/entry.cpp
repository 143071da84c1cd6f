#include "coursejunction/daemon/entry.hpp"

#include <nlohmann/json.hpp>

#include "coursejunction/daemon/node.hpp"
#include "coursejunction/daemon/report_service.hpp"
#include "coursejunction/daemon/request_service.hpp"
#include "coursejunction/daemon/resource_api.hpp"

namespace coursejunction
{

namespace internal
{

constexpr milliseconds entry_tick{20};
constexpr milliseconds subscribe_interval{500};
constexpr milliseconds choose_interval{2000};

bool is_caller_path(const http_request& request)
{
    return request.path == "/v1/completions" ||
           request.path.rfind("/services/", 0) == 0;
}

} // namespace internal

struct entry::implementation
{
    explicit implementation(node& owner)
        : host(owner), requests(owner),
          reports(owner, [this](const message::report& one)
                  { requests.reported(one); }),
          resources(owner, reports)
    {
    }

    void start()
    {
        node_hooks hooks;
        hooks.received = [this](const instance_id& from, frame one)
        {
            if (!requests.received(from, one))
                reports.received(from, one);
        };
        hooks.peer_lost = [this](const instance_id& peer)
        {
            requests.peer_lost(peer);
            reports.peer_lost(peer);
        };
        hooks.configuration_changed = [this]
        { resources.configuration_changed(); };
        hooks.members_changed = [this] { reports.members_changed(); };
        hooks.http = [this](http_request request,
                            const std::shared_ptr<http_reply>& reply)
        { http(std::move(request), reply); };
        hooks.dump = [this] { return dump(); };
        hooks.leaving = [] {};
        hooks.idle = [this] { return requests.size() == 0; };
        host.start(std::move(hooks));
        tick_timer = host.loop().every(internal::entry_tick,
                                       [this] { requests.tick(); });
        subscribe_timer = host.loop().every(internal::subscribe_interval,
                                            [this] { reports.tick(); });
        // Entries come and go between two changes of the list as well.
        choose_timer = host.loop().every(internal::choose_interval,
                                         [this] { reports.members_changed(); });
    }

    void http(http_request request, const std::shared_ptr<http_reply>& reply)
    {
        if (!internal::is_caller_path(request))
            return resources.request(request, reply);
        if (request.method != "POST")
            return reply->send(405, "text/plain", {}, "only POST\n");
        requests.request(std::move(request), reply);
    }

    std::string dump() const
    {
        using nlohmann::json;
        return json{{"reports", json::parse(reports.dump())},
                    {"requests", json::parse(requests.dump())}}
            .dump();
    }

    node& host;
    request_service requests;
    report_service reports;
    resource_api resources;
    timer tick_timer;
    timer subscribe_timer;
    timer choose_timer;
};

entry::entry(node& owner) : self(std::make_unique<implementation>(owner))
{
    self->start();
}

entry::~entry() = default;

} // namespace coursejunction
