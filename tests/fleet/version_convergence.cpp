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

/*! @brief Time in which something does not work. */
struct fault
{
    ms from{0};
    ms lasts{0};

    [[nodiscard]] bool covers(ms now) const
    {
        return now >= from && now < from + lasts;
    }
};

/*! @brief A version that the operator writes; it is acknowledged at once. */
struct named_version
{
    ms after{0};  /*!< The one before it. */
    ms again{-1}; /*!< A first try without answer is done this much later. */
};

/*! @brief What happens; times in ms. */
struct history
{
    std::size_t entries{3};
    std::vector<named_version> versions;
    std::vector<fault> gaps; /*!< Nobody reads the store. */
    fault writes;            /*!< Processes cannot write to it. */
    fault source;            /*!< It answers nothing. */
    std::vector<ms> ends;    /*!< All processes end, and start anew. */
};

/*! @brief The platform's store: the last write of a key is all it shows. */
class kept_items
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

/*! @brief Tells the newest acknowledged version unless it is away. */
struct naming_source
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

/*! @brief One life of an entry. */
class process
{
public:
    process(naming_source& asked, std::uint32_t seed)
        : inquiry(
              asked, counters, seed,
              [this](const cj::missed_version& one)
              { view.add_version(one.model, one.version, one.published_at); })
    {
        from.origin = "source";
        from.origin_rate = 1'250'000;
    }

    void read(const kept_items& store)
    {
        const auto now = virtual_clock::now();
        const auto changed = mirror.apply(
            store.after(mirror.position().revision), store.revision, now);
        view.update(mirror, changed);
        if (view.consume_nonincreasing_publish())
            inquiry.request_recheck("named again without rising", now);
    }

    /*! @brief Writes the record when it lacks something. */
    void keep(kept_items& store)
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

    void ask(const cj::entry_ranking& standing)
    {
        inquiry.poll_if_due(from, {"m", newest(), chunks, chunk_bytes},
                            standing, virtual_clock::now());
    }

    [[nodiscard]] std::uint64_t newest() const { return view.newest("m"); }

    cj::store_mirror mirror;
    named_platform::view view;
    cj::metrics counters;
    cj::service_profile from;
    cj::version_poller<naming_source, virtual_clock> inquiry;
};

/*! @brief Plays a history. */
class player
{
public:
    /*! @brief After the last fault, until everybody knows: the start of an
     * entry, its question, a second for the store, and a heartbeat. */
    static constexpr ms bound = 4'000;

    explicit player(history set) : played(std::move(set))
    {
        virtual_clock::passed() = 0;
        ms at = 1'000;
        for (std::size_t index = 0; index < played.versions.size(); ++index)
        {
            const auto& one = played.versions[index];
            const auto version = index + 2;
            at += one.after;
            writes.push_back({at, version, true});
            if (one.again >= 0)
                writes.push_back({at + one.again, version, false});
        }
        std::stable_sort(writes.begin(), writes.end(),
                         [](const name_write& left, const name_write& right)
                         { return left.at < right.at; });
        for (const auto& one : writes)
            quiet = std::max(quiet, one.at);
        for (const auto& one : played.gaps)
            quiet = std::max(quiet, one.from + one.lasts);
        quiet = std::max(quiet, played.source.from + played.source.lasts);
        for (const auto one : played.ends)
            quiet = std::max(quiet, one + down);
    }

    /*! @brief Returns what went wrong; empty for nothing. */
    std::string play()
    {
        start();
        std::string wrong;
        for (ms now = 0; now <= quiet + bound && wrong.empty(); now += tick)
            wrong = step(now);
        for (const auto& one : all)
            if (wrong.empty() && one->newest() != source.acknowledged)
                wrong = "a process knows " + std::to_string(one->newest()) +
                        " in place of " + std::to_string(source.acknowledged);
        return wrong;
    }

private:
    static constexpr ms down = 500;
    static constexpr ms meeting = 800;
    static constexpr ms beat = 200;

    struct name_write
    {
        ms at{0};
        std::uint64_t version{0};
        bool answered{false};
    };

    void start()
    {
        all.clear();
        for (std::size_t at = 0; at < played.entries; ++at)
            all.push_back(std::make_unique<process>(source, ++seed));
        started_at = virtual_clock::passed();
        known.assign(played.entries, 0);
    }

