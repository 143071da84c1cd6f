#include "coursejunction/proxy/gateway.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "net/loopback.hpp"
#include "proxy/entry_on_loopback.hpp"
#include "proxy/memory_origin.hpp"
#include "proxy/memory_store.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

/*! @brief Reads configurations and published versions as `VERSION`, upstreams
 * as `COUNT STATE`, where the count orders their writes. */
struct test_catalogue
{
    static cj::item_kind kind(const std::string& key)
    {
        if (key == "configuration")
            return cj::item_kind::configuration;
        if (key.starts_with(cj::version_record_prefix))
            return cj::item_kind::version_record;
        if (key.starts_with(cj::quarantine_prefix))
            return cj::item_kind::quarantine;
        if (key == cj::configuration_copy_key())
            return cj::item_kind::configuration_copy;
        if (key.starts_with("up/"))
            return cj::item_kind::upstream;
        return key.starts_with("named/") ? cj::item_kind::version
                                         : cj::item_kind::other;
    }
    static cj::result<cj::installation>
    configuration(const std::string& payload)
    {
        cj::installation installation;
        installation.version = std::stoull(payload);
        cj::service_profile service;
        service.name = cj::service_name("s");
        service.engine = cj::engine_profile{};
        service.engine->models = {"m"};
        service.engine->chunks = proxy_test::origin_chunks;
        service.engine->chunk_bytes = proxy_test::origin_chunk_bytes;
        installation.services[service.name] = service;
        cj::service_profile weights;
        weights.name = cj::service_name("weights");
        weights.origin = "origin";
        installation.services[weights.name] = weights;
        return installation;
    }
    static cj::result<cj::upstream_record> upstream(const std::string& key,
                                                    const std::string& payload)
    {
        cj::upstream_record record;
        record.id = cj::instance_id(key);
        record.address = "127.0.0.1:9";
        record.leaving = payload.ends_with(" leaves");
        record.sequence = std::stoull(payload);
        return record;
    }
    static cj::instance_id upstream_id(const std::string& key)
    {
        return cj::instance_id(key);
    }
    static cj::result<cj::version_target> version(const std::string& payload)
    {
        return cj::version_target{"m", std::stoull(payload)};
    }
    static cj::item_order order(const std::string& key,
                                const std::string& payload)
    {
        const bool unordered = key == "other" ||
                               kind(key) == cj::item_kind::version_record ||
                               kind(key) == cj::item_kind::quarantine ||
                               kind(key) == cj::item_kind::configuration_copy;
        return unordered ? cj::item_order{}
                         : cj::item_order{0, std::stoull(payload)};
    }
    static bool is_operator_key(const std::string& key)
    {
        return kind(key) == cj::item_kind::configuration ||
               kind(key) == cj::item_kind::version;
    }
};

struct test_platform
{
    using store = proxy_test::memory_store;
    using catalogue = test_catalogue;
    using codec = proxy_test::test_codec;
    using origin = proxy_test::memory_origin;
};

/*! @brief An entry process that reads and writes a store. The functions that
 * wait do so for 2 s at most and return whether the state was reached. */
class entry_process
{
public:
    using entry = cj::gateway<test_platform>;

    /*! @param host Last byte of its loopback address. */

    entry_process(proxy_test::store_content& keys, int host)
        : address(loopback::own_address(host))
    {
        running.on_loop(
            [&]
            {
                store = std::make_unique<proxy_test::memory_store>(running.loop,
                                                                   keys);
                cj::fleet_options peers;
                peers.address = address;
                peers.port = port;
                peers.hall = cj::hall_id("h");
                peers.entry = true;
                peers.seeds = {address};
                peers.items = {test_catalogue::order,
                               test_catalogue::is_operator_key};
                node = std::move(entry::node_type::create(running.loop, *store,
                                                          counters, peers)
                                     .value());
                cj::gateway_options options;
                options.listen_address = address + ":0";
                options.readiness_address = address + ":0";
                gateway = std::move(
                    entry::create(running.loop, *node, counters, options)
                        .value());
                gateway->start();
            });
    }

    ~entry_process()
    {
        running.on_loop(
            [&]
            {
                gateway.reset();
                node.reset();
                store.reset();
            });
        running.stop();
    }

    /*! @brief Changes the store on the event loop, so that nothing reads it
     * meanwhile. */
    template <typename Change>
    void on_loop(Change work)
    {
        running.on_loop(work);
    }

    [[nodiscard]] std::uint64_t newest_version()
    {
        std::uint64_t version = 0;
        running.on_loop([&] { version = gateway->view().newest("m"); });
        return version;
    }

