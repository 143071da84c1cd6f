#include "coursejunction/member/member_table.hpp"

#include <set>

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

cj::member make_member(const std::string& id, cj::role kind,
                       const std::string& hall,
                       const std::string& region = "east")
{
    cj::member made;
    made.id = cj::instance_id(id);
    made.kind = kind;
    made.hall = cj::hall_id(hall);
    made.region = cj::region_id(region);
    made.peer_address = "127.0.0.1:1";
    return made;
}

} // namespace

SCENARIO("heartbeats and failed attempts correct the instance list", "[member]")
{
    cj::member_table table;
    const cj::time_point now{10s};
    const cj::instance_id id("side-1");
    table.assign({make_member("side-1", cj::role::side, "north"),
                  make_member("entry-1", cj::role::entry, "north"),
                  make_member("entry-2", cj::role::entry, "south"),
                  make_member("entry-3", cj::role::entry, "lake", "west")});

    GIVEN("a failed attempt")
    {
        table.record_failure(id, now);
        CHECK_FALSE(table.usable(id, now));
        THEN("the member is usable after 3 s, or after a heartbeat")
        {
            CHECK(table.usable(id, now + 3s));
            CHECK(table.record_heartbeat({id, 1, 1, false}, now));
            CHECK(table.usable(id, now));
        }
    }
    GIVEN("a recorded heartbeat")
    {
        CHECK(table.record_heartbeat({id, 5, 7, false}, now));
        THEN("a replayed or older one is ignored")
        {
            CHECK_FALSE(table.record_heartbeat({id, 5, 7, true}, now));
            CHECK_FALSE(table.record_heartbeat({id, 4, 9, true}, now));
            CHECK(table.usable(id, now));
        }
        THEN("leaving stays set although the list lags behind")
        {
            CHECK(table.record_heartbeat({id, 5, 8, true}, now));
            CHECK(table.record_heartbeat({id, 5, 9, false}, now));
            CHECK_FALSE(table.usable(id, now));
            AND_THEN("a new process with the same id is usable")
            {
                CHECK(table.record_heartbeat({id, 6, 1, false}, now));
                CHECK(table.usable(id, now));
            }
        }
    }
    GIVEN("a hall whose only entry is suspected")
    {
        const cj::hall_id north("north");
        REQUIRE(table.designated_entries(north, 2, now).front() ==
                cj::instance_id("entry-1"));
        table.record_failure(cj::instance_id("entry-1"), now);
        THEN("an entry of its region is designated instead")
        {
            CHECK(table.designated_entries(north, 2, now) ==
                  std::vector{cj::instance_id("entry-2")});
        }
    }
}

SCENARIO("gossip reaches every instance", "[member]")
{
    GIVEN("two hundred instances with the same list")
    {
        constexpr std::size_t count = 200;
        std::vector<cj::member> all;
        for (std::size_t at = 0; at < count; ++at)
            all.push_back(make_member("i-" + std::to_string(at), cj::role::side,
                                      "north"));
        cj::member_table table;
        table.assign(all);
        std::set<cj::instance_id> reached{all.front().id};
        std::size_t rounds = 0;
        for (bool spreading = true; spreading; ++rounds)
        {
            auto next = reached;
            for (const auto& from : reached)
            {
                const auto to = table.gossip_neighbours(from, 8, {});
                CHECK(to.size() == 8);
                next.insert(to.begin(), to.end());
            }
            spreading = next.size() > reached.size();
            reached = std::move(next);
        }
        THEN("an update reaches all of them within seven rounds")
        {
            CHECK(reached.size() == count);
            CHECK(rounds <= 7);
        }
    }
}
