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

/*! @brief A store that turns this process away by silence. */
class silent_store
{
public:
    using callback = std::function<void(cj::result<cj::store_page>)>;

    explicit silent_store(cj::event_loop& owner) : loop(owner) {}

    void list(const callback& done) { give_up_after(patience, done); }

    void watch(std::uint64_t, cj::milliseconds wait, const callback& done)
    {
        give_up_after(wait + patience, done);
    }

    void cancel() { call.stop(); }

    [[nodiscard]] static std::chrono::microseconds distance() { return {}; }

private:
    static constexpr cj::milliseconds patience{700};

    void give_up_after(cj::milliseconds wait, const callback& done)
    {
        call = loop.after(
            wait, [done]
            { done(cj::failure(cj::error_kind::unavailable, "no answer")); });
    }

    cj::event_loop& loop;
    cj::timer call;
};

using node = cj::fleet_node<silent_store>;

/*! @brief One process of a hall that the store turns away. */
struct member
{
    member(cj::event_loop& loop, cj::fleet_options options)
        : store(loop),
          self(std::move(
              node::create(loop, store, counters, std::move(options)).value()))
    {
    }

    cj::metrics counters;
    silent_store store;
    std::unique_ptr<node> self;
};

/*! @brief An entry of another hall that hears the store. */
class far_entry
{
public:
    far_entry(cj::event_loop& owner, const std::string& address,
              std::vector<std::string> hearers)
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
          told(std::move(hearers))
    {
        beats = loop.every(200ms, [this] { beat(); });
    }

    [[nodiscard]] std::uint16_t port() const { return server->port(); }

    /*! @brief The store tells it of a change. */
    std::uint64_t change()
    {
        const auto revision = known.position().revision + 1;
        known.apply(
            {{"a", std::to_string(revision), revision, 0, false, {}, 0}},
            revision, cj::event_loop::now());
        beat();
        return revision;
    }

private:
    void answer(const cj::stream_request& request, cj::stream_reply reply)
    {
        const auto after = cj::store_position::parse(
            request.target.substr(request.target.find('=') + 1));
        reply.send(
            200, {},
            cj::encode(known.changes_since(after, cj::event_loop::now())));
    }

    void beat()
    {
        cj::message::fleet_heartbeat made;
        made.incarnation = 1;
        made.sequence = ++sequence;
        made.mirrored = known.position();
        made.hall = "here";
        made.entry = true;
        made.watching = true;
        made.store_distance = 300;
        for (const auto& one : told)
            socket->send(one + ":" + std::to_string(port()), cj::encode(made));
    }

    cj::event_loop& loop;
    cj::store_mirror known;
    std::unique_ptr<cj::stream_server> server;
    std::unique_ptr<cj::datagram_socket> socket;
    std::vector<std::string> told;
    cj::timer beats;
    std::uint64_t sequence{0};
};

} // namespace

SCENARIO("a hall that the store turns away hears of changes from other halls",
         "[fleet]")
{
    constexpr int first = 10;
    constexpr int entries = 5;
    constexpr int changes = 12;
    loopback::running_loop running;
    std::vector<std::unique_ptr<member>> hall;
    std::unique_ptr<far_entry> far;
    std::vector<std::string> addresses;
    for (int at = 0; at < entries; ++at)
        addresses.push_back(loopback::own_address(first + at));
    running.on_loop(
        [&]
        {
            far = std::make_unique<far_entry>(
                running.loop, loopback::own_address(1), addresses);
            for (const auto& address : addresses)
            {
                cj::fleet_options options;
                options.address = address;
                options.port = far->port();
                options.hall = cj::hall_id("there");
                options.entry = true;
                options.seeds = {addresses.front()};
                hall.push_back(std::make_unique<member>(running.loop, options));
            }
            for (const auto& one : hall)
                one->self->start({});
        });
    // Who knows nothing lists the whole store, and a listing is waited for.
    running.on_loop([&] { far->change(); });
    std::this_thread::sleep_for(4s);

    // Peers of the hall have 80 ms, and the page comes at once; now and then a
    // busy machine takes longer.
    constexpr auto soon = 400ms;
    constexpr int most_late = 2;
    int late = 0;
    for (int at = 0; at < changes; ++at)
    {
        std::uint64_t revision = 0;
        running.on_loop([&] { revision = far->change(); });
        const auto begin = std::chrono::steady_clock::now();
        auto took = 0ms;
        bool all = false;
        while (!all && took < 4s)
        {
            std::this_thread::sleep_for(5ms);
            running.on_loop(
                [&]
                {
                    all = std::all_of(
                        hall.begin(), hall.end(),
                        [&](const auto& one)
                        { return one->self->mirror().position() >= revision; });
                });
            took = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - begin);
        }
        UNSCOPED_INFO("change " << at << ": " << took.count() << " ms");
        late += took > soon ? 1 : 0;
        // Other moments of their calls to the store each time.
        std::this_thread::sleep_for(370ms);
    }
    CHECK(late <= most_late);
    running.stop();
    hall.clear();
    far.reset();
}
