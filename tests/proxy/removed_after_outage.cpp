#include <chrono>
#include <memory>
#include <thread>

#include <catch2/catch.hpp>

#include "proxy/entry_process.hpp"
#include "proxy/memory_store.hpp"

namespace
{

using namespace std::chrono_literals;
using proxy_test::entry_process;

/*! @brief A watcher of the store and an entry that hears from it, during an
 * outage of the store. */
struct two_entries
{
    two_entries()
    {
        keys.write("configuration", "1");
        keys.write("up/a", "1 ready");
        watcher = std::make_unique<entry_process>(
            keys, entry_process::options{21, port, "h", 21});
        follower = std::make_unique<entry_process>(
            keys, entry_process::options{22, port, "h", 21, false});
    }

    /*! @brief Makes the store unavailable for a while.
     * @param after How long to wait after it returned. */
    void play_outage(std::chrono::milliseconds after)
    {
        constexpr auto duration = 2s;
        watcher->on_loop([&] { keys.available = false; });
        std::this_thread::sleep_for(duration);
        watcher->on_loop([&] { keys.available = true; });
        std::this_thread::sleep_for(after);
    }

    static constexpr std::uint16_t port{21'743};

    proxy_test::store_content keys;
    std::unique_ptr<entry_process> watcher;
    std::unique_ptr<entry_process> follower;
};

} // namespace

// A record that is missing 2 s after the return of the store has been removed.
SCENARIO("an upstream removed after an outage of the store is still used",
         "[proxy][fleet]")
{
    two_entries entries;
    REQUIRE(entries.watcher->wait_for_upstream("up/a"));
    REQUIRE(entries.follower->wait_for_upstream("up/a"));
    entries.play_outage(2500ms);

    WHEN("its record is removed 2.5 s after the return")
    {
        entries.watcher->on_loop([&] { entries.keys.remove("up/a"); });
        THEN("no entry uses it 2 s later")
        {
            CHECK(entries.watcher->wait_for_unused_upstream("up/a"));
            CHECK(entries.follower->wait_for_unused_upstream("up/a"));
        }
    }
}
