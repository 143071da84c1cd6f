// Guards against congestion collapse of the link to a hall. In an installation
// whose halls lie in regions with 24 Mbit/s between them, a configuration of
// 1.7 MB was written to the store. All processes of each remote hall fetched it
// over the one link at the same time, each with a timeout that did not depend
// on its size. The full link lost heartbeats, so entries assumed that those
// that watch the store were dead, and all of them listed it, again with a
// timeout for the whole and from the start after each failure. No remote hall
// received any further change: each link carried 2.6 to 4.2 MB/s to the end,
// and one entry started 71 listings and watched once, while an entry of the
// store's hall listed once and watched 192 times.
#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "coursejunction/core/base64.hpp"
#include "coursejunction/fleet/fleet_node.hpp"
#include "coursejunction/net/http_client.hpp"
#include "coursejunction/net/stream_server.hpp"
#include "net/loopback.hpp"
#include "platform/store_client.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

/*! @brief Bytes per second of the link, 24 Mbit/s. */
constexpr double link_rate = 3e6;
/*! @brief Interval at which the link passes on data. */
constexpr std::chrono::milliseconds link_step{5};
constexpr std::size_t configuration_bytes = 1'700'000;
constexpr std::uint64_t newest_revision = 40;

/*! @brief Returns a payload of many similar routes, as in a real
 * configuration. */
std::string configuration_text()
{
    nlohmann::json routes = nlohmann::json::array();
    std::string text;
    for (int index = 0; text.size() < configuration_bytes; ++index)
    {
        const auto number = std::to_string(index * 7919 % 100'003);
        text += R"({"name":"route-)" + number + R"(","hostname":"h)" + number +
                R"(.example","pathPrefix":"/p)" + number +
                R"(/","type":"streaming","service":"tutor","timeoutMs":6000,)"
                R"("targetLatencyMs":400,"maxAttempts":2,"priority":1,)"
                R"("resumable":true,"sticky":true,"targetItlMs":400},)";
    }
    return text;
}

/*! @brief A link that is shared evenly by the responses of a server. */
class shared_link
{
public:
    explicit shared_link(cj::event_loop& loop)
        : ticking(loop.every(link_step, [this] { advance(); }))
    {
    }

    /*! @brief Sends a response over the link. */
    void send(cj::stream_reply reply, std::string body)
    {
        const auto number = ++last_number;
        reply.begin(200, {});
        reply.on_disconnect([this, number] { flows.erase(number); });
        flows.emplace(number, flow{reply, std::move(body), 0});
    }

    std::size_t started_responses() const { return last_number; }
    double carried_bytes() const { return sent_bytes; }

private:
    struct flow
    {
        cj::stream_reply reply;
        std::string body;
        std::size_t sent{0};
    };

    void advance()
    {
        const double budget =
            link_rate * std::chrono::duration<double>(link_step).count();
        const auto share = static_cast<std::size_t>(
            budget /
            static_cast<double>(std::max<std::size_t>(flows.size(), 1)));
        std::vector<std::size_t> finished;
        for (auto& [number, transfer] : flows)
        {
            const auto part = transfer.body.substr(transfer.sent, share);
            transfer.reply.write(part);
            transfer.sent += part.size();
            sent_bytes += static_cast<double>(part.size());
            if (transfer.sent == transfer.body.size())
                finished.push_back(number);
        }
        for (const auto number : finished)
        {
            flows.at(number).reply.finish();
            flows.erase(number);
        }
    }

    std::map<std::size_t, flow> flows;
    std::size_t last_number{0};
    double sent_bytes{0};
    cj::timer ticking;
};

