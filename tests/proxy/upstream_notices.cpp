#include "coursejunction/proxy/exchange_service.hpp"

#include <chrono>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "proxy/entry_on_loopback.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;
using proxy_test::entry_on_loopback;
using proxy_test::event_stream;
using proxy_test::response;
using proxy_test::scripted_upstream;

namespace
{

void ask_repeatedly(entry_on_loopback& entry, int times)
{
    for (int count = 0; count < times; ++count)
        CHECK(entry.ask().starts_with("HTTP/1.1 200"));
}

/*! @brief Removes the upstream "b" and checks that the entry sends nothing to
 * `upstream`, the only one left. An upstream that is avoided only because of
 * failures would be tried again after 300 ms. */
void check_unused(entry_on_loopback& entry, scripted_upstream& upstream)
{
    entry.remove_upstream("b");
    const auto before = upstream.arrivals().size();
    std::this_thread::sleep_for(400ms);
    CHECK(entry.ask().starts_with("HTTP/1.1 503"));
    CHECK(upstream.arrivals().size() == before);
}

} // namespace

SCENARIO("an upstream gets no more requests than the limit it reports",
         "[proxy]")
{
    entry_on_loopback entry;
    entry.configure_route(cj::request_kind::repeatable);
    scripted_upstream other({response("other")});
    entry.add_upstream("b", other.address);

    GIVEN("a preferred upstream that takes one request a second")
    {
        scripted_upstream limited(
            {response("x", "7", "200 OK", "Limit: 1\r\n")});
        entry.add_upstream("a", limited.address);
        ask_repeatedly(entry, 8);
        CHECK(limited.arrivals().size() <= 2);
        CHECK(other.arrivals().size() >= 6);
    }
}

SCENARIO(
    "an upstream gets no requests after a response says that it is leaving",
    "[proxy]")
{
    entry_on_loopback entry;
    scripted_upstream other({response("other")});
    entry.add_upstream("b", other.address);
    const std::string leaving_header = "Leaving: 1\r\n";

    GIVEN("a complete response")
    {
        entry.configure_route(cj::request_kind::repeatable);
        scripted_upstream first({response("x", "7", "200 OK", leaving_header)});
        entry.add_upstream("a", first.address);
        ask_repeatedly(entry, 4);
        CHECK(first.arrivals().size() == 1);
        check_unused(entry, first);
    }
    GIVEN("a server error")
    {
        entry.configure_route(cj::request_kind::repeatable);
        scripted_upstream first({response("x", "7", "500 No", leaving_header)});
        entry.add_upstream("a", first.address);
        ask_repeatedly(entry, 1);
        check_unused(entry, first);
    }
    GIVEN("a refusal of an at-most-once request")
    {
        entry.configure_route(cj::request_kind::at_most_once);
        scripted_upstream first(
            {response("", "7", "503 No", leaving_header + "Not-Run: 1\r\n")});
        entry.add_upstream("a", first.address);
        ask_repeatedly(entry, 1);
        check_unused(entry, first);
    }
    GIVEN("the head of a stream that breaks off")
    {
        entry.configure_route(cj::request_kind::stream);
        scripted_upstream first({"HTTP/1.1 200 OK\r\nId: 7\r\n" +
                                 leaving_header +
                                 "Transfer-Encoding: chunked\r\n\r\n"
                                 "9\r\nid: 1\n\n\r\n"});
        entry.add_upstream("a", first.address);
        static_cast<void>(entry.ask());
        CHECK(first.arrivals().size() == 1);
        check_unused(entry, first);
    }
    GIVEN("the head of a resumable stream: another upstream continues it")
    {
        entry.configure_route(cj::request_kind::stream, true);
        scripted_upstream first({"HTTP/1.1 200 OK\r\nId: 7\r\n" +
                                 leaving_header +
                                 "Transfer-Encoding: chunked\r\n\r\n"
                                 "9\r\nid: 1\n\n\r\n"});
        entry.add_upstream("a", first.address);
        static_cast<void>(entry.ask());
        CHECK(first.arrivals().size() == 1);
        CHECK(other.arrivals().size() == 1);
        check_unused(entry, first);
    }
}

SCENARIO("an upstream gets no requests during the Retry-After time it reports",
         "[proxy]")
{
    entry_on_loopback entry;
    const std::string busy_response =
        response("", "7", "503 No", "Not-Run: 1\r\nRest: 1500\r\n");

    GIVEN("another upstream")
    {
        entry.configure_route(cj::request_kind::at_most_once);
        scripted_upstream first({busy_response});
        scripted_upstream other({response("other")});
        entry.add_upstream("a", first.address);
        entry.add_upstream("b", other.address);
        ask_repeatedly(entry, 2);
        CHECK(first.arrivals().size() == 1);
        check_unused(entry, first);
        SECTION("afterwards it gets requests again")
        {
            std::this_thread::sleep_for(1200ms);
            static_cast<void>(entry.ask());
            CHECK(first.arrivals().size() == 2);
        }
    }
    GIVEN("no other one: refused at once, with the remaining time")
    {
        entry.configure_route(cj::request_kind::repeatable);
        scripted_upstream first({busy_response});
        entry.add_upstream("a", first.address);
        CHECK(entry.ask().starts_with("HTTP/1.1 503"));
        const auto begun = std::chrono::steady_clock::now();
        const auto answer = entry.ask();
        CHECK(std::chrono::steady_clock::now() - begun < 100ms);
        const auto header = answer.find("Retry-After: ");
        REQUIRE(header != std::string::npos);
        const auto retry_after = std::stoi(answer.substr(header + 13));
        CHECK(retry_after > 1000);
        CHECK(retry_after <= 1500);
        check_unused(entry, first);
    }
}
