#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "coursejunction/net/datagram_socket.hpp"
#include "coursejunction/wire/codec.hpp"
#include "coursejunction/wire/fleet_message.hpp"
#include "net/congested_link.hpp"
#include "net/loopback.hpp"
#include "proxy/entry_on_loopback.hpp"
#include "proxy/entry_process.hpp"
#include "proxy/large_configuration.hpp"
#include "proxy/memory_store.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

using proxy_test::entry_process;
using proxy_test::large_configuration;

/*! @brief Sends heartbeats of an entry that has evacuations to report. */
class reporting_entry
{
public:
    explicit reporting_entry(const std::string& receiver) : to(receiver)
    {
        running.on_loop(
            [&]
            {
                socket =
                    std::move(cj::datagram_socket::create(
                                  running.loop, loopback::own_address(host), 0,
                                  [](const std::string&, std::string_view) {})
                                  .value());
            });
    }

    ~reporting_entry()
    {
        running.on_loop([&] { socket.reset(); });
        running.stop();
    }

    /*! @brief Sends a heartbeat, and waits until it has been handled. */
    void report(const std::vector<cj::message::hall_evacuation>& evacuations)
    {
        cj::message::fleet_heartbeat heartbeat;
        heartbeat.incarnation = 1;
        heartbeat.sequence = ++sequence;
        heartbeat.hall = "far";
        heartbeat.entry = true;
        heartbeat.evacuations = evacuations;
        running.on_loop([&] { socket->send(to, cj::encode(heartbeat)); });
        std::this_thread::sleep_for(50ms);
    }

private:
    static constexpr int host = 33;

    std::string to;
    loopback::running_loop running;
    std::unique_ptr<cj::datagram_socket> socket;
    std::uint64_t sequence{0};
};

/*! @brief An entry with an upstream in each of two halls. */
struct one_entry
{
    one_entry()
    {
        keys.write("configuration", "1");
        keys.write("up/a", "1 ready x");
        keys.write("up/b", "1 ready y");
        entry = std::make_unique<entry_process>(
            keys, entry_process::options{host, port});
        REQUIRE(entry->wait_for_upstream("up/a"));
        REQUIRE(entry->wait_for_upstream("up/b"));
    }

    void write(const std::string& key, const std::string& payload)
    {
        entry->on_loop([&] { keys.write(key, payload); });
    }

    void remove(const std::string& key)
    {
        entry->on_loop([&] { keys.remove(key); });
    }

    static constexpr int host = 31;
    static constexpr std::uint16_t port{21'746};

    proxy_test::store_content keys;
    std::unique_ptr<entry_process> entry;
};

} // namespace

SCENARIO("an operator evacuates a hall and returns it to service",
         "[proxy][fleet]")
{
    one_entry process;
    auto& entry = *process.entry;

    GIVEN("no evacuation")
    {
        THEN("all upstreams are used")
        {
            CHECK(entry.uses_upstream("up/a"));
            CHECK(entry.uses_upstream("up/b"));
        }
    }
    GIVEN("an evacuation of one hall")
    {
        process.write("evac/x", "{}");
        REQUIRE(entry.wait_for_unused_upstream("up/a"));
        CHECK(entry.uses_upstream("up/b"));

        WHEN("the key is removed")
        {
            process.remove("evac/x");
            THEN("its upstreams are used again")
            {
                CHECK(entry.wait_for_used_upstream("up/a"));
            }
        }
        WHEN("an upstream starts there")
        {
            process.write("up/c", "1 ready x");
            REQUIRE(entry.wait_for_upstream("up/c"));
            THEN("it is not used")
            {
                CHECK_FALSE(entry.uses_upstream("up/c"));
            }
        }
        WHEN("the store is away")
        {
            entry.on_loop([&] { process.keys.available = false; });
            std::this_thread::sleep_for(1500ms);
            THEN("the evacuation stays in effect")
            {
                CHECK_FALSE(entry.uses_upstream("up/a"));
                CHECK(entry.uses_upstream("up/b"));
            }
        }
    }
}

// A rollback that loses the key must not send requests to the hall, and must
// not keep it out of service once the operator has removed the key.
SCENARIO("an evacuation outlasts an older copy of the store", "[proxy][fleet]")
{
    one_entry process;
    auto& entry = *process.entry;
    const auto snapshot = process.keys;
    process.write("evac/x", "{}");
    REQUIRE(entry.wait_for_unused_upstream("up/a"));

    entry.on_loop([&] { process.keys.restore_from(snapshot); });
    // The entry reads the later era.
    process.write("up/d", "1 ready y");
    REQUIRE(entry.wait_for_upstream("up/d"));
    REQUIRE(entry.mirrored().era == 2);
    CHECK_FALSE(entry.uses_upstream("up/a"));

    WHEN("the operator writes the key again and removes it")
    {
        process.write("evac/x", "{}");
        std::this_thread::sleep_for(300ms);
        CHECK_FALSE(entry.uses_upstream("up/a"));
        process.remove("evac/x");
        THEN("the hall is used again")
        {
            CHECK(entry.wait_for_used_upstream("up/a"));
        }
    }
    WHEN("another entry starts, which hears of it from the first one only")
    {
        entry_process later(
            process.keys, entry_process::options{32, one_entry::port,
                                                 "elsewhere", one_entry::host});
        REQUIRE(later.wait_for_upstream("up/a"));
        THEN("it does not use the hall")
        {
            CHECK(later.wait_for_unused_upstream("up/a"));
            CHECK(later.uses_upstream("up/b"));
        }
    }
}

