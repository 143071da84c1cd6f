#include "coursejunction/fleet/mirror_puller.hpp"

#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "coursejunction/net/stream_server.hpp"
#include "net/loopback.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

/*! @brief A process that pulls from peers simulated by the test. */
class pulling_process
{
public:
    pulling_process()
        : calls(running.loop),
          puller(running.loop, calls, counters, mirror, directory, 1)
    {
        peer_mirror.apply({{"a", "1", newest, 0, false, {}, 0}}, newest,
                          cj::event_loop::now());
        running.on_loop([this] { open(); });
    }

    pulling_process(const pulling_process&) = delete;
    pulling_process& operator=(const pulling_process&) = delete;
    ~pulling_process() { running.stop(); }

    /*! @brief Both peers report every 200 ms that they are ahead, the one with
     * the throttled link first. */
    void receive_heartbeats_of(const std::string& hall)
    {
        running.on_loop(
            [&, hall]
            {
                heartbeat_timer = running.loop.every(
                    200ms, [this, hall] { receive_from_both(hall); });
            });
    }

    /*! @brief Waits until the mirror has caught up with the peers. */
    bool catches_up_within(std::chrono::milliseconds limit)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        bool caught_up = false;
        while (!caught_up && std::chrono::steady_clock::now() < end)
        {
            std::this_thread::sleep_for(20ms);
            running.on_loop([&] { caught_up = mirror.position() == newest; });
        }
        return caught_up;
    }

private:
    static constexpr std::uint64_t newest = 9;
    static constexpr int throttled = 1;
    static constexpr int healthy = 2;

    void open()
    {
        throttled_server =
            serve(throttled, 0,
                  [this](cj::stream_reply reply)
                  {
                      reply.begin(200, {});
                      trickle_timers.push_back(running.loop.every(
                          100ms, [reply]() mutable { reply.write("x"); }));
                  });
        const auto port = throttled_server->port();
        healthy_server =
            serve(healthy, port,
                  [this](cj::stream_reply reply)
                  {
                      reply.send(200, {},
                                 cj::encode(peer_mirror.changes_since(
                                     0, cj::event_loop::now())));
                  });
        puller.start(
            cj::hall_id("here"), ":" + std::to_string(port),
            {[] { return cj::hall_fetch_state{}; },
             [this](const cj::message::mirror_page& page, const std::string&) {
                 mirror.apply(page.items, page.position, cj::event_loop::now());
             },
             [] {}});
    }

    std::unique_ptr<cj::stream_server>
    serve(int number, std::uint16_t port,
          std::function<void(cj::stream_reply)> answer)
    {
        return std::move(
            cj::stream_server::create(
                running.loop, loopback::own_address(number), port, {},
                [answer = std::move(answer)](const cj::stream_request&,
                                             cj::stream_reply reply)
                { answer(std::move(reply)); })
                .value());
    }

    void receive_from_both(const std::string& hall)
    {
        ++sequence;
        for (const int number : {throttled, healthy})
        {
            cj::message::fleet_heartbeat heartbeat;
            heartbeat.incarnation = 1;
            heartbeat.sequence = sequence;
            heartbeat.mirrored = newest;
            heartbeat.hall = hall;
            heartbeat.entry = true;
            const auto from = loopback::own_address(number);
            directory.record_heartbeat(from, heartbeat, cj::event_loop::now());
            if (mirror.position() < newest)
                puller.peer_ahead(from, hall == "here");
        }
    }

    loopback::running_loop running;
    cj::stream_client calls;
    cj::metrics counters;
    cj::store_mirror mirror;
    cj::store_mirror peer_mirror;
    cj::peer_directory directory;
    cj::mirror_puller puller;
    std::unique_ptr<cj::stream_server> throttled_server;
    std::unique_ptr<cj::stream_server> healthy_server;
    std::vector<cj::timer> trickle_timers;
    cj::timer heartbeat_timer;
    std::uint64_t sequence{0};
};

} // namespace

SCENARIO("a pull that never finishes does not block other pulls", "[fleet]")
{
    // A throttled link still moves a few bytes, so that no stall timeout ends
    // the pull, but a change must take effect within 2 s.
    pulling_process process;
    WHEN("both peers are of the own hall")
    {
        process.receive_heartbeats_of("here");
        CHECK(process.catches_up_within(1800ms));
    }
    WHEN("both are of another hall, and no other process could fetch")
    {
        process.receive_heartbeats_of("there");
        CHECK(process.catches_up_within(1800ms));
    }
}
