#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "net/crashing_peer.hpp"
#include "net/pacing_peer.hpp"
#include "proxy/entry_on_loopback.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

using proxy_test::entry_on_loopback;
using proxy_test::event_stream;
using proxy_test::scripted_upstream;

namespace
{

/*! @brief Later than the time of about 500 ms at which a copy is sent, and
 * earlier than an upstream counts as silent. */
constexpr auto late_event = 800ms;

void configure(entry_on_loopback& entry, cj::milliseconds event_gap_target)
{
    entry.event_gap_target = event_gap_target;
    entry.configure_route(cj::request_kind::stream, true, 20'000ms);
}

bool has_events(const std::string& answer, int last)
{
    return answer.find("id: " + std::to_string(last) + "\n") !=
               std::string::npos &&
           answer.ends_with("0\r\n\r\n");
}

bool counted(entry_on_loopback& entry, const std::string& line)
{
    return entry.counters.text().find(line) != std::string::npos;
}

} // namespace

// One upstream in seven is slow at a time, and requests wait there past their
// target of 1 s while another upstream is free.
SCENARIO("a request whose first event is overdue is sent to a second upstream",
         "[proxy]")
{
    entry_on_loopback entry;
    configure(entry, 300ms);

    SECTION("which returns the first event in time, and the first is cancelled")
    {
        scripted_upstream late({scripted_upstream::hang});
        scripted_upstream other({event_stream("id: 1\ndata: x\n\n", true)});
        entry.add_upstream("a", late.address);
        entry.add_upstream("b", other.address);
        const auto asked_at = std::chrono::steady_clock::now();
        const auto answer = entry.ask();
        CHECK(std::chrono::steady_clock::now() - asked_at < 1000ms);
        CHECK(has_events(answer, 1));
        late.closed_by_caller.wait(false);
        CHECK(late.reset_by_caller);
        entry.running.on_loop(
            [&]
            {
                // Its upstream is slow but has not failed.
                const auto* known = entry.book.find(cj::instance_id("a"));
                CHECK(known->failures == 0);
                CHECK(known->attempts.empty());
            });
        CHECK(counted(entry, "by=\"second\""));
    }
    SECTION("which is cancelled if the first returns an event earlier")
    {
        loopback::pacing_peer late(2, late_event);
        scripted_upstream other({scripted_upstream::hang});
        entry.add_upstream("a", late.address);
        entry.add_upstream("b", other.address);
        CHECK(has_events(entry.ask(), 2));
        other.closed_by_caller.wait(false);
        CHECK(other.arrivals().size() == 1);
        CHECK(counted(entry, "by=\"first\""));
    }
    SECTION("at most once, also if the second one rejects it")
    {
        loopback::pacing_peer late(1, late_event);
        const auto rejection =
            proxy_test::response("", "7", "429 Too Many Requests");
        scripted_upstream second({rejection});
        scripted_upstream third({rejection});
        entry.add_upstream("a", late.address);
        entry.add_upstream("b", second.address);
        entry.add_upstream("c", third.address);
        CHECK(has_events(entry.ask(), 1));
        CHECK(second.arrivals().size() + third.arrivals().size() == 1);
    }
    SECTION("and a caller that disconnects ends both")
    {
        scripted_upstream late({scripted_upstream::hang});
        scripted_upstream other({scripted_upstream::hang});
        entry.add_upstream("a", late.address);
        entry.add_upstream("b", other.address);
        {
            loopback::raw_connection caller(entry.port);
            caller.send("POST /x HTTP/1.1\r\nHost: h\r\nId: 7\r\n"
                        "Content-Length: 0\r\n\r\n");
            while (other.arrivals().empty())
                std::this_thread::sleep_for(1ms);
        }
        late.closed_by_caller.wait(false);
        other.closed_by_caller.wait(false);
    }
}

SCENARIO("a request whose first event is overdue stays at one upstream",
         "[proxy]")
{
    entry_on_loopback entry;
    scripted_upstream other({event_stream("id: 1\ndata: x\n\n", true)});

    SECTION("where its route names no target for pauses")
    {
        configure(entry, 0ms);
        loopback::pacing_peer late(1, late_event);
        entry.add_upstream("a", late.address);
        entry.add_upstream("b", other.address);
        CHECK(has_events(entry.ask(), 1));
        CHECK(other.arrivals().empty());
        CHECK_FALSE(counted(entry, "first_event_hedges"));
    }
    SECTION("where it may crash upstreams")
    {
        configure(entry, 300ms);
        auto crashing = std::make_unique<loopback::crashing_peer>();
        entry.add_upstream("a", crashing->address);
        entry.ask();
        entry.remove_upstream("a");
        loopback::pacing_peer late(1, late_event);
        entry.add_upstream("a", late.address);
        entry.add_upstream("b", other.address);
        CHECK(has_events(entry.ask(), 1));
        CHECK(other.arrivals().empty());
        CHECK(counted(entry, "outcome=\"barred\""));
    }
    SECTION("where the other upstream has no free slot")
    {
        configure(entry, 300ms);
        loopback::pacing_peer late(1, late_event);
        entry.add_upstream("a", late.address);
        entry.add_upstream("b", other.address);
        entry.running.on_loop(
            [&]
            {
                for (std::uint64_t id = 101; id <= 104; ++id)
                    entry.book.begin_attempt(cj::instance_id("b"), id, 0,
                                             cj::event_loop::now());
            });
        CHECK(has_events(entry.ask(), 1));
        CHECK(other.arrivals().empty());
        CHECK(counted(entry, "outcome=\"no_upstream\""));
    }
}

SCENARIO("a pause that is longer than the target of the route", "[proxy]")
{
    entry_on_loopback entry;
    loopback::pacing_peer slow(3, 450ms);
    entry.add_upstream("a", slow.address);

    SECTION("is counted each time")
    {
        configure(entry, 300ms);
        CHECK(has_events(entry.ask(), 3));
        CHECK(counted(entry, "event_gaps_exceeded_total 2"));
    }
    SECTION("is not counted where the events are in time")
    {
        configure(entry, 700ms);
        CHECK(has_events(entry.ask(), 3));
        CHECK_FALSE(counted(entry, "event_gaps_exceeded_total"));
    }
    SECTION("is not counted where there is no target")
    {
        configure(entry, 0ms);
        CHECK(has_events(entry.ask(), 3));
        CHECK_FALSE(counted(entry, "event_gaps_exceeded_total"));
    }
}
