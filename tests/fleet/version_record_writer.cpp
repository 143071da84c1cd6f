#include "coursejunction/fleet/version_record_writer.hpp"

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
        version_record written;
        std::uint64_t revision{0};
        std::function<void(result<bool>)> done;
    };

    void put_permanent(const std::string& key, const std::string& payload,
                       std::uint64_t revision,
                       std::function<void(result<bool>)> done)
    {
        calls.push_back({read_version_record(key, payload).value(), revision,
                         std::move(done)});
    }

    std::vector<call> calls;
};

static_assert(Permanent_store<noted_store>);

} // namespace

SCENARIO("named versions are kept where they outlast all processes", "[fleet]")
{
    using keeper_type = version_record_writer<noted_store>;
    loopback::running_loop running;
    noted_store store;
    store_mirror mirror;
    metrics counters;
    keeper_type keeper(running.loop, store, mirror, counters, 1);
    const auto start = event_loop::now();
    const auto shows = [&](const version_record& record, std::uint64_t revision)
    {
        mirror.apply(
            {{version_record_key(record.model), version_record_payload(record),
              revision, 0, false, "", 0}},
            revision, {});
    };
    const auto on_loop = [&](auto work) { running.on_loop(work); };

    SECTION("the first entry writes at once, and once")
    {
        on_loop(
            [&]
            {
                keeper.add_known({"m", 3, 2}, 3);
                keeper.write_if_due(0, start);
                keeper.write_if_due(0, start);
                REQUIRE(store.calls.size() == 1);
                CHECK(store.calls[0].written.newest == 3);
                CHECK(store.calls[0].written.minimum == 2);
                CHECK(store.calls[0].revision == 0);
                store.calls[0].done(true);
                shows({"m", 3, 2}, 7);
                keeper.write_if_due(0, start + 10s);
                CHECK(store.calls.size() == 1);
            });
    }
    SECTION("another entry writes what is still missing at its turn")
    {
        on_loop(
            [&]
            {
                keeper.add_known({"m", 3, 2}, 3);
                keeper.write_if_due(2, start);
                keeper.write_if_due(2, start + keeper_type::rank_delay);
                CHECK(store.calls.empty());
                keeper.write_if_due(2, start + keeper_type::rank_delay * 2);
                CHECK(store.calls.size() == 1);
            });
    }
    SECTION("what the store knows beyond this entry stays in its record")
    {
        on_loop(
            [&]
            {
                shows({"m", 5, 1}, 9);
                keeper.add_known({"m", 3, 2}, 3);
                keeper.write_if_due(0, start);
                REQUIRE(store.calls.size() == 1);
                CHECK(store.calls[0].written.newest == 5);
                CHECK(store.calls[0].written.minimum == 2);
                CHECK(store.calls[0].revision == 9);
            });
    }
    SECTION("an absurd record is replaced, not added to")
    {
        on_loop(
            [&]
            {
                shows({"m", 1'000'000'000'000, 1'000'000'000'000}, 9);
                keeper.add_known({"m", 3, 2}, 3);
                keeper.write_if_due(0, start);
                CHECK(store.calls.empty());
                keeper.write_if_due(0, start + keeper_type::implausible_grace);
                REQUIRE(store.calls.size() == 1);
                CHECK(store.calls[0].written.newest == 3);
                CHECK(store.calls[0].written.minimum == 2);
                CHECK(store.calls[0].revision == 9);
            });
    }
    SECTION("a record that is not believed yet stays once its name is read")
    {
        on_loop(
            [&]
            {
                shows({"m", 70'000, 70'000}, 9);
                keeper.add_known({"m", 3, 2}, 3);
                keeper.write_if_due(0, start);
                keeper.add_known({"m", 70'000, 70'000}, 70'000);
                keeper.write_if_due(0, start + 10s);
                CHECK(store.calls.empty());
            });
    }
    const auto is_tried_again = [&](const result<bool>& answer)
    {
        on_loop(
            [&]
            {
                keeper.add_known({"m", 3, 2}, 3);
                keeper.write_if_due(0, start);
                store.calls.at(0).done(answer);
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
    };
    SECTION("a write that was outrun is tried again after a pause")
    {
        is_tried_again(false);
    }
    SECTION("a write whose answer is lost is tried again after a pause")
    {
        is_tried_again(failure(error_kind::unavailable, "no answer"));
    }
    running.stop();
}
