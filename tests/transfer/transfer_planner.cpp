#include "coursejunction/transfer/transfer_planner.hpp"

#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "transfer/fixtures.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;
using planner = cj::transfer_planner<cj::swarm_policy>;
using kind = cj::transfer_request::source_kind;

namespace
{

const cj::time_point start{100s};

std::vector<cj::chunk_index> range(cj::chunk_index count)
{
    std::vector<cj::chunk_index> all;
    for (cj::chunk_index at = 0; at < count; ++at)
        all.push_back(at);
    return all;
}

/*! @brief Three instances of one hall, seen by the first. */
std::vector<cj::participant> hall_of_three()
{
    const cj::hall_id hall("a");
    const cj::region_id region("x");
    return {{cj::instance_id("me"), hall, region},
            {cj::instance_id("p"), hall, region},
            {cj::instance_id("q"), hall, region}};
}

planner make(std::size_t chunks, cj::planner_limits limits = {})
{
    planner made(fixtures::manifest_of(fixtures::model_bytes(chunks)),
                 cj::instance_id("me"), limits, cj::swarm_policy(), start);
    made.set_participants(hall_of_three(), start);
    return made;
}

std::size_t count(const std::vector<cj::transfer_request>& requests, kind how)
{
    return static_cast<std::size_t>(
        std::count_if(requests.begin(), requests.end(),
                      [&](const auto& one) { return one.source == how; }));
}

} // namespace

SCENARIO("a planner asks whoever holds a chunk", "[transfer]")
{
    const cj::instance_id p("p");
    const cj::instance_id q("q");
    GIVEN("two holders of everything, one of them busy")
    {
        auto plan = make(40);
        plan.add_peer_chunks(p, range(40), 4, start);
        plan.add_peer_chunks(q, range(40), 0, start);
        const auto asked = plan.next_requests(start);
        THEN("the free one is asked first, within the limit")
        {
            REQUIRE(count(asked, kind::holder) == 4);
            CHECK(asked.front().peer == q);
            CHECK(plan.open_holder_requests() == 4);
        }
        THEN("nothing is asked twice at once")
        {
            CHECK(plan.next_requests(start).empty());
        }
    }
    GIVEN("a holder that refuses as busy")
    {
        auto plan = make(8);
        plan.add_peer_chunks(p, range(8), 0, start);
        for (const auto& one : plan.next_requests(start))
            plan.record_refusal(one.chunk, p, false, 9, start);
        THEN("it is left alone until it is less busy")
        {
            CHECK(count(plan.next_requests(start + 10ms), kind::holder) == 0);
            plan.add_peer_chunks(p, {}, 0, start + 100ms);
            CHECK(count(plan.next_requests(start + 100ms), kind::holder) == 4);
        }
    }
    GIVEN("a holder that stalls without a word")
    {
        auto plan = make(8);
        plan.add_peer_chunks(p, range(8), 0, start);
        plan.watch(p, start);
        REQUIRE(count(plan.next_requests(start), kind::holder) == 4);
        plan.add_peer_chunks(q, range(8), 0, start + 1s);
        THEN("others are asked once it is silent for too long")
        {
            const auto again = plan.next_requests(start + 4s);
            REQUIRE(count(again, kind::holder) == 4);
            CHECK(again.front().peer == q);
        }
    }
    GIVEN("a peer that lies")
    {
        auto plan = make(8);
        plan.add_peer_chunks(p, range(8), 0, start);
        const auto asked = plan.next_requests(start);
        plan.record_corrupt(asked[0].chunk, p);
        CHECK_FALSE(plan.banned(p));
        plan.record_corrupt(asked[1].chunk, p);
        THEN("it is asked no more")
        {
            CHECK(plan.banned(p));
            plan.add_peer_chunks(p, range(8), 0, start + 1s);
            CHECK(count(plan.next_requests(start + 1s), kind::holder) == 0);
        }
    }
}