    /*! @brief Waits until a version is the newest known one. */
    [[nodiscard]] bool wait_for_version(std::uint64_t version)
    {
        return wait_until([&]
                          { return gateway->view().newest("m") == version; });
    }

    /*! @brief Waits until the version record in the store has this newest
     * version. */
    [[nodiscard]] bool
    wait_for_stored_version(const proxy_test::store_content& keys,
                            std::uint64_t version)
    {
        const auto key = cj::version_record_key("m");
        return wait_until(
            [&]
            {
                const auto found = keys.items.find(key);
                if (found == keys.items.end())
                    return false;
                const auto kept =
                    cj::read_version_record(key, found->second.payload);
                return kept && kept.value().newest == version;
            });
    }

    /*! @brief Returns the number of the applied configuration; 0 for none. */
    [[nodiscard]] std::uint64_t configuration_number()
    {
        std::uint64_t number = 0;
        running.on_loop([&] { number = current_configuration(); });
        return number;
    }

    /*! @brief Waits until a configuration is applied. */
    [[nodiscard]] bool wait_for_configuration(std::uint64_t number)
    {
        return wait_until([&] { return current_configuration() == number; });
    }

    [[nodiscard]] bool wait_for_upstream(const std::string& upstream)
    {
        return wait_until([&] { return find_upstream(upstream) != nullptr; });
    }

    [[nodiscard]] bool wait_for_leaving_upstream(const std::string& upstream)
    {
        return wait_until(
            [&]
            {
                const auto* found = find_upstream(upstream);
                return found != nullptr && found->record.leaving;
            });
    }

    /*! @brief Waits until a request is quarantined. */
    [[nodiscard]] bool wait_for_quarantine(const cj::request_content& content)
    {
        return wait_until(
            [&] { return gateway->crashes().records().is_blocked(content); });
    }

    /*! @brief Waits until the store does not hold a key. */
    [[nodiscard]] bool
    wait_for_key_removal(const proxy_test::store_content& keys,
                         const std::string& key)
    {
        return wait_until([&] { return !keys.holds(key); });
    }

    /*! @brief Waits until the store holds a key. */
    [[nodiscard]] bool wait_for_key(const proxy_test::store_content& keys,
                                    const std::string& key)
    {
        return wait_until([&] { return keys.holds(key); });
    }

