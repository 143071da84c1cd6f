#include "coursejunction/rollout/weights_record_writer.hpp"

#include <catch2/catch.hpp>

#include "net/loopback.hpp"
#include "proxy/memory_store.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

/*! @brief A writer whose mirror shows what the test applies to it. */
struct mirrored_writer
{
    cj::metrics counters;
    proxy_test::store_content keys;
    loopback::running_loop running;
    proxy_test::memory_store store{running.loop, keys};
    cj::store_mirror mirror{{}};
    cj::weights_record_writer<proxy_test::memory_store> writer{
        running.loop, store, mirror, counters, "10.0.0.1", 1};
    const std::string key = cj::weights_record_key("10.0.0.1");

    ~mirrored_writer() { running.stop(); }

    /*! @brief Waits until the store holds a record that is set. */
    [[nodiscard]] bool is_replaced_by(const cj::weights_record& record)
    {
        const auto written = [&]
        {
            bool done = false;
            running.on_loop(
                [&]
                {
                    writer.set(record);
                    writer.write_if_missing();
                    done = keys.items.at(key).payload ==
                           cj::weights_record_payload(record);
                });
            return done;
        };
        const auto end = cj::event_loop::now() + 3s;
        while (!written() && cj::event_loop::now() < end)
            std::this_thread::sleep_for(20ms);
        return written();
    }

    void show()
    {
        cj::message::mirror_item item;
        item.key = key;
        item.payload = keys.items.at(key).payload;
        item.revision = keys.items.at(key).revision;
        static_cast<void>(
            mirror.apply({item}, {0, item.revision}, cj::event_loop::now()));
    }
};

} // namespace

SCENARIO("a weights record is written until the mirror shows it", "[rollout]")
{
    mirrored_writer one;
    const cj::weights_record record{"m", 2, {}, 1};
    one.running.on_loop(
        [&]
        {
            one.writer.write_if_missing();
            CHECK_FALSE(one.keys.holds(one.key));
            CHECK_FALSE(one.writer.pending());

            one.writer.set(record);
            CHECK(one.writer.pending());
            one.writer.write_if_missing();
            CHECK(one.keys.holds(one.key));
            CHECK_FALSE(one.writer.pending());
            CHECK_FALSE(one.writer.stored());
            one.show();
            CHECK(one.writer.stored() == record);
        });

    SECTION("it is not written again")
    {
        const auto revision = one.keys.items.at(one.key).revision;
        one.running.on_loop(
            [&]
            {
                one.writer.set(record);
                one.writer.write_if_missing();
            });
        CHECK(one.keys.items.at(one.key).revision == revision);
    }
    SECTION("a later load replaces it, after a delay")
    {
        CHECK(one.is_replaced_by({"m", 3, {}, 2}));
    }
    SECTION("a malformed one counts as none, and is replaced")
    {
        one.running.on_loop(
            [&]
            {
                one.keys.write(one.key, "x");
                one.show();
                CHECK_FALSE(one.writer.stored());
            });
        CHECK(one.is_replaced_by(record));
    }
}
