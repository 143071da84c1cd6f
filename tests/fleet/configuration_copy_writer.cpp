#include "coursejunction/fleet/configuration_copy_writer.hpp"

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
        std::string payload; /*!< Empty for a removal. */
        std::uint64_t revision{0};
        std::function<void(result<bool>)> done;
    };

    void put_permanent(const std::string&, const std::string& payload,
                       std::uint64_t revision,
                       std::function<void(result<bool>)> done)
    {
        calls.push_back({payload, revision, std::move(done)});
    }

    void remove(const std::string&, std::uint64_t revision,
                std::function<void(result<bool>)> done)
    {
        calls.push_back({"", revision, std::move(done)});
    }

    std::vector<call> calls;
};

struct number_catalogue
{
    static item_kind kind(const std::string& key)
    {
        if (key == configuration_copy_key())
            return item_kind::configuration_copy;
        return key == "operator" ? item_kind::configuration : item_kind::other;
    }
    static item_order order(const std::string& key, const std::string& payload)
    {
        if (kind(key) != item_kind::configuration)
            return {};
        return {0, std::stoull(payload)};
    }
};

} // namespace

SCENARIO("a copy of the newest configuration is kept while it is needed",
         "[fleet]")
{
    using keeper_type =
        configuration_copy_writer<noted_store, number_catalogue>;
    loopback::running_loop running;
    noted_store store;
    store_mirror mirror({number_catalogue::order, [](const std::string& key)
                         { return key == "operator"; }});
    metrics counters;
    keeper_type keeper(running.loop, store, mirror, counters, 1);
    const auto start = event_loop::now();
    std::uint64_t revision = 0;
    const auto shows = [&](const std::string& key, const std::string& payload,
                           std::uint64_t in_force, bool removed = false)
    {
        ++revision;
        keeper.on_keys_changed(
            mirror.apply({{key, payload, revision, 0, removed, "", 0}},
                         revision, start),
            in_force);
    };
    const auto on_loop = [&](auto work) { running.on_loop(work); };

    SECTION("none while the operator's key shows it")
    {
        on_loop(
            [&]
            {
                shows("operator", "3", 3);
                shows("operator", "5", 5);
                keeper.write_if_due(0, start + 10s);
                CHECK(store.calls.empty());
            });
    }
    SECTION("one, whole, by the first entry, once the key goes back")
    {
        on_loop(
            [&]
            {
                shows("operator", "5", 5);
                shows("operator", "3", 5);
                keeper.write_if_due(0, start);
                keeper.write_if_due(0, start);
                REQUIRE(store.calls.size() == 1);
                CHECK(store.calls[0].payload == "5");
                CHECK(store.calls[0].revision == 0);
            });
    }
    SECTION("another entry waits for its turn, and finds it written")
    {
        on_loop(
            [&]
            {
                shows("operator", "5", 5);
                shows("operator", "3", 5);
                keeper.write_if_due(1, start);
                CHECK(store.calls.empty());
                shows(configuration_copy_key(), "5", 5);
                keeper.write_if_due(1, start + 10s);
                CHECK(store.calls.empty());
            });
    }
    SECTION("an entry that knows it by the copy only keeps it")
    {
        on_loop(
            [&]
            {
                shows("operator", "3", 3);
                shows(configuration_copy_key(), "5", 5);
                keeper.write_if_due(0, start);
                CHECK(store.calls.empty());
            });
    }
    SECTION("the copy goes when a newer one is written")
    {
        on_loop(
            [&]
            {
                shows("operator", "3", 3);
                shows(configuration_copy_key(), "5", 5);
                shows("operator", "6", 6);
                keeper.write_if_due(0, start);
                REQUIRE(store.calls.size() == 1);
                CHECK(store.calls[0].payload.empty());
                CHECK(store.calls[0].revision == 2);
            });
    }
    SECTION("a copy is made where only an earlier era of the store had it")
    {
        on_loop(
            [&]
            {
                shows("operator", "5", 5);
                mirror.replace({}, {1, 1}, start);
                keeper.write_if_due(0, start);
                REQUIRE(store.calls.size() == 1);
                CHECK(store.calls[0].payload == "5");
            });
    }
    SECTION("a copy that went and comes back with the store is replaced")
    {
        on_loop(
            [&]
            {
                shows("operator", "3", 3);
                shows(configuration_copy_key(), "4", 4);
                shows("operator", "5", 5);
                shows(configuration_copy_key(), "", 5, true);
                message::mirror_item lost{
                    configuration_copy_key(), "4", 2, 0, false, "", 0};
                lost.era = 1;
                keeper.on_keys_changed(mirror.replace({lost}, {1, 2}, start),
                                       5);
                keeper.write_if_due(0, start);
                REQUIRE(store.calls.size() == 1);
                CHECK(store.calls[0].payload == "5");
                CHECK(store.calls[0].revision == 2);
            });
    }
    SECTION("a write that failed is made again after a pause")
    {
        on_loop(
            [&]
            {
                shows("operator", "5", 5);
                shows("operator", "3", 5);
                keeper.write_if_due(0, start);
                store.calls.at(0).done(
                    failure(error_kind::unavailable, "away"));
                keeper.write_if_due(0, start);
                CHECK(store.calls.size() == 1);
            });
        std::this_thread::sleep_for(900ms);
        on_loop(
            [&]
            {
                keeper.write_if_due(0, start);
                CHECK(store.calls.size() == 2);
            });
    }
    running.stop();
}
