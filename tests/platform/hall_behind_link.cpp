// A configuration of 1.7 MB was added to the store of an installation whose
// halls lie in regions with 24 Mbit/s between them. Every process of each other
// hall fetched it over the one link at once, each under a time limit that did
// not grow with its size, so that the link was full and heartbeats were lost;
// entries then took those that watch the store for gone and all listed it,
// again under one limit for the whole, from the start after each failure. No
// hall but the store's ever took a further change: each link carried 2.6 to 4.2
// MB/s to the end, and one entry had begun 71 listings and watched once, where
// an entry of the store's hall had listed once and watched 192 times.
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

/*! @brief Rate of the link, 24 Mbit/s, and how much of it passes at once. */
constexpr double link_rate = 3e6;
constexpr std::chrono::milliseconds link_step{5};
constexpr std::size_t configuration_bytes = 1'700'000;
constexpr std::uint64_t newest = 40;

/*! @brief Routes that are nearly alike, as configurations are. */
std::string configuration_text()
{
    nlohmann::json routes = nlohmann::json::array();
    std::string text;
    for (int at = 0; text.size() < configuration_bytes; ++at)
    {
        const auto number = std::to_string(at * 7919 % 100'003);
        text += R"({"name":"route-)" + number + R"(","hostname":"h)" + number +
                R"(.example","pathPrefix":"/p)" + number +
                R"(/","type":"streaming","service":"tutor","timeoutMs":6000,)"
                R"("targetLatencyMs":400,"maxAttempts":2,"priority":1,)"
                R"("resumable":true,"sticky":true,"targetItlMs":400},)";
    }
    return text;
}

/*! @brief One link that the answers of a server share evenly. */
class shared_link
{
public:
    explicit shared_link(cj::event_loop& loop)
        : pump(loop.every(link_step, [this] { pass(); }))
    {
    }

    /*! @brief Sends an answer over the link. */
    void send(cj::stream_reply reply, std::string body)
    {
        const auto number = ++last;
        reply.begin(200, {});
        reply.on_left([this, number] { under_way.erase(number); });
        under_way.emplace(number, flow{reply, std::move(body), 0});
    }

    std::size_t begun() const { return last; }
    double carried() const { return bytes; }

private:
    struct flow
    {
        cj::stream_reply reply;
        std::string body;
        std::size_t sent{0};
    };

    void pass()
    {
        const double budget =
            link_rate * std::chrono::duration<double>(link_step).count();
        const auto share = static_cast<std::size_t>(
            budget /
            static_cast<double>(std::max<std::size_t>(under_way.size(), 1)));
        std::vector<std::size_t> over;
        for (auto& [number, one] : under_way)
        {
            const auto part = one.body.substr(one.sent, share);
            one.reply.write(part);
            one.sent += part.size();
            bytes += static_cast<double>(part.size());
            if (one.sent == one.body.size())
                over.push_back(number);
        }
        for (const auto number : over)
        {
            under_way.at(number).reply.finish();
            under_way.erase(number);
        }
    }

    std::map<std::size_t, flow> under_way;
    std::size_t last{0};
    double bytes{0};
    cj::timer pump;
};

