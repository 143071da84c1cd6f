#include "coursejunction/rollout/upstream_agent.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "net/loopback.hpp"
#include "proxy/memory_store.hpp"
#include "rollout/scripted_engine.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

/*! @brief Reads published versions as numbers and one upstream, which is on
 * this instance. */
struct one_upstream
{
    static cj::item_kind kind(const std::string& key)
    {
        if (key == "configuration")
            return cj::item_kind::configuration;
        if (key == "upstream")
            return cj::item_kind::upstream;
        return key == "version" ? cj::item_kind::version : cj::item_kind::other;
    }
    static cj::result<cj::installation> configuration(const std::string&)
    {
        cj::installation made;
        made.version = 1;
        cj::service_profile service;
        service.name = cj::service_name("s");
        service.engine = cj::engine_profile{};
        service.engine->models = {"m"};
        made.services[service.name] = service;
        cj::service_profile weights;
        weights.name = cj::service_name("weights");
        weights.origin = "origin";
        made.services[weights.name] = weights;
        return made;
    }
    static cj::result<cj::upstream_record> upstream(const std::string& key,
                                                    const std::string& payload)
    {
        cj::upstream_record made;
        made.id = cj::instance_id(key);
        made.service = cj::service_name("s");
        made.hall = cj::hall_id("h");
        made.address = loopback::own_address(1) + ":9";
        made.sequence = std::stoull(payload);
        return made;
    }
    static cj::instance_id upstream_id(const std::string& key)
    {
        return cj::instance_id(key);
    }
    static cj::result<cj::version_target> version(const std::string& payload)
    {
        return cj::version_target{"m", std::stoull(payload)};
    }
    static cj::hall_id evacuated_hall(const std::string& key)
    {
        return cj::hall_id(key);
    }
    static cj::item_order order(const std::string& key,
                                const std::string& payload)
    {
        if (key.starts_with(cj::weights_record_prefix))
            return {};
        return cj::item_order{0, std::stoull(payload)};
    }
    static bool is_operator_key(const std::string& key)
    {
        return key == "configuration" || key == "version";
    }
};

struct sidecar_platform
{
    using store = proxy_test::memory_store;
    using catalogue = one_upstream;
    using engine = rollout_test::scripted_engine;
    using origin = rollout_test::scripted_origin;
};

/*! @brief A sidecar on an event loop, beside an upstream that serves version
 * 1. It is the only process, so it watches the store itself. */
class sidecar_process
{
public:
    using agent_type = cj::upstream_agent<sidecar_platform>;

    sidecar_process()
    {
        running.on_loop(
            [&]
            {
                keys.write("configuration", "1");
                keys.write("upstream", "1");
                keys.write("version", "1");
                engine = std::make_unique<rollout_test::scripted_engine>(
                    running.loop);
                origin = std::make_unique<rollout_test::scripted_origin>(
                    running.loop);
                start();
                // Upstreams write their records all the time, so that the
                // sidecar takes its next step also without a report.
                watching = running.loop.every(5ms, [this] { watch(); });
            });
    }

    ~sidecar_process()
    {
        running.on_loop(
            [&]
            {
                watching.stop();
                ending.stop();
                starting.stop();
                agent.reset();
                node.reset();
                engine.reset();
                origin.reset();
                store.reset();
            });
        running.stop();
    }

    /*! @brief Ends the sidecar without warning and starts it again 100 ms
     * later, after the upstream has finished a load. */
    void kill_and_start()
    {
        running.on_loop([&] { restart_later(1ms, 100ms); });
    }

    /*! @brief Does the same 1 ms after the next load command was taken. */
    void kill_when_load_is_taken()
    {
        on_loop(
            [this](rollout_test::scripted_engine& upstream)
            { upstream.load_taken = [this] { restart_later(1ms, 100ms); }; });
    }

    /*! @brief Stops the sidecar as planned once the next load command was taken
     * and starts it again. */
    void stop_when_load_is_taken()
    {
        const auto stop = [this]
        {
            ending = running.loop.after(
                1ms,
                [this] { agent->stop([this] { restart_later(1ms, 1ms); }); });
        };
        on_loop([stop](rollout_test::scripted_engine& upstream)
                { upstream.load_taken = stop; });
    }

    /*! @brief Lets the origin send this many further chunks only. */
    void limit_origin(std::size_t chunks)
    {
        running.on_loop([&] { origin->chunks_left = chunks; });
    }

    /*! @brief Removes the record of checked weights from the store. */
    void remove_record()
    {
        running.on_loop(
            [&]
            { keys.remove(cj::weights_record_key(loopback::own_address(1))); });
    }

    /*! @brief Returns whether the store holds the record of checked weights. To
     * be called on the event loop. */
    [[nodiscard]] bool recorded() const
    {
        return keys.holds(cj::weights_record_key(loopback::own_address(1)));
    }

    void publish(std::uint64_t version)
    {
        running.on_loop([&]
                        { keys.write("version", std::to_string(version)); });
    }

    /*! @brief Changes the upstream on the event loop, which is held up while
     * the work lasts. */
    template <typename Work>
    void on_loop(Work work)
    {
        running.on_loop([&] { work(*engine); });
    }

