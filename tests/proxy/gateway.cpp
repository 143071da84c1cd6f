#include "coursejunction/proxy/gateway.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "net/loopback.hpp"
#include "proxy/entry_on_loopback.hpp"
#include "proxy/memory_store.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

/*! @brief Names of versions as `VERSION`, a configuration without routes. */
struct plain_catalogue
{
    static cj::item_kind kind(const std::string& key)
    {
        if (key == "configuration")
            return cj::item_kind::configuration;
        if (key.starts_with(cj::version_record_prefix))
            return cj::item_kind::version_record;
        return key.starts_with("named/") ? cj::item_kind::version
                                         : cj::item_kind::other;
    }
    static cj::result<cj::installation> configuration(const std::string&)
    {
        cj::installation made;
        made.version = 1;
        return made;
    }
    static cj::result<cj::upstream_record> upstream(const std::string&,
                                                    const std::string&)
    {
        return cj::failure(cj::error_kind::invalid, "none");
    }
    static cj::instance_id upstream_id(const std::string& key)
    {
        return cj::instance_id(key);
    }
    static cj::result<cj::version_target> version(const std::string& payload)
    {
        return cj::version_target{"m", std::stoull(payload)};
    }
};

struct plain_platform
{
    using store = proxy_test::memory_store;
    using catalogue = plain_catalogue;
    using codec = proxy_test::plain_codec;
};

/*! @brief An entry process that reads and writes a store. */
class entry_process
{
public:
    using entry = cj::gateway<plain_platform>;

    entry_process(proxy_test::stored_keys& keys, int host)
        : address(loopback::own_address(host))
    {
        running.on_loop(
            [&]
            {
                store = std::make_unique<proxy_test::memory_store>(running.loop,
                                                                   keys);
                cj::fleet_options peers;
                peers.address = address;
                peers.port = port;
                peers.hall = cj::hall_id("h");
                peers.entry = true;
                peers.seeds = {address};
                node = std::move(entry::node_type::create(running.loop, *store,
                                                          counters, peers)
                                     .value());
                cj::gateway_options options;
                options.caller_address = address + ":0";
                options.ready_address = address + ":0";
                made = std::move(
                    entry::create(running.loop, *node, counters, options)
                        .value());
                made->start();
            });
    }

    ~entry_process()
    {
        running.on_loop(
            [&]
            {
                made.reset();
                node.reset();
                store.reset();
            });
        running.stop();
    }

    /*! @brief Changes the store while nothing reads it. */
    template <typename Change>
    void change(Change work)
    {
        running.on_loop(work);
    }

    [[nodiscard]] std::uint64_t newest()
    {
        std::uint64_t version = 0;
        running.on_loop([&] { version = made->view().newest("m"); });
        return version;
    }

    /*! @brief Waits until a version is the newest one that is known. */
    [[nodiscard]] bool learns(std::uint64_t version)
    {
        for (int tries = 0; tries < 100; ++tries)
        {
            if (newest() == version)
                return true;
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }

private:
    static constexpr std::uint16_t port{21'731};

    std::string address;
    cj::metrics counters;
    loopback::running_loop running;
    std::unique_ptr<proxy_test::memory_store> store;
    std::unique_ptr<entry::node_type> node;
    std::unique_ptr<entry> made;
};

} // namespace

SCENARIO("an older version is not served again after all entries start anew",
         "[proxy]")
{
    proxy_test::stored_keys keys;
    keys.write("configuration", "");
    keys.write("named/m", "2");
    {
        entry_process before(keys, 1);
        REQUIRE(before.learns(2));
        before.change([&] { keys.write("named/m", "3"); });
        REQUIRE(before.learns(3));

        // A write whose answer was lost is done once more.
        std::this_thread::sleep_for(500ms);
        before.change([&] { keys.write("named/m", "2"); });
        std::this_thread::sleep_for(200ms);
        CHECK(before.newest() == 3);
    }
    entry_process after(keys, 1);
    CHECK(after.learns(3));
}