std::string host_and_port(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/*! @brief The platform's store, reached over the link. */
class remote_store
{
public:
    remote_store(cj::event_loop& owner, const std::string& payload)
        : loop(owner), link(owner),
          server(std::move(
              cj::stream_server::create(
                  owner, "127.0.0.1", 0, {},
                  [this](cj::stream_request request, cj::stream_reply reply)
                  { respond(request, std::move(reply)); })
                  .value()))
    {
        nlohmann::json item;
        item["keyFile"] = "op/config";
        item["payload"] = cj::to_base64(payload);
        item["revision"] = newest_revision;
        nlohmann::json page;
        page["entries"] = {item};
        page["hasMore"] = false;
        page["timestamp"] = newest_revision;
        listing = page.dump();
    }

    std::string address() const { return host_and_port(server->port()); }

    std::size_t listings{0};

private:
    void respond(const cj::stream_request& request, cj::stream_reply reply)
    {
        if (request.target.starts_with("/kv-range"))
        {
            ++listings;
            return link.send(std::move(reply), listing);
        }
        // There are no further changes, so a watch takes its full 1.5 s.
        watches.push_back(loop.after(
            1500ms, [reply]() mutable
            { reply.send(200, {}, R"({"events":[],"timestamp":40})"); }));
    }

    cj::event_loop& loop;
    shared_link link;
    std::string listing;
    std::vector<cj::timer> watches;
    std::unique_ptr<cj::stream_server> server;
};

/*! @brief A process of the hall that is connected by the link. */
struct hall_process
{
    hall_process(cj::event_loop& loop, const std::string& store_address,
                 cj::fleet_options options)
        : http(loop), store(http, store_address),
          node(std::move(cj::fleet_node<cj::platform::store_client>::create(
                             loop, store, counters, std::move(options))
                             .value()))
    {
    }

    [[nodiscard]] bool has_configuration() const
    {
        const auto* found = node->mirror().find("op/config");
        return found != nullptr && found->payload.size() >= configuration_bytes;
    }

    cj::metrics counters;
    cj::http_client http;
    cj::platform::store_client store;
    std::unique_ptr<cj::fleet_node<cj::platform::store_client>> node;
};

std::uint16_t free_port(cj::event_loop& loop)
{
    const auto probe =
        cj::stream_server::create(loop, loopback::own_address(1), 0, {},
                                  [](cj::stream_request, cj::stream_reply) {});
    return probe.value()->port();
}

/*! @brief Waits until all processes have the configuration.
 * @return Whether they had it within the time limit. */
bool wait_for_configuration(
    loopback::running_loop& running,
    const std::vector<std::unique_ptr<hall_process>>& processes,
    std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end)
    {
        bool complete = true;
        running.on_loop(
            [&]
            {
                for (const auto& process : processes)
                    complete = complete && process->has_configuration();
            });
        if (complete)
            return true;
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

/*! @brief Returns a time limit: what the link needs for some copies, and 4 s
 * for the time that a process waits before it takes over a fetch from another.
 * In the failure that is guarded against, a hall never completes. */
std::chrono::milliseconds time_limit(double copies, double copy_bytes)
{
    const auto transfer_time = std::chrono::milliseconds(
        static_cast<std::int64_t>(copies * copy_bytes / link_rate * 1000));
    return transfer_time + 4000ms;
}

} // namespace

SCENARIO("a hall behind a congested link receives a large configuration",
         "[platform][fleet]")
{
    const auto payload = configuration_text();
    loopback::running_loop running;
    std::vector<std::unique_ptr<hall_process>> hall;

    GIVEN("four entries of a hall that learn of changes from the store only")
    {
        constexpr int entries = 4;
        std::unique_ptr<remote_store> store;
        running.on_loop(
            [&]
            {
                store = std::make_unique<remote_store>(running.loop, payload);
                const auto port = free_port(running.loop);
                for (int index = 1; index <= entries; ++index)
                {
                    cj::fleet_options options;
                    options.address = loopback::own_address(index);
                    options.port = port;
                    options.hall = cj::hall_id("far");
                    options.entry = true;
                    options.seeds = {loopback::own_address(1)};
                    hall.push_back(std::make_unique<hall_process>(
                        running.loop, store->address(), options));
                }
                for (const auto& process : hall)
                    process->node->start({});
            });
        THEN("all have the configuration within the time of two copies and 4 s")
        {
            // The store sends payloads as base64.
            const double copy = static_cast<double>(payload.size()) * 4 / 3;
            CHECK(wait_for_configuration(running, hall, time_limit(2, copy)));
        }
        running.stop();
        hall.clear();
    }

    GIVEN("an entry of another hall that has the configuration, and ten "
          "processes that learn of it at the same moment")
    {
        constexpr int first = 10;
        constexpr int processes = 10;
        std::unique_ptr<shared_link> link;
        std::unique_ptr<cj::stream_server> other_server;
        std::unique_ptr<cj::datagram_socket> other_socket;
        cj::timer heartbeat_timer;
        cj::store_mirror mirror;
        std::uint16_t port = 0;
        std::uint64_t sequence = 0;
        running.on_loop(
            [&]
            {
                port = free_port(running.loop);
                mirror.apply(
                    {{"op/config", payload, newest_revision, 0, false, {}, 0}},
                    newest_revision, cj::event_loop::now());
                link = std::make_unique<shared_link>(running.loop);
                other_server = std::move(
                    cj::stream_server::create(
                        running.loop, loopback::own_address(1), port, {},
                        [&](cj::stream_request, cj::stream_reply reply)
                        {
                            link->send(std::move(reply),
                                       cj::encode(mirror.changes_since(
                                           0, cj::event_loop::now())));
                        })
                        .value());
                other_socket =
                    std::move(cj::datagram_socket::create(
                                  running.loop, loopback::own_address(1), port,
                                  [](const std::string&, std::string_view) {})
                                  .value());
                for (int index = 0; index < processes; ++index)
                {
                    cj::fleet_options options;
                    options.address = loopback::own_address(first + index);
                    options.port = port;
                    options.hall = cj::hall_id("far");
                    options.entry = index == 0;
                    options.seeds = {loopback::own_address(first)};
                    // The store itself cannot be reached from this hall.
                    hall.push_back(std::make_unique<hall_process>(
                        running.loop, "127.0.0.1:9", options));
                }
                for (const auto& process : hall)
                    process->node->start({});
                heartbeat_timer = running.loop.every(
                    200ms,
                    [&]
                    {
                        cj::message::fleet_heartbeat heartbeat;
                        heartbeat.incarnation = 1;
                        heartbeat.sequence = ++sequence;
                        heartbeat.mirrored = newest_revision;
                        heartbeat.hall = "near";
                        heartbeat.entry = true;
                        heartbeat.watching = true;
                        for (int index = 0; index < processes; ++index)
                            other_socket->send(
                                loopback::own_address(first + index) + ":" +
                                    std::to_string(port),
                                cj::encode(heartbeat));
                    });
            });
        THEN("one copy crosses the link and is shared within the hall")
        {
            const auto copy = static_cast<double>(payload.size());
            CHECK(wait_for_configuration(running, hall, time_limit(2, copy)));
            double carried_bytes = 0;
            std::size_t started_responses = 0;
            running.on_loop(
                [&]
                {
                    carried_bytes = link->carried_bytes();
                    started_responses = link->started_responses();
                });
            CHECK(carried_bytes < 2 * copy);
            // Ten compressed copies would also be below that many bytes; only
            // the number of responses shows that the processes did not all
            // fetch.
            CHECK(started_responses <= 2);
        }
        running.stop();
        hall.clear();
    }
}
