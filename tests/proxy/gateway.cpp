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

/*! @brief Configurations and names of versions as `VERSION`, upstreams as
 * `COUNT STATE`. */
struct plain_catalogue
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
        cj::installation made;
        made.version = std::stoull(payload);
        cj::service_profile service;
        service.name = cj::service_name("s");
        service.engine = cj::engine_profile{};
        service.engine->models = {"m"};
        service.engine->chunks = proxy_test::origin_chunks;
        service.engine->chunk_bytes = proxy_test::origin_chunk_bytes;
        made.services[service.name] = service;
        cj::service_profile weights;
        weights.name = cj::service_name("weights");
        weights.origin = "origin";
        made.services[weights.name] = weights;
        return made;
    }
    static cj::result<cj::upstream_record> upstream(const std::string& key,
                                                    const std::string& payload)
    {
        cj::upstream_record made;
        made.id = cj::instance_id(key);
        made.address = "127.0.0.1:9";
        made.leaving = payload.ends_with(" leaves");
        made.sequence = std::stoull(payload);
        return made;
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

struct plain_platform
{
    using store = proxy_test::memory_store;
    using catalogue = plain_catalogue;
    using codec = proxy_test::plain_codec;
    using origin = proxy_test::memory_origin;
};

/*! @brief An entry process that reads and writes a store. */
class entry_process
{
public:
    using entry = cj::gateway<plain_platform>;

    entry_process(proxy_test::stored_keys& keys, int host)
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
                peers.items = {plain_catalogue::order,
                               plain_catalogue::is_operator_key};
                node = std::move(entry::node_type::create(running.loop, *store,
                                                          counters, peers)
                                     .value());
                cj::gateway_options options;
                options.listen_address = address + ":0";
                options.readiness_address = address + ":0";
                made = std::move(
                    entry::create(running.loop, *node, counters, options)
                        .value());
                made->start();
            });
    }

    ~entry_process()
    {
        running.on_loop(
            [&]
            {
                made.reset();
                node.reset();
                store.reset();
            });
        running.stop();
    }

    /*! @brief Changes the store while nothing reads it. */
    template <typename Change>
    void change(Change work)
    {
        running.on_loop(work);
    }

    [[nodiscard]] std::uint64_t newest()
    {
        std::uint64_t version = 0;
        running.on_loop([&] { version = made->view().newest("m"); });
        return version;
    }

    /*! @brief Waits until a version is the newest one that is known. */
    [[nodiscard]] bool learns(std::uint64_t version)
    {
        return holds_soon([&] { return made->view().newest("m") == version; });
    }

    /*! @brief Waits until the store's record of versions has a newest one. */
    [[nodiscard]] bool has_kept(const proxy_test::stored_keys& keys,
                                std::uint64_t version)
    {
        const auto key = cj::version_record_key("m");
        return holds_soon(
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

    /*! @brief Returns the number of the configuration in force; 0 for none. */
    [[nodiscard]] std::uint64_t configuration()
    {
        std::uint64_t number = 0;
        running.on_loop([&] { number = in_force(); });
        return number;
    }

    /*! @brief Waits until a configuration is in force. */
    [[nodiscard]] bool obeys(std::uint64_t number)
    {
        return holds_soon([&] { return in_force() == number; });
    }

    [[nodiscard]] bool knows(const std::string& upstream)
    {
        return holds_soon([&] { return record_of(upstream) != nullptr; });
    }

    [[nodiscard]] bool knows_leaving(const std::string& upstream)
    {
        return holds_soon(
            [&]
            {
                const auto* one = record_of(upstream);
                return one != nullptr && one->record.leaving;
            });
    }

    /*! @brief Waits until a request is known to end upstreams. */
    [[nodiscard]] bool suspects(const cj::request_content& what)
    {
        return holds_soon(
            [&] { return made->crashes().records().is_blocked(what); });
    }

    /*! @brief Waits until the store does not hold a key. */
    [[nodiscard]] bool misses(const proxy_test::stored_keys& keys,
                              const std::string& key)
    {
        return holds_soon([&] { return !keys.holds(key); });
    }

    /*! @brief Waits until the store holds a key. */
    [[nodiscard]] bool sees(const proxy_test::stored_keys& keys,
                            const std::string& key)
    {
        return holds_soon([&] { return keys.holds(key); });
    }

    [[nodiscard]] bool knows_ready(const std::string& upstream)
    {
        return holds_soon(
            [&]
            {
                const auto* one = record_of(upstream);
                return one != nullptr && !one->record.leaving;
            });
    }

private:
    static constexpr std::uint16_t port{21'731};

    template <typename Condition>
    bool holds_soon(Condition condition)
    {
        for (int tries = 0; tries < 100; ++tries)
        {
            bool holds = false;
            running.on_loop([&] { holds = condition(); });
            if (holds)
                return true;
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }

    [[nodiscard]] std::uint64_t in_force() const
    {
        const auto* rules = made->view().configuration();
        return rules == nullptr ? 0 : rules->version;
    }

    [[nodiscard]] const cj::known_upstream*
    record_of(const std::string& upstream) const
    {
        return made->upstreams().find(cj::instance_id(upstream));
    }

    std::string address;
    cj::metrics counters;
    loopback::running_loop running;
    std::unique_ptr<proxy_test::memory_store> store;
    std::unique_ptr<entry::node_type> node;
    std::unique_ptr<entry> made;
};

} // namespace

SCENARIO("an older version is not served again after all entries start anew",
         "[proxy]")
{
    proxy_test::stored_keys keys;
    keys.write("configuration", "1");
    keys.write("named/m", "2");
    {
        entry_process before(keys, 1);
        REQUIRE(before.learns(2));
        before.change([&] { keys.write("named/m", "3"); });
        REQUIRE(before.learns(3));

        REQUIRE(before.has_kept(keys, 3));

        // A write whose answer was lost is done once more.
        before.change([&] { keys.write("named/m", "2"); });
        std::this_thread::sleep_for(200ms);
        CHECK(before.newest() == 3);
    }
    entry_process after(keys, 1);
    CHECK(after.learns(3));
}

SCENARIO("a version that was overwritten before any entry read it is known",
         "[proxy]")
{
    proxy_test::named_versions named;
    named.name("m", 3);
    proxy_test::stored_keys keys;
    keys.write("configuration", "1");

    SECTION("when the entry starts after that")
    {
        keys.write("named/m", "2");
        entry_process entry(keys, 1);
        CHECK(entry.learns(3));
        CHECK(entry.has_kept(keys, 3));
    }
    SECTION("when the entry lives and its watch shows the last write only")
    {
        named.name("m", 2);
        keys.write("named/m", "2");
        entry_process entry(keys, 1);
        REQUIRE(entry.learns(2));
        entry.change(
            [&]
            {
                named.name("m", 3);
                keys.write("named/m", "3");
                keys.write("named/m", "2");
            });
        CHECK(entry.learns(3));
        CHECK(entry.has_kept(keys, 3));
    }
}

SCENARIO("a version that a watch tells before a later write is known",
         "[proxy]")
{
    proxy_test::stored_keys keys;
    keys.tells_history = true;
    keys.write("configuration", "1");
    keys.write("named/m", "2");
    entry_process entry(keys, 1);
    REQUIRE(entry.learns(2));
    entry.change(
        [&]
        {
            keys.write("named/m", "3");
            keys.write("named/m", "2");
        });
    CHECK(entry.learns(3));
    CHECK(entry.has_kept(keys, 3));
}

SCENARIO("one spoilt answer of the origin names no version", "[proxy]")
{
    proxy_test::named_versions named;
    named.name("m", 2);
    named.spoil_once(9);
    proxy_test::stored_keys keys;
    keys.write("configuration", "1");
    keys.write("named/m", "2");
    entry_process entry(keys, 1);
    REQUIRE(entry.learns(2));
    std::this_thread::sleep_for(2s);
    CHECK(entry.newest() == 2);
    CHECK(entry.has_kept(keys, 2));
}

SCENARIO("a late write does not bring an upstream back that leaves", "[proxy]")
{
    proxy_test::stored_keys keys;
    keys.write("configuration", "1");
    keys.write("up/a", "1 ready");
    entry_process entry(keys, 1);
    REQUIRE(entry.knows("up/a"));
    entry.change([&] { keys.write("up/a", "3 leaves"); });
    REQUIRE(entry.knows_leaving("up/a"));
    entry.change([&] { keys.write("up/a", "2 ready"); });
    std::this_thread::sleep_for(500ms);
    CHECK(entry.knows_leaving("up/a"));

    SECTION("its next word that it is ready does")
    {
        entry.change([&] { keys.write("up/a", "4 ready"); });
        CHECK(entry.knows_ready("up/a"));
    }
}

SCENARIO("an absurd record of versions does not bind entries for good",
         "[proxy]")
{
    constexpr std::uint64_t absurd = 1'000'000'000'000;
    const auto key = cj::version_record_key("m");
    const auto payload = cj::version_record_payload({"m", absurd, absurd});
    proxy_test::stored_keys keys;
    keys.write("configuration", "1");
    keys.write("named/m", "3");

    SECTION("that start after it was written")
    {
        keys.write(key, payload);
        entry_process entry(keys, 1);
        CHECK(entry.learns(3));
        CHECK(entry.has_kept(keys, 3));
        CHECK(entry.newest() == 3);
    }
    SECTION("that live when it is written")
    {
        entry_process entry(keys, 1);
        REQUIRE(entry.has_kept(keys, 3));
        entry.change([&] { keys.write(key, payload); });
        CHECK(entry.has_kept(keys, absurd));
        CHECK(entry.has_kept(keys, 3));
        CHECK(entry.newest() == 3);
    }
}

SCENARIO("news of a store that came back from an older copy are not missed",
         "[proxy]")
{
    proxy_test::stored_keys keys;
    keys.write("configuration", "1");
    keys.write("up/a", "1 ready");
    keys.write("up/b", "1 ready");
    const auto copy = keys;
    entry_process entry(keys, 1);
    REQUIRE(entry.obeys(1));
    entry.change(
        [&]
        {
            for (int change = 0; change < 10; ++change)
                keys.write("other", "");
            keys.write("configuration", "2");
            keys.write("up/b", "2 ready");
            keys.write("up/a", "2 leaves");
        });
    REQUIRE(entry.obeys(2));
    REQUIRE(entry.knows_leaving("up/a"));
    entry.change([&] { keys.come_back(copy); });

    SECTION("a configuration comes into force")
    {
        entry.change([&] { keys.write("configuration", "3"); });
        CHECK(entry.obeys(3));
    }
    SECTION("an upstream leaves")
    {
        entry.change([&] { keys.write("up/b", "3 leaves"); });
        CHECK(entry.knows_leaving("up/b"));
    }
    SECTION("a new upstream is used")
    {
        entry.change([&] { keys.write("up/c", "1 ready"); });
        CHECK(entry.knows("up/c"));
    }
    SECTION("what the copy lacks stands until it is written anew")
    {
        entry.change([&] { keys.write("other", ""); });
        std::this_thread::sleep_for(1s);
        CHECK(entry.configuration() == 2);
        CHECK(entry.knows_leaving("up/a"));
    }
}

namespace
{

/*! @brief A quarantine whose last upstream ended just now. */
std::string fresh_quarantine(const cj::request_content& what)
{
    const auto now = std::chrono::duration_cast<cj::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    return cj::quarantine_payload({what, {{1, 2}, {2, 2}, {3, 2}}, {}, 0},
                                  now.count());
}

} // namespace

SCENARIO("quarantines that a restored copy of the store lacks are kept again",
         "[proxy]")
{
    const auto bad = cj::request_content::of("school", "/", "bad");
    const auto key = cj::quarantine_key(bad);
    proxy_test::stored_keys keys;
    keys.write("configuration", "1");
    const auto copy = keys;
    keys.write(key, fresh_quarantine(bad));

    SECTION("and an entry that starts after that knows them")
    {
        {
            entry_process entry(keys, 1);
            REQUIRE(entry.suspects(bad));
            entry.change([&] { keys.come_back(copy); });
            CHECK(entry.sees(keys, key));
        }
        entry_process after(keys, 1);
        REQUIRE(after.obeys(1));
        CHECK(after.suspects(bad));
    }
    SECTION("unless they had been removed before")
    {
        entry_process entry(keys, 1);
        REQUIRE(entry.suspects(bad));
        entry.change([&] { keys.remove(key); });
        std::this_thread::sleep_for(300ms);
        entry.change([&] { keys.come_back(copy); });
        std::this_thread::sleep_for(1s);
        entry.change([&] { CHECK_FALSE(keys.holds(key)); });
    }
}

SCENARIO("an older configuration is not in force again after all entries start "
         "anew",
         "[proxy]")
{
    const auto copied = cj::configuration_copy_key();
    proxy_test::stored_keys keys;
    keys.write("configuration", "3");
    const auto copy = keys;
    {
        entry_process before(keys, 1);
        REQUIRE(before.obeys(3));
        before.change([&] { keys.write("configuration", "5"); });
        REQUIRE(before.obeys(5));
        std::this_thread::sleep_for(300ms);
        before.change([&] { CHECK_FALSE(keys.holds(copied)); });

        SECTION("though a late write put it back")
        {
            before.change([&] { keys.write("configuration", "3"); });
            CHECK(before.sees(keys, copied));
            CHECK(before.configuration() == 5);
        }
        SECTION("though the store came back from an older copy")
        {
            before.change([&] { keys.come_back(copy); });
            CHECK(before.sees(keys, copied));
            CHECK(before.configuration() == 5);
        }
    }
    entry_process after(keys, 1);
    CHECK(after.obeys(5));

    WHEN("the next one is written")
    {
        after.change([&] { keys.write("configuration", "6"); });
        THEN("it is in force, and the copy goes")
        {
            CHECK(after.obeys(6));
            CHECK(after.misses(keys, copied));
        }
    }
}

SCENARIO("an absurd copy of the configuration is not believed", "[proxy]")
{
    proxy_test::stored_keys keys;
    keys.write(cj::configuration_copy_key(), "1000000000000");
    keys.write("configuration", "3");
    entry_process entry(keys, 1);
    REQUIRE(entry.obeys(3));
    CHECK(entry.misses(keys, cj::configuration_copy_key()));
    CHECK(entry.configuration() == 3);
}
