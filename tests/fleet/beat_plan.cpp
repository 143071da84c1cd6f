#include "coursejunction/fleet/beat_plan.hpp"

#include <catch2/catch.hpp>

using namespace coursejunction;

namespace
{

beat_moment moment(beat_reason why, bool from_entry)
{
    beat_moment made;
    made.reason = why;
    made.from_entry = from_entry;
    made.number = far_side_beat;
    return made;
}

constexpr beat_receiver near_entry{true, true, false};
constexpr beat_receiver far_entry{true, false, false};
constexpr beat_receiver near_side{false, true, false};
constexpr beat_receiver far_side{false, false, false};

} // namespace

TEST_CASE("a side tells few")
{
    SECTION("its load: the entries of its hall")
    {
        const auto load = moment(beat_reason::load, false);
        REQUIRE(hears(load, near_entry));
        REQUIRE_FALSE(hears(load, far_entry));
        REQUIRE_FALSE(hears(load, near_side));
    }
    SECTION("that its upstream closes: every entry, and its hall")
    {
        const auto closed = moment(beat_reason::state, false);
        REQUIRE(hears(closed, far_entry));
        REQUIRE(hears(closed, near_side));
        REQUIRE_FALSE(hears(closed, far_side));
    }
    SECTION("that it fetches for its hall: those that wait for their turn")
    {
        const auto fetches = moment(beat_reason::fetch, false);
        REQUIRE(hears(fetches, near_entry));
        REQUIRE(hears(fetches, near_side));
        REQUIRE_FALSE(hears(fetches, far_entry));
        REQUIRE_FALSE(hears(fetches, far_side));
    }
    SECTION("an entry tells whom it sent away: where they come back")
    {
        const auto refused = moment(beat_reason::refusals, true);
        REQUIRE(hears(refused, near_entry));
        REQUIRE_FALSE(hears(refused, far_entry));
        REQUIRE_FALSE(hears(refused, near_side));
    }
    SECTION("nothing of its mirror: its regular heartbeat carries that")
    {
        const auto advanced = moment(beat_reason::mirror, false);
        REQUIRE_FALSE(hears(advanced, near_entry));
        REQUIRE_FALSE(hears(advanced, far_entry));
    }
    SECTION("regularly the entries, those of other halls less often")
    {
        auto regular = moment(beat_reason::regular, false);
        regular.number = far_entry_beat + 1;
        REQUIRE(hears(regular, near_entry));
        REQUIRE_FALSE(hears(regular, far_entry));
        regular.number = far_entry_beat;
        REQUIRE(hears(regular, far_entry));
    }
    SECTION("entries of other halls not at all where its hall's entries pass "
            "on what it tells")
    {
        auto regular = moment(beat_reason::regular, false);
        regular.number = far_entry_beat;
        regular.passed_on = true;
        REQUIRE_FALSE(hears(regular, far_entry));
        REQUIRE(hears(regular, near_entry));
        auto closed = moment(beat_reason::state, false);
        closed.passed_on = true;
        REQUIRE(hears(closed, far_entry));
    }
    SECTION("sides of other halls only while weights spread")
    {
        auto regular = moment(beat_reason::regular, false);
        REQUIRE_FALSE(hears(regular, far_side));
        regular.spreading = true;
        REQUIRE(hears(regular, far_side));
        ++regular.number;
        REQUIRE_FALSE(hears(regular, far_side));
    }
    SECTION("of chunks those on their way, and now and then all")
    {
        auto regular = moment(beat_reason::regular, false);
        regular.number = naming_beat;
        REQUIRE(chunks_told(regular) == chunk_detail::all);
        ++regular.number;
        REQUIRE(chunks_told(regular) == chunk_detail::in_transfer);
        REQUIRE(chunks_told(moment(beat_reason::chunks, false)) ==
                chunk_detail::in_transfer);
        REQUIRE(chunks_told(moment(beat_reason::load, false)) ==
                chunk_detail::none);
    }
    SECTION("in a large hall only its neighbours among the sides")
    {
        auto regular = moment(beat_reason::regular, false);
        REQUIRE(hears(regular, near_side));
        regular.hall_sides = small_hall + 1;
        REQUIRE_FALSE(hears(regular, near_side));
        REQUIRE(hears(regular, {false, true, true}));
    }
}

TEST_CASE("all entries hear at once that a request crashes upstreams")
{
    const auto news = moment(beat_reason::crash, true);
    CHECK(hears(news, near_entry));
    CHECK(hears(news, far_entry));
    CHECK_FALSE(hears(news, near_side));
    CHECK_FALSE(hears(news, far_side));
    CHECK(tells_crashes(beat_reason::crash));
    CHECK(tells_crashes(beat_reason::regular));
    CHECK_FALSE(tells_crashes(beat_reason::load));
}

TEST_CASE("a change of the store goes from entry to entry to hall")
{
    auto advanced = moment(beat_reason::mirror, true);
    advanced.from_store = true;
    REQUIRE(hears(advanced, far_entry));
    REQUIRE(hears(advanced, near_side));
    REQUIRE_FALSE(hears(advanced, far_side));

    SECTION("and an entry that heard it from another tells its hall")
    {
        advanced.from_store = false;
        REQUIRE(hears(advanced, near_entry));
        REQUIRE(hears(advanced, near_side));
        REQUIRE_FALSE(hears(advanced, far_entry));
    }
}

TEST_CASE("news on a ring reach everybody in few steps")
{
    for (const std::size_t size : {1U, 2U, 3U, 12U, 25U, 417U})
    {
        std::vector<bool> knows(size, false);
        knows[0] = true;
        std::size_t steps = 0;
        while (std::count(knows.begin(), knows.end(), true) !=
               static_cast<std::ptrdiff_t>(size))
        {
            auto next = knows;
            for (std::size_t from = 0; from < size; ++from)
            {
                for (std::size_t to = 0; knows[from] && to < size; ++to)
                    next[to] = next[to] || ring_neighbour(from, to, size);
            }
            knows = next;
            REQUIRE(++steps <= 6);
        }
        std::size_t most = 0;
        for (std::size_t to = 0; to < size; ++to)
            most += ring_neighbour(0, to, size) ? 1 : 0;
        REQUIRE(most <= 18);
    }
}