SCENARIO("a planner draws little from the origin", "[transfer]")
{
    GIVEN("chunks that nobody is seen to hold")
    {
        auto plan = make(60);
        const auto asked = plan.next_requests(start);
        THEN("only few are asked from the origin at once")
        {
            CHECK(count(asked, kind::origin) == 2);
        }
        WHEN("the origin fails")
        {
            for (const auto& one : asked)
                plan.record_origin_failure(one.chunk, start);
            THEN("it is asked again only after a pause that grows")
            {
                CHECK(count(plan.next_requests(start + 50ms), kind::origin) ==
                      0);
                CHECK(count(plan.next_requests(start + 1s), kind::origin) == 2);
            }
        }
    }
    GIVEN("live peers that own the rest, and an origin that is silent")
    {
        // An outage of the origin must not turn the others into owners.
        auto plan = make(60);
        std::set<cj::chunk_index> own;
        for (int at = 0; at < 90; ++at)
        {
            const auto now = start + at * 100ms;
            plan.record_alive(cj::instance_id("p"), now);
            plan.record_alive(cj::instance_id("q"), now);
            for (const auto& one : plan.next_requests(now))
            {
                if (one.source != kind::origin)
                    continue;
                own.insert(one.chunk);
                plan.record_origin_failure(one.chunk, now);
            }
        }
        CHECK(plan.stall_level() == 0);
        CHECK(own.size() < 40);
    }
    GIVEN("an owner that died")
    {
        auto plan = make(60);
        std::set<cj::chunk_index> asked;
        const auto drain = [&](cj::time_point now)
        {
            for (int at = 0; at < 60; ++at)
            {
                for (const auto& one : plan.next_requests(now))
                {
                    if (one.source != kind::origin)
                        continue;
                    asked.insert(one.chunk);
                    plan.add_chunk(one.chunk, now);
                }
            }
        };
        drain(start);
        const auto before = asked.size();
        plan.record_peer_loss(cj::instance_id("p"));
        drain(start + 100ms);
        THEN("this instance takes over its share of the dead one's chunks")
        {
            CHECK(asked.size() > before);
            CHECK(asked.size() < 60);
        }
    }
}

// The origin's link is full, and each chunk takes long. If a side began the
// same call again beside the one that is open, whenever nothing new was seen
// for a while, the link would carry everything twice and three times, and each
// chunk would take longer still.
SCENARIO("a call of the origin that is open is not begun again", "[transfer]")
{
    cj::planner_limits limits;
    limits.min_stall_time = 700ms;
    limits.single_copy_delay = 1000ms;
    limits.origin_calls_time_out = true;
    const cj::instance_id p("p");
    GIVEN("a side that is alone, and an origin that takes ten seconds")
    {
        planner plan(fixtures::manifest_of(fixtures::model_bytes(2)),
                     cj::instance_id("me"), limits, cj::swarm_policy(), start);
        plan.set_participants({hall_of_three().front()}, start);
        std::map<cj::chunk_index, std::size_t> calls;
        for (auto now = start; now < start + 10s; now += 20ms)
        {
            for (const auto& one : plan.next_requests(now))
                ++calls[one.chunk];
        }
        THEN("each chunk is asked for once")
        {
            CHECK(calls[0] == 1);
            CHECK(calls[1] == 1);
        }
        WHEN("a call ends without its chunk")
        {
            plan.record_origin_failure(0, start + 10s);
            const auto again = plan.next_requests(start + 11s);
            THEN("that one is asked for again")
            {
                REQUIRE(count(again, kind::origin) == 1);
                CHECK(again.front().chunk == 0);
            }
        }
    }
    GIVEN("a chunk that the origin gives slowly and a neighbour has")
    {
        planner plan(fixtures::manifest_of(fixtures::model_bytes(1)),
                     cj::instance_id("me"), limits, cj::swarm_policy(), start);
        plan.set_participants({hall_of_three().front()}, start);
        REQUIRE(count(plan.next_requests(start), kind::origin) == 1);
        plan.set_participants(hall_of_three(), start);
        plan.add_peer_chunks(p, range(1), 0, start + 100ms);
        THEN("the neighbour is asked after a second, and not before")
        {
            CHECK(plan.next_requests(start + 900ms).empty());
            CHECK(count(plan.next_requests(start + 1100ms), kind::holder) == 1);
        }
    }
}

