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

constexpr milliseconds entry_tick_interval{20};
constexpr milliseconds subscribe_interval{500};
constexpr milliseconds selection_interval{2000};

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
          reports(owner, [this](const message::report& report)
                  { requests.handle_report(report); }),
          resources(owner, reports)
    {
    }

    void start()
    {
        node_hooks hooks;
        hooks.frame_received = [this](const instance_id& from, frame received)
        {
            if (!requests.handle_frame(from, received))
                reports.handle_frame(from, received);
        };
        hooks.peer_lost = [this](const instance_id& peer)
        {
            requests.peer_lost(peer);
            reports.peer_lost(peer);
        };
        hooks.configuration_changed = [this]
        { resources.configuration_changed(); };
        hooks.members_changed = [this] { reports.update_subscriptions(); };
        hooks.handle_http = [this](http_request request,
                                   const std::shared_ptr<http_reply>& reply)
        { handle_http(std::move(request), reply); };
        hooks.dump = [this] { return dump(); };
        hooks.leave_started = [] {};
        hooks.is_idle = [this] { return requests.size() == 0; };
        host.start(std::move(hooks));
        tick_timer = host.loop().every(internal::entry_tick_interval,
                                       [this] { requests.tick(); });
        subscribe_timer = host.loop().every(internal::subscribe_interval, [this]
                                            { reports.subscribe_missing(); });
        // Which entries are live, and so designated, also changes without a
        // change of the instance list.
        selection_timer =
            host.loop().every(internal::selection_interval,
                              [this] { reports.update_subscriptions(); });
    }

    void handle_http(http_request request,
                     const std::shared_ptr<http_reply>& reply)
    {
        if (!internal::is_caller_path(request))
            return resources.handle_request(request, reply);
        if (request.method != "POST")
            return reply->send(405, "text/plain", {}, "only POST is allowed\n");
        requests.handle_request(std::move(request), reply);
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
    timer selection_timer;
};

entry::entry(node& owner) : self(std::make_unique<implementation>(owner))
{
    self->start();
}

entry::~entry() = default;

} // namespace coursejunction