    /*! @brief Waits until a condition of the sidecar's state holds. */
    template <typename Condition>
    [[nodiscard]] bool wait_until(Condition condition,
                                  cj::milliseconds limit = 8000ms)
    {
        const auto end = cj::event_loop::now() + limit;
        while (cj::event_loop::now() < end)
        {
            bool holds = false;
            running.on_loop([&]
                            { holds = agent && condition(agent->state()); });
            if (holds)
                return true;
            std::this_thread::sleep_for(5ms);
        }
        return false;
    }

    [[nodiscard]] bool wait_for_close(std::uint64_t version)
    {
        return wait_until(
            [&](const cj::agent_state& state)
            { return state.closing && state.ordered_version == version; });
    }

    /*! @brief Waits until the upstream is open with right weights of a
     * version. */
    [[nodiscard]] bool wait_for_version(std::uint64_t version)
    {
        return wait_until(
            [&](const cj::agent_state& state)
            {
                return state.open && state.upstream->version == version &&
                       engine->version() == version && !engine->is_wrong();
            });
    }

    /*! @brief Returns whether entries could send requests to wrong weights at
     * any moment so far. */
    [[nodiscard]] bool served_wrong()
    {
        bool seen = false;
        running.on_loop([&] { seen = open_with_wrong; });
        return seen;
    }

    template <typename Value>
    [[nodiscard]] std::size_t count(Value value)
    {
        std::size_t result = 0;
        running.on_loop([&] { result = value(*engine); });
        return result;
    }

private:
    void start()
    {
        store = std::make_unique<proxy_test::memory_store>(running.loop, keys);
        cj::fleet_options own;
        own.address = loopback::own_address(1);
        own.port = 21'741;
        own.hall = cj::hall_id("h");
        own.entry = true;
        own.seeds = {own.address};
        own.items = {one_upstream::order, one_upstream::is_operator_key};
        node = std::move(
            agent_type::node_type::create(running.loop, *store, counters, own)
                .value());
        agent =
            std::make_unique<agent_type>(running.loop, *node, *engine, *origin,
                                         counters, cj::agent_options{});
        agent->start();
    }

    void restart_later(cj::milliseconds until_end, cj::milliseconds down)
    {
        ending = running.loop.after(until_end,
                                    [this]
                                    {
                                        engine->disconnect();
                                        agent.reset();
                                        node.reset();
                                        store.reset();
                                    });
        starting = running.loop.after(until_end + down, [this] { start(); });
    }

    void watch()
    {
        if (++ticks % 40 == 0)
            keys.write("upstream", std::to_string(ticks));
        if (!agent)
            return;
        const auto state = agent->state();
        open_with_wrong =
            open_with_wrong || (state.open && engine->is_wrong() &&
                                engine->version() == state.upstream->version);
    }

    proxy_test::store_content keys;
    cj::metrics counters;
    bool open_with_wrong{false};
    std::uint64_t ticks{1};
    loopback::running_loop running;
    std::unique_ptr<proxy_test::memory_store> store;
    std::unique_ptr<rollout_test::scripted_engine> engine;
    std::unique_ptr<rollout_test::scripted_origin> origin;
    std::unique_ptr<agent_type::node_type> node;
    std::unique_ptr<agent_type> agent;
    cj::timer watching;
    cj::timer ending;
    cj::timer starting;
};

const auto wrong_loads = [](const rollout_test::scripted_engine& engine)
{ return engine.wrong_loads(); };
const auto unloads = [](const rollout_test::scripted_engine& engine)
{ return engine.unloads(); };
const auto late_unloads = [](const rollout_test::scripted_engine& engine)
{ return engine.late_unloads(); };
const auto corrupt_a_chunk = [](rollout_test::scripted_engine& engine)
{ engine.load_arrives = [&engine] { engine.corrupt_chunk(3); }; };

} // namespace

// A sidecar that was suspended between its check of the staged chunks and its
// load command had chunks loaded that turned bad meanwhile.
SCENARIO("chunks that turn bad while a sidecar is suspended are not served",
         "[rollout]")
{
    sidecar_process sidecar;
    REQUIRE(sidecar.wait_for_version(1));
    sidecar.publish(2);
    REQUIRE(sidecar.wait_for_close(2));

    GIVEN("a suspension longer than a check is valid")
    {
        sidecar.on_loop(
            [](rollout_test::scripted_engine& engine)
            {
                engine.corrupt_chunk(3);
                std::this_thread::sleep_for(2000ms);
            });
        THEN("they are staged again before the load command")
        {
            CHECK(sidecar.wait_for_version(2));
            CHECK(sidecar.count(wrong_loads) == 0);
            CHECK_FALSE(sidecar.served_wrong());
        }
    }
    GIVEN("a suspension that ends while the check is valid")
    {
        sidecar.on_loop(
            [](rollout_test::scripted_engine& engine)
            {
                engine.corrupt_chunk(3);
                std::this_thread::sleep_for(900ms);
            });
        THEN("the weights are given up and loaded again before it opens")
        {
            CHECK(sidecar.wait_for_version(2));
            CHECK(sidecar.count(wrong_loads) == 1);
            CHECK(sidecar.count(unloads) == 1);
            CHECK_FALSE(sidecar.served_wrong());
        }
        THEN("they are given up before their chunks are replaced")
        {
            CHECK(sidecar.wait_for_version(2));
            CHECK(sidecar.count(late_unloads) == 0);
        }
    }
}

