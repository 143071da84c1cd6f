#include "coursejunction/route/evacuated_halls.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "coursejunction/proxy/evacuation_messages.hpp"
#include "coursejunction/wire/codec.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

const cj::hall_id north("north");
using mirrored_halls = std::map<cj::hall_id, cj::hall_evacuation>;

/*! @brief Returns the mirror's state of the hall north. */
mirrored_halls mirrored(cj::store_position position, bool evacuated)
{
    return {{north, {north, position, evacuated}}};
}

} // namespace

// A mirror lags by up to 3 s behind a saturated link. A report that is lost,
// late or repeated must neither send requests to an evacuated hall nor keep a
// hall closed that is in service again.
SCENARIO("an evacuation is known ahead of the mirror", "[route]")
{
    const cj::time_point now{100s};
    cj::evacuated_halls halls;
    halls.apply_mirror({}, {1, 10}, now);

    GIVEN("a report beyond the mirror's position")
    {
        const auto changes = halls.apply_report({north, {1, 12}, true}, now);
        REQUIRE(changes.size() == 1);
        CHECK(changes[0].hall == north);
        CHECK(changes[0].evacuated);
        CHECK(halls.evacuations().at(north) == cj::store_position(1, 12));

        THEN("the same report again changes nothing")
        {
            CHECK(halls.apply_report({north, {1, 12}, true}, now).empty());
            CHECK(halls.evacuations().size() == 1);
        }
        THEN("an older report that arrives late changes nothing")
        {
            CHECK(halls.apply_report({north, {1, 11}, false}, now).empty());
            CHECK(halls.evacuations().size() == 1);
        }
        THEN("a newer report ends the evacuation")
        {
            CHECK(halls.apply_report({north, {1, 13}, false}, now).size() == 1);
            CHECK(halls.evacuations().empty());
            AND_THEN("the first one cannot return")
            {
                CHECK(halls.apply_report({north, {1, 12}, true}, now).empty());
                CHECK(halls.evacuations().empty());
            }
        }
        THEN("it holds until the mirror reaches its position")
        {
            CHECK(halls.apply_mirror({}, {1, 11}, now).empty());
            CHECK(halls.evacuations().size() == 1);
        }
        WHEN("the mirror reaches its position with the key")
        {
            const auto changed =
                halls.apply_mirror(mirrored({1, 12}, true), {1, 12}, now);
            THEN("nothing changes")
            {
                CHECK(changed.empty());
                CHECK(halls.evacuations().size() == 1);
            }
        }
        WHEN("the mirror passes its position without the key")
        {
            const auto changed = halls.apply_mirror({}, {1, 14}, now);
            THEN("the evacuation has ended")
            {
                CHECK(changed.size() == 1);
                CHECK_FALSE(changed.at(0).evacuated);
                CHECK(halls.evacuations().empty());
            }
        }
    }
    GIVEN("a report of a change that the mirror has passed")
    {
        THEN("it is ignored: the mirror shows what has become of it")
        {
            CHECK(halls.apply_report({north, {1, 9}, true}, now).empty());
            CHECK(halls.evacuations().empty());
        }
    }
    GIVEN("a hall that the mirror shows as evacuated")
    {
        halls.apply_mirror(mirrored({1, 11}, true), {1, 11}, now);
        THEN("a report of its end applies ahead of the mirror")
        {
            CHECK(halls.apply_report({north, {1, 15}, false}, now).size() == 1);
            CHECK(halls.evacuations().empty());
        }
        THEN("a new evacuation beyond that end applies too")
        {
            halls.apply_report({north, {1, 16}, true}, now);
            CHECK(halls.apply_report({north, {1, 15}, false}, now).empty());
            CHECK(halls.evacuations().at(north) == cj::store_position(1, 16));
        }
    }
}

// A rollback of the store is no removal of a key: until the key is removed, the
// upstreams of its hall receive no request.
SCENARIO("evacuations outlast a rollback of the store", "[route]")
{
    const cj::time_point now{100s};
    cj::evacuated_halls halls;
    halls.apply_mirror({}, {1, 10}, now);

    WHEN("a report is followed by a mirror of a later era without the key")
    {
        halls.apply_report({north, {1, 12}, true}, now);
        CHECK(halls.apply_mirror({}, {2, 8}, now).empty());
        THEN("the hall stays evacuated")
        {
            CHECK(halls.evacuations().size() == 1);
        }
        THEN("a removal in the later era ends the evacuation")
        {
            halls.apply_mirror(mirrored({2, 9}, false), {2, 9}, now);
            CHECK(halls.evacuations().empty());
        }
    }
    WHEN("an entry that started after the rollback hears of the evacuation")
    {
        halls.apply_mirror({}, {2, 8}, now);
        THEN("the hall is evacuated for it too")
        {
            CHECK(halls.apply_report({north, {1, 12}, true}, now).size() == 1);
            CHECK(halls.evacuations().size() == 1);
        }
    }
    WHEN("such an entry hears it from one that missed the removal")
    {
        halls.apply_mirror({}, {2, 8}, now);
        halls.apply_report({north, {1, 12}, true}, now);
        REQUIRE(halls.evacuations().size() == 1);
        cj::evacuated_halls informed;
        informed.apply_mirror(mirrored({1, 14}, false), {1, 14}, now - 60s);
        informed.apply_mirror(mirrored({1, 14}, false), {2, 8}, now - 30s);
        REQUIRE(informed.take_reports(8, true, now).empty());
        informed.apply_report({north, {1, 12}, true}, now);
        THEN("an entry that knows of the removal corrects it")
        {
            for (const auto& report : informed.take_reports(8, false, now))
                halls.apply_report(report, now);
            CHECK(halls.evacuations().empty());
        }
    }
    WHEN("the mirror had passed a report before the rollback")
    {
        halls.apply_report({north, {1, 12}, true}, now);
        halls.apply_mirror({}, {1, 14}, now);
        REQUIRE(halls.evacuations().empty());
        THEN("the report does not count again in the later era")
        {
            halls.apply_mirror({}, {2, 8}, now);
            CHECK(halls.evacuations().empty());
        }
    }
    WHEN("the older copy holds a key that had been removed")
    {
        halls.apply_mirror(mirrored({1, 14}, false), {1, 14}, now);
        THEN("the hall is evacuated again: the store holds the key")
        {
            halls.apply_mirror(mirrored({2, 8}, true), {2, 8}, now);
            CHECK(halls.evacuations().size() == 1);
            AND_THEN("a late report of that removal changes nothing")
            {
                CHECK(halls.apply_report({north, {1, 14}, false}, now).empty());
                CHECK(halls.evacuations().size() == 1);
            }
        }
    }
}

