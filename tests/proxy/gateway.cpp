#include "coursejunction/proxy/gateway.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "proxy/entry_process.hpp"
#include "proxy/memory_store.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

using proxy_test::entry_process;

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

namespace
{

std::string request_for(const std::string& path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\nId: 7\r\n\r\n";
}

} // namespace

SCENARIO("a request on a kept connection is answered late in a shutdown",
         "[proxy]")
{
    proxy_test::store_content keys;
    keys.write("configuration", "1");
    entry_process entry(keys, 1);
    REQUIRE(entry.wait_for_configuration(1));

    SECTION("served if its time limit fits, else refused with 503")
    {
        const auto short_caller = entry.connect();
        const auto long_caller = entry.connect();
        short_caller->send(request_for("/first/"));
        REQUIRE(short_caller->until("\r\n\r\n").starts_with("HTTP/1.1 404"));
        entry.stop();
        std::this_thread::sleep_for(3500ms);

        short_caller->send(request_for("/second/"));
        const auto answered = short_caller->drain();
        constexpr std::size_t after_first = 1;
        CHECK(answered.find("HTTP/1.1 404", after_first) != std::string::npos);
        CHECK(answered.find("Connection: close") != std::string::npos);

        // Its time limit ends after the forced end.
        long_caller->send(request_for("/slow/"));
        const auto refused = long_caller->drain();
        CHECK(refused.starts_with("HTTP/1.1 503"));
        CHECK(refused.find("Retry-After") != std::string::npos);
        CHECK(refused.find("Connection: close") != std::string::npos);
    }
    SECTION("a connection that stays idle is closed before the grace is over")
    {
        const auto idle = entry.connect();
        entry.stop();
        CHECK(idle->drain().empty());
        CHECK_FALSE(idle->was_reset);
        std::this_thread::sleep_for(200ms);
        CHECK(entry.has_stopped());
    }
    SECTION("an entry without connections does not need the whole grace")
    {
        entry.stop();
        std::this_thread::sleep_for(3500ms);
        CHECK(entry.has_stopped());
    }
}
