#include "coursejunction/control/key_value_client.hpp"

#include <algorithm>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "coursejunction/core/base64.hpp"
#include "coursejunction/net/http_client.hpp"
#include "coursejunction/net/stream_server.hpp"
#include "net/loopback.hpp"
#include "net/narrow_link.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

/*! @brief The service with its one value behind a link that all share. */
class distant_service
{
public:
    /*! @brief Values that the link carries in a second. */
    static constexpr double link_rate = 20;

    /*! @brief Longest call; five at once are whole in it. */
    static constexpr cj::milliseconds limit{250};

    explicit distant_service(cj::event_loop& loop) : link(loop, link_rate)
    {
        auto made = cj::stream_server::create(
            loop, "127.0.0.1", 0, {},
            [this](cj::stream_request request, cj::stream_reply reply)
            { take(std::move(request), std::move(reply)); });
        server = std::move(made.value());
    }

    [[nodiscard]] std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(server->port());
    }

    [[nodiscard]] std::size_t deployments() const
    {
        return index == 0 ? 0
                          : cj::configuration::parse(value)
                                .value()
                                .deployments()
                                .size();
    }

private:
    void take(cj::stream_request request, cj::stream_reply reply)
    {
        const auto to = std::make_shared<cj::stream_reply>(std::move(reply));
        const auto id = link.carry([this, request = std::move(request), to]
                                   { answer(request, *to); });
        to->on_left([this, id] { link.give_up(id); });
    }

    void answer(const cj::stream_request& request, cj::stream_reply& to)
    {
        if (request.method == "PUT")
            return to.send(200, {}, swap(request) ? "true" : "false");
        if (index == 0)
            return to.send(404, {}, "");
        const nlohmann::json one{{"ModifyIndex", index},
                                 {"Value", cj::to_base64(value)}};
        to.send(200, {}, nlohmann::json::array({one}).dump());
    }

    bool swap(const cj::stream_request& request)
    {
        const auto known = request.target.find("cas=");
        if (std::stoull(request.target.substr(known + 4)) != index)
            return false;
        value = request.body;
        ++index;
        return true;
    }

    loopback::narrow_link link;
    std::unique_ptr<cj::stream_server> server;
    std::string value;
    std::uint64_t index{0};
};

cj::configuration_change create(const std::string& name)
{
    cj::configuration_change change;
    change.name = cj::deployment_name(name);
    change.spec.name = change.name;
    change.spec.model = "m";
    change.spec.version = cj::digest::of("v");
    change.spec.placements.push_back({cj::hall_id("north"), 1, {}});
    return change;
}

/*! @brief Operators who each change something else at the same moment, at
 * entries far from the service. */
class operators
{
public:
    operators()
    {
        loop.on_loop(
            [&]
            {
                service.emplace(loop.loop);
                client.emplace(loop.loop);
                values.emplace(*client, service->url(), distant_service::limit);
            });
    }

    ~operators()
    {
        loop.on_loop(
            [&]
            {
                stores.clear();
                client.reset();
                service.reset();
            });
        loop.stop();
    }

    operators(const operators&) = delete;
    operators& operator=(const operators&) = delete;

    void write(std::size_t count, cj::milliseconds patience)
    {
        loop.on_loop(
            [&]
            {
                for (std::size_t at = 0; at < count; ++at)
                    start("d" + std::to_string(at), patience);
            });
        const auto until = cj::event_loop::now() + patience * 2;
        while (ended() < count && cj::event_loop::now() < until)
            std::this_thread::sleep_for(10ms);
    }

    std::size_t ended()
    {
        std::size_t number = 0;
        loop.on_loop([&] { number = told; });
        return number;
    }

    std::size_t accepted()
    {
        std::size_t number = 0;
        loop.on_loop([&] { number = good; });
        return number;
    }

    std::size_t stored()
    {
        std::size_t number = 0;
        loop.on_loop([&] { number = service->deployments(); });
        return number;
    }

private:
    void start(const std::string& name, cj::milliseconds patience)
    {
        stores.push_back(std::make_unique<cj::configuration_store>(
            loop.loop, *values, cj::event_loop::now() + patience));
        cj::configuration_writer<cj::configuration_store>::start(
            *stores.back(), create(name), cj::write_id("write-" + name),
            cj::configuration(),
            [this](const cj::write_result& end)
            {
                ++told;
                good += end.outcome ? 1 : 0;
            });
    }

    loopback::running_loop loop;
    std::optional<distant_service> service;
    std::optional<cj::http_client> client;
    std::optional<cj::key_value_client> values;
    std::vector<std::unique_ptr<cj::configuration_store>> stores;
    std::size_t told{0};
    std::size_t good{0};
};

/*! @brief The service alone at the end of a slow link: it gives a value part by
 * part, and answers a write after a time for each of its bytes. */
class slow_service
{
public:
    static constexpr cj::milliseconds limit{250};
    static constexpr cj::milliseconds each_part{100};
    static constexpr std::size_t parts = 10;
    static constexpr std::size_t write_rate = 400'000; /*!< Bytes a second. */

