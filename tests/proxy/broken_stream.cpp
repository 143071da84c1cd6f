#include <chrono>
#include <cstddef>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "net/crashing_peer.hpp"
#include "proxy/entry_on_loopback.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

using cj::body_framing;
using proxy_test::entry_on_loopback;
using proxy_test::event_stream;
using proxy_test::framed_events;
using proxy_test::scripted_upstream;

namespace
{

const std::string first_event = "id: 1\ndata: a\n\n";
const std::string second_event = "id: 2\ndata: b\n\n";
const std::string begun_event = "id: 2\nda";

/*! @brief Returns whether a response is framed as complete. */
bool is_framed_as_complete(const std::string& answer)
{
    return answer.ends_with("\r\n0\r\n\r\n");
}

std::size_t count_of(const std::string& part, const std::string& text)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos;
         at = text.find(part, at + part.size()))
        ++count;
    return count;
}

/*! @brief Returns the body of a complete chunked response. */
std::string body_of(const std::string& answer)
{
    std::string body;
    auto at = answer.find("\r\n\r\n") + 4;
    while (const auto size = std::stoul(answer.substr(at), nullptr, 16))
    {
        body += answer.substr(answer.find("\r\n", at) + 2, size);
        at = answer.find("\r\n", at) + 2 + size + 2;
    }
    return body;
}

/*! @brief Checks that a response has both events once and is complete. */
void check_both_events(const std::string& answer)
{
    CHECK(count_of(first_event, answer) == 1);
    CHECK(count_of(second_event, answer) == 1);
    CHECK(count_of("id: ", answer) == 2);
    CHECK(is_framed_as_complete(answer));
}

/*! @brief Checks that a response ends after the first event, broken off. */
void check_broken_off(const std::string& answer)
{
    CHECK(count_of(first_event, answer) == 1);
    CHECK(count_of("id: ", answer) == 1);
    CHECK_FALSE(is_framed_as_complete(answer));
}

} // namespace

SCENARIO("a stream that broke off is not framed as complete", "[proxy]")
{
    entry_on_loopback entry;
    entry.configure_route(cj::request_kind::stream, true);

    for (const auto framing :
         {body_framing::connection, body_framing::chunks, body_framing::length})
    {
        const auto inside_event =
            framed_events(framing, first_event + begun_event);
        const std::string name(cj::body_framing_name(framing));

        SECTION("inside an event, framed by " + name +
                ": another upstream continues it")
        {
            scripted_upstream broken({inside_event});
            scripted_upstream other({event_stream(second_event, true)});
            entry.add_upstream("a", broken.address);
            entry.add_upstream("b", other.address);
            check_both_events(entry.ask());
            REQUIRE(other.arrivals().size() == 1);
            CHECK(other.arrivals()[0].find("Last: 1\r\n") != std::string::npos);
        }
        SECTION("inside an event, framed by " + name +
                ": without another upstream it is cut")
        {
            scripted_upstream broken({inside_event});
            entry.add_upstream("a", broken.address);
            check_broken_off(entry.ask());
        }
        SECTION("inside an event of a later attempt, framed by " + name)
        {
            scripted_upstream first({event_stream(first_event, false)});
            scripted_upstream second({framed_events(framing, begun_event)});
            entry.add_upstream("a", first.address);
            entry.add_upstream("b", second.address);
            check_broken_off(entry.ask());
            CHECK(second.arrivals().size() == 1);
        }
        SECTION("before its first event, framed by " + name)
        {
            scripted_upstream broken({framed_events(framing, "id: 1\nda")});
            entry.add_upstream("a", broken.address);
            CHECK(entry.ask().starts_with("HTTP/1.1 502"));
        }
    }
    SECTION("without an event, ended by its connection")
    {
        scripted_upstream broken({framed_events(body_framing::connection, "")});
        scripted_upstream other(
            {event_stream(first_event + second_event, true)});
        entry.add_upstream("a", broken.address);
        entry.add_upstream("b", other.address);
        check_both_events(entry.ask());
    }
    SECTION("between two events, by a crash of its upstream")
    {
        loopback::crashing_peer broken(
            {framed_events(body_framing::connection, first_event)});
        scripted_upstream other({event_stream(second_event, true)});
        entry.add_upstream("a", broken.address);
        entry.add_upstream("b", other.address);
        check_both_events(entry.ask());
    }
    SECTION("between two events, by a crash, without another upstream")
    {
        loopback::crashing_peer broken(
            {framed_events(body_framing::connection, first_event)});
        entry.add_upstream("a", broken.address);
        check_broken_off(entry.ask());
    }
}

