#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "coursejunction/fleet/store_mirror.hpp"
#include "coursejunction/fleet/version_gossip.hpp"
#include "coursejunction/fleet/version_poller.hpp"
#include "coursejunction/fleet/version_record.hpp"
#include "fleet/named_platform.hpp"

namespace cj = coursejunction;

namespace
{

using ms = std::int64_t;

constexpr ms tick = 100;
constexpr std::size_t chunks = 4;
constexpr std::size_t chunk_bytes = 1024;

struct virtual_clock
{
    static ms& passed()
    {
        static ms one = 0;
        return one;
    }
    static cj::time_point now()
    {
        return cj::time_point{std::chrono::hours(1)} +
               cj::milliseconds(passed());
    }
};

/*! @brief A period in which something does not work. */
struct fault
{
    ms from{0};
    ms duration{0};

    [[nodiscard]] bool covers(ms now) const
    {
        return now >= from && now < from + duration;
    }
};

/*! @brief A version that the operator publishes; the write is acknowledged
 * immediately. */
struct published_version
{
    ms after{0}; /*!< Time after the previous one. */
    /*! @brief An earlier attempt, which got no response, takes effect this much
     * later and overwrites newer versions; -1 for none. */
    ms late_write{-1};
};

/*! @brief The events of a simulation; times are in milliseconds. */
struct scenario
{
    std::size_t entries{3};
    std::vector<published_version> versions;
    std::vector<fault> store_unreadable; /*!< No process can read the store. */
    fault store_unwritable;   /*!< No process can write to the store. */
    fault source_unavailable; /*!< The second source does not answer. */
    std::vector<ms> restarts; /*!< All processes end, and new ones start. */
};

/*! @brief The platform's store, which shows only the last write of a key. */
class simulated_store
{
public:
    void write(const std::string& key, const std::string& payload)
    {
        items[key] = {key, payload, ++revision, 0, false, {}, 0};
    }

    [[nodiscard]] std::uint64_t revision_of(const std::string& key) const
    {
        const auto found = items.find(key);
        return found == items.end() ? 0 : found->second.revision;
    }

    /*! @brief Returns what changed after a revision. */
    [[nodiscard]] cj::store_mirror::items after(std::uint64_t known) const
    {
        cj::store_mirror::items made;
        for (const auto& [key, one] : items)
            if (one.revision > known)
                made.push_back(one);
        return made;
    }

    std::uint64_t revision{0};

private:
    std::map<std::string, cj::message::mirror_item> items;
};

/*! @brief Reports the newest acknowledged version while it is available. */
struct simulated_source
{
    void newest(
        const std::string&, const std::string&,
        const std::function<void(cj::result<cj::offered_version>)>& done) const
    {
        if (away)
            return done(cj::failure(cj::error_kind::unavailable, "away"));
        done(cj::offered_version{acknowledged, chunks, chunk_bytes, 300});
    }

    std::uint64_t acknowledged{1};
    bool away{false};
};

/*! @brief One process of an entry, from its start to its end. */
class process
{
public:
    process(simulated_source& polled, std::uint32_t seed)
        : poller(polled, counters, seed,
                 [this](const cj::missed_version& one) {
                     view.add_version(one.model, one.version, one.published_at);
                 })
    {
        from.origin = "source";
        from.origin_rate = 1'250'000;
    }

    void read(const simulated_store& store)
    {
        const auto now = virtual_clock::now();
        const auto changed = mirror.apply(
            store.after(mirror.position().revision), store.revision, now);
        view.update(mirror, changed);
        if (view.consume_nonincreasing_publish())
            poller.request_recheck("published again without a higher version",
                                   now);
    }

    /*! @brief Writes the version record if it lacks something. */
    void write_record(simulated_store& store)
    {
        const auto key = cj::version_record_key("m");
        const auto* value = mirror.find(key);
        if (store.revision_of(key) != (value == nullptr ? 0 : value->revision))
            return;
        const cj::version_record known{"m", newest(), 1};
        if (value == nullptr ||
            !cj::read_version_record(key, value->payload).value().covers(known))
            store.write(key, cj::version_record_payload(known));
    }

