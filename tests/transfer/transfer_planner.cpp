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
    for (cj::chunk_index index = 0; index < count; ++index)
        all.push_back(index);
    return all;
}

/*! @brief Three instances of one hall, the first of which runs the planner. */
std::vector<cj::participant> hall_of_three()
{
    const cj::hall_id hall("a");
    const cj::region_id region("x");
    return {{cj::instance_id("me"), hall, region},
            {cj::instance_id("p"), hall, region},
            {cj::instance_id("q"), hall, region}};
}

planner make_planner(std::size_t chunks, cj::planner_limits limits = {})
{
    planner made(fixtures::manifest_of(fixtures::model_bytes(chunks)),
                 cj::instance_id("me"), limits, cj::swarm_policy(), start);
    made.set_participants(hall_of_three(), start);
    return made;
}

std::size_t count(const std::vector<cj::transfer_request>& requests,
                  kind source)
{
    return static_cast<std::size_t>(
        std::count_if(requests.begin(), requests.end(),
                      [&](const auto& one) { return one.source == source; }));
}

} // namespace

SCENARIO("a planner requests chunks from peers that hold them", "[transfer]")
{
    const cj::instance_id p("p");
    const cj::instance_id q("q");
    GIVEN("two holders of everything, one of them busy")
    {
        auto plan = make_planner(40);
        plan.add_peer_chunks(p, range(40), 4, start);
        plan.add_peer_chunks(q, range(40), 0, start);
        const auto requests = plan.next_requests(start);
        THEN("the idle one is asked first, within the limit")
        {
            REQUIRE(count(requests, kind::holder) == 4);
            CHECK(requests.front().peer == q);
            CHECK(plan.open_holder_requests() == 4);
        }
        THEN("no chunk is requested twice at once")
        {
            CHECK(plan.next_requests(start).empty());
        }
    }
    GIVEN("a holder that refuses as busy")
    {
        auto plan = make_planner(8);
        plan.add_peer_chunks(p, range(8), 0, start);
        for (const auto& one : plan.next_requests(start))
            plan.record_refusal(one.chunk, p, false, 9, start);
        THEN("it is not asked until it is less busy")
        {
            CHECK(count(plan.next_requests(start + 10ms), kind::holder) == 0);
            plan.add_peer_chunks(p, {}, 0, start + 100ms);
            CHECK(count(plan.next_requests(start + 100ms), kind::holder) == 4);
        }
    }
    GIVEN("a holder that stops responding")
    {
        auto plan = make_planner(8);
        plan.add_peer_chunks(p, range(8), 0, start);
        plan.watch(p, start);
        REQUIRE(count(plan.next_requests(start), kind::holder) == 4);
        plan.add_peer_chunks(q, range(8), 0, start + 1s);
        THEN("others are asked once it has been silent for too long")
        {
            const auto repeated = plan.next_requests(start + 4s);
            REQUIRE(count(repeated, kind::holder) == 4);
            CHECK(repeated.front().peer == q);
        }
    }
    GIVEN("a peer that sends corrupt chunks")
    {
        auto plan = make_planner(8);
        plan.add_peer_chunks(p, range(8), 0, start);
        const auto requests = plan.next_requests(start);
        plan.record_corrupt(requests[0].chunk, p);
        CHECK_FALSE(plan.banned(p));
        plan.record_corrupt(requests[1].chunk, p);
        THEN("it is not asked again")
        {
            CHECK(plan.banned(p));
            plan.add_peer_chunks(p, range(8), 0, start + 1s);
            CHECK(count(plan.next_requests(start + 1s), kind::holder) == 0);
        }
    }
}

SCENARIO("a planner sends few requests to the origin", "[transfer]")
{
    GIVEN("chunks that no instance is known to hold")
    {
        auto plan = make_planner(60);
        const auto requests = plan.next_requests(start);
        THEN("only two are requested from the origin at once")
        {
            CHECK(count(requests, kind::origin) == 2);
        }
        WHEN("the origin fails")
        {
            for (const auto& one : requests)
                plan.record_origin_failure(one.chunk, start);
            THEN("it is asked again only after a backoff")
            {
                CHECK(count(plan.next_requests(start + 50ms), kind::origin) ==
                      0);
                CHECK(count(plan.next_requests(start + 1s), kind::origin) == 2);
            }
        }
    }
    GIVEN("live peers that are first sources of the rest, and a failing origin")
    {
        // An outage of the origin must not make the others first sources.
        auto plan = make_planner(60);
        std::set<cj::chunk_index> requested_chunks;
        for (int index = 0; index < 90; ++index)
        {
            const auto now = start + index * 100ms;
            plan.record_alive(cj::instance_id("p"), now);
            plan.record_alive(cj::instance_id("q"), now);
            for (const auto& one : plan.next_requests(now))
            {
                if (one.source != kind::origin)
                    continue;
                requested_chunks.insert(one.chunk);
                plan.record_origin_failure(one.chunk, now);
            }
        }
        CHECK(plan.stall_level() == 0);
        CHECK(requested_chunks.size() < 40);
    }
    GIVEN("a first source that is lost")
    {
        auto plan = make_planner(60);
        std::set<cj::chunk_index> requests;
        const auto fetch_all_from_origin = [&](cj::time_point now)
        {
            for (int index = 0; index < 60; ++index)
            {
                for (const auto& one : plan.next_requests(now))
                {
                    if (one.source != kind::origin)
                        continue;
                    requests.insert(one.chunk);
                    plan.add_chunk(one.chunk, now);
                }
            }
        };
        fetch_all_from_origin(start);
        const auto before = requests.size();
        plan.record_peer_loss(cj::instance_id("p"));
        fetch_all_from_origin(start + 100ms);
        THEN("this instance takes over a part of its chunks")
        {
            CHECK(requests.size() > before);
            CHECK(requests.size() < 60);
        }
    }
}

