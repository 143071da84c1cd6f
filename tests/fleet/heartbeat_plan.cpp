#include "coursejunction/fleet/heartbeat_plan.hpp"

#include <catch2/catch.hpp>

using namespace coursejunction;

namespace
{

heartbeat_context context_for(heartbeat_reason reason, bool from_entry)
{
    heartbeat_context made;
    made.reason = reason;
    made.from_entry = from_entry;
    made.regular_number = remote_side_period;
    return made;
}

constexpr heartbeat_receiver local_entry{true, true, false};
constexpr heartbeat_receiver remote_entry{true, false, false};
constexpr heartbeat_receiver local_side{false, true, false};
constexpr heartbeat_receiver remote_side{false, false, false};

} // namespace

TEST_CASE("a side tells few")
{
    SECTION("its load: the entries of its hall")
    {
        const auto load = context_for(heartbeat_reason::load, false);
        REQUIRE(receives(load, local_entry));
        REQUIRE_FALSE(receives(load, remote_entry));
        REQUIRE_FALSE(receives(load, local_side));
    }
    SECTION("that its upstream closes: every entry, and its hall")
    {
        const auto closed = context_for(heartbeat_reason::state, false);
        REQUIRE(receives(closed, remote_entry));
        REQUIRE(receives(closed, local_side));
        REQUIRE_FALSE(receives(closed, remote_side));
    }
    SECTION("that it fetches for its hall: those that wait for their turn")
    {
        const auto fetches = context_for(heartbeat_reason::fetch, false);
        REQUIRE(receives(fetches, local_entry));
        REQUIRE(receives(fetches, local_side));
        REQUIRE_FALSE(receives(fetches, remote_entry));
        REQUIRE_FALSE(receives(fetches, remote_side));
    }
    SECTION("an entry tells whom it sent away: where they come back")
    {
        const auto refused = context_for(heartbeat_reason::refusals, true);
        REQUIRE(receives(refused, local_entry));
        REQUIRE_FALSE(receives(refused, remote_entry));
        REQUIRE_FALSE(receives(refused, local_side));
    }
    SECTION("nothing of its mirror: its regular heartbeat carries that")
    {
        const auto advanced = context_for(heartbeat_reason::mirror, false);
        REQUIRE_FALSE(receives(advanced, local_entry));
        REQUIRE_FALSE(receives(advanced, remote_entry));
    }
    SECTION("regularly the entries, those of other halls less often")
    {
        auto regular = context_for(heartbeat_reason::regular, false);
        regular.regular_number = remote_entry_period + 1;
        REQUIRE(receives(regular, local_entry));
        REQUIRE_FALSE(receives(regular, remote_entry));
        regular.regular_number = remote_entry_period;
        REQUIRE(receives(regular, remote_entry));
    }
    SECTION("entries of other halls not at all where its hall's entries pass "
            "on what it tells")
    {
        auto regular = context_for(heartbeat_reason::regular, false);
        regular.regular_number = remote_entry_period;
        regular.relayed_by_entries = true;
        REQUIRE_FALSE(receives(regular, remote_entry));
        REQUIRE(receives(regular, local_entry));
        auto closed = context_for(heartbeat_reason::state, false);
        closed.relayed_by_entries = true;
        REQUIRE(receives(closed, remote_entry));
    }
    SECTION("sides of other halls only while weights spread")
    {
        auto regular = context_for(heartbeat_reason::regular, false);
        REQUIRE_FALSE(receives(regular, remote_side));
        regular.transfers_active = true;
        REQUIRE(receives(regular, remote_side));
        ++regular.regular_number;
        REQUIRE_FALSE(receives(regular, remote_side));
    }
    SECTION("of chunks those on their way, and now and then all")
    {
        auto regular = context_for(heartbeat_reason::regular, false);
        regular.regular_number = full_report_period;
        REQUIRE(chunk_detail_for(regular) == chunk_detail::all);
        ++regular.regular_number;
        REQUIRE(chunk_detail_for(regular) == chunk_detail::in_transfer);
        REQUIRE(
            chunk_detail_for(context_for(heartbeat_reason::chunks, false)) ==
            chunk_detail::in_transfer);
        REQUIRE(chunk_detail_for(context_for(heartbeat_reason::load, false)) ==
                chunk_detail::none);
    }
    SECTION("in a large hall only its neighbours among the sides")
    {
        auto regular = context_for(heartbeat_reason::regular, false);
        REQUIRE(receives(regular, local_side));
        regular.hall_sides = full_mesh_limit + 1;
        REQUIRE_FALSE(receives(regular, local_side));
        REQUIRE(receives(regular, {false, true, true}));
    }
}

TEST_CASE("all entries hear at once that a request crashes upstreams")
{
    const auto news = context_for(heartbeat_reason::crash, true);
    CHECK(receives(news, local_entry));
    CHECK(receives(news, remote_entry));
    CHECK_FALSE(receives(news, local_side));
    CHECK_FALSE(receives(news, remote_side));
    CHECK(carries_crash_records(heartbeat_reason::crash));
    CHECK(carries_crash_records(heartbeat_reason::regular));
    CHECK_FALSE(carries_crash_records(heartbeat_reason::load));
}

TEST_CASE("a change of the store goes from entry to entry to hall")
{
    auto advanced = context_for(heartbeat_reason::mirror, true);
    advanced.from_store = true;
    REQUIRE(receives(advanced, remote_entry));
    REQUIRE(receives(advanced, local_side));
    REQUIRE_FALSE(receives(advanced, remote_side));

    SECTION("and an entry that heard it from another tells its hall")
    {
        advanced.from_store = false;
        REQUIRE(receives(advanced, local_entry));
        REQUIRE(receives(advanced, local_side));
        REQUIRE_FALSE(receives(advanced, remote_entry));
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
                    next[to] = next[to] || is_ring_neighbour(from, to, size);
            }
            knows = next;
            REQUIRE(++steps <= 6);
        }
        std::size_t most = 0;
        for (std::size_t to = 0; to < size; ++to)
            most += is_ring_neighbour(0, to, size) ? 1 : 0;
        REQUIRE(most <= 18);
    }
}
