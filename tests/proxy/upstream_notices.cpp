#include "coursejunction/proxy/exchange_service.hpp"

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
