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
     * @param meanwhile Changes its content before it returns. */
    template <typename Change>
    void play_outage(Change meanwhile)
    {
        constexpr auto duration = 2s;
        watcher->on_loop([&] { keys.available = false; });
        std::this_thread::sleep_for(duration);
        watcher->on_loop(
            [&]
            {
                meanwhile();
                keys.available = true;
            });
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

    WHEN("its record is removed 2.5 s after the return")
    {
        entries.play_outage([] {});
        std::this_thread::sleep_for(2500ms);
        entries.watcher->on_loop([&] { entries.keys.remove("up/a"); });
        THEN("no entry uses it 2 s later")
        {
            CHECK(entries.watcher->wait_for_unused_upstream("up/a"));
            CHECK(entries.follower->wait_for_unused_upstream("up/a"));
        }
    }
    WHEN("its record expired in the outage and returns 1.5 s after it")
    {
        entries.play_outage([&] { entries.keys.remove("up/a"); });
        THEN("all entries use it all the time")
        {
            for (int count = 0; count < 15; ++count)
            {
                std::this_thread::sleep_for(100ms);
                CHECK(entries.watcher->uses_upstream("up/a"));
                CHECK(entries.follower->uses_upstream("up/a"));
            }
            entries.watcher->on_loop(
                [&] { entries.keys.write("up/a", "2 ready"); });
            std::this_thread::sleep_for(1500ms);
            CHECK(entries.watcher->uses_upstream("up/a"));
            CHECK(entries.follower->uses_upstream("up/a"));
        }
    }
}
