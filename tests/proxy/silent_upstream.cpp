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

/*! @brief Pauses before each event: longer than the silence after which an
 * entry looks for another upstream. */
constexpr auto event_pause = 1300ms;

/*! @brief Checks that a response has all events once, in their order. */
void check_complete(const std::string& answer, int events)
{
    std::string expected;
    for (int at = 1; at <= events; ++at)
        expected += std::to_string(at) + "\n";
    std::string seen;
    const std::string field = "id: ";
    for (auto at = answer.find(field); at != std::string::npos;
         at = answer.find(field, at + 1))
        seen += answer.substr(at + field.size(),
                              answer.find('\n', at) + 1 - at - field.size());
    CHECK(seen == expected);
    CHECK(answer.ends_with("0\r\n\r\n"));
}

/*! @brief The heartbeats of a sidecar whose last status is 5 s old. */
class repeated_status
{
public:
    explicit repeated_status(entry_on_loopback& heard_by) : entry(heard_by)
    {
        status.side = 1;
        status.sequence = 1;
        entry.running.on_loop(
            [this]
            {
                send(cj::event_loop::now() - 5s);
                heartbeats = entry.running.loop.every(
                    200ms, [this] { send(cj::event_loop::now()); });
            });
    }

    ~repeated_status()
    {
        entry.running.on_loop([this] { heartbeats.stop(); });
    }

    repeated_status(const repeated_status&) = delete;
    repeated_status& operator=(const repeated_status&) = delete;

private:
    void send(cj::time_point at)
    {
        entry.book.apply_status("127.0.0.1", status, at);
    }

    entry_on_loopback& entry;
    cj::message::upstream_status status;
    cj::timer heartbeats;
};

} // namespace

