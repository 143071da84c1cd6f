#include "coursejunction/transfer/manifest_fetch.hpp"

#include <map>
#include <optional>
#include <thread>
#include <utility>

#include <catch2/catch.hpp>

#include "coursejunction/core/rendezvous.hpp"
#include "coursejunction/net/stream_server.hpp"
#include "net/loopback.hpp"
#include "net/narrow_link.hpp"
#include "transfer/fixtures.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

const cj::model_version wanted{"tutor", 2};

/*! @brief An origin behind a narrow link, whose calls time out no matter how
 * much has arrived. */
class narrow_origin
{
public:
    /*! @brief Manifests that the link carries per second: one of 5 KB takes 4.2
     * ms at 9.9 Mbit/s. */
    static constexpr double link_rate = 240;

    /*! @brief Timeout of a call; 24 concurrent calls complete within it. */
    static constexpr cj::milliseconds call_timeout{100};

    explicit narrow_origin(cj::event_loop& events)
        : loop(events), link(events, link_rate)
    {
    }

    void chunks(const std::string&, const cj::model_version&,
                std::function<void(cj::result<cj::manifest>)> done)
    {
        if (unreachable)
            return loop.post([done = std::move(done)]
                             { done(call_failure("connection refused")); });
        const auto one = std::make_shared<call>();
        one->done = std::move(done);
        const auto id = link.carry([one] { complete(*one, sent_manifest()); });
        one->timeout =
            loop.after(call_timeout,
                       [this, id, one]
                       {
                           link.give_up(id);
                           complete(*one, call_failure("call timed out"));
                       });
    }

    [[nodiscard]] std::size_t most_open() const { return link.most_open(); }

    bool unreachable{false};

private:
    struct call
    {
        std::function<void(cj::result<cj::manifest>)> done;
        cj::timer timeout;
    };

    static cj::result<cj::manifest> call_failure(const char* why)
    {
        return cj::failure(cj::error_kind::unavailable, why);
    }

    static cj::result<cj::manifest> sent_manifest()
    {
        return cj::manifest::assemble(16, {cj::digest::of("a chunk")});
    }

    static void complete(call& one, cj::result<cj::manifest> outcome)
    {
        const auto done = std::exchange(one.done, nullptr);
        one.timeout.stop();
        if (done)
            done(std::move(outcome));
    }

    cj::event_loop& loop;
    loopback::narrow_link link;
};

/*! @brief Sidecars in three halls that all fetch the same version. */
class swarm
{
public:
    explicit swarm(std::size_t count) : all(fixtures::participants(count))
    {
        loop.on_loop(
            [&]
            {
                client.emplace(loop.loop);
                origin.emplace(loop.loop);
                for (const auto& one : all)
                    serve(one.id);
            });
    }

    ~swarm()
    {
        loop.on_loop(
            [&]
            {
                part_timers.clear();
                fetches.clear();
                servers.clear();
                origin.reset();
                client.reset();
            });
        loop.stop();
    }

    swarm(const swarm&) = delete;
    swarm& operator=(const swarm&) = delete;

    /*! @brief Returns the sidecar from which all others get the manifest. */
    cj::instance_id first() const
    {
        std::vector<cj::instance_id> ids;
        for (const auto& one : all)
            ids.push_back(one.id);
        return cj::rendezvous_rank(wanted.rank_key(), ids, 1).front();
    }

    /*! @brief Stops the server of a sidecar, which stays in the list of
     * participants. */
    void stop_server(const cj::instance_id& sidecar)
    {
        loop.on_loop([&] { servers.erase(sidecar); });
    }

    /*! @brief Makes a sidecar send its responses in parts of ten bytes.
     * @param interval Time between two parts. */
    void send_slowly(const cj::instance_id& sidecar, cj::milliseconds interval)
    {
        loop.on_loop([&] { part_intervals[sidecar] = interval; });
    }

    void set_origin_unreachable(bool unreachable)
    {
        loop.on_loop([&] { origin->unreachable = unreachable; });
    }

    /*! @brief Publishes the version to every running sidecar. */
    void publish()
    {
        loop.on_loop(
            [&]
            {
                for (const auto& [id, server] : servers)
                {
                    if (!holders.contains(id))
                        fetch(id);
                }
            });
    }

    /*! @brief Publishes the version to one sidecar. */
    void publish_to(const cj::instance_id& sidecar)
    {
        loop.on_loop([&] { fetch(sidecar); });
    }

    /*! @brief Waits until a sidecar has the manifest.
     * @return Whether that happened before the timeout. */
    bool wait_for_manifest(const cj::instance_id& sidecar,
                           cj::milliseconds timeout)
    {
        const auto until = cj::event_loop::now() + timeout;
        bool found = false;
        while (!found && cj::event_loop::now() < until)
        {
            std::this_thread::sleep_for(10ms);
            loop.on_loop([&] { found = holders.contains(sidecar); });
        }
        return found;
    }

