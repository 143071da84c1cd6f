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

/*! @brief Records the calls; tests invoke their callbacks. */
struct recording_store
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

/*! @brief Configurations are written as their version number. */
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

SCENARIO("a copy of the newest configuration is in the store while the "
         "operator's key lacks it",
         "[fleet]")
{
    using writer_type =
        configuration_copy_writer<recording_store, number_catalogue>;
    loopback::running_loop running;
    recording_store store;
    store_mirror mirror({number_catalogue::order, [](const std::string& key)
                         { return key == "operator"; }});
    metrics counters;
    writer_type writer(running.loop, store, mirror, counters, 1);
    const auto start = event_loop::now();
    std::uint64_t revision = 0;
    const auto mirror_shows = [&](const std::string& key,
                                  const std::string& payload,
                                  std::uint64_t in_force, bool removed = false)
    {
        ++revision;
        writer.on_keys_changed(
            mirror.apply({{key, payload, revision, 0, removed, "", 0}},
                         revision, start),
            in_force);
    };
    const auto on_loop = [&](auto work) { running.on_loop(work); };

    SECTION("no copy is written while the operator's key holds the newest")
    {
        on_loop(
            [&]
            {
                mirror_shows("operator", "3", 3);
                mirror_shows("operator", "5", 5);
                writer.write_if_due(0, start + 10s);
                CHECK(store.calls.empty());
            });
    }
    SECTION("the first entry writes the copy once the key goes back")
    {
        on_loop(
            [&]
            {
                mirror_shows("operator", "5", 5);
                mirror_shows("operator", "3", 5);
                writer.write_if_due(0, start);
                writer.write_if_due(0, start);
                REQUIRE(store.calls.size() == 1);
                CHECK(store.calls[0].payload == "5");
                CHECK(store.calls[0].revision == 0);
            });
    }
    SECTION("the second entry waits, and does not write what the first wrote")
    {
        on_loop(
            [&]
            {
                mirror_shows("operator", "5", 5);
                mirror_shows("operator", "3", 5);
                writer.write_if_due(1, start);
                CHECK(store.calls.empty());
                mirror_shows(configuration_copy_key(), "5", 5);
                writer.write_if_due(1, start + 10s);
                CHECK(store.calls.empty());
            });
    }
    SECTION("an entry that started after the key went back does not rewrite "
            "the copy")
    {
        on_loop(
            [&]
            {
                mirror_shows("operator", "3", 3);
                mirror_shows(configuration_copy_key(), "5", 5);
                writer.write_if_due(0, start);
                CHECK(store.calls.empty());
            });
    }
    SECTION("the copy is removed when a newer configuration is published")
    {
        on_loop(
            [&]
            {
                mirror_shows("operator", "3", 3);
                mirror_shows(configuration_copy_key(), "5", 5);
                mirror_shows("operator", "6", 6);
                writer.write_if_due(0, start);
                REQUIRE(store.calls.size() == 1);
                CHECK(store.calls[0].payload.empty());
                CHECK(store.calls[0].revision == 2);
            });
    }
    SECTION("a copy is written if the store was restored from a snapshot "
            "without the newest")
    {
        on_loop(
            [&]
            {
                mirror_shows("operator", "5", 5);
                mirror.replace({}, {1, 1}, start);
                writer.write_if_due(0, start);
                REQUIRE(store.calls.size() == 1);
                CHECK(store.calls[0].payload == "5");
            });
    }
    SECTION("an outdated copy that reappears with a restored store is replaced")
    {
        on_loop(
            [&]
            {
                mirror_shows("operator", "3", 3);
                mirror_shows(configuration_copy_key(), "4", 4);
                mirror_shows("operator", "5", 5);
                mirror_shows(configuration_copy_key(), "", 5, true);
                message::mirror_item restored{
                    configuration_copy_key(), "4", 2, 0, false, "", 0};
                restored.era = 1;
                writer.on_keys_changed(
                    mirror.replace({restored}, {1, 2}, start), 5);
                writer.write_if_due(0, start);
                REQUIRE(store.calls.size() == 1);
                CHECK(store.calls[0].payload == "5");
                CHECK(store.calls[0].revision == 2);
            });
    }
    SECTION("a failed write is repeated after a delay")
    {
        on_loop(
            [&]
            {
                mirror_shows("operator", "5", 5);
                mirror_shows("operator", "3", 5);
                writer.write_if_due(0, start);
                store.calls.at(0).done(
                    failure(error_kind::unavailable, "away"));
                writer.write_if_due(0, start);
                CHECK(store.calls.size() == 1);
            });
        std::this_thread::sleep_for(900ms);
        on_loop(
            [&]
            {
                writer.write_if_due(0, start);
                CHECK(store.calls.size() == 2);
            });
    }
    running.stop();
}
