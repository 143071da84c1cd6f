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

TEST_CASE("mirrors that hear the same pages in any order agree", "[fleet]")
{
    rc::prop("agree",
             []
             {
                 const auto revisions = *rc::gen::container<std::vector<int>>(
                     rc::gen::inRange(1, 40));
                 std::vector<item> items;
                 for (const auto one : revisions)
                     items.push_back(
                         {std::string(1, static_cast<char>('a' + one % 3)),
                          std::to_string(one), static_cast<std::uint64_t>(one),
                          0, one % 5 == 0});
                 cj::store_mirror forth;
                 cj::store_mirror back;
                 const cj::time_point now{100s};
                 for (std::size_t at = 0; at < items.size(); ++at)
                 {
                     forth.apply({items[at]}, items[at].revision, now);
                     back.apply({items[items.size() - 1 - at]},
                                items[items.size() - 1 - at].revision, now);
                 }
                 RC_ASSERT(forth.revision() == back.revision());
                 for (const char* key : {"a", "b", "c"})
                 {
                     const auto* one = forth.find(key);
                     const auto* other = back.find(key);
                     RC_ASSERT((one == nullptr) == (other == nullptr));
                     if (one != nullptr)
                         RC_ASSERT(one->payload == other->payload);
                 }
             });
}
