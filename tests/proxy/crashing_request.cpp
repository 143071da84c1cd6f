/* One streamed request ended every engine that began to run it, 0.05 to 0.12 s
 * after it had begun. Its caller sent it again and again, to any entry and
 * under a new id each time, and each copy was given the usual two upstreams:
 * after it had ended three engines it reached engines 22 more times and ended
 * 42 of them in 16 s; in the next series 23 more times, and 47. Of 20 engines
 * up to eight were gone at once, and 297 of 533 requests of five seconds were
 * in time.
 *
 * Nothing knew the request again: the entries kept what they know of a request
 * by its id and forgot it with its answer, and logged its two ends ("partial
 * message", "end of stream") like any lost connection. */
#include <array>
#include <cstddef>
#include <string>

#include <catch2/catch.hpp>

#include "net/crashing_peer.hpp"
#include "proxy/entry_on_loopback.hpp"

namespace cj = coursejunction;
using proxy_test::entry_on_loopback;
using proxy_test::scripted_upstream;

namespace
{

constexpr std::size_t upstream_count = 8;

/*! @brief An entry before upstreams that each end under the first request. */
struct entry_before_crashes : entry_on_loopback
{
    entry_before_crashes()
    {
        for (std::size_t at = 0; at < upstream_count; ++at)
            upstream(std::string(1, static_cast<char>('a' + at)),
                     peers[at].address);
    }

    [[nodiscard]] std::size_t ended() const
    {
        std::size_t count = 0;
        for (const auto& one : peers)
            count += one.reached() ? 1 : 0;
        return count;
    }

    std::array<loopback::crashing_peer, upstream_count> peers;
};

} // namespace

SCENARIO("a request that ends its upstreams is not sent on for ever", "[proxy]")
{
    entry_before_crashes entry;

    SECTION("a streamed one")
    {
        entry.route(cj::request_kind::stream, true);
        for (int copy = 0; copy < 6; ++copy)
            entry.ask();
        CHECK(entry.ended() == 3);
    }
    SECTION("one that may be repeated")
    {
        entry.route(cj::request_kind::repeatable);
        for (int copy = 0; copy < 6; ++copy)
            entry.ask();
        CHECK(entry.ended() == 3);
    }
    SECTION("one that may run once")
    {
        entry.route(cj::request_kind::single);
        for (int copy = 0; copy < 6; ++copy)
            entry.ask();
        CHECK(entry.ended() == 3);
    }
}