// Guards against repeated calls: when the link of the origin is saturated, each
// chunk takes long. A sidecar that started the same call again whenever nothing
// new had been seen for a while would make the link carry every chunk several
// times, which delays all of them further.
SCENARIO("a chunk is not requested again while a call to the origin is open",
         "[transfer]")
{
    cj::planner_limits limits;
    limits.min_stall_time = 700ms;
    limits.single_copy_delay = 1000ms;
    limits.origin_calls_time_out = true;
    const cj::instance_id p("p");
    GIVEN("a single sidecar and an origin that takes ten seconds")
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
        THEN("each chunk is requested once")
        {
            CHECK(calls[0] == 1);
            CHECK(calls[1] == 1);
        }
        WHEN("a call ends without its chunk")
        {
            plan.record_origin_failure(0, start + 10s);
            const auto repeated = plan.next_requests(start + 11s);
            THEN("that chunk is requested again")
            {
                REQUIRE(count(repeated, kind::origin) == 1);
                CHECK(repeated.front().chunk == 0);
            }
        }
    }
    GIVEN("a chunk that arrives slowly from the origin and that a peer holds")
    {
        planner plan(fixtures::manifest_of(fixtures::model_bytes(1)),
                     cj::instance_id("me"), limits, cj::swarm_policy(), start);
        plan.set_participants({hall_of_three().front()}, start);
        REQUIRE(count(plan.next_requests(start), kind::origin) == 1);
        plan.set_participants(hall_of_three(), start);
        plan.add_peer_chunks(p, range(1), 0, start + 100ms);
        THEN("the peer is asked after a second, and not before")
        {
            CHECK(plan.next_requests(start + 900ms).empty());
            CHECK(count(plan.next_requests(start + 1100ms), kind::holder) == 1);
        }
    }
}

SCENARIO("stand-ins stop when chunks arrive again after an outage",
         "[transfer]")
{
    cj::planner_limits limits;
    limits.min_stall_time = 700ms;
    auto plan = make_planner(40, limits);
    auto now = start;
    GIVEN("no chunk arrives for 40 s")
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
        WHEN("chunks arrive again")
        {
            const auto level = plan.stall_level();
            for (cj::chunk_index index = 0; index < level; ++index)
                plan.add_chunk(index, now += 30ms);
            THEN("no stand-in is left")
            {
                CHECK(plan.stall_level() == 0);
            }
        }
    }
}

SCENARIO("after an outage the origin sends each chunk about once", "[transfer]")
{
    cj::planner_limits limits;
    limits.min_stall_time = 700ms;
    limits.single_copy_delay = 1000ms;
    limits.first_copy_delay = 2300ms;
    limits.max_origin_backoff = 400ms;
    constexpr cj::chunk_index chunks = 60;
    const std::vector<cj::instance_id> peers{cj::instance_id("p"),
                                             cj::instance_id("q")};

    // The chunks that this instance fetches first from the origin.
    std::set<cj::chunk_index> own_share;
    auto undisturbed = make_planner(chunks, limits);
    for (int step = 0; step < 100; ++step)
    {
        for (const auto& one : undisturbed.next_requests(start))
        {
            if (one.source != kind::origin)
                continue;
            own_share.insert(one.chunk);
            undisturbed.add_chunk(one.chunk, start);
        }
    }
    REQUIRE(own_share.size() > 5);

    GIVEN("an origin that failed for 6 s")
    {
        auto plan = make_planner(chunks, limits);
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
        WHEN("it recovers and chunks arrive steadily")
        {
            std::size_t foreign_requests = 0;
            std::vector<cj::chunk_index> others;
            for (cj::chunk_index index = 0; index < chunks; ++index)
            {
                if (!own_share.contains(index))
                    others.push_back(index);
            }
            for (const auto index : others)
            {
                now += 50ms;
                alive();
                plan.add_peer_chunks(peers[index % 2], {index}, 0, now);
                for (const auto& one : plan.next_requests(now))
                {
                    if (one.source == kind::origin &&
                        !own_share.contains(one.chunk))
                        ++foreign_requests;
                    plan.add_chunk(one.chunk, now);
                }
            }
            THEN("this instance fetches its own share and hardly any other "
                 "chunk")
            {
                constexpr std::size_t probes = 2;
                CHECK(foreign_requests <= probes);
            }
        }
    }
}

