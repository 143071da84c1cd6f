#include "coursejunction/member/member_table.hpp"

#include <set>

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

cj::member make(const std::string& id, cj::role kind, const std::string& hall,
                const std::string& region = "east")
{
    cj::member one;
    one.id = cj::instance_id(id);
    one.kind = kind;
    one.hall = cj::hall_id(hall);
    one.region = cj::region_id(region);
    one.peer_address = "127.0.0.1:1";
    return one;
}

} // namespace

SCENARIO("members are listed, heard and doubted", "[member]")
{
    cj::member_table table;
    const cj::time_point now{10s};
    const cj::instance_id id("side-1");
    table.assign({make("side-1", cj::role::side, "north"),
                  make("entry-1", cj::role::entry, "north"),
                  make("entry-2", cj::role::entry, "south"),
                  make("entry-3", cj::role::entry, "lake", "west")});

    GIVEN("an attempt that failed")
    {
        table.record_failure(id, now);
        CHECK_FALSE(table.usable(id, now));
        THEN("it is tried again after a while, or once it is heard")
        {
            CHECK(table.usable(id, now + 3s));
            CHECK(table.record_heartbeat({id, 1, 1, false}, now));
            CHECK(table.usable(id, now));
        }
    }
    GIVEN("a heartbeat")
    {
        CHECK(table.record_heartbeat({id, 5, 7, false}, now));
        THEN("a replayed or older one is refused")
        {
            CHECK_FALSE(table.record_heartbeat({id, 5, 7, true}, now));
            CHECK_FALSE(table.record_heartbeat({id, 4, 9, true}, now));
            CHECK(table.usable(id, now));
        }
        THEN("a leaving mark sticks although the list lags")
        {
            CHECK(table.record_heartbeat({id, 5, 8, true}, now));
            CHECK(table.record_heartbeat({id, 5, 9, false}, now));
            CHECK_FALSE(table.usable(id, now));
            AND_THEN("a new process under the same id is used again")
            {
                CHECK(table.record_heartbeat({id, 6, 1, false}, now));
                CHECK(table.usable(id, now));
            }
        }
    }
    GIVEN("a hall whose only entry is lost")
    {
        const cj::hall_id north("north");
        REQUIRE(table.designated_entries(north, 2, now).front() ==
                cj::instance_id("entry-1"));
        table.record_failure(cj::instance_id("entry-1"), now);
        THEN("another of its region stands in")
        {
            CHECK(table.designated_entries(north, 2, now) ==
                  std::vector{cj::instance_id("entry-2")});
        }
    }
}

SCENARIO("gossip neighbours reach everybody", "[member]")
{
    GIVEN("two hundred instances that see the same list")
    {
        constexpr std::size_t count = 200;
        std::vector<cj::member> all;
        for (std::size_t at = 0; at < count; ++at)
            all.push_back(
                make("i-" + std::to_string(at), cj::role::side, "north"));
        cj::member_table table;
        table.assign(all);
        std::set<cj::instance_id> reached{all.front().id};
        std::size_t rounds = 0;
        for (bool grown = true; grown; ++rounds)
        {
            auto next = reached;
            for (const auto& from : reached)
            {
                const auto to = table.gossip_neighbours(from, 8, {});
                CHECK(to.size() == 8);
                next.insert(to.begin(), to.end());
            }
            grown = next.size() > reached.size();
            reached = std::move(next);
        }
        THEN("news reaches all of them in a few rounds")
        {
            CHECK(reached.size() == count);
            CHECK(rounds <= 7);
        }
    }
}