SCENARIO("entries report evacuations ahead of the mirror", "[proxy][fleet]")
{
    one_entry process;
    auto& entry = *process.entry;
    reporting_entry other(loopback::own_address(one_entry::host) + ":" +
                          std::to_string(one_entry::port));
    const auto at = [&](std::uint64_t beyond)
    {
        const auto mirrored = entry.mirrored();
        return cj::store_position{mirrored.era, mirrored.revision + beyond};
    };
    const auto first = at(10);
    const auto second = at(20);
    const auto third = at(30);

    WHEN("an evacuation is reported, twice")
    {
        other.report({{"x", first, true}});
        CHECK_FALSE(entry.uses_upstream("up/a"));
        other.report({{"x", first, true}});
        CHECK_FALSE(entry.uses_upstream("up/a"));
        CHECK(entry.uses_upstream("up/b"));

        THEN("it ends when its end is reported")
        {
            other.report({{"x", second, false}});
            CHECK(entry.uses_upstream("up/a"));
            AND_THEN("a late report of its start does not evacuate it again")
            {
                other.report({{"x", first, true}});
                CHECK(entry.uses_upstream("up/a"));
            }
            AND_THEN("the hall can be evacuated again")
            {
                other.report({{"x", third, true}});
                CHECK_FALSE(entry.uses_upstream("up/a"));
            }
        }
        THEN("it ends when the mirror passes it without the key")
        {
            entry.on_loop(
                [&]
                {
                    while (process.keys.revision < first.revision)
                        process.keys.write("other", "");
                });
            CHECK(entry.wait_for_used_upstream("up/a"));
        }
        THEN("it stays while the store is away, and its end may be reported")
        {
            entry.on_loop([&] { process.keys.available = false; });
            std::this_thread::sleep_for(1s);
            CHECK_FALSE(entry.uses_upstream("up/a"));
            other.report({{"x", second, false}});
            CHECK(entry.uses_upstream("up/a"));
        }
    }
    WHEN("the end is reported before the start")
    {
        other.report({{"x", second, false}});
        other.report({{"x", first, true}});
        THEN("the hall is used")
        {
            CHECK(entry.uses_upstream("up/a"));
        }
    }
    WHEN("an evacuation is reported that the mirror has passed")
    {
        other.report({{"x", entry.mirrored(), true}});
        THEN("the mirror decides")
        {
            CHECK(entry.uses_upstream("up/a"));
        }
    }
}

