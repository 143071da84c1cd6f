#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include <catch2/catch.hpp>

#include "coursejunction/fleet/fleet_node.hpp"
#include "coursejunction/fleet/heartbeat_plan.hpp"
#include "coursejunction/fleet/store_reader.hpp"
#include "net/congested_link.hpp"
#include "net/loopback.hpp"
#include "proxy/entry_process.hpp"
#include "proxy/large_configuration.hpp"
#include "proxy/memory_store.hpp"

namespace cj = coursejunction;

namespace
{

using proxy_test::entry_process;
using proxy_test::large_configuration;

/*! @brief Two entries in halls that a link connects; only the near one reaches
 * the store. */
struct two_halls
{
    two_halls()
    {
        keys.write("configuration", "1");
        keys.write("up/a", "1 ready");
        running.on_loop(
            [&]
            {
                link = std::make_unique<loopback::congested_link>(
                    running.loop,
                    loopback::congested_link::endpoints{
                        loopback::own_address(near_host), near_port,
                        loopback::own_address(far_host), far_port});
            });
        near_entry = std::make_unique<entry_process>(
            keys,
            entry_process::options{near_host, near_port, "near", near_host});
        far_entry = std::make_unique<entry_process>(
            keys, entry_process::options{far_host, far_port, "far", near_host,
                                         false});
    }

    ~two_halls()
    {
        far_entry.reset();
        near_entry.reset();
        running.on_loop([&] { link.reset(); });
        running.stop();
    }

    /*! @brief Fills the link and changes the store. */
    template <typename Change>
    void change_behind_full_link(Change change)
    {
        running.on_loop([&] { link->congest(); });
        near_entry->on_loop(change);
    }

    static constexpr int near_host = 11;
    static constexpr int far_host = 12;
    static constexpr std::uint16_t near_port{21'741};
    static constexpr std::uint16_t far_port{21'742};

    proxy_test::store_content keys;
    loopback::running_loop running;
    std::unique_ptr<loopback::congested_link> link;
    std::unique_ptr<entry_process> near_entry;
    std::unique_ptr<entry_process> far_entry;
};

} // namespace

// The bound is 2 s after the store acknowledged the change. The page of the
// mirror arrives later, since it also holds a large configuration.
SCENARIO("an entry behind a full link sends to an upstream after it left",
         "[proxy][fleet]")
{
    two_halls halls;
    REQUIRE(halls.far_entry->wait_for_upstream("up/a"));

    WHEN("an upstream says that it leaves")
    {
        halls.change_behind_full_link(
            [&]
            {
                halls.keys.write("configuration", large_configuration(2));
                halls.keys.write("up/a", "2 leaves");
            });
        THEN("the entry of the far hall stops to use it within 2 s")
        {
            CHECK(halls.far_entry->wait_for_unused_upstream("up/a"));
        }
    }

    WHEN("an upstream's record is removed")
    {
        halls.change_behind_full_link(
            [&]
            {
                halls.keys.write("configuration", large_configuration(2));
                halls.keys.remove("up/a");
            });
        THEN("the entry of the far hall stops to use it within 2 s")
        {
            CHECK(halls.far_entry->wait_for_unused_upstream("up/a"));
        }
    }
}

SCENARIO("the delays until a far hall knows of a departure exceed the bound",
         "[proxy][fleet]")
{
    using reader = cj::store_reader<proxy_test::memory_store>;
    using node = cj::fleet_node<proxy_test::memory_store>;
    /*! @brief Smallest bound of the installations, after the store's
     * acknowledgement. */
    constexpr cj::milliseconds bound{2000};
    /*! @brief A configuration of 2.3 MB on a watcher's link of 40 Mbit/s. */
    constexpr cj::milliseconds longest_watch_response{460};
    /*! @brief Queue of a full link between regions. */
    constexpr cj::milliseconds link_delay{300};
    constexpr int lost_heartbeats = 2;

    constexpr auto remote_interval =
        node::heartbeat_interval * cj::remote_entry_period;
    constexpr auto until_far_hall =
        reader::watch_pause + longest_watch_response +
        remote_interval * lost_heartbeats + link_delay;
    CHECK(until_far_hall + node::heartbeat_interval < bound);

    SECTION("a departure is reported for longer than heartbeats may be lost")
    {
        CHECK(cj::upstream_departures::report_period >
              remote_interval * (lost_heartbeats + 1));
    }
}