SCENARIO("evacuations are reported in heartbeats", "[route][wire]")
{
    const cj::time_point start{100s};
    const auto later = start + cj::evacuated_halls::report_period + 1ms;
    cj::evacuated_halls halls;

    GIVEN("no evacuation")
    {
        halls.apply_mirror({}, {1, 10}, start);
        THEN("there is nothing to report")
        {
            CHECK(cj::evacuations_to_report(halls, true, start).empty());
            CHECK(halls.evacuations().empty());
        }
    }
    GIVEN("an evacuation")
    {
        halls.apply_mirror(mirrored({1, 10}, true), {1, 10}, start);
        THEN("it is reported in each heartbeat for a limited time")
        {
            CHECK(cj::evacuations_to_report(halls, false, start).size() == 1);
            CHECK(cj::evacuations_to_report(halls, false, later).empty());
        }
        THEN("it is in full reports as long as it lasts, for entries that were "
             "cut off meanwhile")
        {
            CHECK(cj::evacuations_to_report(halls, true, later).size() == 1);
        }
        WHEN("it ends")
        {
            halls.apply_mirror(mirrored({1, 20}, false), {1, 20}, later);
            THEN("the end is reported for a limited time")
            {
                const auto reports =
                    cj::evacuations_to_report(halls, false, later);
                REQUIRE(reports.size() == 1);
                CHECK_FALSE(reports[0].evacuated);
                CHECK(
                    cj::evacuations_to_report(halls, true, later + 3s).empty());
            }
            THEN("an entry that still reports the evacuation is told the end "
                 "again")
            {
                halls.apply_report({north, {1, 10}, true}, later + 9s);
                CHECK(cj::evacuations_to_report(halls, false, later + 9s)
                          .size() == 1);
            }
        }
    }
    GIVEN("more changes than fit into a heartbeat")
    {
        constexpr std::size_t count = 20;
        for (std::size_t number = 0; number < count; ++number)
            halls.apply_report({cj::hall_id("h" + std::to_string(number)),
                                {1, number + 1},
                                true},
                               start);
        THEN("they take turns")
        {
            std::set<std::string> reported;
            for (int heartbeat = 0; heartbeat < 3; ++heartbeat)
            {
                const auto messages =
                    cj::evacuations_to_report(halls, false, start);
                CHECK(messages.size() == cj::max_evacuations_per_heartbeat);
                for (const auto& message : messages)
                    reported.insert(message.hall);
            }
            CHECK(reported.size() == count);
        }
    }
    GIVEN("a heartbeat")
    {
        cj::message::fleet_heartbeat heartbeat;
        heartbeat.entry = true;
        heartbeat.evacuations = {{"", {1, 2}, false}, {"north", {3, 4}, true}};
        THEN("its evacuations are encoded and decoded")
        {
            const auto read =
                cj::decode<cj::message::fleet_heartbeat>(cj::encode(heartbeat));
            REQUIRE(read);
            REQUIRE(read.value().evacuations.size() == 2);
            CHECK(cj::decode_evacuation(read.value().evacuations.back()) ==
                  cj::hall_evacuation{north, {3, 4}, true});
        }
    }
}

// Guards against an order of reports and pages of the mirror that leaves an
// entry with a state other than the store's.
TEST_CASE("the newest change wins in any order of reports", "[route]")
{
    rc::prop(
        "with a mirror that lags behind",
        [](const std::vector<bool>& states, const std::vector<unsigned>& order,
           unsigned mirror_index)
        {
            RC_PRE(!states.empty());
            const cj::time_point now{100s};
            const auto newest = states.size();
            // Revision n holds the state `states[n - 1]`.
            const auto change = [&](std::size_t revision) {
                return cj::hall_evacuation{
                    north, {1, revision}, states[revision - 1]};
            };
            cj::evacuated_halls halls;
            const auto mirror_revision = mirror_index % (newest + 1);
            halls.apply_mirror(
                mirror_revision == 0
                    ? mirrored_halls{}
                    : mirrored_halls{{north, change(mirror_revision)}},
                {1, mirror_revision}, now);
            for (const auto index : order)
                halls.apply_report(change(index % newest + 1), now);
            halls.apply_report(change(newest), now);
            RC_ASSERT(halls.evacuations().contains(north) == states.back());
            halls.apply_mirror({{north, change(newest)}}, {1, newest}, now);
            RC_ASSERT(halls.evacuations().contains(north) == states.back());
        });
}
