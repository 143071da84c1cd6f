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

/*! @brief A process that pulls from peers which a test plays. */
class pulling_process
{
public:
    pulling_process()
        : calls(running.loop),
          puller(running.loop, calls, counters, mirror, directory, 1)
    {
        known.apply({{"a", "1", newest, 0, false, {}, 0}}, newest,
                    cj::event_loop::now());
        running.on_loop([this] { open(); });
    }

    pulling_process(const pulling_process&) = delete;
    pulling_process& operator=(const pulling_process&) = delete;
    ~pulling_process() { running.stop(); }

    /*! @brief Both peers tell each 200 ms that they know more, the one whose
     * link is squeezed first. */
    void hear_of(const std::string& hall)
    {
        running.on_loop(
            [&, hall] {
                beats = running.loop.every(200ms,
                                           [this, hall] { hear_both(hall); });
            });
    }

    /*! @brief Waits until the mirror has what the peers know. */
    bool whole_within(std::chrono::milliseconds limit)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        bool whole = false;
        while (!whole && std::chrono::steady_clock::now() < end)
        {
            std::this_thread::sleep_for(20ms);
            running.on_loop([&] { whole = mirror.position() == newest; });
        }
        return whole;
    }

private:
    static constexpr std::uint64_t newest = 9;
    static constexpr int squeezed = 1;
    static constexpr int sound = 2;

    void open()
    {
        squeezed_server =
            serve(squeezed, 0,
                  [this](cj::stream_reply reply)
                  {
                      reply.begin(200, {});
                      drips.push_back(running.loop.every(
                          100ms, [reply]() mutable { reply.write("x"); }));
                  });
        const auto port = squeezed_server->port();
        sound_server = serve(sound, port,
                             [this](cj::stream_reply reply)
                             {
                                 reply.send(200, {},
                                            cj::encode(known.changes_since(
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

    void hear_both(const std::string& hall)
    {
        ++sequence;
        for (const int number : {squeezed, sound})
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
    cj::store_mirror known;
    cj::peer_directory directory;
    cj::mirror_puller puller;
    std::unique_ptr<cj::stream_server> squeezed_server;
    std::unique_ptr<cj::stream_server> sound_server;
    std::vector<cj::timer> drips;
    cj::timer beats;
    std::uint64_t sequence{0};
};

} // namespace

SCENARIO("a peer whose page only trickles does not keep the others' away",
         "[fleet]")
{
    // A squeezed link still moves a little: no limit on progress ends the pull,
    // and a change has 2 s to be in force.
    pulling_process process;
    WHEN("both peers are of the own hall")
    {
        process.hear_of("here");
        CHECK(process.whole_within(1800ms));
    }
    WHEN("both are of another hall, and nobody else could fetch")
    {
        process.hear_of("there");
        CHECK(process.whole_within(1800ms));
    }
}
