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

/*! @brief An origin behind a narrow link, whose calls are given up after a
 * while whatever has come. */
class narrow_origin
{
public:
    /*! @brief Manifests that the link carries in a second: 5 KB take 4.2 ms on
     * 9.9 Mbit/s. */
    static constexpr double link_rate = 240;

    /*! @brief Longest call; 24 at once are whole in it. */
    static constexpr cj::milliseconds limit{100};

    explicit narrow_origin(cj::event_loop& owner)
        : loop(owner), link(owner, link_rate)
    {
    }

    void chunks(const std::string&, const cj::model_version&,
                std::function<void(cj::result<cj::manifest>)> done)
    {
        if (away)
            return loop.post([done = std::move(done)]
                             { done(failed("connection refused")); });
        const auto one = std::make_shared<call>();
        one->done = std::move(done);
        const auto id = link.carry([one] { end(*one, whole()); });
        one->limit = loop.after(limit,
                                [this, id, one]
                                {
                                    link.give_up(id);
                                    end(*one, failed("call timed out"));
                                });
    }

    [[nodiscard]] std::size_t most_open() const { return link.most_open(); }

    bool away{false};

private:
    struct call
    {
        std::function<void(cj::result<cj::manifest>)> done;
        cj::timer limit;
    };

    static cj::result<cj::manifest> failed(const char* why)
    {
        return cj::failure(cj::error_kind::unavailable, why);
    }

    static cj::result<cj::manifest> whole()
    {
        return cj::manifest::assemble(16, {cj::digest::of("a chunk")});
    }

    static void end(call& one, cj::result<cj::manifest> how)
    {
        const auto done = std::exchange(one.done, nullptr);
        one.limit.stop();
        if (done)
            done(std::move(how));
    }

    cj::event_loop& loop;
    loopback::narrow_link link;
};

/*! @brief Sides in three halls that all want the same version. */
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
                pauses.clear();
                fetches.clear();
                servers.clear();
                origin.reset();
                client.reset();
            });
        loop.stop();
    }

    swarm(const swarm&) = delete;
    swarm& operator=(const swarm&) = delete;

    /*! @brief Returns the side that all others have their manifest from. */
    cj::instance_id first() const
    {
        std::vector<cj::instance_id> ids;
        for (const auto& one : all)
            ids.push_back(one.id);
        return cj::rendezvous_rank(wanted.rank_key(), ids, 1).front();
    }

    /*! @brief A side is dead, and the others do not know. */
    void kill(const cj::instance_id& side)
    {
        loop.on_loop([&] { servers.erase(side); });
    }

    /*! @brief A side gives what it is asked for in ten parts.
     * @param each Time between two of them. */
    void slow_down(const cj::instance_id& side, cj::milliseconds each)
    {
        loop.on_loop([&] { slow[side] = each; });
    }

    void origin_away(bool away)
    {
        loop.on_loop([&] { origin->away = away; });
    }

    /*! @brief A version is named to everybody that lives. */
    void name()
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

    /*! @brief A version is named to one side. */
    void name_only(const cj::instance_id& side)
    {
        loop.on_loop([&] { fetch(side); });
    }

    bool has_manifest(const cj::instance_id& side, cj::milliseconds patience)
    {
        const auto until = cj::event_loop::now() + patience;
        bool has = false;
        while (!has && cj::event_loop::now() < until)
        {
            std::this_thread::sleep_for(10ms);
            loop.on_loop([&] { has = holders.contains(side); });
        }
        return has;
    }

    /*! @brief Waits until everybody that lives has the manifest.
     * @return Whether that was so in time. */
    bool whole_within(cj::milliseconds patience)
    {
        const auto until = cj::event_loop::now() + patience;
        while (cj::event_loop::now() < until)
        {
            bool whole = false;
            loop.on_loop([&] { whole = holders.size() == servers.size(); });
            if (whole)
                return true;
            std::this_thread::sleep_for(10ms);
        }
        return false;
    }

    std::size_t most_at_origin()
    {
        std::size_t most = 0;
        loop.on_loop([&] { most = origin->most_open(); });
        return most;
    }