    void poll(const cj::entry_ranking& ranking)
    {
        poller.poll_if_due(from, {"m", newest(), chunks, chunk_bytes}, ranking,
                           virtual_clock::now());
    }

    [[nodiscard]] std::uint64_t newest() const { return view.newest("m"); }

    cj::store_mirror mirror;
    named_platform::view view;
    cj::metrics counters;
    cj::service_profile from;
    cj::version_poller<simulated_source, virtual_clock> poller;
};

/*! @brief Runs a scenario. */
class simulator
{
public:
    /*! @brief Time from the last fault until every process knows the newest
     * version: the start of an entry, its poll, a second for the store, and a
     * heartbeat. */
    static constexpr ms convergence_time = 4'000;

    explicit simulator(scenario given) : events(std::move(given))
    {
        virtual_clock::passed() = 0;
        ms publish_time = 1'000;
        for (std::size_t index = 0; index < events.versions.size(); ++index)
        {
            const auto& one = events.versions[index];
            const auto version = index + 2;
            publish_time += one.after;
            writes.push_back({publish_time, version, true});
            if (one.late_write >= 0)
                writes.push_back(
                    {publish_time + one.late_write, version, false});
        }
        std::stable_sort(
            writes.begin(), writes.end(),
            [](const version_write& left, const version_write& right)
            { return left.at < right.at; });
        for (const auto& one : writes)
            last_fault_end = std::max(last_fault_end, one.at);
        for (const auto& one : events.store_unreadable)
            last_fault_end = std::max(last_fault_end, one.from + one.duration);
        last_fault_end =
            std::max(last_fault_end, events.source_unavailable.from +
                                         events.source_unavailable.duration);
        for (const auto one : events.restarts)
            last_fault_end = std::max(last_fault_end, one + downtime);
    }

    /*! @brief Returns the first violation; empty for none. */
    std::string run()
    {
        start();
        std::string violation;
        for (ms now = 0;
             now <= last_fault_end + convergence_time && violation.empty();
             now += tick)
            violation = step(now);
        for (const auto& one : processes)
            if (violation.empty() && one->newest() != source.acknowledged)
                violation = "a process knows " + std::to_string(one->newest()) +
                            " instead of " +
                            std::to_string(source.acknowledged);
        return violation;
    }

private:
    static constexpr ms downtime = 500;
    static constexpr ms discovery_time = 800;
    static constexpr ms heartbeat_interval = 200;

    struct version_write
    {
        ms at{0};
        std::uint64_t version{0};
        bool acknowledged{false};
    };

    void start()
    {
        processes.clear();
        for (std::size_t index = 0; index < events.entries; ++index)
            processes.push_back(std::make_unique<process>(source, ++seed));
        started_at = virtual_clock::passed();
        last_known.assign(events.entries, 0);
    }

    std::string step(ms now)
    {
        virtual_clock::passed() = now;
        for (; written < writes.size() && writes[written].at <= now; ++written)
            write(writes[written]);
        source.away = events.source_unavailable.covers(now);
        for (const auto at : events.restarts)
        {
            if (now >= at && now < at + tick)
                processes.clear();
            if (now >= at + downtime && now < at + downtime + tick)
                start();
        }
        read(now);
        exchange(now);
        return check();
    }

    void write(const version_write& one)
    {
        store.write(named_platform::name_key("m"), std::to_string(one.version));
        if (one.acknowledged)
            source.acknowledged = std::max(source.acknowledged, one.version);
    }

    void read(ms now)
    {
        const bool unreadable = std::any_of(
            events.store_unreadable.begin(), events.store_unreadable.end(),
            [&](const fault& one) { return one.covers(now); });
        for (const auto& one : processes)
        {
            if (unreadable)
                continue;
            if (was_unreadable)
                one->poller.request_recheck("a gap", virtual_clock::now());
            one->read(store);
        }
        was_unreadable = unreadable;
    }