    [[nodiscard]] bool wait_for_ready_upstream(const std::string& upstream)
    {
        return wait_until(
            [&]
            {
                const auto* found = find_upstream(upstream);
                return found != nullptr && !found->record.leaving;
            });
    }

private:
    static constexpr std::uint16_t port{21'731};

    template <typename Condition>
    bool wait_until(Condition condition)
    {
        for (int attempt = 0; attempt < 100; ++attempt)
        {
            bool holds = false;
            running.on_loop([&] { holds = condition(); });
            if (holds)
                return true;
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }

    [[nodiscard]] std::uint64_t current_configuration() const
    {
        const auto* configuration = gateway->view().configuration();
        return configuration == nullptr ? 0 : configuration->version;
    }

    [[nodiscard]] const cj::known_upstream*
    find_upstream(const std::string& upstream) const
    {
        return gateway->upstreams().find(cj::instance_id(upstream));
    }

    std::string address;
    cj::metrics counters;
    loopback::running_loop running;
    std::unique_ptr<proxy_test::memory_store> store;
    std::unique_ptr<entry::node_type> node;
    std::unique_ptr<entry> gateway;
};

} // namespace

SCENARIO("an older version does not become the newest again after all entries "
         "restart",
         "[proxy]")
{
    proxy_test::store_content keys;
    keys.write("configuration", "1");
    keys.write("named/m", "2");
    {
        entry_process before(keys, 1);
        REQUIRE(before.wait_for_version(2));
        before.on_loop([&] { keys.write("named/m", "3"); });
        REQUIRE(before.wait_for_version(3));

        REQUIRE(before.wait_for_stored_version(keys, 3));

        // A write whose response was lost is sent again, and overwrites a newer
        // one.
        before.on_loop([&] { keys.write("named/m", "2"); });
        std::this_thread::sleep_for(200ms);
        CHECK(before.newest_version() == 3);
    }
    entry_process after(keys, 1);
    CHECK(after.wait_for_version(3));
}

SCENARIO(
    "a version that was overwritten before any entry read it is learned from "
    "the origin",
    "[proxy]")
{
    proxy_test::origin_versions origin;
    origin.publish("m", 3);
    proxy_test::store_content keys;
    keys.write("configuration", "1");

    SECTION("by an entry that starts later")
    {
        keys.write("named/m", "2");
        entry_process entry(keys, 1);
        CHECK(entry.wait_for_version(3));
        CHECK(entry.wait_for_stored_version(keys, 3));
    }
    SECTION("by a running entry whose watch shows only the last write")
    {
        origin.publish("m", 2);
        keys.write("named/m", "2");
        entry_process entry(keys, 1);
        REQUIRE(entry.wait_for_version(2));
        entry.on_loop(
            [&]
            {
                origin.publish("m", 3);
                keys.write("named/m", "3");
                keys.write("named/m", "2");
            });
        CHECK(entry.wait_for_version(3));
        CHECK(entry.wait_for_stored_version(keys, 3));
    }
}

SCENARIO("a version that the watch returned is kept although a later write "
         "replaced it",
         "[proxy]")
{
    proxy_test::store_content keys;
    keys.watch_returns_history = true;
    keys.write("configuration", "1");
    keys.write("named/m", "2");
    entry_process entry(keys, 1);
    REQUIRE(entry.wait_for_version(2));
    entry.on_loop(
        [&]
        {
            keys.write("named/m", "3");
            keys.write("named/m", "2");
        });
    CHECK(entry.wait_for_version(3));
    CHECK(entry.wait_for_stored_version(keys, 3));
}

SCENARIO("a single corrupted response of the origin is not believed", "[proxy]")
{
    proxy_test::origin_versions origin;
    origin.publish("m", 2);
    origin.corrupt_next_response(9);
    proxy_test::store_content keys;
    keys.write("configuration", "1");
    keys.write("named/m", "2");
    entry_process entry(keys, 1);
    REQUIRE(entry.wait_for_version(2));
    std::this_thread::sleep_for(2s);
    CHECK(entry.newest_version() == 2);
    CHECK(entry.wait_for_stored_version(keys, 2));
}

SCENARIO("a delayed write does not make a leaving upstream ready again",
         "[proxy]")
{
    proxy_test::store_content keys;
    keys.write("configuration", "1");
    keys.write("up/a", "1 ready");
    entry_process entry(keys, 1);
    REQUIRE(entry.wait_for_upstream("up/a"));
    entry.on_loop([&] { keys.write("up/a", "3 leaves"); });
    REQUIRE(entry.wait_for_leaving_upstream("up/a"));
    entry.on_loop([&] { keys.write("up/a", "2 ready"); });
    std::this_thread::sleep_for(500ms);
    CHECK(entry.wait_for_leaving_upstream("up/a"));

    SECTION("its next ready record does")
    {
        entry.on_loop([&] { keys.write("up/a", "4 ready"); });
        CHECK(entry.wait_for_ready_upstream("up/a"));
    }
}

SCENARIO("an implausible version record is not believed", "[proxy]")
{
    constexpr std::uint64_t implausible = 1'000'000'000'000;
    const auto key = cj::version_record_key("m");
    const auto payload =
        cj::version_record_payload({"m", implausible, implausible});
    proxy_test::store_content keys;
    keys.write("configuration", "1");
    keys.write("named/m", "3");

    SECTION("by an entry that starts after it was written")
    {
        keys.write(key, payload);
        entry_process entry(keys, 1);
        CHECK(entry.wait_for_version(3));
        CHECK(entry.wait_for_stored_version(keys, 3));
        CHECK(entry.newest_version() == 3);
    }
    SECTION("by an entry that runs when it is written")
    {
        entry_process entry(keys, 1);
        REQUIRE(entry.wait_for_stored_version(keys, 3));
        entry.on_loop([&] { keys.write(key, payload); });
        CHECK(entry.wait_for_stored_version(keys, implausible));
        CHECK(entry.wait_for_stored_version(keys, 3));
        CHECK(entry.newest_version() == 3);
    }
}

SCENARIO("changes after a rollback of the store are not missed", "[proxy]")
{
    proxy_test::store_content keys;
    keys.write("configuration", "1");
    keys.write("up/a", "1 ready");
    keys.write("up/b", "1 ready");
    const auto snapshot = keys;
    entry_process entry(keys, 1);
    REQUIRE(entry.wait_for_configuration(1));
    entry.on_loop(
        [&]
        {
            for (int change = 0; change < 10; ++change)
                keys.write("other", "");
            keys.write("configuration", "2");
            keys.write("up/b", "2 ready");
            keys.write("up/a", "2 leaves");
        });
    REQUIRE(entry.wait_for_configuration(2));
    REQUIRE(entry.wait_for_leaving_upstream("up/a"));
    entry.on_loop([&] { keys.restore_from(snapshot); });

    SECTION("a configuration is applied")
    {
        entry.on_loop([&] { keys.write("configuration", "3"); });
        CHECK(entry.wait_for_configuration(3));
    }
    SECTION("an upstream is marked as leaving")
    {
        entry.on_loop([&] { keys.write("up/b", "3 leaves"); });
        CHECK(entry.wait_for_leaving_upstream("up/b"));
    }
    SECTION("a new upstream is used")
    {
        entry.on_loop([&] { keys.write("up/c", "1 ready"); });
        CHECK(entry.wait_for_upstream("up/c"));
    }
    SECTION(
        "values that the rollback lost stay valid until they are written again")
    {
        entry.on_loop([&] { keys.write("other", ""); });
        std::this_thread::sleep_for(1s);
        CHECK(entry.configuration_number() == 2);
        CHECK(entry.wait_for_leaving_upstream("up/a"));
    }
}

namespace
{

/*! @brief Returns the stored form of a quarantine whose last crash was just
 * now. */
std::string quarantine_from_now(const cj::request_content& content)
{
    const auto now = std::chrono::duration_cast<cj::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    return cj::quarantine_payload({content, {{1, 2}, {2, 2}, {3, 2}}, {}, 0},
                                  now.count());
}

} // namespace

SCENARIO("quarantines that a rollback of the store lost are written again",
         "[proxy]")
{
    const auto bad = cj::request_content::of("school", "/", "bad");
    const auto key = cj::quarantine_key(bad);
    proxy_test::store_content keys;
    keys.write("configuration", "1");
    const auto snapshot = keys;
    keys.write(key, quarantine_from_now(bad));

    SECTION("and an entry that starts later loads them")
    {
        {
            entry_process entry(keys, 1);
            REQUIRE(entry.wait_for_quarantine(bad));
            entry.on_loop([&] { keys.restore_from(snapshot); });
            CHECK(entry.wait_for_key(keys, key));
        }
        entry_process after(keys, 1);
        REQUIRE(after.wait_for_configuration(1));
        CHECK(after.wait_for_quarantine(bad));
    }
    SECTION("unless they had been removed before the rollback")
    {
        entry_process entry(keys, 1);
        REQUIRE(entry.wait_for_quarantine(bad));
        entry.on_loop([&] { keys.remove(key); });
        std::this_thread::sleep_for(300ms);
        entry.on_loop([&] { keys.restore_from(snapshot); });
        std::this_thread::sleep_for(1s);
        entry.on_loop([&] { CHECK_FALSE(keys.holds(key)); });
    }
}

SCENARIO(
    "an older configuration is not applied again after all entries restart",
    "[proxy]")
{
    const auto copy_key = cj::configuration_copy_key();
    proxy_test::store_content keys;
    keys.write("configuration", "3");
    const auto snapshot = keys;
    {
        entry_process before(keys, 1);
        REQUIRE(before.wait_for_configuration(3));
        before.on_loop([&] { keys.write("configuration", "5"); });
        REQUIRE(before.wait_for_configuration(5));
        std::this_thread::sleep_for(300ms);
        before.on_loop([&] { CHECK_FALSE(keys.holds(copy_key)); });

        SECTION("even if a delayed write restored it in the store")
        {
            before.on_loop([&] { keys.write("configuration", "3"); });
            CHECK(before.wait_for_key(keys, copy_key));
            CHECK(before.configuration_number() == 5);
        }
        SECTION("even if the store was rolled back to it")
        {
            before.on_loop([&] { keys.restore_from(snapshot); });
            CHECK(before.wait_for_key(keys, copy_key));
            CHECK(before.configuration_number() == 5);
        }
    }
    entry_process after(keys, 1);
    CHECK(after.wait_for_configuration(5));

    WHEN("a newer configuration is written")
    {
        after.on_loop([&] { keys.write("configuration", "6"); });
        THEN("it is applied, and the copy of the previous one is removed")
        {
            CHECK(after.wait_for_configuration(6));
            CHECK(after.wait_for_key_removal(keys, copy_key));
        }
    }
}

SCENARIO("an implausible copy of the configuration is not believed", "[proxy]")
{
    proxy_test::store_content keys;
    keys.write(cj::configuration_copy_key(), "1000000000000");
    keys.write("configuration", "3");
    entry_process entry(keys, 1);
    REQUIRE(entry.wait_for_configuration(3));
    CHECK(entry.wait_for_key_removal(keys, cj::configuration_copy_key()));
    CHECK(entry.configuration_number() == 3);
}
