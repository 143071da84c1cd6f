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

/*! @brief Two clocks of an instance, of which one stands while suspended. */
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

TEST_CASE("an instance is suspended for some seconds", "[core]")
{
    two_clocks clocks;
    const auto look = [&](suspension_meter& meter)
    { return meter.note(clocks.now.time_since_epoch(), clocks.awake); };

    SECTION("it sees for how long, once")
    {
        suspension_meter meter;
        CHECK(look(meter) == 0ms);
        clocks.run(200ms);
        CHECK(look(meter) == 0ms);
        clocks.suspend(4000ms);
        clocks.run(10ms);
        CHECK(look(meter) == 4000ms);
        clocks.run(200ms);
        CHECK(look(meter) == 0ms);
    }
    SECTION("a deadline that passed meanwhile is found within a second")
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
    SECTION("a short wait is not cut")
    {
        CHECK(timer_wait(clocks.now + 30ms, clocks.now) == 30ms);
    }
    SECTION("a limit that is set after it lasts no longer than one before")
    {
        // The two clocks are apart by then; the limit is a span, not a moment.
        clocks.suspend(3'600'000ms);
        const auto begun = clocks.now;
        CHECK(timer_wait(begun + 700ms, clocks.now) == 700ms);
        clocks.run(700ms);
        CHECK(timer_wait(begun + 700ms, clocks.now) == 0ms);
    }
    SECTION("a timer that is late by as much shows it")
    {
        const auto due = clocks.now + 30ms;
        clocks.run(50ms);
        CHECK_FALSE(indicates_suspension(due, clocks.now));
        clocks.suspend(1000ms);
        CHECK(indicates_suspension(due, clocks.now));
    }
    SECTION("peers that were alive before it are not believed to live")
    {
        peer_directory peers;
        peers.record_heartbeat("10.0.0.1", {}, clocks.now);
        clocks.run(100ms);
        CHECK(peers.alive("10.0.0.1", clocks.now));
        clocks.suspend(3000ms);
        CHECK_FALSE(peers.alive("10.0.0.1", clocks.now));
    }
    SECTION("reports of upstreams from before it no longer tell the load")
    {
        upstream_registry book;
        upstream_record record;
        record.id = instance_id("a");
        record.address = "10.0.0.2:80";
        record.model_versions["m"] = 1;
        book.apply_record(record);
        message::upstream_status told;
        told.model = "m";
        told.version = 2;
        told.side = 1;
        told.sequence = 1;
        book.apply_status("10.0.0.2", told, clocks.now);
        CHECK(upstream_registry::served_version(*book.find(record.id), "m",
                                                clocks.now) == 2);
        clocks.suspend(3000ms);
        CHECK(
            upstream_registry::side_silent(*book.find(record.id), clocks.now));
        CHECK(upstream_registry::served_version(*book.find(record.id), "m",
                                                clocks.now) == 1);
    }
    SECTION("retries from before it are out of the window")
    {
        retry_window window({10'000ms, 0, 1});
        CHECK(window.try_spend(clocks.now));
        CHECK_FALSE(window.try_spend(clocks.now + 1ms));
        clocks.suspend(12'000ms);
        CHECK(window.try_spend(clocks.now));
    }
}

TEST_CASE("ages are taken from a clock that goes on while suspended", "[core]")
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
