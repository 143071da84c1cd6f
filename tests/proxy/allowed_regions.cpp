#include <chrono>
#include <string>

#include <catch2/catch.hpp>

#include "proxy/entry_on_loopback.hpp"
#include "proxy/entry_process.hpp"
#include "proxy/memory_store.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

using proxy_test::entry_on_loopback;
using proxy_test::event_stream;
using proxy_test::response;
using proxy_test::scripted_upstream;

namespace
{

const cj::region_id east("east");
const cj::region_id west("west");

/*! @brief Returns options with the entry's hall and "near" in the east and the
 * other hall in the west. */
cj::placement_options two_regions()
{
    cj::placement_options result;
    result.hall_regions = {{cj::hall_id("h"), east},
                           {cj::hall_id("near"), east},
                           {cj::hall_id("other"), west}};
    return result;
}

/*! @brief An entry in the east. Its tests set targets so long that a request
 * which waits for a slot takes longer than one that is refused at once. */
struct entry_in_east : entry_on_loopback
{
    entry_in_east()
        : entry_on_loopback(cj::exchange_options{}.first_event_slack,
                            two_regions())
    {
    }

    /*! @brief Sends a request that must be refused at once. */
    std::string ask_for_refusal(const std::string& path = "/x",
                                const std::string& extra_headers = {})
    {
        const auto begun_at = std::chrono::steady_clock::now();
        auto answer = ask(path, extra_headers);
        CHECK(std::chrono::steady_clock::now() - begun_at < 2s);
        CHECK(answer.starts_with("HTTP/1.1 503"));
        CHECK(answer.find("Retry-After") != std::string::npos);
        return answer;
    }

    [[nodiscard]] bool counted_outside_regions()
    {
        std::string text;
        running.on_loop([&] { text = counters.text(); });
        return text.find("requests_outside_regions_total") != std::string::npos;
    }
};

} // namespace

// Guards against requests that reach an upstream outside the regions of their
// route or organisation.
SCENARIO("the first attempt of a request is sent to an allowed region",
         "[proxy]")
{
    entry_in_east entry;
    scripted_upstream near({response("near")});
    scripted_upstream far({response("far")});
    entry.add_upstream("a", near.address);
    entry.add_upstream("b", far.address);

    SECTION("to the nearest upstream without a restriction")
    {
        entry.configure_route(cj::request_kind::repeatable);
        CHECK(entry.ask().ends_with("near"));
        CHECK(far.arrivals().empty());
    }
    SECTION("to the region of the route")
    {
        entry.route_regions = {west};
        entry.configure_route(cj::request_kind::repeatable);
        CHECK(entry.ask().ends_with("far"));
        CHECK(near.arrivals().empty());
    }
    SECTION("to the region of the organisation")
    {
        entry.organisation_regions = {west};
        entry.configure_route(cj::request_kind::repeatable);
        CHECK(entry.ask("/keyed/x", "Key: k\r\n").ends_with("far"));
        CHECK(near.arrivals().empty());
    }
    SECTION("to the region of the organisation on a route that needs no key")
    {
        entry.organisation_regions = {west};
        entry.configure_route(cj::request_kind::repeatable);
        CHECK(entry.ask("/x", "Key: k\r\n").ends_with("far"));
        CHECK(near.arrivals().empty());
    }
    SECTION("to no region if the route and the organisation share none")
    {
        entry.route_regions = {east};
        entry.organisation_regions = {west};
        entry.first_event_target = 60'000ms;
        entry.configure_route(cj::request_kind::repeatable);
        entry.ask_for_refusal("/keyed/x", "Key: k\r\n");
        CHECK(near.arrivals().empty());
        CHECK(far.arrivals().empty());
        CHECK(entry.counted_outside_regions());
    }
}

// Guards against requests that are held until they are late although no
// upstream may take them.
SCENARIO("a request that its regions cannot serve is refused at once",
         "[proxy]")
{
    entry_in_east entry;
    scripted_upstream near({response("near")});
    scripted_upstream far({response("far")});
    entry.add_upstream("b", far.address);
    entry.first_event_target = 60'000ms;

    SECTION("where there is no upstream")
    {
        entry.route_regions = {east};
        entry.configure_route(cj::request_kind::at_most_once);
        entry.ask_for_refusal();
        CHECK(far.arrivals().empty());
        CHECK(entry.counted_outside_regions());
    }
    SECTION("where the upstreams are leaving")
    {
        entry.add_upstream("a", near.address);
        entry.running.on_loop(
            [&]
            {
                auto record = entry.book.find(cj::instance_id("a"))->record;
                record.leaving = true;
                entry.book.apply_record(record);
            });
        entry.route_regions = {east};
        entry.configure_route(cj::request_kind::at_most_once);
        entry.ask_for_refusal();
        CHECK(near.arrivals().empty());
        CHECK(far.arrivals().empty());
    }
    SECTION("where the region of their hall is unknown")
    {
        entry.add_upstream("c", near.address, "unlisted");
        entry.route_regions = {east};
        entry.configure_route(cj::request_kind::at_most_once);
        entry.ask_for_refusal();
        CHECK(near.arrivals().empty());
    }
    SECTION("while others are served, and not counted")
    {
        entry.configure_route(cj::request_kind::at_most_once);
        CHECK(entry.ask().ends_with("far"));
        CHECK_FALSE(entry.counted_outside_regions());
    }
}

