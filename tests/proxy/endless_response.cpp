#include <chrono>
#include <string>

#include <catch2/catch.hpp>

#include "net/endless_peer.hpp"
#include "net/running_server.hpp"
#include "proxy/entry_on_loopback.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;
using proxy_test::entry_on_loopback;
using steady = std::chrono::steady_clock;

// Bytes that are no response may come without end, in a head or in a body.
SCENARIO("a request whose upstream sends without end is served by another one",
         "[proxy]")
{
    entry_on_loopback entry;
    entry.configure_route(cj::request_kind::repeatable);
    loopback::endless_peer endless("HTTP/1.1 200 OK\r\nId: 7\r\n\r\n",
                                   std::string(16'384, 'x'));
    proxy_test::scripted_upstream other({proxy_test::response("whole")});
    entry.add_upstream("a", endless.address);
    entry.add_upstream("b", other.address);
    CHECK(entry.ask().ends_with("whole"));
}

SCENARIO("a request ends in time although its upstream's response does not",
         "[proxy]")
{
    constexpr auto patience = 1000ms;
    constexpr auto deadline = 1200ms;
    entry_on_loopback entry(100ms);
    entry.caller_patience = patience;
    const auto kind =
        GENERATE(cj::request_kind::stream, cj::request_kind::repeatable);
    entry.configure_route(kind, true, deadline);
    const std::string head = "HTTP/1.1 200 OK\r\nId: 7\r\n";
    const std::string many(16'384, 'x');
    // As much as the link takes, or so little that no limit on bytes ends it.
    const auto interval = GENERATE(0ms, 50ms);
    const auto part = interval == 0ms ? many : std::string("x");
    const auto [beginning, repeated] =
        GENERATE_COPY(table<std::string, std::string>(
            {{head + "Field: ", part},
             {head, "F: " + part + "\r\n"},
             {head + "\r\n", part},
             {head + "\r\n", "\r\n"},
             {head + "Transfer-Encoding: chunked\r\n\r\n",
              (interval == 0ms ? "4000\r\n" : "1\r\n") + part + "\r\n"}}));
    loopback::endless_peer upstream(beginning, repeated, interval);
    entry.add_upstream("a", upstream.address);
    const auto asked_at = steady::now();
    const auto answer = entry.ask();
    const auto took = steady::now() - asked_at;
    const bool late = answer.starts_with("HTTP/1.1 504");
    CHECK((late || answer.starts_with("HTTP/1.1 502")));
    CHECK(took <
          (kind == cj::request_kind::stream ? patience : deadline + 500ms));
    CHECK(loopback::becomes([&] { return bool(upstream.closed_by_caller); },
                            1500ms));
    // What both kernels buffer of a connection may be on its way as well.
    constexpr std::size_t in_flight = std::size_t{16} << 20U;
    CHECK(upstream.sent_bytes < cj::back_pressure::max_kept_bytes + in_flight);
    entry.running.on_loop([&] { CHECK(entry.service->size() == 0); });
}