    /*! @brief Waits until every running sidecar has the manifest.
     * @return Whether that happened before the timeout. */
    bool complete_within(cj::milliseconds timeout)
    {
        const auto until = cj::event_loop::now() + timeout;
        while (cj::event_loop::now() < until)
        {
            bool complete = false;
            loop.on_loop([&] { complete = holders.size() == servers.size(); });
            if (complete)
                return true;
            std::this_thread::sleep_for(10ms);
        }
        return false;
    }

    std::size_t max_open_origin_calls()
    {
        std::size_t max_open = 0;
        loop.on_loop([&] { max_open = origin->most_open(); });
        return max_open;
    }

private:
    void serve(const cj::instance_id& id)
    {
        auto created = cj::stream_server::create(
            loop.loop, "127.0.0.1", 0, {},
            [this, id](const cj::stream_request&, cj::stream_reply reply)
            {
                const auto found = holders.find(id);
                if (found == holders.end())
                    return reply.send(404, {}, "");
                if (!part_intervals.contains(id))
                    return reply.send(200, {}, found->second.to_lines());
                reply.begin(200, {});
                send_in_parts(id, found->second.to_lines(), std::move(reply));
            });
        addresses[id] = "127.0.0.1:" + std::to_string(created.value()->port());
        servers[id] = std::move(created.value());
    }

    void send_in_parts(const cj::instance_id& id, const std::string& remaining,
                       cj::stream_reply reply)
    {
        constexpr std::size_t part_bytes = 10;
        reply.write(remaining.substr(0, part_bytes));
        if (remaining.size() <= part_bytes)
            return reply.finish();
        part_timers.push_back(loop.loop.after(
            part_intervals.at(id),
            [this, id, rest = remaining.substr(part_bytes), reply]
            { send_in_parts(id, rest, reply); }));
    }

    void fetch(const cj::instance_id& id)
    {
        cj::transfer_context context;
        context.origin_address = [] { return std::string("origin"); };
        context.participants = [this] { return all; };
        context.peer_endpoint = [this](const cj::instance_id& peer)
        { return addresses.at(peer); };
        auto created = std::make_shared<cj::manifest_fetch<narrow_origin>>(
            loop.loop, *client, *origin, wanted, id, context,
            cj::chunk_transfer_options{},
            [this, id](cj::manifest list)
            { holders.emplace(id, std::move(list)); });
        created->start();
        fetches.push_back(std::move(created));
    }

    std::vector<cj::participant> all;
    loopback::running_loop loop;
    std::optional<cj::stream_client> client;
    std::optional<narrow_origin> origin;
    std::map<cj::instance_id, std::unique_ptr<cj::stream_server>> servers;
    std::map<cj::instance_id, std::string> addresses;
    std::map<cj::instance_id, cj::manifest> holders;
    std::map<cj::instance_id, cj::milliseconds> part_intervals;
    std::vector<cj::timer> part_timers;
    std::vector<std::shared_ptr<cj::manifest_fetch<narrow_origin>>> fetches;
};

} // namespace

// Guards against overload of the origin when 200 sidecars cannot get a manifest
// from each other, because the origin is unreachable or the sidecar that all
// depend on is down. If each of them called the origin, 200 calls would share a
// link that completes 24 before they time out: none would complete, all would
// start over, and the link would stay full after the outage.
SCENARIO("a manifest reaches all sidecars without overloading the origin",
         "[transfer]")
{
    constexpr std::size_t sidecars = 200;
    constexpr std::size_t calls_within_timeout = 24;
    GIVEN("sidecars of three halls and an origin with a narrow link")
    {
        swarm fleet(sidecars);
        WHEN("the version is published without a failure")
        {
            fleet.publish();
            THEN("all get the manifest with one call to the origin")
            {
                CHECK(fleet.complete_within(1000ms));
                CHECK(fleet.max_open_origin_calls() == 1);
            }
        }
        WHEN("the origin is unreachable for 1.5 s from the publication on")
        {
            fleet.set_origin_unreachable(true);
            fleet.publish();
            std::this_thread::sleep_for(1500ms);
            fleet.set_origin_unreachable(false);
            THEN("all get the manifest soon, with few concurrent calls")
            {
                CHECK(fleet.complete_within(3000ms));
                CHECK(fleet.max_open_origin_calls() <= calls_within_timeout);
            }
        }
        WHEN("the sidecar that all others depend on is down")
        {
            fleet.stop_server(fleet.first());
            fleet.publish();
            THEN("others stand in for it with few concurrent calls")
            {
                CHECK(fleet.complete_within(3000ms));
                CHECK(fleet.max_open_origin_calls() <= calls_within_timeout);
            }
        }
    }
    GIVEN("two sidecars, the first one with a slow link, and no origin")
    {
        swarm two(2);
        two.publish_to(two.first());
        REQUIRE(two.wait_for_manifest(two.first(), 1000ms));
        two.set_origin_unreachable(true);
        two.send_slowly(two.first(), 100ms);
        THEN("a manifest that arrives slowly but steadily does not time out")
        {
            two.publish();
            CHECK(two.complete_within(3000ms));
        }
    }
    GIVEN("a single sidecar")
    {
        swarm one(1);
        THEN("it gets the manifest from the origin at once")
        {
            one.publish();
            CHECK(one.complete_within(200ms));
        }
    }
}
