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
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "net/crashing_peer.hpp"
#include "proxy/entry_on_loopback.hpp"

namespace cj = coursejunction;
using proxy_test::entry_on_loopback;
using proxy_test::scripted_upstream;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t upstream_count = 8;

/*! @brief An entry before upstreams that each end under the first request. */
struct entry_before_crashes : entry_on_loopback
{
    using manner = loopback::crashing_peer::manner;

    /*! @param how Tells how each of them ends. */
    explicit entry_before_crashes(
        const std::function<manner(std::size_t)>& how = [](std::size_t)
        { return manner{}; },
        cj::milliseconds first_event_slack =
            cj::exchange_options{}.first_event_slack)
        : entry_on_loopback(first_event_slack)
    {
        for (std::size_t at = 0; at < upstream_count; ++at)
        {
            peers.push_back(std::make_unique<loopback::crashing_peer>(how(at)));
            upstream(std::string(1, static_cast<char>('a' + at)),
                     peers.back()->address);
        }
    }

    /*! @brief Returns how many ended or soon will. */
    [[nodiscard]] std::size_t ended() const
    {
        std::size_t count = 0;
        for (const auto& one : peers)
            count += one->reached() ? 1 : 0;
        return count;
    }

    /*! @brief The records of those that have ended go, as they do on the
     * platform after a few missed liveness reports. */
    void drop_records()
    {
        for (std::size_t at = 0; at < upstream_count; ++at)
        {
            if (peers[at]->ended())
                forget(std::string(1, static_cast<char>('a' + at)));
        }
    }

    std::vector<std::unique_ptr<loopback::crashing_peer>> peers;
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

/* Engines that were killed one after the other took one and the same innocent
 * request along three times, since it was moved to the next one each time, and
 * it was locked away for ten minutes like the request that ends its engines.
 * Beside such a request the content that all callers ask for was locked away
 * as well: of seven runs of 5 s, six refused it 629 to 898 times and answered
 * it 18 to 67 times.
 *
 * Three attempts of one harmful request, on the other hand, were taken back for
 * their silence before their engines were seen to have ended: nobody was
 * accused, and it went on to four engines more. */
SCENARIO("what the end of an upstream says of its requests", "[proxy]")
{
    SECTION("one that was answered in part each time was only near")
    {
        entry_before_crashes entry(
            [](std::size_t at)
            {
                const auto number = std::to_string(at + 1);
                return entry_before_crashes::manner{
                    proxy_test::stream("id: " + number + "\ndata: x\n\n",
                                       false),
                    50ms};
            });
        entry.route(cj::request_kind::stream, true);
        entry.ask();
        entry.ask();
        CHECK(entry.ended() == 4);
        scripted_upstream sound(
            {proxy_test::stream("id: 1\ndata: x\n\n", true)});
        for (std::size_t at = 0; at < upstream_count; ++at)
            entry.forget(std::string(1, static_cast<char>('a' + at)));
        entry.upstream("sound", sound.address);
        CHECK(entry.ask().find("200 OK") != std::string::npos);
    }
    SECTION("one that was taken back for its silence may have ended it")
    {
        entry_before_crashes entry(
            [](std::size_t) {
                return entry_before_crashes::manner{{}, 1100ms};
            },
            100ms);
        entry.route(cj::request_kind::stream, true);
        for (int copy = 0; copy < 3; ++copy)
        {
            entry.ask();
            std::this_thread::sleep_for(500ms);
            entry.drop_records();
        }
        // Two copies of two attempts: an end is seen after its attempt was
        // given up.
        CHECK(entry.ended() <= 4);
    }
}
