#include "coursejunction/core/suspension.hpp"

#include <ctime>

#include <catch2/catch.hpp>

#include "coursejunction/fleet/peer_directory.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/route/upstream_registry.hpp"
#include "coursejunction/run/retry_window.hpp"

using namespace coursejunction;
using namespace std::chrono_literals;

namespace
{

/*! @brief Clocks of an instance; `awake` stops while it is suspended. */
struct two_clocks
{
    void run(milliseconds time)
    {
        now += time;
        awake += time;
    }

    void suspend(milliseconds time) { now += time; }

    time_point now{100s};
    std::chrono::microseconds awake{40s};
};

} // namespace

TEST_CASE("an instance handles a suspension of several seconds", "[core]")
{
    two_clocks clocks;
    const auto measure = [&](suspension_meter& meter)
    { return meter.note(clocks.now.time_since_epoch(), clocks.awake); };

    SECTION("the suspension is measured and reported once")
    {
        suspension_meter meter;
        CHECK(measure(meter) == 0ms);
        clocks.run(200ms);
        CHECK(measure(meter) == 0ms);
        clocks.suspend(4000ms);
        clocks.run(10ms);
        CHECK(measure(meter) == 4000ms);
        clocks.run(200ms);
        CHECK(measure(meter) == 0ms);
    }
    SECTION("a deadline that passed during it is detected within a second")
    {
        const auto due = clocks.now + 6000ms;
        clocks.run(500ms);
        const auto wait = timer_wait(due, clocks.now);
        CHECK(wait <= 1s);
        clocks.suspend(7000ms);
        clocks.run(std::chrono::duration_cast<milliseconds>(wait));
        CHECK(clocks.now >= due);
        CHECK(timer_wait(due, clocks.now) == 0us);
    }
    SECTION("a wait shorter than the maximum is not shortened")
    {
        CHECK(timer_wait(clocks.now + 30ms, clocks.now) == 30ms);
    }
    SECTION("a timer that is set after it has its normal length")
    {
        // The offset between the clocks must not lengthen a later timer.
        clocks.suspend(3'600'000ms);
        const auto begun = clocks.now;
        CHECK(timer_wait(begun + 700ms, clocks.now) == 700ms);
        clocks.run(700ms);
        CHECK(timer_wait(begun + 700ms, clocks.now) == 0ms);
    }
    SECTION("a timer that is late by its length indicates it")
    {
        const auto due = clocks.now + 30ms;
        clocks.run(50ms);
        CHECK_FALSE(indicates_suspension(due, clocks.now));
        clocks.suspend(1000ms);
        CHECK(indicates_suspension(due, clocks.now));
    }
    SECTION("peers that were alive before it are no longer assumed to be")
    {
        peer_directory peers;
        peers.record_heartbeat("10.0.0.1", {}, clocks.now);
        clocks.run(100ms);
        CHECK(peers.alive("10.0.0.1", clocks.now));
        clocks.suspend(3000ms);
        CHECK_FALSE(peers.alive("10.0.0.1", clocks.now));
    }
    SECTION("status reports from before it are no longer used")
    {
        upstream_registry registry;
        upstream_record record;
        record.id = instance_id("a");
        record.address = "10.0.0.2:80";
        record.model_versions["m"] = 1;
        registry.apply_record(record);
        message::upstream_status status;
        status.model = "m";
        status.version = 2;
        status.side = 1;
        status.sequence = 1;
        registry.apply_status("10.0.0.2", status, clocks.now);
        CHECK(upstream_registry::served_version(*registry.find(record.id), "m",
                                                clocks.now) == 2);
        clocks.suspend(3000ms);
        CHECK(upstream_registry::side_silent(*registry.find(record.id),
                                             clocks.now));
        CHECK(upstream_registry::served_version(*registry.find(record.id), "m",
                                                clocks.now) == 1);
    }
    SECTION("retries from before it no longer count in the window")
    {
        retry_window window({10'000ms, 0, 1});
        CHECK(window.try_spend(clocks.now));
        CHECK_FALSE(window.try_spend(clocks.now + 1ms));
        clocks.suspend(12'000ms);
        CHECK(window.try_spend(clocks.now));
    }
}

TEST_CASE("the event loop uses a clock that runs while suspended", "[core]")
{
    const auto boot = []
    {
        timespec read{};
        ::clock_gettime(CLOCK_BOOTTIME, &read);
        return std::chrono::seconds(read.tv_sec) +
               std::chrono::microseconds(read.tv_nsec / 1000);
    };
    const auto before = boot();
    const auto now = event_loop::now().time_since_epoch();
    const auto after = boot();
    CHECK(before <= now);
    CHECK(now <= after);
}