    void exchange(ms now)
    {
        const bool discovered = now - started_at >= discovery_time;
        if (!processes.empty() && now % 500 == 0 &&
            !events.store_unwritable.covers(now))
            processes.front()->write_record(store);
        for (std::size_t index = 0; index < processes.size(); ++index)
            processes[index]->poll(
                discovered ? cj::entry_ranking{index, processes.size() - 1}
                           : cj::entry_ranking{});
        if (now % heartbeat_interval != 0 || !discovered)
            return;
        const auto moment = virtual_clock::now();
        for (const auto& by : processes)
            for (const auto& to : processes)
                cj::merge_gossiped_versions(
                    to->view, cj::versions_to_gossip(by->view, moment), moment);
    }

    /*! @brief Returns a violation by what the processes know now; empty for
     * none. */
    std::string check()
    {
        for (std::size_t index = 0; index < processes.size(); ++index)
        {
            const auto newest = processes[index]->newest();
            if (newest < last_known[index])
                return "a process went back to " + std::to_string(newest);
            if (newest > events.versions.size() + 1)
                return "a process knows a version that was never published";
            last_known[index] = newest;
        }
        return {};
    }

    scenario events;
    std::vector<version_write> writes;
    std::size_t written{0};
    simulated_store store;
    simulated_source source;
    std::vector<std::unique_ptr<process>> processes;
    std::vector<std::uint64_t> last_known;
    std::uint32_t seed{0};
    ms started_at{0};
    /*! @brief When the last fault is over, except that of writes: no process
     * needs them to know a version. */
    ms last_fault_end{0};
    bool was_unreadable{false};
};

/*! @brief Draws from the half-open range [lowest, above). */
ms random_between(ms lowest, ms above)
{
    return *rc::gen::inRange<ms>(lowest, above);
}

scenario random_scenario()
{
    scenario made;
    made.entries = static_cast<std::size_t>(random_between(1, 16));
    const auto versions = random_between(1, 6);
    for (ms index = 0; index < versions; ++index)
        made.versions.push_back(
            {random_between(100, 4'000),
             random_between(0, 2) == 0 ? -1 : random_between(100, 6'000)});
    const auto gaps = random_between(0, 4);
    for (ms index = 0; index < gaps; ++index)
        made.store_unreadable.push_back(
            {random_between(0, 20'000), random_between(100, 8'000)});
    made.store_unwritable = {random_between(0, 15'000),
                             random_between(0, 15'000)};
    made.source_unavailable = {random_between(0, 15'000),
                               random_between(0, 20'000)};
    const auto restarts = random_between(0, 3);
    for (ms index = 0; index < restarts; ++index)
        made.restarts.push_back(random_between(10, 250) * tick);
    return made;
}

} // namespace

TEST_CASE(
    "every process learns the newest acknowledged version after any faults",
    "[fleet]")
{
    rc::prop("within 4 s after the last fault, and none goes back",
             []
             {
                 const auto violation = simulator(random_scenario()).run();
                 RC_ASSERT(violation == std::string());
             });

    SECTION("version 3 is overwritten before any process reads it")
    {
        scenario one;
        one.versions = {{1'000, 4'000}, {2'000, -1}};
        one.store_unreadable = {{3'500, 4'000}};
        CHECK(simulator(one).run().empty());
    }
    SECTION("version 3 is overwritten, and all processes restart before the "
            "record holds it")
    {
        scenario one;
        one.versions = {{1'000, 4'000}, {2'000, -1}};
        one.store_unreadable = {{3'500, 4'000}};
        one.store_unwritable = {0, 20'000};
        one.restarts = {9'000};
        CHECK(simulator(one).run().empty());
    }
    SECTION("version 3 is overwritten, and only the first of 40 entries had "
            "their slot to poll")
    {
        scenario one;
        one.entries = 40;
        one.versions = {{1'000, 3'090}, {3'050, -1}};
        one.store_unwritable = {0, 60'000};
        CHECK(simulator(one).run().empty());
    }
}