    std::string step(ms now)
    {
        virtual_clock::passed() = now;
        for (; written < writes.size() && writes[written].at <= now; ++written)
            write(writes[written]);
        source.away = played.source.covers(now);
        for (const auto end : played.ends)
        {
            if (now >= end && now < end + tick)
                all.clear();
            if (now >= end + down && now < end + down + tick)
                start();
        }
        read(now);
        talk(now);
        return went_back();
    }

    void write(const name_write& one)
    {
        store.write(named_platform::name_key("m"), std::to_string(one.version));
        if (one.answered)
            source.acknowledged = std::max(source.acknowledged, one.version);
    }

    void read(ms now)
    {
        const bool unread =
            std::any_of(played.gaps.begin(), played.gaps.end(),
                        [&](const fault& one) { return one.covers(now); });
        for (const auto& one : all)
        {
            if (unread)
                continue;
            if (missed)
                one->inquiry.request_recheck("a gap", virtual_clock::now());
            one->read(store);
        }
        missed = unread;
    }

    void talk(ms now)
    {
        const bool met = now - started_at >= meeting;
        if (!all.empty() && now % 500 == 0 && !played.writes.covers(now))
            all.front()->keep(store);
        for (std::size_t at = 0; at < all.size(); ++at)
            all[at]->ask(met ? cj::entry_ranking{at, all.size() - 1}
                             : cj::entry_ranking{});
        if (now % beat != 0 || !met)
            return;
        const auto moment = virtual_clock::now();
        for (const auto& by : all)
            for (const auto& to : all)
                cj::merge_gossiped_versions(
                    to->view, cj::versions_to_gossip(by->view, moment), moment);
    }

    std::string went_back()
    {
        for (std::size_t at = 0; at < all.size(); ++at)
        {
            const auto newest = all[at]->newest();
            if (newest < known[at])
                return "a process went back to " + std::to_string(newest);
            if (newest > played.versions.size() + 1)
                return "a process knows what nobody named";
            known[at] = newest;
        }
        return {};
    }

    history played;
    std::vector<name_write> writes;
    std::size_t written{0};
    kept_items store;
    naming_source source;
    std::vector<std::unique_ptr<process>> all;
    std::vector<std::uint64_t> known;
    std::uint32_t seed{0};
    ms started_at{0};
    /*! @brief When the last fault is over but for that of writes, which nobody
     * needs to know a version. */
    ms quiet{0};
    bool missed{false};
};

ms drawn(ms least, ms most)
{
    return *rc::gen::inRange<ms>(least, most);
}

history drawn_history()
{
    history made;
    made.entries = static_cast<std::size_t>(drawn(1, 16));
    const auto versions = drawn(1, 6);
    for (ms at = 0; at < versions; ++at)
        made.versions.push_back(
            {drawn(100, 4'000), drawn(0, 2) == 0 ? -1 : drawn(100, 6'000)});
    const auto gaps = drawn(0, 4);
    for (ms at = 0; at < gaps; ++at)
        made.gaps.push_back({drawn(0, 20'000), drawn(100, 8'000)});
    made.writes = {drawn(0, 15'000), drawn(0, 15'000)};
    made.source = {drawn(0, 15'000), drawn(0, 20'000)};
    const auto ends = drawn(0, 3);
    for (ms at = 0; at < ends; ++at)
        made.ends.push_back(drawn(10, 250) * tick);
    return made;
}

} // namespace

TEST_CASE(
    "every process knows the newest acknowledged version after any faults",
    "[fleet]")
{
    rc::prop("soon after the last of them, and none goes back",
             []
             {
                 const auto wrong = player(drawn_history()).play();
                 RC_ASSERT(wrong == std::string());
             });

    SECTION("version 3 is overwritten before anybody reads it")
    {
        history one;
        one.versions = {{1'000, 4'000}, {2'000, -1}};
        one.gaps = {{3'500, 4'000}};
        CHECK(player(one).play().empty());
    }
    SECTION("and all processes end before the record holds it")
    {
        history one;
        one.versions = {{1'000, 4'000}, {2'000, -1}};
        one.gaps = {{3'500, 4'000}};
        one.writes = {0, 20'000};
        one.ends = {9'000};
        CHECK(player(one).play().empty());
    }
    SECTION("and only the first entries had their turn to ask")
    {
        history one;
        one.entries = 40;
        one.versions = {{1'000, 3'090}, {3'050, -1}};
        one.writes = {0, 60'000};
        CHECK(player(one).play().empty());
    }
}