// Half of all upstreams fell silent for 1.2 s, and their streams were cut.
SCENARIO("a stream is not cut because its upstream was silent for a second",
         "[proxy]")
{
    entry_on_loopback entry;
    entry.configure_route(cj::request_kind::stream, true, 20'000ms);
    loopback::pacing_peer silent(3, event_pause);
    entry.add_upstream("a", silent.address);

    SECTION("where no other upstream can take it")
    {
        check_complete(entry.ask(), 3);
    }
    SECTION("where the other upstream breaks off")
    {
        scripted_upstream other({""});
        entry.add_upstream("b", other.address);
        check_complete(entry.ask(), 3);
        CHECK(other.arrivals().size() == 1);
    }
    SECTION("where the other upstream is silent as well")
    {
        scripted_upstream other({scripted_upstream::hang});
        entry.add_upstream("b", other.address);
        check_complete(entry.ask(), 3);
        other.closed_by_caller.wait(false);
    }
    SECTION("where the other upstream does not run it")
    {
        scripted_upstream other({proxy_test::response(
            "", "7", "503 Service Unavailable", "Not-Run: 1\r\n")});
        entry.add_upstream("b", other.address);
        check_complete(entry.ask(), 3);
    }
    SECTION("where the other upstream is not reachable")
    {
        entry.add_upstream("b", "127.0.0.1:1");
        check_complete(entry.ask(), 3);
    }
}

// A pause of one second was taken for a suspension of the instance.
SCENARIO("a stream waits for its first event where the sidecar gets no status "
         "from the upstream",
         "[proxy]")
{
    entry_on_loopback entry(100ms);
    entry.configure_route(cj::request_kind::stream, true, 20'000ms);
    loopback::pacing_peer silent(1, event_pause);
    entry.add_upstream("a", silent.address);
    const repeated_status sidecar(entry);
    check_complete(entry.ask(), 1);
    CHECK(entry.counters.text().find("attempts_silent_total") !=
          std::string::npos);
}

SCENARIO("the stream of a silent upstream is continued by the first that "
         "returns an event",
         "[proxy]")
{
    entry_on_loopback entry;
    entry.configure_route(cj::request_kind::stream, true, 20'000ms);

    SECTION("by another upstream, and the silent attempt is cancelled")
    {
        scripted_upstream silent({scripted_upstream::hang});
        scripted_upstream other({event_stream("id: 1\ndata: x\n\n", true)});
        entry.add_upstream("a", silent.address);
        entry.add_upstream("b", other.address);
        check_complete(entry.ask(), 1);
        silent.closed_by_caller.wait(false);
        CHECK(silent.reset_by_caller);
    }
    SECTION("by another upstream, after the last event that was forwarded")
    {
        loopback::pacing_peer silent(2, event_pause);
        scripted_upstream other({event_stream("id: 2\ndata: other\n\n", true)});
        entry.add_upstream("a", silent.address);
        entry.add_upstream("b", other.address);
        const auto answer = entry.ask();
        check_complete(answer, 2);
        CHECK(answer.find("data: other") != std::string::npos);
        REQUIRE(other.arrivals().size() == 1);
        CHECK(other.arrivals()[0].find("Last: 1\r\n") != std::string::npos);
    }
    SECTION("by the other one if the silent one breaks off")
    {
        loopback::crashing_peer silent(
            {event_stream("id: 1\ndata: a\n\n", false), 1500ms});
        loopback::pacing_peer other(3, 800ms);
        entry.add_upstream("a", silent.address);
        entry.add_upstream("b", other.address);
        check_complete(entry.ask(), 3);
        CHECK(silent.ended());
    }
}
SCENARIO("the answers of two attempts at once are told apart", "[proxy]")
{
    entry_on_loopback entry;
    entry.configure_route(cj::request_kind::stream, true, 6000ms);

    SECTION("a rejection by the second one leaves the silent one running")
    {
        loopback::pacing_peer silent(1, 2500ms);
        scripted_upstream other(
            {proxy_test::response("", "7", "429 Too Many Requests")});
        entry.add_upstream("a", silent.address);
        entry.add_upstream("b", other.address);
        check_complete(entry.ask(), 1);
        CHECK(other.arrivals().size() == 1);
    }
    SECTION("a complete answer of the silent one is forwarded")
    {
        loopback::crashing_peer silent(
            {proxy_test::response("late", "7", "400 Bad Request"), 0ms,
             2000ms});
        scripted_upstream other({scripted_upstream::hang});
        entry.add_upstream("a", silent.address);
        entry.add_upstream("b", other.address);
        const auto answer = entry.ask();
        CHECK(answer.starts_with("HTTP/1.1 400"));
        CHECK(answer.ends_with("late"));
        other.closed_by_caller.wait(false);
    }
    SECTION("a server error of the silent one is forwarded if the second one "
            "fails")
    {
        loopback::crashing_peer silent(
            {proxy_test::response("sorry", "7", "500 Internal Server Error"),
             0ms, 2000ms});
        loopback::crashing_peer other({"", 1500ms});
        entry.add_upstream("a", silent.address);
        entry.add_upstream("b", other.address);
        const auto answer = entry.ask();
        CHECK(answer.starts_with("HTTP/1.1 500"));
        CHECK(answer.ends_with("sorry"));
    }
    SECTION("a caller that disconnects ends both")
    {
        scripted_upstream silent({scripted_upstream::hang});
        scripted_upstream other({scripted_upstream::hang});
        entry.add_upstream("a", silent.address);
        entry.add_upstream("b", other.address);
        {
            loopback::raw_connection caller(entry.port);
            caller.send("POST /x HTTP/1.1\r\nHost: h\r\nId: 7\r\n"
                        "Content-Length: 0\r\n\r\n");
            while (other.arrivals().empty())
                std::this_thread::sleep_for(1ms);
        }
        silent.closed_by_caller.wait(false);
        other.closed_by_caller.wait(false);
    }
    SECTION("the end of the process ends both, and the caller gets 502")
    {
        scripted_upstream silent({scripted_upstream::hang});
        scripted_upstream other({scripted_upstream::hang});
        entry.add_upstream("a", silent.address);
        entry.add_upstream("b", other.address);
        std::string answer;
        std::thread caller([&] { answer = entry.ask(); });
        while (other.arrivals().empty())
            std::this_thread::sleep_for(1ms);
        entry.running.on_loop([&] { entry.service->end_all(); });
        caller.join();
        CHECK(answer.starts_with("HTTP/1.1 502"));
        silent.closed_by_caller.wait(false);
        other.closed_by_caller.wait(false);
    }
}

SCENARIO("a request whose upstream was silent is sent to a second one each "
         "time",
         "[proxy]")
{
    entry_on_loopback entry;
    entry.configure_route(cj::request_kind::stream, true, 2500ms);
    scripted_upstream silent({scripted_upstream::hang});
    entry.add_upstream("a", silent.address);
    CHECK(entry.ask().starts_with("HTTP/1.1 504"));
    scripted_upstream other({event_stream("id: 1\ndata: x\n\n", true)});
    entry.add_upstream("b", other.address);
    std::this_thread::sleep_for(500ms);
    check_complete(entry.ask(), 1);
    CHECK(other.arrivals().size() == 1);
}

// A second copy of a request that may crash upstreams would double the damage.
SCENARIO("a suspect is not sent to a second upstream while the first is silent",
         "[proxy]")
{
    entry_on_loopback entry;
    entry.configure_route(cj::request_kind::stream, true, 20'000ms);
    auto crashing = std::make_unique<loopback::crashing_peer>();
    entry.add_upstream("a", crashing->address);
    entry.ask();
    entry.remove_upstream("a");
    loopback::pacing_peer silent(2, event_pause);
    scripted_upstream other({event_stream("id: 1\ndata: x\n\n", true)});
    entry.add_upstream("a", silent.address);
    entry.add_upstream("b", other.address);
    check_complete(entry.ask(), 2);
    CHECK(other.arrivals().empty());
}