    /*! @param given Parts after which it falls silent. */
    explicit slow_service(std::size_t given) : most(given)
    {
        loop.on_loop(
            [&]
            {
                auto made = cj::stream_server::create(
                    loop.loop, "127.0.0.1", 0, {},
                    [this](const cj::stream_request& request,
                           cj::stream_reply reply)
                    { take(request, std::move(reply)); });
                server = std::move(made.value());
                client.emplace(loop.loop);
                values.emplace(*client,
                               "http://127.0.0.1:" +
                                   std::to_string(server->port()),
                               limit);
            });
    }

    ~slow_service()
    {
        loop.on_loop(
            [&]
            {
                pause.stop();
                client.reset();
                server.reset();
            });
        loop.stop();
    }

    slow_service(const slow_service&) = delete;
    slow_service& operator=(const slow_service&) = delete;

    cj::result<cj::stored_value> read()
    {
        std::optional<cj::result<cj::stored_value>> got;
        loop.on_loop(
            [&]
            { values->read("a/key", [&](auto end) { got.emplace(end); }); });
        wait([&] { return got.has_value(); });
        return *got;
    }

    cj::swap_outcome write(std::size_t bytes)
    {
        std::optional<cj::swap_outcome> got;
        loop.on_loop(
            [&]
            {
                values->compare_and_swap("a/key", 0, std::string(bytes, 'x'),
                                         [&](auto end) { got = end; });
            });
        wait([&] { return got.has_value(); });
        return *got;
    }

private:
    void take(const cj::stream_request& request, cj::stream_reply reply)
    {
        open = std::move(reply);
        if (request.method == "PUT")
        {
            if (most == 0)
                return;
            const auto takes = 1000 * request.body.size() / write_rate;
            pause = loop.loop.after(cj::milliseconds(takes),
                                    [this] { open.send(200, {}, "true"); });
            return;
        }
        const nlohmann::json one{{"ModifyIndex", 7},
                                 {"Value", cj::to_base64("v")}};
        text = nlohmann::json::array({one}).dump();
        given = 0;
        open.begin(200, {});
        give();
    }

    void give()
    {
        if (given == most)
            return;
        const auto each = text.size() / parts + 1;
        open.write(text.substr(std::min(given * each, text.size()), each));
        if (++given == parts)
            return open.finish();
        pause = loop.loop.after(each_part, [this] { give(); });
    }

    template <typename Over>
    void wait(Over over)
    {
        for (bool ended = false; !ended;)
        {
            std::this_thread::sleep_for(10ms);
            loop.on_loop([&] { ended = over(); });
        }
    }

    std::size_t most;
    loopback::running_loop loop;
    std::unique_ptr<cj::stream_server> server;
    std::optional<cj::http_client> client;
    std::optional<cj::key_value_client> values;
    cj::stream_reply open;
    std::string text;
    std::size_t given{0};
    cj::timer pause;
};

} // namespace

// The value is large, or many read it at once over one link, so that it comes
// slowly. If a read were given up after the time in which the service usually
// answers, the whole would be read again from nothing, by everybody, without an
// end: entries that start would never know what is in force.
SCENARIO("a value that keeps coming is read to its end", "[control]")
{
    GIVEN("a service whose answers take longer than a call may be silent")
    {
        slow_service service(slow_service::parts);
        THEN("a value that comes part by part is read")
        {
            const auto got = service.read();
            REQUIRE(got);
            CHECK(got.value().index == 7);
            CHECK(got.value().text == "v");
        }
        THEN("a write has the time that its bytes take")
        {
            CHECK(service.write(400'000) == cj::swap_outcome::swapped);
        }
    }
    GIVEN("a service that falls silent")
    {
        const auto began = cj::event_loop::now();
        THEN("half a value is given up soon")
        {
            slow_service service(slow_service::parts / 2);
            CHECK_FALSE(service.read());
            CHECK(cj::event_loop::now() - began < 2s);
        }
        THEN("so is a small write")
        {
            slow_service service(0);
            CHECK(service.write(60) == cj::swap_outcome::unknown);
            CHECK(cj::event_loop::now() - began < 2s);
        }
    }
}

// The configuration is one value. Eight operators change it at the same moment
// over a link on which five calls at once end in time. If all that failed came
// back after the same pause, they would fill the link together again and
// again: in five seconds, in which it carries a hundred values, no change at
// all would be accepted.
SCENARIO("operators who write at once do not keep each other from it",
         "[control]")
{
    GIVEN("a service behind a narrow link")
    {
        operators many;
        WHEN("two write at the same moment")
        {
            many.write(2, 5000ms);
            THEN("both changes are accepted")
            {
                CHECK(many.accepted() == 2);
            }
        }
        WHEN("more write than the link can take at once")
        {
            constexpr std::size_t count = 8;
            constexpr std::size_t most = 6;
            many.write(count, 5000ms);
            THEN("most are accepted, and each hears what became of its own")
            {
                CHECK(many.ended() == count);
                CHECK(many.accepted() >= most);
                CHECK(many.stored() >= many.accepted());
            }
        }
    }
}