// An upstream that was suspended with the load command in its socket took it
// after chunks of the next version had been staged.
SCENARIO("a load command without a response keeps the staging area",
         "[rollout]")
{
    sidecar_process sidecar;
    REQUIRE(sidecar.wait_for_version(1));
    sidecar.on_loop([](rollout_test::scripted_engine& engine)
                    { engine.load_arrives = [&engine] { engine.suspend(); }; });
    sidecar.publish(2);
    REQUIRE(sidecar.wait_for_close(2));
    sidecar.publish(3);
    std::this_thread::sleep_for(6000ms);
    sidecar.on_loop([](rollout_test::scripted_engine& engine)
                    { engine.resume(); });

    THEN("no load takes a wrong chunk, and the next version follows")
    {
        CHECK(sidecar.wait_for_version(3));
        CHECK(sidecar.count(wrong_loads) == 0);
        CHECK_FALSE(sidecar.served_wrong());
    }
}

// The count of load commands starts at 0 again, so that a command for the
// earlier incarnation is accepted.
SCENARIO("a load command that is taken after a loss of power is found out",
         "[rollout]")
{
    sidecar_process sidecar;
    REQUIRE(sidecar.wait_for_version(1));
    sidecar.on_loop(
        [](rollout_test::scripted_engine& engine)
        { engine.load_arrives = [&engine] { engine.lose_power(); }; });
    sidecar.publish(2);

    THEN("the weights are given up and loaded again before it opens")
    {
        CHECK(sidecar.wait_for_version(2));
        CHECK(sidecar.count(wrong_loads) == 1);
        CHECK_FALSE(sidecar.served_wrong());
    }
}

// A sidecar that was killed, or stopped as planned, between its load command
// and the check of the loaded weights left wrong weights behind, which the next
// process trusted: they served requests until the next version.
SCENARIO("weights that an earlier process of the sidecar did not check are not "
         "served",
         "[rollout]")
{
    sidecar_process sidecar;
    REQUIRE(sidecar.wait_for_version(1));

    GIVEN("a chunk that is wrong when the load command is taken")
    {
        sidecar.on_loop(corrupt_a_chunk);
        THEN("they are loaded again if the sidecar is killed")
        {
            sidecar.kill_when_load_is_taken();
            sidecar.publish(2);
            CHECK(sidecar.wait_for_version(2));
            CHECK(sidecar.count(wrong_loads) == 1);
            CHECK(sidecar.count(unloads) == 1);
            CHECK_FALSE(sidecar.served_wrong());
        }
        THEN("they are loaded again if the sidecar is stopped as planned")
        {
            sidecar.stop_when_load_is_taken();
            sidecar.publish(2);
            CHECK(sidecar.wait_for_version(2));
            CHECK(sidecar.count(wrong_loads) == 1);
            CHECK_FALSE(sidecar.served_wrong());
        }
    }
    GIVEN("chunks that are right when the load command is taken")
    {
        THEN("they are served without a further load if the sidecar is killed")
        {
            sidecar.kill_when_load_is_taken();
            sidecar.publish(2);
            CHECK(sidecar.wait_for_version(2));
            CHECK(sidecar.count(unloads) == 0);
        }
    }
}

// Without the record a sidecar that starts amid the next transfer could not
// tell whether the served weights are right.
SCENARIO("the record of a check outlasts the sidecar", "[rollout]")
{
    sidecar_process sidecar;
    REQUIRE(sidecar.wait_for_version(1));
    sidecar.publish(2);
    REQUIRE(sidecar.wait_for_version(2));
    REQUIRE(
        sidecar.wait_until([&](const auto&) { return sidecar.recorded(); }));
    sidecar.limit_origin(3);
    sidecar.publish(3);
    REQUIRE(sidecar.wait_until(
        [](const cj::agent_state& state)
        {
            return std::any_of(state.versions.begin(), state.versions.end(),
                               [](const cj::version_progress& one) {
                                   return one.version == 3 &&
                                          one.staged_chunks == 3;
                               });
        }));

    GIVEN("a sidecar that starts beside its record")
    {
        sidecar.kill_and_start();
        THEN("it opens its upstream")
        {
            std::this_thread::sleep_for(50ms);
            CHECK(sidecar.wait_for_version(2));
        }
    }
    GIVEN("a sidecar that starts without one")
    {
        sidecar.remove_record();
        std::this_thread::sleep_for(300ms);
        sidecar.kill_and_start();
        std::this_thread::sleep_for(50ms);
        THEN("its upstream stays closed until the next version is loaded")
        {
            CHECK_FALSE(sidecar.wait_until([](const cj::agent_state& state)
                                           { return state.open; },
                                           2000ms));
            sidecar.limit_origin(1000);
            CHECK(sidecar.wait_for_version(3));
        }
    }
}