std::string host_and_port(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/*! @brief The platform's store behind the link. */
class distant_store
{
public:
    distant_store(cj::event_loop& owner, const std::string& payload)
        : loop(owner), link(owner),
          server(std::move(
              cj::stream_server::create(
                  owner, "127.0.0.1", 0, {},
                  [this](cj::stream_request request, cj::stream_reply reply)
                  { answer(request, std::move(reply)); })
                  .value()))
    {
        nlohmann::json item;
        item["keyFile"] = "op/config";
        item["payload"] = cj::to_base64(payload);
        item["revision"] = newest;
        nlohmann::json page;
        page["entries"] = {item};
        page["hasMore"] = false;
        page["timestamp"] = newest;
        listing = page.dump();
    }

    std::string address() const { return host_and_port(server->port()); }

    std::size_t listings{0};

private:
    void answer(const cj::stream_request& request, cj::stream_reply reply)
    {
        if (request.target.starts_with("/kv-range"))
        {
            ++listings;
            return link.send(std::move(reply), listing);
        }
        // Nothing changes any more: a watch waits for its whole time.
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

/*! @brief One process of the hall behind the link. */
struct member
{
    member(cj::event_loop& loop, const std::string& store_address,
           cj::fleet_options options)
        : carrier(loop), store(carrier, store_address),
          node(std::move(cj::fleet_node<cj::platform::store_client>::create(
                             loop, store, counters, std::move(options))
                             .value()))
    {
    }

    [[nodiscard]] bool whole() const
    {
        const auto* held = node->mirror().find("op/config");
        return held != nullptr && held->payload.size() >= configuration_bytes;
    }

    cj::metrics counters;
    cj::http_client carrier;
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

/*! @brief Waits until all are whole.
 * @return Whether they were within the time. */
bool all_whole_within(loopback::running_loop& running,
                      const std::vector<std::unique_ptr<member>>& all,
                      std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end)
    {
        bool whole = true;
        running.on_loop(
            [&]
            {
                for (const auto& one : all)
                    whole = whole && one->whole();
            });
        if (whole)
            return true;
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

/*! @brief What the link needs for one copy, and as much again for what a
 * process waits before it takes over from another: far below the first
 * failure's "never". */
std::chrono::milliseconds bound_of(double copies, double bytes)
{
    const auto once = std::chrono::milliseconds(
        static_cast<std::int64_t>(copies * bytes / link_rate * 1000));
    return once + 4000ms;
}

} // namespace

SCENARIO("a hall behind a full link comes back by itself", "[platform][fleet]")
{
    const auto payload = configuration_text();
    loopback::running_loop running;
    std::vector<std::unique_ptr<member>> hall;

    GIVEN("four entries of a hall that nobody else tells of changes")
    {
        constexpr int entries = 4;
        std::unique_ptr<distant_store> store;
        running.on_loop(
            [&]
            {
                store = std::make_unique<distant_store>(running.loop, payload);
                const auto port = free_port(running.loop);
                for (int at = 1; at <= entries; ++at)
                {
                    cj::fleet_options options;
                    options.address = loopback::own_address(at);
                    options.port = port;
                    options.hall = cj::hall_id("far");
                    options.entry = true;
                    options.seeds = {loopback::own_address(1)};
                    hall.push_back(std::make_unique<member>(
                        running.loop, store->address(), options));
                }
                for (const auto& one : hall)
                    one->node->start({});
            });
        THEN("all have the configuration after little more than one copy")
        {
            const double copy = static_cast<double>(payload.size()) * 4 / 3;
            CHECK(all_whole_within(running, hall, bound_of(2, copy)));
        }
        running.stop();
        hall.clear();
    }

    GIVEN("an entry of another hall that has it, and ten processes that hear "
          "of it at once")
    {
        constexpr int first = 10;
        constexpr int processes = 10;
        std::unique_ptr<shared_link> link;
        std::unique_ptr<cj::stream_server> far_server;
        std::unique_ptr<cj::datagram_socket> far_socket;
        cj::timer beats;
        cj::store_mirror known;
        std::uint16_t port = 0;
        std::uint64_t sequence = 0;
        running.on_loop(
            [&]
            {
                port = free_port(running.loop);
                known.apply({{"op/config", payload, newest, 0, false, {}, 0}},
                            newest, cj::event_loop::now());
                link = std::make_unique<shared_link>(running.loop);
                far_server = std::move(
                    cj::stream_server::create(
                        running.loop, loopback::own_address(1), port, {},
                        [&](cj::stream_request, cj::stream_reply reply)
                        {
                            link->send(std::move(reply),
                                       cj::encode(known.changes_since(
                                           0, cj::event_loop::now())));
                        })
                        .value());
                far_socket =
                    std::move(cj::datagram_socket::create(
                                  running.loop, loopback::own_address(1), port,
                                  [](const std::string&, std::string_view) {})
                                  .value());
                for (int at = 0; at < processes; ++at)
                {
                    cj::fleet_options options;
                    options.address = loopback::own_address(first + at);
                    options.port = port;
                    options.hall = cj::hall_id("far");
                    options.entry = at == 0;
                    options.seeds = {loopback::own_address(first)};
                    // The store itself cannot be reached from this hall.
                    hall.push_back(std::make_unique<member>(
                        running.loop, "127.0.0.1:9", options));
                }
                for (const auto& one : hall)
                    one->node->start({});
                beats = running.loop.every(
                    200ms,
                    [&]
                    {
                        cj::message::fleet_heartbeat beat;
                        beat.incarnation = 1;
                        beat.sequence = ++sequence;
                        beat.mirrored = newest;
                        beat.hall = "near";
                        beat.entry = true;
                        beat.watching = true;
                        for (int at = 0; at < processes; ++at)
                            far_socket->send(loopback::own_address(first + at) +
                                                 ":" + std::to_string(port),
                                             cj::encode(beat));
                    });
            });
        THEN("one copy passes the link, and the hall shares it")
        {
            const auto copy = static_cast<double>(payload.size());
            CHECK(all_whole_within(running, hall, bound_of(2, copy)));
            double carried = 0;
            std::size_t begun = 0;
            running.on_loop(
                [&]
                {
                    carried = link->carried();
                    begun = link->begun();
                });
            CHECK(carried < 2 * copy);
            // Ten packed copies would pass as well: turns are shown by their
            // number.
            CHECK(begun <= 2);
        }
        running.stop();
        hall.clear();
    }
}
