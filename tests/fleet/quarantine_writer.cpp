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

/*! @brief Notes the calls; a test answers them. */
struct noted_store
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

static_assert(Writable_store<noted_store>);

} // namespace

SCENARIO("quarantines are kept where they outlast all processes", "[fleet]")
{
    loopback::running_loop running;
    noted_store store;
    store_mirror mirror;
    metrics counters;
    quarantine_writer<noted_store> keeper(running.loop, store, mirror, counters,
                                          1);
    const auto bad = request_content::of("school", "/", "bad");
    const auto key = quarantine_key(bad);
    const auto shows = [&](std::uint64_t revision, bool removed = false) {
        mirror.apply({{key, "x", revision, 0, removed, "", 0}}, revision, {});
    };
    const auto on_loop = [&](auto work) { running.on_loop(work); };

    SECTION("one is written once, where the key is absent")
    {
        on_loop(
            [&]
            {
                keeper.persist(bad, "first");
                REQUIRE(store.calls.size() == 1);
                CHECK(store.calls[0].key == key);
                CHECK(store.calls[0].payload == "first");
                CHECK(store.calls[0].revision == 0);
                store.calls[0].done(true);
                CHECK(keeper.pending() == 0);
                CHECK(store.calls.size() == 1);
            });
    }
    SECTION("one that the store lost is written again")
    {
        on_loop(
            [&]
            {
                keeper.restore(bad, "first");
                REQUIRE(store.calls.size() == 1);
                CHECK(store.calls[0].revision == 0);
                store.calls[0].done(true);
                CHECK(keeper.pending() == 0);
            });
    }
    SECTION("one that the store lost and another entry writes stays as it is")
    {
        on_loop(
            [&]
            {
                keeper.restore(bad, "first");
                REQUIRE(store.calls.size() == 1);
                shows(9);
                store.calls[0].done(false);
            });
        std::this_thread::sleep_for(900ms);
        on_loop(
            [&]
            {
                CHECK(store.calls.size() == 1);
                CHECK(keeper.pending() == 0);
                keeper.restore(bad, "first");
                CHECK(store.calls.size() == 1);
            });
    }
    SECTION("what is found anew goes before what the store lost")
    {
        on_loop(
            [&]
            {
                keeper.restore(bad, "first");
                keeper.persist(bad, "second");
                keeper.restore(bad, "first");
                shows(7);
                store.calls.at(0).done(true);
                REQUIRE(store.calls.size() == 2);
                CHECK(store.calls[1].payload == "second");
                CHECK(store.calls[1].revision == 7);
            });
    }
    SECTION("news that come while it is written follow it")
    {
        on_loop(
            [&]
            {
                keeper.persist(bad, "first");
                keeper.persist(bad, "second");
                CHECK(store.calls.size() == 1);
                shows(7);
                store.calls[0].done(true);
                REQUIRE(store.calls.size() == 2);
                CHECK(store.calls[1].payload == "second");
                CHECK(store.calls[1].revision == 7);
            });
    }
    SECTION("what is over is removed, also when it is only being written")
    {
        on_loop(
            [&]
            {
                keeper.persist(bad, "first");
                keeper.remove(bad);
                shows(7);
                store.calls[0].done(true);
                REQUIRE(store.calls.size() == 2);
                CHECK(store.calls[1].payload.empty());
                CHECK(store.calls[1].revision == 7);
            });
    }
    SECTION("what was never kept costs no call")
    {
        on_loop([&] { keeper.remove(bad); });
        CHECK(store.calls.empty());
    }
    SECTION("a write that failed is done again after a pause")
    {
        const auto tried_again = [&]
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
        on_loop([&] { keeper.persist(bad, "first"); });

        SECTION("the store was away")
        {
            on_loop(
                [&] {
                    store.calls[0].done(
                        failure(error_kind::unavailable, "away"));
                });
            tried_again();
        }
        SECTION("another entry wrote first, and the mirror shows it by then")
        {
            on_loop(
                [&]
                {
                    store.calls[0].done(false);
                    shows(9);
                });
            tried_again();
            on_loop([&] { CHECK(store.calls[1].revision == 9); });
        }
    }
    SECTION("few wait, however long the store is away")
    {
        on_loop(
            [&]
            {
                for (int at = 0; at < 1000; ++at)
                    keeper.persist(
                        request_content::of("school", "/", std::to_string(at)),
                        "x");
                CHECK(keeper.pending() ==
                      quarantine_writer<noted_store>::max_pending);
                CHECK(store.calls.size() == 1);
            });
    }
    running.stop();
}
