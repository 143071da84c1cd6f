#include "coursejunction/fleet/heartbeat_plan.hpp"

#include <catch2/catch.hpp>

using namespace coursejunction;

namespace
{

heartbeat_context context_for(heartbeat_reason reason, bool from_entry)
{
    heartbeat_context context;
    context.reason = reason;
    context.from_entry = from_entry;
    context.regular_number = remote_side_period;
    return context;
}

constexpr heartbeat_receiver local_entry{true, true, false};
constexpr heartbeat_receiver remote_entry{true, false, false};
constexpr heartbeat_receiver local_side{false, true, false};
constexpr heartbeat_receiver remote_side{false, false, false};

} // namespace

TEST_CASE("a heartbeat reaches only the peers that need it")
{
    SECTION("a changed load goes to the entries of its hall")
    {
        const auto load = context_for(heartbeat_reason::load, false);
        REQUIRE(receives(load, local_entry));
        REQUIRE_FALSE(receives(load, remote_entry));
        REQUIRE_FALSE(receives(load, local_side));
    }
    SECTION("a closing upstream is reported to every entry and to the hall")
    {
        const auto closed = context_for(heartbeat_reason::state, false);
        REQUIRE(receives(closed, remote_entry));
        REQUIRE(receives(closed, local_side));
        REQUIRE_FALSE(receives(closed, remote_side));
    }
    SECTION("a fetch is reported to the processes of the hall")
    {
        const auto fetch = context_for(heartbeat_reason::fetch, false);
        REQUIRE(receives(fetch, local_entry));
        REQUIRE(receives(fetch, local_side));
        REQUIRE_FALSE(receives(fetch, remote_entry));
        REQUIRE_FALSE(receives(fetch, remote_side));
    }
    SECTION("an entry reports refused callers to the entries of its hall")
    {
        const auto refused = context_for(heartbeat_reason::refusals, true);
        REQUIRE(receives(refused, local_entry));
        REQUIRE_FALSE(receives(refused, remote_entry));
        REQUIRE_FALSE(receives(refused, local_side));
    }
    SECTION("a mirror's progress is left to the regular heartbeat")
    {
        const auto advanced = context_for(heartbeat_reason::mirror, false);
        REQUIRE_FALSE(receives(advanced, local_entry));
        REQUIRE_FALSE(receives(advanced, remote_entry));
    }
    SECTION("entries of other halls receive fewer regular heartbeats")
    {
        auto regular = context_for(heartbeat_reason::regular, false);
        regular.regular_number = remote_entry_period + 1;
        REQUIRE(receives(regular, local_entry));
        REQUIRE_FALSE(receives(regular, remote_entry));
        regular.regular_number = remote_entry_period;
        REQUIRE(receives(regular, remote_entry));
    }
    SECTION("entries of other halls receive no regular heartbeat if "
            "entries relay the status")
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
    SECTION("sidecars of other halls receive some during a download only")
    {
        auto regular = context_for(heartbeat_reason::regular, false);
        REQUIRE_FALSE(receives(regular, remote_side));
        regular.transfers_active = true;
        REQUIRE(receives(regular, remote_side));
        ++regular.regular_number;
        REQUIRE_FALSE(receives(regular, remote_side));
    }
    SECTION("every few regular heartbeats list all chunks")
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
    SECTION("sidecars of a large hall receive those of ring neighbours")
    {
        auto regular = context_for(heartbeat_reason::regular, false);
        REQUIRE(receives(regular, local_side));
        regular.hall_sides = full_mesh_limit + 1;
        REQUIRE_FALSE(receives(regular, local_side));
        REQUIRE(receives(regular, {false, true, true}));
    }
}

TEST_CASE("a crash of upstreams is reported to all entries at once")
{
    const auto crash = context_for(heartbeat_reason::crash, true);
    CHECK(receives(crash, local_entry));
    CHECK(receives(crash, remote_entry));
    CHECK_FALSE(receives(crash, local_side));
    CHECK_FALSE(receives(crash, remote_side));
    CHECK(carries_crash_records(heartbeat_reason::crash));
    CHECK(carries_crash_records(heartbeat_reason::regular));
    CHECK_FALSE(carries_crash_records(heartbeat_reason::load));
}

TEST_CASE("a change of the store goes to all entries, then to their halls")
{
    auto advanced = context_for(heartbeat_reason::mirror, true);
    advanced.from_store = true;
    REQUIRE(receives(advanced, remote_entry));
    REQUIRE(receives(advanced, local_side));
    REQUIRE_FALSE(receives(advanced, remote_side));

    SECTION("an entry that pulled it from another informs its own hall only")
    {
        advanced.from_store = false;
        REQUIRE(receives(advanced, local_entry));
        REQUIRE(receives(advanced, local_side));
        REQUIRE_FALSE(receives(advanced, remote_entry));
    }
}

TEST_CASE("an update on the ring reaches everybody in few steps")
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
        std::size_t neighbours = 0;
        for (std::size_t to = 0; to < size; ++to)
            neighbours += is_ring_neighbour(0, to, size) ? 1 : 0;
        REQUIRE(neighbours <= 18);
    }
}