private:
    void serve(const cj::instance_id& id)
    {
        auto made = cj::stream_server::create(
            loop.loop, "127.0.0.1", 0, {},
            [this, id](const cj::stream_request&, cj::stream_reply reply)
            {
                const auto found = holders.find(id);
                if (found == holders.end())
                    return reply.send(404, {}, "");
                if (!slow.contains(id))
                    return reply.send(200, {}, found->second.to_lines());
                reply.begin(200, {});
                trickle(id, found->second.to_lines(), std::move(reply));
            });
        addresses[id] = "127.0.0.1:" + std::to_string(made.value()->port());
        servers[id] = std::move(made.value());
    }

    void trickle(const cj::instance_id& id, const std::string& rest,
                 cj::stream_reply reply)
    {
        constexpr std::size_t part = 10;
        reply.write(rest.substr(0, part));
        if (rest.size() <= part)
            return reply.finish();
        pauses.push_back(loop.loop.after(
            slow.at(id), [this, id, left = rest.substr(part), reply]
            { trickle(id, left, reply); }));
    }

    void fetch(const cj::instance_id& id)
    {
        cj::transfer_context around;
        around.origin_address = [] { return std::string("origin"); };
        around.participants = [this] { return all; };
        around.peer_endpoint = [this](const cj::instance_id& peer)
        { return addresses.at(peer); };
        auto made = std::make_shared<cj::manifest_fetch<narrow_origin>>(
            loop.loop, *client, *origin, wanted, id, around,
            cj::chunk_transfer_options{},
            [this, id](cj::manifest list)
            { holders.emplace(id, std::move(list)); });
        made->start();
        fetches.push_back(std::move(made));
    }

    std::vector<cj::participant> all;
    loopback::running_loop loop;
    std::optional<cj::stream_client> client;
    std::optional<narrow_origin> origin;
    std::map<cj::instance_id, std::unique_ptr<cj::stream_server>> servers;
    std::map<cj::instance_id, std::string> addresses;
    std::map<cj::instance_id, cj::manifest> holders;
    std::map<cj::instance_id, cj::milliseconds> slow;
    std::vector<cj::timer> pauses;
    std::vector<std::shared_ptr<cj::manifest_fetch<narrow_origin>>> fetches;
};

} // namespace

// Two hundred sides want a manifest and nobody can give it to them: the origin
// is away, or the side is dead that the others wait for. If each of them then
// asked the origin, two hundred calls would share a link on which 24 are whole
// before they are given up; none would end, all would begin again from nothing,
// and the link would stay full after the trouble is over.
SCENARIO("a manifest reaches all over a link that few can use at once",
         "[transfer]")
{
    constexpr std::size_t sides = 200;
    constexpr std::size_t whole_at_once = 24;
    GIVEN("sides of three halls and an origin with a narrow link")
    {
        swarm all(sides);
        WHEN("all is well as the version is named")
        {
            all.name();
            THEN("everybody has the manifest, and one asked the origin")
            {
                CHECK(all.whole_within(1000ms));
                CHECK(all.most_at_origin() == 1);
            }
        }
        WHEN("the origin is away as the version is named, and comes back")
        {
            all.origin_away(true);
            all.name();
            std::this_thread::sleep_for(1500ms);
            all.origin_away(false);
            THEN("everybody has the manifest soon, and few asked for it")
            {
                CHECK(all.whole_within(3000ms));
                CHECK(all.most_at_origin() <= whole_at_once);
            }
        }
        WHEN("the side is dead that the others have it from")
        {
            all.kill(all.first());
            all.name();
            THEN("some stand in for it, and not all at once")
            {
                CHECK(all.whole_within(3000ms));
                CHECK(all.most_at_origin() <= whole_at_once);
            }
        }
    }
    GIVEN("two sides of which the first has a full link, and no origin")
    {
        swarm two(2);
        two.name_only(two.first());
        REQUIRE(two.has_manifest(two.first(), 1000ms));
        two.origin_away(true);
        two.slow_down(two.first(), 100ms);
        THEN("a manifest that keeps coming is waited for")
        {
            two.name();
            CHECK(two.whole_within(3000ms));
        }
    }
    GIVEN("a side that is alone")
    {
        swarm one(1);
        THEN("it has the manifest from the origin at once")
        {
            one.name();
            CHECK(one.whole_within(200ms));
        }
    }
}