SCENARIO("a crash inside an event is evidence against its request", "[proxy]")
{
    entry_on_loopback entry;
    entry.configure_route(cj::request_kind::stream, true);
    loopback::crashing_peer broken(
        {framed_events(body_framing::connection, first_event + begun_event)});
    entry.add_upstream("a", broken.address);
    check_broken_off(entry.ask());
    const std::string counted = "upstreams_ended_under_requests_total 1";
    for (int check = 0;
         check < 500 && count_of(counted, entry.counters.text()) == 0; ++check)
        std::this_thread::sleep_for(10ms);
    CHECK(count_of(counted, entry.counters.text()) == 1);
}

SCENARIO("a complete stream is forwarded as it was received", "[proxy]")
{
    entry_on_loopback entry;
    entry.configure_route(cj::request_kind::stream, true);
    for (const auto framing :
         {body_framing::connection, body_framing::chunks, body_framing::length})
    {
        const std::string name(cj::body_framing_name(framing));
        SECTION("framed by " + name)
        {
            scripted_upstream upstream(
                {framed_events(framing, first_event + second_event)});
            entry.add_upstream("a", upstream.address);
            check_both_events(entry.ask());
            CHECK(upstream.arrivals().size() == 1);
        }
        SECTION("with further empty lines, framed by " + name)
        {
            scripted_upstream upstream(
                {framed_events(framing, first_event + second_event + "\n")});
            entry.add_upstream("a", upstream.address);
            const auto answer = entry.ask();
            check_both_events(answer);
            CHECK(upstream.arrivals().size() == 1);
            CHECK(body_of(answer) == first_event + second_event + "\n");
        }
    }
    SECTION("by an upstream that leaves and accepts no new connection")
    {
        loopback::crashing_peer leaving(
            {"HTTP/1.1 200 OK\r\nId: 7\r\nLeaving: 1\r\n\r\n" + first_event +
             second_event});
        entry.add_upstream("a", leaving.address);
        check_both_events(entry.ask());
    }
}

SCENARIO("a response that broke off is not sent as complete", "[proxy]")
{
    entry_on_loopback entry;
    const std::string unframed = "HTTP/1.1 200 OK\r\nId: 7\r\n\r\n";
    loopback::crashing_peer broken({unframed + "par"});
    scripted_upstream other({proxy_test::response("whole")});
    entry.add_upstream("a", broken.address);

    SECTION("of a request that may be repeated: another upstream answers it")
    {
        entry.configure_route(cj::request_kind::repeatable);
        entry.add_upstream("b", other.address);
        const auto answer = entry.ask();
        CHECK(answer.starts_with("HTTP/1.1 200"));
        CHECK(answer.ends_with("whole"));
    }
    SECTION("of a request that may run once: its outcome is unknown")
    {
        entry.configure_route(cj::request_kind::at_most_once);
        entry.add_upstream("b", other.address);
        CHECK(entry.ask().starts_with("HTTP/1.1 502"));
        CHECK(other.arrivals().empty());
    }
}

SCENARIO("a response without a length is sent when its upstream lives on",
         "[proxy]")
{
    entry_on_loopback entry;
    entry.configure_route(cj::request_kind::at_most_once);
    SECTION("a success")
    {
        scripted_upstream upstream({"HTTP/1.1 200 OK\r\nId: 7\r\n\r\nall"});
        entry.add_upstream("a", upstream.address);
        const auto answer = entry.ask();
        CHECK(answer.starts_with("HTTP/1.1 200"));
        CHECK(answer.ends_with("\r\n\r\nall"));
    }
    SECTION("a rejection, which its head settles")
    {
        loopback::crashing_peer upstream(
            {"HTTP/1.1 503 Busy\r\nId: 7\r\nNot-Run: 1\r\n\r\n"});
        scripted_upstream other({proxy_test::response("whole")});
        entry.add_upstream("a", upstream.address);
        entry.add_upstream("b", other.address);
        CHECK(entry.ask().ends_with("whole"));
    }
}
