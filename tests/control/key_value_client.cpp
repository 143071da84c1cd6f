#include "coursejunction/control/key_value_client.hpp"

#include <algorithm>
#include <atomic>
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

/*! @brief A key-value service with one key, behind a narrow link that all
 * calls share. */
class narrow_link_service
{
public:
    /*! @brief Calls that the link carries in a second. */
    static constexpr double link_rate = 20;

    /*! @brief Time limit of a call; five concurrent calls fit into it. */
    static constexpr cj::milliseconds limit{250};

    explicit narrow_link_service(cj::event_loop& loop) : link(loop, link_rate)
    {
        auto made = cj::stream_server::create(
            loop, "127.0.0.1", 0, {},
            [this](cj::stream_request request, cj::stream_reply reply)
            { handle(std::move(request), std::move(reply)); });
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
    void handle(cj::stream_request request, cj::stream_reply reply)
    {
        const auto shared_reply =
            std::make_shared<cj::stream_reply>(std::move(reply));
        const auto id =
            link.carry([this, request = std::move(request), shared_reply]
                       { respond(request, *shared_reply); });
        shared_reply->on_disconnect([this, id] { link.give_up(id); });
    }

    void respond(const cj::stream_request& request, cj::stream_reply& reply)
    {
        if (request.method == "PUT")
            return reply.send(200, {}, swap(request) ? "true" : "false");
        if (index == 0)
            return reply.send(404, {}, "");
        const nlohmann::json item{{"ModifyIndex", index},
                                  {"Value", cj::to_base64(value)}};
        reply.send(200, {}, nlohmann::json::array({item}).dump());
    }

    bool swap(const cj::stream_request& request)
    {
        const auto cas = request.target.find("cas=");
        if (std::stoull(request.target.substr(cas + 4)) != index)
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

/*! @brief Writers that each create another deployment at the same moment, over
 * the narrow link. */
class concurrent_writers
{
public:
    concurrent_writers()
    {
        loop.on_loop(
            [&]
            {
                service.emplace(loop.loop);
                client.emplace(loop.loop);
                values.emplace(*client, service->url(),
                               narrow_link_service::limit);
            });
    }

    ~concurrent_writers()
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

    concurrent_writers(const concurrent_writers&) = delete;
    concurrent_writers& operator=(const concurrent_writers&) = delete;

    void write(std::size_t count, cj::milliseconds deadline)
    {
        loop.on_loop(
            [&]
            {
                for (std::size_t at = 0; at < count; ++at)
                    start("d" + std::to_string(at), deadline);
            });
        const auto until = cj::event_loop::now() + deadline * 2;
        while (finished() < count && cj::event_loop::now() < until)
            std::this_thread::sleep_for(10ms);
    }

    std::size_t finished()
    {
        std::size_t number = 0;
        loop.on_loop([&] { number = finished_count; });
        return number;
    }

    std::size_t accepted()
    {
        std::size_t number = 0;
        loop.on_loop([&] { number = accepted_count; });
        return number;
    }

    std::size_t stored()
    {
        std::size_t number = 0;
        loop.on_loop([&] { number = service->deployments(); });
        return number;
    }

private:
    void start(const std::string& name, cj::milliseconds deadline)
    {
        stores.push_back(std::make_unique<cj::configuration_store>(
            loop.loop, *values, cj::event_loop::now() + deadline));
        cj::configuration_writer<cj::configuration_store>::start(
            *stores.back(), create(name), cj::write_id("write-" + name),
            cj::configuration(),
            [this](const cj::write_result& written)
            {
                ++finished_count;
                accepted_count += written.outcome ? 1 : 0;
            });
    }

    loopback::running_loop loop;
    std::optional<narrow_link_service> service;
    std::optional<cj::http_client> client;
    std::optional<cj::key_value_client> values;
    std::vector<std::unique_ptr<cj::configuration_store>> stores;
    std::size_t finished_count{0};
    std::size_t accepted_count{0};
};

/*! @brief A service behind a slow link: it sends a value in parts with pauses
 * between them, and responds to a write after a time in proportion to the size
 * of its body. */
class slow_service
{
public:
    static constexpr cj::milliseconds limit{250};
    static constexpr cj::milliseconds part_interval{100};
    static constexpr std::size_t parts = 10;
    static constexpr std::size_t write_rate = 400'000; /*!< Bytes a second. */

    /*! @param max_parts Parts after which it stops responding; with 0, writes
     * get no response either. */
    explicit slow_service(std::size_t max_parts) : parts_to_send(max_parts)
    {
        loop.on_loop(
            [&]
            {
                auto made = cj::stream_server::create(
                    loop.loop, "127.0.0.1", 0, {},
                    [this](const cj::stream_request& request,
                           cj::stream_reply reply)
                    { handle(request, std::move(reply)); });
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
                send_timer.stop();
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
        wait_until([&] { return got.has_value(); });
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
        wait_until([&] { return got.has_value(); });
        return *got;
    }

private:
    void handle(const cj::stream_request& request, cj::stream_reply reply)
    {
        current_reply = std::move(reply);
        if (request.method == "PUT")
        {
            if (parts_to_send == 0)
                return;
            const auto transfer_ms = 1000 * request.body.size() / write_rate;
            send_timer =
                loop.loop.after(cj::milliseconds(transfer_ms), [this]
                                { current_reply.send(200, {}, "true"); });
            return;
        }
        const nlohmann::json item{{"ModifyIndex", 7},
                                  {"Value", cj::to_base64("v")}};
        text = nlohmann::json::array({item}).dump();
        sent_parts = 0;
        current_reply.begin(200, {});
        send_part();
    }

    void send_part()
    {
        if (sent_parts == parts_to_send)
            return;
        const auto part_size = text.size() / parts + 1;
        current_reply.write(text.substr(
            std::min(sent_parts * part_size, text.size()), part_size));
        if (++sent_parts == parts)
            return current_reply.finish();
        send_timer = loop.loop.after(part_interval, [this] { send_part(); });
    }

    template <typename Condition>
    void wait_until(Condition condition)
    {
        for (bool met = false; !met;)
        {
            std::this_thread::sleep_for(10ms);
            loop.on_loop([&] { met = condition(); });
        }
    }

    std::size_t parts_to_send;
    loopback::running_loop loop;
    std::unique_ptr<cj::stream_server> server;
    std::optional<cj::http_client> client;
    std::optional<cj::key_value_client> values;
    cj::stream_reply current_reply;
    std::string text;
    std::size_t sent_parts{0};
    cj::timer send_timer;
};

} // namespace

// A large value, or many readers on one link, make a read slow. If a read that
// makes progress were cancelled after the usual response time, every process
// would start over again and again, and entries that start would never get the
// configuration.
SCENARIO("a slow read that makes progress is not cancelled", "[control]")
{
    GIVEN("responses that take longer than the limit on silence")
    {
        slow_service service(slow_service::parts);
        THEN("a value that arrives in parts is read")
        {
            const auto got = service.read();
            REQUIRE(got);
            CHECK(got.value().index == 7);
            CHECK(got.value().text == "v");
        }
        THEN("a write gets time in proportion to its size")
        {
            CHECK(service.write(400'000) == cj::swap_outcome::swapped);
        }
    }
    GIVEN("a service that stops responding")
    {
        const auto began = cj::event_loop::now();
        THEN("a read of half a value fails within 2 s")
        {
            slow_service service(slow_service::parts / 2);
            CHECK_FALSE(service.read());
            CHECK(cj::event_loop::now() - began < 2s);
        }
        THEN("a small write fails within 2 s")
        {
            slow_service service(0);
            CHECK(service.write(60) == cj::swap_outcome::unknown);
            CHECK(cj::event_loop::now() - began < 2s);
        }
    }
}

// The configuration is one value. Eight writers change it at the same moment
// over a link on which five concurrent calls end in time. If all failed ones
// retried after the same pause, they would overload the link together each
// time: in five seconds, in which the link carries a hundred values, not one
// change would be accepted.
SCENARIO("concurrent writers do not starve each other", "[control]")
{
    GIVEN("a service behind a narrow link")
    {
        concurrent_writers writers;
        WHEN("two write at the same moment")
        {
            writers.write(2, 5000ms);
            THEN("both changes are accepted")
            {
                CHECK(writers.accepted() == 2);
            }
        }
        WHEN("more write than the link can serve in time")
        {
            constexpr std::size_t count = 8;
            constexpr std::size_t min_accepted = 6;
            writers.write(count, 5000ms);
            THEN("most are accepted, and each write reports its result")
            {
                CHECK(writers.finished() == count);
                CHECK(writers.accepted() >= min_accepted);
                CHECK(writers.stored() >= writers.accepted());
            }
        }
    }
}

SCENARIO("a swap whose answer broke off is neither done nor lost to another "
         "writer",
         "[control]")
{
    const auto outcome_of = [](const std::string& body)
    {
        loopback::scripted_peer service({"HTTP/1.1 200 OK\r\n\r\n" + body});
        loopback::running_loop running;
        std::unique_ptr<cj::http_client> client;
        std::unique_ptr<cj::key_value_client> values;
        std::optional<cj::swap_outcome> outcome;
        std::atomic<bool> done{false};
        running.on_loop(
            [&]
            {
                client = std::make_unique<cj::http_client>(running.loop);
                values = std::make_unique<cj::key_value_client>(
                    *client, "http://" + service.address, 1000ms);
                values->compare_and_swap("a/key", 0, "value",
                                         [&](cj::swap_outcome swapped)
                                         {
                                             outcome = swapped;
                                             done = true;
                                             done.notify_all();
                                         });
            });
        done.wait(false);
        running.stop();
        return *outcome;
    };
    CHECK(outcome_of("tr") == cj::swap_outcome::unknown);
    CHECK(outcome_of("true") == cj::swap_outcome::swapped);
    CHECK(outcome_of("false\n") == cj::swap_outcome::lost_race);
}