SCENARIO("an origin that was away is not drawn on more often afterwards",
         "[transfer]")
{
    cj::planner_limits limits;
    limits.min_stall_time = 700ms;
    auto plan = make(40, limits);
    auto now = start;
    GIVEN("nothing came for long")
    {
        for (int step = 0; step < 2000; ++step)
        {
            now += 20ms;
            for (const auto& one : plan.next_requests(now))
            {
                if (one.source == kind::origin)
                    plan.record_origin_failure(one.chunk, now);
            }
        }
        REQUIRE(plan.stall_level() > 0);
        WHEN("chunks come again")
        {
            const auto level = plan.stall_level();
            for (cj::chunk_index at = 0; at < level; ++at)
                plan.add_chunk(at, now += 30ms);
            THEN("the stand-ins are called off")
            {
                CHECK(plan.stall_level() == 0);
            }
        }
    }
}

SCENARIO("after an outage of the origin each chunk is drawn once", "[transfer]")
{
    cj::planner_limits limits;
    limits.min_stall_time = 700ms;
    limits.single_copy_delay = 1000ms;
    limits.first_copy_delay = 2300ms;
    limits.max_origin_backoff = 400ms;
    constexpr cj::chunk_index chunks = 60;
    const std::vector<cj::instance_id> peers{cj::instance_id("p"),
                                             cj::instance_id("q")};

    // What this instance is the first source of.
    std::set<cj::chunk_index> share;
    auto calm = make(chunks, limits);
    for (int step = 0; step < 100; ++step)
    {
        for (const auto& one : calm.next_requests(start))
        {
            if (one.source != kind::origin)
                continue;
            share.insert(one.chunk);
            calm.add_chunk(one.chunk, start);
        }
    }
    REQUIRE(share.size() > 5);

    GIVEN("an origin that was away for 6 s")
    {
        auto plan = make(chunks, limits);
        auto now = start;
        const auto alive = [&]
        {
            for (const auto& peer : peers)
                plan.record_alive(peer, now);
        };
        for (int step = 0; step < 300; ++step)
        {
            now += 20ms;
            alive();
            for (const auto& one : plan.next_requests(now))
            {
                if (one.source == kind::origin)
                    plan.record_origin_failure(one.chunk, now);
            }
        }
        WHEN("it is back and chunks come steadily")
        {
            std::size_t strange = 0;
            std::vector<cj::chunk_index> others;
            for (cj::chunk_index at = 0; at < chunks; ++at)
            {
                if (!share.contains(at))
                    others.push_back(at);
            }
            for (const auto at : others)
            {
                now += 50ms;
                alive();
                plan.add_peer_chunks(peers[at % 2], {at}, 0, now);
                for (const auto& one : plan.next_requests(now))
                {
                    if (one.source == kind::origin &&
                        !share.contains(one.chunk))
                        ++strange;
                    plan.add_chunk(one.chunk, now);
                }
            }
            THEN("this instance fetches its own share and hardly any other")
            {
                constexpr std::size_t probes = 2;
                CHECK(strange <= probes);
            }
        }
    }
}

TEST_CASE("a planner completes whatever order things happen in", "[transfer]")
{
    rc::prop(
        "with refusals, bad chunks and losses",
        [](const std::vector<std::uint8_t>& luck)
        {
            constexpr cj::chunk_index chunks = 24;
            auto plan = make(chunks);
            const std::vector<cj::instance_id> peers{cj::instance_id("p"),
                                                     cj::instance_id("q")};
            auto now = start;
            std::size_t turn = 0;
            const auto roll = [&]
            { return luck.empty() ? 0 : luck[turn++ % luck.size()] % 8; };
            for (int step = 0; step < 4000 && !plan.complete(); ++step)
            {
                now += 50ms;
                // Bad luck ends at some time.
                const bool bad = step < 300;
                plan.add_peer_chunks(peers[step % 2], range(chunks), 0, now);
                for (const auto& one : plan.next_requests(now))
                {
                    switch (bad ? roll() : 0)
                    {
                    case 1:
                        plan.record_refusal(one.chunk, one.peer, true, 0, now);
                        break;
                    case 2:
                        if (one.source == kind::origin)
                            plan.record_origin_failure(one.chunk, now);
                        else
                            plan.record_peer_loss(one.peer);
                        break;
                    case 3:
                        break; // Lost without a word.
                    default:
                        plan.add_chunk(one.chunk, now);
                    }
                }
            }
            RC_ASSERT(plan.complete());
            RC_ASSERT(plan.open_holder_requests() == 0U);
        });
}

