#include "coursejunction/fleet/fleet_node.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "net/loopback.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

/*! @brief A store that never answers this process. */
class unreachable_store
{
public:
    using callback = std::function<void(cj::result<cj::store_page>)>;

    explicit unreachable_store(cj::event_loop& owner) : loop(owner) {}

    void list(const callback& done) { fail_after(answer_timeout, done); }

    void watch(std::uint64_t, cj::milliseconds wait, const callback& done)
    {
        fail_after(wait + answer_timeout, done);
    }

    void cancel() { call.stop(); }

    [[nodiscard]] static std::chrono::microseconds distance() { return {}; }

private:
    static constexpr cj::milliseconds answer_timeout{700};

    void fail_after(cj::milliseconds wait, const callback& done)
    {
        call = loop.after(
            wait, [done]
            { done(cj::failure(cj::error_kind::unavailable, "no answer")); });
    }

    cj::event_loop& loop;
    cj::timer call;
};

using node_type = cj::fleet_node<unreachable_store>;

/*! @brief One process of a hall that has no access to the store. */
struct hall_process
{
    hall_process(cj::event_loop& loop, cj::fleet_options options)
        : store(loop), node(std::move(node_type::create(loop, store, counters,
                                                        std::move(options))
                                          .value()))
    {
    }

    cj::metrics counters;
    unreachable_store store;
    std::unique_ptr<node_type> node;
};

/*! @brief An entry of another hall that watches the store. */
class remote_entry
{
public:
    remote_entry(cj::event_loop& owner, const std::string& address,
                 std::vector<std::string> addresses)
        : loop(owner),
          server(std::move(cj::stream_server::create(
                               owner, address, 0, {},
                               [this](const cj::stream_request& request,
                                      cj::stream_reply reply)
                               { answer(request, std::move(reply)); })
                               .value())),
          socket(std::move(cj::datagram_socket::create(
                               owner, address, server->port(),
                               [](const std::string&, std::string_view) {})
                               .value())),
          receivers(std::move(addresses))
    {
        heartbeat_timer = loop.every(200ms, [this] { send_heartbeats(); });
    }

    [[nodiscard]] std::uint16_t port() const { return server->port(); }

    /*! @brief Simulates a change that it read from the store.
     * @return The new revision. */
    std::uint64_t change()
    {
        const auto revision = mirror.position().revision + 1;
        mirror.apply(
            {{"a", std::to_string(revision), revision, 0, false, {}, 0}},
            revision, cj::event_loop::now());
        send_heartbeats();
        return revision;
    }

private:
    void answer(const cj::stream_request& request, cj::stream_reply reply)
    {
        const auto after = cj::store_position::parse(
            request.target.substr(request.target.find('=') + 1));
        reply.send(
            200, {},
            cj::encode(mirror.changes_since(after, cj::event_loop::now())));
    }

    void send_heartbeats()
    {
        cj::message::fleet_heartbeat heartbeat;
        heartbeat.incarnation = 1;
        heartbeat.sequence = ++sequence;
        heartbeat.mirrored = mirror.position();
        heartbeat.hall = "other";
        heartbeat.entry = true;
        heartbeat.watching = true;
        heartbeat.store_distance = 300;
        for (const auto& one : receivers)
            socket->send(one + ":" + std::to_string(port()),
                         cj::encode(heartbeat));
    }

    cj::event_loop& loop;
    cj::store_mirror mirror;
    std::unique_ptr<cj::stream_server> server;
    std::unique_ptr<cj::datagram_socket> socket;
    std::vector<std::string> receivers;
    cj::timer heartbeat_timer;
    std::uint64_t sequence{0};
};

} // namespace

SCENARIO(
    "a hall without access to the store learns of changes from other halls",
    "[fleet]")
{
    constexpr int first = 10;
    constexpr int entries = 5;
    constexpr int changes = 12;
    loopback::running_loop running;
    std::vector<std::unique_ptr<hall_process>> hall;
    std::unique_ptr<remote_entry> remote;
    std::vector<std::string> addresses;
    for (int at = 0; at < entries; ++at)
        addresses.push_back(loopback::own_address(first + at));
    running.on_loop(
        [&]
        {
            remote = std::make_unique<remote_entry>(
                running.loop, loopback::own_address(1), addresses);
            for (const auto& address : addresses)
            {
                cj::fleet_options options;
                options.address = address;
                options.port = remote->port();
                options.hall = cj::hall_id("own");
                options.entry = true;
                options.seeds = {addresses.front()};
                hall.push_back(
                    std::make_unique<hall_process>(running.loop, options));
            }
            for (const auto& one : hall)
                one->node->start({});
        });
    // A process with an empty mirror lists the whole store, and the others wait
    // for that listing.
    running.on_loop([&] { remote->change(); });
    std::this_thread::sleep_for(4s);

    // A process waits 80 ms in case a peer of its hall gets the change first,
    // and the page arrives immediately. A busy machine sometimes takes longer.
    constexpr auto max_delay = 400ms;
    constexpr int max_late = 2;
    int late_count = 0;
    for (int at = 0; at < changes; ++at)
    {
        std::uint64_t revision = 0;
        running.on_loop([&] { revision = remote->change(); });
        const auto begin = std::chrono::steady_clock::now();
        auto delay = 0ms;
        bool all = false;
        while (!all && delay < 4s)
        {
            std::this_thread::sleep_for(5ms);
            running.on_loop(
                [&]
                {
                    all = std::all_of(
                        hall.begin(), hall.end(),
                        [&](const auto& one)
                        { return one->node->mirror().position() >= revision; });
                });
            delay = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - begin);
        }
        UNSCOPED_INFO("change " << at << ": " << delay.count() << " ms");
        late_count += delay > max_delay ? 1 : 0;
        // Makes each change fall into another phase of the calls to the store.
        std::this_thread::sleep_for(370ms);
    }
    CHECK(late_count <= max_late);
    running.stop();
    hall.clear();
    remote.reset();
}