TEST_CASE("a planner completes after any sequence of failures", "[transfer]")
{
    rc::prop(
        "with refusals, lost peers, failed calls and lost responses",
        [](const std::vector<std::uint8_t>& random_bytes)
        {
            constexpr cj::chunk_index chunks = 24;
            auto plan = make_planner(chunks);
            const std::vector<cj::instance_id> peers{cj::instance_id("p"),
                                                     cj::instance_id("q")};
            auto now = start;
            std::size_t position = 0;
            const auto next_event = [&]
            {
                return random_bytes.empty()
                           ? 0
                           : random_bytes[position++ % random_bytes.size()] % 8;
            };
            for (int step = 0; step < 4000 && !plan.complete(); ++step)
            {
                now += 50ms;
                // After 300 steps there are no more failures.
                const bool faulty = step < 300;
                plan.add_peer_chunks(peers[step % 2], range(chunks), 0, now);
                for (const auto& one : plan.next_requests(now))
                {
                    switch (faulty ? next_event() : 0)
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
                        break; // The response is lost.
                    default:
                        plan.add_chunk(one.chunk, now);
                    }
                }
            }
            RC_ASSERT(plan.complete());
            RC_ASSERT(plan.open_holder_requests() == 0U);
        });
}

SCENARIO("a chunk whose only holder is slow is fetched another way",
         "[transfer]")
{
    cj::planner_limits limits;
    limits.single_copy_delay = 1000ms;
    limits.first_copy_delay = 2300ms;
    const cj::instance_id p("p");
    GIVEN("one holder that has all chunks and sends none")
    {
        auto plan = make_planner(12, limits);
        auto now = start;
        plan.add_peer_chunks(p, range(12), 0, now);
        CHECK(count(plan.next_requests(now), kind::origin) == 0);
        THEN("stand-ins ask the origin after a second")
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
        THEN("with a second holder the origin is not asked")
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

SCENARIO("a stalled first source is replaced by another one", "[transfer]")
{
    // The only instance of its hall: it requests chunks from first sources in
    // another region.
    const cj::region_id own_region("x");
    const cj::region_id other_region("y");
    const std::vector<cj::participant> all{
        {cj::instance_id("me"), cj::hall_id("a"), own_region},
        {cj::instance_id("p"), cj::hall_id("b"), other_region},
        {cj::instance_id("q"), cj::hall_id("b"), other_region}};
    cj::planner_limits limits;
    limits.min_stall_time = 700ms;
    planner plan(fixtures::manifest_of(fixtures::model_bytes(60)),
                 cj::instance_id("me"), limits, cj::swarm_policy(), start);
    plan.set_participants(all, start);
    std::map<cj::chunk_index, cj::instance_id> first_sources;
    std::size_t second_sources = 0;
    for (auto now = start; now < start + 3s; now += 100ms)
    {
        plan.record_alive(cj::instance_id("p"), now);
        plan.record_alive(cj::instance_id("q"), now);
        for (const auto& one : plan.next_requests(now))
        {
            const auto inserted = first_sources.emplace(one.chunk, one.peer);
            if (!inserted.second && inserted.first->second != one.peer)
                ++second_sources;
        }
    }
    CHECK(second_sources > 0);
}

SCENARIO("few chunks are requested over a narrow link", "[transfer]")
{
    cj::planner_limits limits;
    limits.slow_chunk_time = 800ms;
    const cj::instance_id p("p");
    const auto last_request_count = [&](cj::milliseconds chunk_time)
    {
        auto plan = make_planner(60, limits);
        auto now = start;
        std::size_t last = 0;
        for (int round = 0; round < 8; ++round)
        {
            plan.add_peer_chunks(p, range(60), 0, now);
            const auto requests = plan.next_requests(now);
            last = count(requests, kind::holder);
            now += chunk_time;
            for (const auto& one : requests)
                plan.add_chunk(one.chunk, now);
        }
        return last;
    };
    THEN("slow chunks are requested one at a time")
    {
        CHECK(last_request_count(1200ms) == 1);
    }
    THEN("fast chunks are requested up to the limit")
    {
        CHECK(last_request_count(150ms) == 4);
    }
    THEN("the next version starts with the limit found for the link")
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
        const auto requests = next.next_requests(start);
        CHECK(count(requests, kind::holder) == 1);
        CHECK(count(requests, kind::origin) <= 1);
        CHECK(count(requests, kind::future_holder) <= 1);
    }
}