// The internal target is 3 s after the store acknowledged the change, for an
// entry that the store does not serve. The page of the mirror arrives later,
// since it also holds a large configuration.
SCENARIO("an entry behind a full link learns of an evacuation",
         "[proxy][fleet]")
{
    constexpr int near_host = 34;
    constexpr int far_host = 35;
    constexpr std::uint16_t near_port{21'747};
    constexpr std::uint16_t far_port{21'748};
    proxy_test::store_content keys;
    keys.write("configuration", "1");
    keys.write("up/a", "1 ready x");
    loopback::running_loop running;
    std::unique_ptr<loopback::congested_link> link;
    running.on_loop(
        [&]
        {
            link = std::make_unique<loopback::congested_link>(
                running.loop, loopback::congested_link::endpoints{
                                  loopback::own_address(near_host), near_port,
                                  loopback::own_address(far_host), far_port});
        });
    auto near_entry = std::make_unique<entry_process>(
        keys, entry_process::options{near_host, near_port, "near", near_host});
    auto far_entry = std::make_unique<entry_process>(
        keys,
        entry_process::options{far_host, far_port, "far", near_host, false});
    REQUIRE(far_entry->wait_for_upstream("up/a"));

    running.on_loop([&] { link->congest(); });
    near_entry->on_loop(
        [&]
        {
            keys.write("configuration", large_configuration(2));
            keys.write("evac/x", "{}");
        });
    CHECK(far_entry->wait_for_unused_upstream("up/a"));
    near_entry->on_loop(
        [&]
        {
            keys.write("configuration", large_configuration(3));
            keys.remove("evac/x");
        });
    CHECK(far_entry->wait_for_used_upstream("up/a"));

    far_entry.reset();
    near_entry.reset();
    running.on_loop([&] { link.reset(); });
    running.stop();
}

// Guards against an attempt of any kind that reaches an evacuated hall, and
// against requests that are held although no hall is left.
SCENARIO("requests are served outside the evacuated halls", "[proxy]")
{
    proxy_test::entry_on_loopback entry;
    entry.configure_route(cj::request_kind::repeatable);
    const auto evacuate = [&](std::map<cj::hall_id, cj::store_position> halls)
    {
        entry.running.on_loop(
            [&] { entry.book.set_evacuations(halls, cj::event_loop::now()); });
    };
    // Upstream "a" is in the entry's hall "h", "b" in the hall "other".
    proxy_test::scripted_upstream a({proxy_test::response("from a")});

    GIVEN("an evacuation of the entry's own hall")
    {
        proxy_test::scripted_upstream b({proxy_test::response("from b")});
        entry.add_upstream("a", a.address);
        entry.add_upstream("b", b.address);
        evacuate({{cj::hall_id("h"), {1, 5}}});
        THEN("its callers are served by the other hall, and by both afterwards")
        {
            CHECK(entry.ask().ends_with("from b"));
            CHECK(a.arrivals().empty());
            evacuate({});
            CHECK(entry.ask().ends_with("from a"));
        }
    }
    GIVEN("an evacuation, and an upstream elsewhere that fails")
    {
        proxy_test::scripted_upstream b(
            {proxy_test::response("failed", "7", "500 Internal Server Error")});
        entry.add_upstream("a", a.address);
        entry.add_upstream("b", b.address);
        evacuate({{cj::hall_id("h"), {1, 5}}});
        THEN("the retry does not go to the evacuated hall")
        {
            CHECK(entry.ask().starts_with("HTTP/1.1 500"));
            CHECK(a.arrivals().empty());
        }
    }
    GIVEN("an evacuation of all halls")
    {
        entry.add_upstream("a", a.address);
        evacuate({{cj::hall_id("h"), {1, 5}}});
        THEN("a request is refused at once")
        {
            const auto began = std::chrono::steady_clock::now();
            CHECK(entry.ask().starts_with("HTTP/1.1 503"));
            // It would wait for an eighth of the target, 125 ms.
            CHECK(std::chrono::steady_clock::now() - began < 100ms);
            CHECK(a.arrivals().empty());
        }
    }
    GIVEN("a request that waits for an upstream in a hall")
    {
        entry.configure_route(cj::request_kind::repeatable);
        THEN("it is refused without delay when the hall is evacuated")
        {
            entry.add_upstream("a", a.address);
            entry.running.on_loop(
                [&]
                {
                    cj::received_notice notice;
                    notice.notice.retry_after = 100ms;
                    entry.book.apply_notice(cj::instance_id("a"), notice,
                                            cj::event_loop::now());
                });
            std::string answer;
            const auto began = std::chrono::steady_clock::now();
            std::thread caller([&] { answer = entry.ask(); });
            std::this_thread::sleep_for(20ms);
            entry.running.on_loop(
                [&]
                {
                    CHECK(entry.service->queued_count() == 1);
                    entry.book.set_evacuations({{cj::hall_id("h"), {1, 5}}},
                                               cj::event_loop::now());
                    entry.service->place_waiting();
                    CHECK(entry.service->queued_count() == 0);
                });
            caller.join();
            CHECK(answer.starts_with("HTTP/1.1 503"));
            CHECK(std::chrono::steady_clock::now() - began < 100ms);
            CHECK(a.arrivals().empty());
        }
    }
}

SCENARIO("the engines of an evacuated hall are not divided between the entries",
         "[proxy]")
{
    proxy_test::entry_on_loopback entry;
    auto configuration = std::make_shared<cj::installation>();
    cj::service_profile profile;
    profile.name = cj::service_name("s");
    profile.engine = cj::engine_profile{};
    configuration->services[profile.name] = profile;
    entry.add_upstream("a", "127.0.0.9:80");
    entry.running.on_loop(
        [&]
        {
            entry.service->configure(configuration);
            cj::message::upstream_status status;
            status.model = "m";
            status.version = 1;
            status.sequence = 1;
            status.open = true;
            status.reachable = true;
            const auto now = cj::event_loop::now();
            entry.book.apply_status("127.0.0.9", status, now);
            const auto& known = *entry.book.find(cj::instance_id("a"));
            CHECK(entry.service->accepts_new_requests(known, now));
            entry.book.set_evacuations({{cj::hall_id("h"), {1, 5}}},
                                       cj::event_loop::now());
            CHECK_FALSE(entry.service->accepts_new_requests(known, now));
            entry.book.set_evacuations({}, cj::event_loop::now());
            CHECK(entry.service->accepts_new_requests(known, now));
        });
}
