#include "coursejunction/route/request_limit.hpp"

#include <catch2/catch.hpp>

#include "route/limit_replay.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;
using limit_replay::moment;

namespace
{

std::vector<cj::entry_demand> entries_of(std::size_t count)
{
    std::vector<cj::entry_demand> made;
    for (std::size_t at = 0; at < count; ++at)
        made.push_back({cj::hall_id(at % 2 == 0 ? "a" : "b"),
                        "10.0.0." + std::to_string(at), 1});
    return made;
}

cj::limit_share share(double per_second, std::size_t entry, std::size_t count)
{
    return cj::share_of_limit(cj::instance_id("u"), cj::hall_id("a"),
                              per_second, "10.0.0." + std::to_string(entry),
                              entries_of(count));
}

} // namespace

SCENARIO("entries divide the limit of an upstream", "[route]")
{
    const double per_second = GENERATE(0.0, 0.3, 1.0, 2.5, 7.0, 1000.0);
    const std::size_t count = GENERATE(1U, 2U, 5U, 53U);
    double sum = 0;
    std::vector<std::size_t> stand_ins;
    for (std::size_t at = 0; at < count; ++at)
    {
        const auto one = share(per_second, at, count);
        sum += one.per_second;
        if (one.holds_share())
            CHECK(at % 2 == 0);
        else
            stand_ins.push_back(one.standby_rank);
    }

    THEN("all of it is held, in the upstream's own hall")
    {
        CHECK(sum == Approx(per_second));
    }
    THEN("the others stand in one after the other")
    {
        std::sort(stand_ins.begin(), stand_ins.end());
        for (std::size_t at = 0; at < stand_ins.size(); ++at)
            CHECK(stand_ins[at] == at + 1);
    }
    THEN("an entry that does not take callers has no share")
    {
        const auto none =
            cj::share_of_limit(cj::instance_id("u"), cj::hall_id("a"),
                               per_second, "", entries_of(count));
        CHECK_FALSE(none.holds_share());
        CHECK(none.standby_rank == cj::limit_share::not_standby);
    }
}

SCENARIO("an entry sends at the pace of its share", "[route]")
{
    cj::request_limit limit(2, moment(0), moment(0));

    GIVEN("no share yet: nothing")
    {
        CHECK(limit.next_send_at() == cj::time_point::max());
    }
    GIVEN("a share")
    {
        limit.set_share({2, 0}, moment(0));
        SECTION("the first request waits: another entry may just have sent")
        {
            CHECK(limit.next_send_at() == moment(0.5));
        }
        SECTION("then one after the other, with one saved up at most")
        {
            limit.record_send(moment(10));
            CHECK(limit.next_send_at() <= moment(10));
            limit.record_send(moment(10));
            CHECK(limit.next_send_at() == moment(10.5));
        }
        SECTION("a share that is told again changes nothing")
        {
            limit.record_send(moment(10));
            limit.record_send(moment(10));
            limit.set_share({2, 0}, moment(10.1));
            CHECK(limit.next_send_at() == moment(10.5));
        }
    }
    GIVEN("no share, but a place among those that stand in")
    {
        limit.set_share({0, 2}, moment(0));
        CHECK(limit.next_send_at() == moment(6));
        SECTION("a holder was answered meanwhile")
        {
            limit.update(2, moment(5));
            CHECK(limit.next_send_at() == moment(11));
        }
        SECTION("after its own request it waits again")
        {
            limit.record_send(moment(6));
            CHECK(limit.next_send_at() == moment(12));
        }
    }
    GIVEN("a limit of none at all: its end is looked for all the same")
    {
        cj::request_limit none(0, moment(0), moment(0));
        none.set_share({0, 1}, moment(0));
        CHECK(none.next_send_at() == moment(30));
    }
}

SCENARIO("many entries together exceed the limit of an upstream",
         "[route][replay]")
{
    limit_replay::scene scene;
    scene.entries = GENERATE(5U, 53U, 340U);
    // A seed of the largest takes seconds.
    scene.seed = scene.entries > 53 ? 1U : GENERATE(1U, 2U, 3U);
    CAPTURE(scene.entries, scene.seed);

    const auto holds = [&]
    {
        const auto made =
            limit_replay::player<limit_replay::holders>(scene).play();
        CHECK(static_cast<double>(made.worst_window) <=
              limit_replay::allowed(scene.per_second));
        return made;
    };

    WHEN("nothing else happens")
    {
        scene.per_second = GENERATE(1.0, 6.0);
        const auto made = holds();
        THEN("the room is used, and everybody is back soon after its end")
        {
            CHECK(made.used > 0.6);
            CHECK(made.used < 1.5);
            CHECK(made.recovered < 3);
        }
    }
    WHEN("entries start again, stop, die, freeze and are cut off")
    {
        scene.restarted = 2;
        scene.stopped = 1;
        scene.killed = 1;
        scene.frozen = 1;
        scene.cut = scene.entries > 5 ? 3 : 0;
        CHECK(holds().used > 0.4);
    }
    WHEN("the upstream takes none at all")
    {
        scene.per_second = 0;
        holds();
    }
    WHEN("every third heartbeat is lost")
    {
        scene.loss = 0.33;
        holds();
    }
}

SCENARIO("ways to share a limit, compared", "[.][compare]")
{
    const auto print = [](const std::string& way,
                          const limit_replay::scene& scene,
                          const limit_replay::outcome& made)
    {
        WARN(way << ", " << scene.entries << " entries, limit "
                 << scene.per_second << ", seed " << scene.seed
                 << ": worst 4 s " << made.worst_window << " (allowed "
                 << limit_replay::allowed(scene.per_second) << "), room used "
                 << made.used << ", unknowing " << made.unknowing
                 << ", back after " << made.recovered << " s");
    };
    limit_replay::scene scene;
    scene.entries = GENERATE(5U, 53U, 340U);
    scene.per_second = GENERATE(1.0, 6.0);
    scene.seed = GENERATE(1U, 2U);
    const bool trouble = GENERATE(false, true);
    if (trouble)
    {
        scene.restarted = 2;
        scene.stopped = scene.killed = scene.frozen = 1;
        scene.cut = scene.entries > 5 ? 3 : 0;
    }
    const std::string suffix = trouble ? ", faults" : "";
    print("holders" + suffix, scene,
          limit_replay::player<limit_replay::holders>(scene).play());
    print("equal parts" + suffix, scene,
          limit_replay::player<limit_replay::equal_parts>(scene).play());
}
