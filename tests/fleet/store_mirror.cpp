#include "coursejunction/fleet/store_mirror.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;
using namespace std::chrono_literals;
using item = cj::message::mirror_item;

SCENARIO("a mirror only goes forward", "[fleet]")
{
    cj::store_mirror mirror;
    const cj::time_point now{100s};
    mirror.apply({{"a", "1", 5, 0, false}, {"b", "1", 6, 0, false}}, 6, now);

    WHEN("an older state of a key is told")
    {
        const auto changed = mirror.apply({{"a", "0", 4, 0, false}}, 4, now);
        THEN("nothing changes")
        {
            CHECK(changed.empty());
            CHECK(mirror.find("a")->payload == "1");
            CHECK(mirror.revision() == 6);
        }
    }
    WHEN("a listing lacks a key")
    {
        const auto changed = mirror.replace({{"a", "1", 5, 0, false}}, 9, now);
        THEN("it is gone, and peers that missed it learn so")
        {
            CHECK(changed == std::vector<std::string>{"b"});
            CHECK(mirror.find("b") == nullptr);
            const auto page = mirror.since(6, now);
            REQUIRE(page.items.size() == 1);
            CHECK(page.items[0].removed);
        }
        AND_WHEN("it comes back")
        {
            mirror.apply({{"b", "2", 11, 0, false}}, 11, now);
            THEN("it is there")
            {
                CHECK(mirror.find("b")->payload == "2");
            }
        }
    }
    WHEN("a listing is older than a key that a peer told")
    {
        mirror.apply({{"c", "1", 12, 0, false}}, 12, now);
        mirror.replace({{"a", "1", 5, 0, false}}, 9, now);
        THEN("the newer key stays")
        {
            CHECK(mirror.find("c") != nullptr);
        }
    }
    WHEN("an item is passed on")
    {
        const auto page = mirror.since(0, now + 3s);
        THEN(
            "its age goes with it, so that time limits run from the first news")
        {
            CHECK(page.items[0].age_ms == 3000);
            cj::store_mirror other;
            other.apply(page.items, page.revision, cj::time_point{500s});
            CHECK(other.find("a")->learnt == cj::time_point{497s});
        }
    }
}

SCENARIO("a large value is packed once and passed on", "[fleet]")
{
    const cj::time_point now{100s};
    const std::string large(100'000, 'r');
    cj::store_mirror mirror;
    mirror.apply({{"a", large, 5, 0, false}, {"b", "small", 6, 0, false}}, 6,
                 now);
    const auto page = mirror.since(0, now);
    REQUIRE(page.items.size() == 2);
    CHECK(page.items[0].payload.empty());
    CHECK(page.items[0].packed.size() < 1000);
    CHECK(page.items[1].payload == "small");
    CHECK(page.items[1].packed.empty());

    WHEN("a peer takes the page")
    {
        const auto read = cj::unpacked(page);
        REQUIRE(read);
        cj::store_mirror other;
        other.apply(read.value().items, read.value().revision, now);
        THEN("it has the value, and passes it on as it came")
        {
            CHECK(other.find("a")->payload == large);
            CHECK(other.since(0, now).items[0].packed == page.items[0].packed);
        }
    }
    WHEN("a page tells a size that is not the value's")
    {
        auto wrong = page;
        wrong.items[0].plain_bytes += 1;
        THEN("it is refused as a whole")
        {
            CHECK_FALSE(cj::unpacked(wrong));
        }
    }
}

SCENARIO("an older page does not bring back what a listing lacked", "[fleet]")
{
    // An entry that starts lists the store and, at the same moment, pulls from
    // a peer that has not heard of the last removal yet.
    cj::store_mirror mirror;
    const cj::time_point now{100s};
    mirror.replace({{"a", "1", 5, 0, false}}, 113, now);
    const auto changed = mirror.apply({{"gone", "1", 112, 0, false}}, 112, now);
    CHECK(changed.empty());
    CHECK(mirror.find("gone") == nullptr);

    WHEN("the key is really made anew")
    {
        mirror.apply({{"gone", "2", 114, 0, false}}, 114, now);
        THEN("it is there")
        {
            CHECK(mirror.find("gone") != nullptr);
        }
    }
}

namespace
{

/*! @brief What a store whose every change raises the revision by one tells of
 * the changes after one revision up to another. */
std::vector<item> page(const std::vector<item>& history, std::uint64_t after,
                       std::uint64_t upto)
{
    std::vector<item> told;
    for (const auto& one : history)
    {
        if (one.revision <= after || one.revision > upto)
            continue;
        std::erase_if(told,
                      [&](const item& older) { return older.key == one.key; });
        told.push_back(one);
    }
    return told;
}

std::vector<item> random_history()
{
    const auto keys =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10));
    std::vector<item> history;
    for (std::size_t at = 0; at < keys.size(); ++at)
        history.push_back(
            {std::string(1, static_cast<char>('a' + keys[at] / 2)),
             std::to_string(at), at + 1, 0, keys[at] % 2 == 1});
    return history;
}

} // namespace

TEST_CASE("a mirror shows what the store held, whatever pages it took",
          "[fleet]")
{
    rc::prop(
        "same as the store",
        []
        {
            const auto history = random_history();
            const auto last = static_cast<std::uint64_t>(history.size());
            const cj::time_point now{100s};
            cj::store_mirror mirror;
            // Pages of the past and of now, late, twice and overlapping; each
            // asked for when the mirror was no further than it begins.
            const auto count = *rc::gen::inRange(0, 8);
            for (int step = 0; step < count; ++step)
            {
                const auto after =
                    *rc::gen::inRange<std::uint64_t>(0, mirror.revision() + 1);
                const auto upto =
                    *rc::gen::inRange<std::uint64_t>(after, last + 1);
                if (after == 0 && *rc::gen::arbitrary<bool>())
                {
                    auto all = page(history, 0, upto);
                    std::erase_if(all,
                                  [](const item& one) { return one.removed; });
                    mirror.replace(all, upto, now);
                }
                else
                    mirror.apply(page(history, after, upto), upto, now);
            }
            mirror.apply(page(history, mirror.revision(), last), last, now);
            const auto truth = page(history, 0, last);
            for (const char* key : {"a", "b", "c", "d", "e"})
            {
                const auto held =
                    std::find_if(truth.begin(), truth.end(),
                                 [&](const item& one)
                                 { return one.key == key && !one.removed; });
                const auto* shown = mirror.find(key);
                RC_ASSERT((held != truth.end()) == (shown != nullptr));
                if (shown != nullptr)
                    RC_ASSERT(shown->payload == held->payload);
            }
        });
}
