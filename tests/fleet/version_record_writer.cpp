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

/*! @brief Records the calls; tests invoke their callbacks. */
struct recording_store
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

static_assert(Permanent_store<recording_store>);

} // namespace

SCENARIO("known versions are persisted in the store", "[fleet]")
{
    using writer_type = version_record_writer<recording_store>;
    loopback::running_loop running;
    recording_store store;
    store_mirror mirror;
    metrics counters;
    writer_type writer(running.loop, store, mirror, counters, 1);
    const auto start = event_loop::now();
    const auto mirror_shows =
        [&](const version_record& record, std::uint64_t revision)
    {
        mirror.apply(
            {{version_record_key(record.model), version_record_payload(record),
              revision, 0, false, "", 0}},
            revision, {});
    };
    const auto on_loop = [&](auto work) { running.on_loop(work); };

    SECTION("the first entry writes immediately, and only once")
    {
        on_loop(
            [&]
            {
                writer.add_known({"m", 3, 2}, 3);
                writer.write_if_due(0, start);
                writer.write_if_due(0, start);
                REQUIRE(store.calls.size() == 1);
                CHECK(store.calls[0].written.newest == 3);
                CHECK(store.calls[0].written.minimum == 2);
                CHECK(store.calls[0].revision == 0);
                store.calls[0].done(true);
                mirror_shows({"m", 3, 2}, 7);
                writer.write_if_due(0, start + 10s);
                CHECK(store.calls.size() == 1);
            });
    }
    SECTION(
        "another entry writes after its delay if the record is still missing")
    {
        on_loop(
            [&]
            {
                writer.add_known({"m", 3, 2}, 3);
                writer.write_if_due(2, start);
                writer.write_if_due(2, start + writer_type::rank_delay);
                CHECK(store.calls.empty());
                writer.write_if_due(2, start + writer_type::rank_delay * 2);
                CHECK(store.calls.size() == 1);
            });
    }
    SECTION("a write keeps the higher numbers of the stored record")
    {
        on_loop(
            [&]
            {
                mirror_shows({"m", 5, 1}, 9);
                writer.add_known({"m", 3, 2}, 3);
                writer.write_if_due(0, start);
                REQUIRE(store.calls.size() == 1);
                CHECK(store.calls[0].written.newest == 5);
                CHECK(store.calls[0].written.minimum == 2);
                CHECK(store.calls[0].revision == 9);
            });
    }
    SECTION("an implausible record is replaced, not merged into")
    {
        on_loop(
            [&]
            {
                mirror_shows({"m", 1'000'000'000'000, 1'000'000'000'000}, 9);
                writer.add_known({"m", 3, 2}, 3);
                writer.write_if_due(0, start);
                CHECK(store.calls.empty());
                writer.write_if_due(0, start + writer_type::implausible_grace);
                REQUIRE(store.calls.size() == 1);
                CHECK(store.calls[0].written.newest == 3);
                CHECK(store.calls[0].written.minimum == 2);
                CHECK(store.calls[0].revision == 9);
            });
    }
    SECTION("an implausible record stays if the version key corroborates it in "
            "time")
    {
        on_loop(
            [&]
            {
                mirror_shows({"m", 70'000, 70'000}, 9);
                writer.add_known({"m", 3, 2}, 3);
                writer.write_if_due(0, start);
                writer.add_known({"m", 70'000, 70'000}, 70'000);
                writer.write_if_due(0, start + 10s);
                CHECK(store.calls.empty());
            });
    }
    const auto check_retry = [&](const result<bool>& answer)
    {
        on_loop(
            [&]
            {
                writer.add_known({"m", 3, 2}, 3);
                writer.write_if_due(0, start);
                store.calls.at(0).done(answer);
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
    };
    SECTION("a write that lost against another one is repeated after a delay")
    {
        check_retry(false);
    }
    SECTION("a write whose answer was lost is repeated after a delay")
    {
        check_retry(failure(error_kind::unavailable, "no answer"));
    }
    running.stop();
}