SCENARIO("a request does not leave its regions after a failed attempt",
         "[proxy]")
{
    entry_in_east entry;
    entry.route_regions = {east};
    entry.configure_route(cj::request_kind::repeatable);
    scripted_upstream far({response("far")});
    entry.add_upstream("b", far.address);

    SECTION("it is sent again to another upstream of the region")
    {
        scripted_upstream broken({""});
        scripted_upstream working({response("near")});
        entry.add_upstream("a", broken.address);
        entry.add_upstream("c", working.address, "near");
        CHECK(entry.ask().ends_with("near"));
        CHECK(broken.arrivals().size() == 1);
    }
    SECTION("it may have run, so it gets 502 if the region has no other")
    {
        scripted_upstream broken({""});
        entry.add_upstream("a", broken.address);
        CHECK(entry.ask().starts_with("HTTP/1.1 502"));
        CHECK(broken.arrivals().size() == 1);
        CHECK(entry.counted_outside_regions());
    }
    SECTION("it did not run, so it gets 503 if the region has no other")
    {
        entry.add_upstream("a", "127.0.0.1:1");
        entry.ask_for_refusal();
    }
    SECTION("an upstream of the region is used again after a server error")
    {
        scripted_upstream failing(
            {response("", "7", "500 Bad"), response("second")});
        entry.add_upstream("a", failing.address);
        CHECK(entry.ask().ends_with("second"));
    }
    CHECK(far.arrivals().empty());
}

SCENARIO("a stream does not leave its regions", "[proxy]")
{
    entry_in_east entry;
    entry.route_regions = {east};
    entry.configure_route(cj::request_kind::stream, true, 2500ms);
    scripted_upstream far({event_stream("id: 1\ndata: far\n\n", true)});
    entry.add_upstream("b", far.address);

    SECTION("when it is sent to a second upstream while the first is silent")
    {
        scripted_upstream silent({scripted_upstream::hang});
        entry.add_upstream("a", silent.address);
        SECTION("and the region has no other upstream, it stays there")
        {
            CHECK(entry.ask().starts_with("HTTP/1.1 504"));
            CHECK(silent.arrivals().size() == 1);
        }
        SECTION("and the region has another upstream, that one takes over")
        {
            scripted_upstream other({event_stream("id: 1\ndata: x\n\n", true)});
            entry.add_upstream("c", other.address, "near");
            CHECK(entry.ask().find("data: x") != std::string::npos);
            CHECK(silent.arrivals().size() == 1);
        }
    }
    SECTION("when it is resumed")
    {
        scripted_upstream broken(
            {event_stream("id: 1\ndata: a\n\nid: 2\nda", false)});
        entry.add_upstream("a", broken.address);
        SECTION("and the region has no other upstream, it is cut")
        {
            const auto answer = entry.ask();
            CHECK(answer.find("data: a") != std::string::npos);
            CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
        }
        SECTION("and the region has another upstream, it is continued there")
        {
            scripted_upstream other({event_stream("id: 2\ndata: b\n\n", true)});
            entry.add_upstream("c", other.address, "near");
            const auto answer = entry.ask();
            CHECK(answer.find("data: b") != std::string::npos);
            CHECK(answer.ends_with("0\r\n\r\n"));
        }
    }
    CHECK(far.arrivals().empty());
}

// Guards against an entry process that does not apply its settings' regions to
// the routes of its configuration.
SCENARIO("an entry process with two halls keeps requests in their regions",
         "[proxy][fleet]")
{
    proxy_test::store_content keys;
    scripted_upstream broken({""});
    scripted_upstream far({response("far")});
    keys.write("configuration", "1");
    keys.write("up/a", "1 ready h " + broken.address);
    keys.write("up/b", "1 ready other " + far.address);
    proxy_test::entry_process::options options{1};
    options.hall_regions = two_regions().hall_regions;
    proxy_test::entry_process entry(keys, options);
    REQUIRE(entry.wait_for_configuration(1));
    REQUIRE(entry.wait_for_upstream("up/a"));
    REQUIRE(entry.wait_for_upstream("up/b"));
    const auto ask = [&](const std::string& path)
    {
        const auto caller = entry.connect();
        caller->send("POST " + path +
                     " HTTP/1.1\r\nHost: h\r\nId: 7\r\nConnection: close\r\n"
                     "Content-Length: 0\r\n\r\n");
        return caller->drain();
    };

    SECTION("a request without a restriction goes to the far hall after a "
            "failed attempt")
    {
        CHECK(ask("/any/x").ends_with("far"));
        CHECK(far.arrivals().size() == 1);
    }
    SECTION("a restricted one does not")
    {
        CHECK(ask("/east/x").starts_with("HTTP/1.1 502"));
        CHECK(broken.arrivals().size() == 1);
        CHECK(far.arrivals().empty());
    }
    SECTION("a restricted one is refused when the upstream of its region "
            "leaves")
    {
        entry.on_loop([&]
                      { keys.write("up/a", "2 leaves h " + broken.address); });
        REQUIRE(entry.wait_for_leaving_upstream("up/a"));
        CHECK(ask("/east/x").starts_with("HTTP/1.1 503"));
        CHECK(broken.arrivals().empty());
        CHECK(far.arrivals().empty());
    }
}