SCENARIO("a chunk whose only holder has a narrow link comes another way",
         "[transfer]")
{
    cj::planner_limits limits;
    limits.single_copy_delay = 1000ms;
    limits.first_copy_delay = 2300ms;
    const cj::instance_id p("p");
    GIVEN("one holder that has everything and gives nothing")
    {
        auto plan = make(12, limits);
        auto now = start;
        plan.add_peer_chunks(p, range(12), 0, now);
        CHECK(count(plan.next_requests(now), kind::origin) == 0);
        THEN("it is asked for a while, and then the origin by stand-ins")
        {
            std::size_t origin = 0;
            for (; now < start + 900ms; now += 100ms)
            {
                plan.add_peer_chunks(p, range(12), 0, now);
                origin += count(plan.next_requests(now), kind::origin);
            }
            CHECK(origin == 0);
            for (; now < start + 4000ms; now += 100ms)
            {
                plan.add_peer_chunks(p, range(12), 0, now);
                origin += count(plan.next_requests(now), kind::origin);
            }
            CHECK(origin > 0);
        }
        THEN("a second holder is enough: the chunk spreads")
        {
            plan.add_peer_chunks(cj::instance_id("q"), range(12), 0, now);
            std::size_t origin = 0;
            for (; now < start + 4000ms; now += 100ms)
            {
                plan.add_peer_chunks(p, range(12), 0, now);
                plan.add_peer_chunks(cj::instance_id("q"), range(12), 0, now);
                origin += count(plan.next_requests(now), kind::origin);
            }
            CHECK(origin == 0);
        }
    }
}

SCENARIO("a first source that stalls is not waited for again and again",
         "[transfer]")
{
    // The only instance of its hall: it waits for owners in another region.
    const cj::region_id here("x");
    const cj::region_id there("y");
    const std::vector<cj::participant> all{
        {cj::instance_id("me"), cj::hall_id("a"), here},
        {cj::instance_id("p"), cj::hall_id("b"), there},
        {cj::instance_id("q"), cj::hall_id("b"), there}};
    cj::planner_limits limits;
    limits.min_stall_time = 700ms;
    planner plan(fixtures::manifest_of(fixtures::model_bytes(60)),
                 cj::instance_id("me"), limits, cj::swarm_policy(), start);
    plan.set_participants(all, start);
    std::map<cj::chunk_index, cj::instance_id> first;
    std::size_t elsewhere = 0;
    for (auto now = start; now < start + 3s; now += 100ms)
    {
        plan.record_alive(cj::instance_id("p"), now);
        plan.record_alive(cj::instance_id("q"), now);
        for (const auto& one : plan.next_requests(now))
        {
            const auto seen = first.emplace(one.chunk, one.peer);
            if (!seen.second && seen.first->second != one.peer)
                ++elsewhere;
        }
    }
    CHECK(elsewhere > 0);
}

SCENARIO("a narrow link is not filled with chunks", "[transfer]")
{
    cj::planner_limits limits;
    limits.slow_chunk_time = 800ms;
    const cj::instance_id p("p");
    const auto play = [&](cj::milliseconds each)
    {
        auto plan = make(60, limits);
        auto now = start;
        std::size_t last = 0;
        for (int round = 0; round < 8; ++round)
        {
            plan.add_peer_chunks(p, range(60), 0, now);
            const auto asked = plan.next_requests(now);
            last = count(asked, kind::holder);
            now += each;
            for (const auto& one : asked)
                plan.add_chunk(one.chunk, now);
        }
        return last;
    };
    THEN("chunks that take long are asked one at a time")
    {
        CHECK(play(1200ms) == 1);
    }
    THEN("others as many at once as ever")
    {
        CHECK(play(150ms) == 4);
    }
    THEN("a version that comes after another one knows the link")
    {
        const auto link = std::make_shared<cj::call_window>(
            limits.max_holder_requests, limits.slow_chunk_time);
        for (int chunk = 0; chunk < 3; ++chunk)
            link->record_duration(2s);
        planner next(fixtures::manifest_of(fixtures::model_bytes(60)),
                     cj::instance_id("me"), limits, cj::swarm_policy(), start,
                     link);
        next.set_participants(hall_of_three(), start);
        next.add_peer_chunks(p, range(30), 0, start);
        const auto asked = next.next_requests(start);
        CHECK(count(asked, kind::holder) == 1);
        CHECK(count(asked, kind::origin) <= 1);
        CHECK(count(asked, kind::future_holder) <= 1);
    }
}
