#include "coursejunction/fleet/quarantine_writer.hpp"

#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "net/loopback.hpp"

using namespace coursejunction;
using namespace std::chrono_literals;

namespace
{

/*! @brief Records the calls; tests invoke their callbacks. */
struct recording_store
{
    struct call
    {
        std::string key;
        std::string payload; /*!< Empty for a removal. */
        std::uint64_t revision{0};
        std::function<void(result<bool>)> done;
    };

    void put(const std::string& key, const std::string& payload,
             std::uint64_t revision, milliseconds,
             std::function<void(result<bool>)> done)
    {
        calls.push_back({key, payload, revision, std::move(done)});
    }

    void remove(const std::string& key, std::uint64_t revision,
                std::function<void(result<bool>)> done)
    {
        calls.push_back({key, "", revision, std::move(done)});
    }

    std::vector<call> calls;
};

static_assert(Writable_store<recording_store>);

} // namespace

SCENARIO("quarantines are persisted in the store", "[fleet]")
{
    loopback::running_loop running;
    recording_store store;
    store_mirror mirror;
    metrics counters;
    quarantine_writer<recording_store> writer(running.loop, store, mirror,
                                              counters, 1);
    const auto crashing = request_content::of("school", "/", "bad");
    const auto key = quarantine_key(crashing);
    const auto mirror_shows = [&](std::uint64_t revision, bool removed = false)
    {
        mirror.apply({{key, "x", revision, 0, removed, "", 0}}, revision, {});
    };
    const auto on_loop = [&](auto work) { running.on_loop(work); };

    SECTION("a quarantine is written once, on condition that its key is absent")
    {
        on_loop(
            [&]
            {
                writer.persist(crashing, "first");
                REQUIRE(store.calls.size() == 1);
                CHECK(store.calls[0].key == key);
                CHECK(store.calls[0].payload == "first");
                CHECK(store.calls[0].revision == 0);
                store.calls[0].done(true);
                CHECK(writer.pending() == 0);
                CHECK(store.calls.size() == 1);
            });
    }
    SECTION("a quarantine that the store lost is written again")
    {
        on_loop(
            [&]
            {
                writer.restore(crashing, "first");
                REQUIRE(store.calls.size() == 1);
                CHECK(store.calls[0].revision == 0);
                store.calls[0].done(true);
                CHECK(writer.pending() == 0);
            });
    }
    SECTION("a quarantine that the store lost is not written over one that "
            "another entry restored first")
    {
        on_loop(
            [&]
            {
                writer.restore(crashing, "first");
                REQUIRE(store.calls.size() == 1);
                mirror_shows(9);
                store.calls[0].done(false);
            });
        std::this_thread::sleep_for(900ms);
        on_loop(
            [&]
            {
                CHECK(store.calls.size() == 1);
                CHECK(writer.pending() == 0);
                writer.restore(crashing, "first");
                CHECK(store.calls.size() == 1);
            });
    }
    SECTION("a new quarantine takes precedence over restoring the lost one")
    {
        on_loop(
            [&]
            {
                writer.restore(crashing, "first");
                writer.persist(crashing, "second");
                writer.restore(crashing, "first");
                mirror_shows(7);
                store.calls.at(0).done(true);
                REQUIRE(store.calls.size() == 2);
                CHECK(store.calls[1].payload == "second");
                CHECK(store.calls[1].revision == 7);
            });
    }
    SECTION("an update during a write is written after it")
    {
        on_loop(
            [&]
            {
                writer.persist(crashing, "first");
                writer.persist(crashing, "second");
                CHECK(store.calls.size() == 1);
                mirror_shows(7);
                store.calls[0].done(true);
                REQUIRE(store.calls.size() == 2);
                CHECK(store.calls[1].payload == "second");
                CHECK(store.calls[1].revision == 7);
            });
    }
    SECTION("a quarantine that is lifted during its first write is removed "
            "after it")
    {
        on_loop(
            [&]
            {
                writer.persist(crashing, "first");
                writer.remove(crashing);
                mirror_shows(7);
                store.calls[0].done(true);
                REQUIRE(store.calls.size() == 2);
                CHECK(store.calls[1].payload.empty());
                CHECK(store.calls[1].revision == 7);
            });
    }
    SECTION("removing a quarantine that was never written makes no call")
    {
        on_loop([&] { writer.remove(crashing); });
        CHECK(store.calls.empty());
    }
    SECTION("a failed write is repeated after a delay")
    {
        const auto check_retry = [&]
        {
            on_loop([&] { CHECK(store.calls.size() == 1); });
            std::this_thread::sleep_for(800ms);
            on_loop(
                [&]
                {
                    REQUIRE(store.calls.size() == 2);
                    CHECK(store.calls[1].payload == "first");
                });
        };
        on_loop([&] { writer.persist(crashing, "first"); });

        SECTION("the store was unavailable")
        {
            on_loop(
                [&] {
                    store.calls[0].done(
                        failure(error_kind::unavailable, "away"));
                });
            check_retry();
        }
        SECTION(
            "another entry wrote first, and the mirror shows its write by then")
        {
            on_loop(
                [&]
                {
                    store.calls[0].done(false);
                    mirror_shows(9);
                });
            check_retry();
            on_loop([&] { CHECK(store.calls[1].revision == 9); });
        }
    }
    SECTION("pending writes are limited while the store is unavailable")
    {
        on_loop(
            [&]
            {
                for (int at = 0; at < 1000; ++at)
                    writer.persist(
                        request_content::of("school", "/", std::to_string(at)),
                        "x");
                CHECK(writer.pending() ==
                      quarantine_writer<recording_store>::max_pending);
                CHECK(store.calls.size() == 1);
            });
    }
    running.stop();
}
