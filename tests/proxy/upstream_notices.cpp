#include "coursejunction/proxy/exchange_service.hpp"

#include <chrono>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "proxy/entry_on_loopback.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;
using proxy_test::entry_on_loopback;
using proxy_test::scripted_upstream;
using proxy_test::stream;
using proxy_test::whole;

namespace
{

void ask_often(entry_on_loopback& entry, int times)
{
    for (int at = 0; at < times; ++at)
        CHECK(entry.ask().starts_with("HTTP/1.1 200"));
}

/*! @brief Takes the other upstream away: nothing is left to choose. What an
 * entry avoids by its own judgement, it tries again after 300 ms. */
void check_unused(entry_on_loopback& entry, scripted_upstream& one)
{
    entry.forget("b");
    const auto before = one.arrivals().size();
    std::this_thread::sleep_for(400ms);
    CHECK(entry.ask().starts_with("HTTP/1.1 503"));
    CHECK(one.arrivals().size() == before);
}

} // namespace

SCENARIO("requests beyond the limit that an upstream names", "[proxy]")
{
    entry_on_loopback entry;
    entry.route(cj::request_kind::repeatable);
    scripted_upstream other({whole("other")});
    entry.upstream("b", other.address);

    GIVEN("an upstream that is preferred and takes one request a second")
    {
        scripted_upstream limited({whole("x", "7", "200 OK", "Limit: 1\r\n")});
        entry.upstream("a", limited.address);
        ask_often(entry, 8);
        CHECK(limited.arrivals().size() <= 2);
        CHECK(other.arrivals().size() >= 6);
    }
}

SCENARIO("requests to an upstream whose answer said that it leaves", "[proxy]")
{
    entry_on_loopback entry;
    scripted_upstream other({whole("other")});
    entry.upstream("b", other.address);
    const std::string says = "Leaving: 1\r\n";

    GIVEN("an answer that is whole")
    {
        entry.route(cj::request_kind::repeatable);
        scripted_upstream one({whole("x", "7", "200 OK", says)});
        entry.upstream("a", one.address);
        ask_often(entry, 4);
        CHECK(one.arrivals().size() == 1);
        check_unused(entry, one);
    }
    GIVEN("a failure of its own")
    {
        entry.route(cj::request_kind::repeatable);
        scripted_upstream one({whole("x", "7", "500 No", says)});
        entry.upstream("a", one.address);
        ask_often(entry, 1);
        check_unused(entry, one);
    }
    GIVEN("a refusal of what may run once")
    {
        entry.route(cj::request_kind::at_most_once);
        scripted_upstream one(
            {whole("", "7", "503 No", says + "Not-Run: 1\r\n")});
        entry.upstream("a", one.address);
        ask_often(entry, 1);
        check_unused(entry, one);
    }
    GIVEN("the head of a stream, which breaks off")
    {
        entry.route(cj::request_kind::stream);
        scripted_upstream one({"HTTP/1.1 200 OK\r\nId: 7\r\n" + says +
                               "Transfer-Encoding: chunked\r\n\r\n"
                               "9\r\nid: 1\n\n\r\n"});
        entry.upstream("a", one.address);
        static_cast<void>(entry.ask());
        CHECK(one.arrivals().size() == 1);
        check_unused(entry, one);
    }
    GIVEN("a stream that goes on: it is resumed elsewhere")
    {
        entry.route(cj::request_kind::stream, true);
        scripted_upstream one({"HTTP/1.1 200 OK\r\nId: 7\r\n" + says +
                               "Transfer-Encoding: chunked\r\n\r\n"
                               "9\r\nid: 1\n\n\r\n"});
        entry.upstream("a", one.address);
        static_cast<void>(entry.ask());
        CHECK(one.arrivals().size() == 1);
        CHECK(other.arrivals().size() == 1);
        check_unused(entry, one);
    }
}

SCENARIO("requests to an upstream within the rest that it asked for", "[proxy]")
{
    entry_on_loopback entry;
    const std::string rests =
        whole("", "7", "503 No", "Not-Run: 1\r\nRest: 1500\r\n");

    GIVEN("another upstream")
    {
        entry.route(cj::request_kind::at_most_once);
        scripted_upstream one({rests});
        scripted_upstream other({whole("other")});
        entry.upstream("a", one.address);
        entry.upstream("b", other.address);
        ask_often(entry, 2);
        CHECK(one.arrivals().size() == 1);
        check_unused(entry, one);
        SECTION("afterwards it is used again")
        {
            std::this_thread::sleep_for(1200ms);
            static_cast<void>(entry.ask());
            CHECK(one.arrivals().size() == 2);
        }
    }
    GIVEN("no other one: refused at once, with the time at which it ends")
    {
        entry.route(cj::request_kind::repeatable);
        scripted_upstream one({rests});
        entry.upstream("a", one.address);
        CHECK(entry.ask().starts_with("HTTP/1.1 503"));
        const auto begun = std::chrono::steady_clock::now();
        const auto answer = entry.ask();
        CHECK(std::chrono::steady_clock::now() - begun < 100ms);
        const auto wait = answer.find("Retry-After: ");
        REQUIRE(wait != std::string::npos);
        const auto told = std::stoi(answer.substr(wait + 13));
        CHECK(told > 1000);
        CHECK(told <= 1500);
        check_unused(entry, one);
    }
}
