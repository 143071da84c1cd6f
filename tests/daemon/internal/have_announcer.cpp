#include "coursejunction/daemon/internal/have_announcer.hpp"

#include <utility>

#include <catch2/catch.hpp>

#include "transfer/fixtures.hpp"

namespace cj = coursejunction;
namespace ci = coursejunction::internal;
using namespace std::chrono_literals;
using chunk_list = std::vector<cj::chunk_index>;

SCENARIO("new chunks are announced to peers, less often to other halls",
         "[daemon]")
{
    std::vector<std::pair<cj::instance_id, chunk_list>> sent;
    ci::have_announcer announcer(
        [&](const cj::instance_id& to, chunk_list chunks)
        { sent.emplace_back(to, std::move(chunks)); });
    const auto bytes = fixtures::model_bytes(3);
    cj::chunk_store chunks(fixtures::manifest_of(bytes));
    const auto add = [&](cj::chunk_index chunk)
    {
        chunks.add(chunk, bytes.substr(chunk * fixtures::chunk_bytes,
                                       fixtures::chunk_bytes));
        announcer.add_chunk(chunk);
    };
    const cj::instance_id own_hall_peer("near");
    const cj::instance_id other_hall_peer("far");
    const cj::time_point start{100s};

    GIVEN("a listener in the own hall and one in another, after a first "
          "announcement")
    {
        announcer.record_request(start);
        announcer.add_listener(own_hall_peer, true, chunks);
        announcer.add_listener(other_hall_peer, false, chunks);
        announcer.add_listener(other_hall_peer, false, chunks);
        CHECK(sent.size() == 2);
        announcer.announce(chunks, start);
        sent.clear();

        WHEN("a chunk arrives and an announcement to the own hall is due")
        {
            add(1);
            announcer.announce(chunks, start + 99ms);
            CHECK(sent.empty());
            announcer.announce(chunks, start + 100ms);
            THEN("only the own hall gets it")
            {
                REQUIRE(sent.size() == 1);
                CHECK(sent[0].first == own_hall_peer);
                CHECK(sent[0].second == chunk_list{1});
            }
            AND_WHEN("another arrives and an announcement to all is due")
            {
                add(2);
                sent.clear();
                announcer.announce(chunks, start + 500ms);
                THEN("the other hall gets both, the own hall only the last")
                {
                    REQUIRE(sent.size() == 2);
                    CHECK(sent[0].first == other_hall_peer);
                    CHECK(sent[0].second == chunk_list{1, 2});
                    CHECK(sent[1].second == chunk_list{2});
                }
            }
        }
        WHEN("the version is complete and no chunk was requested for 10 s")
        {
            for (const cj::chunk_index chunk : {0, 1, 2})
                add(chunk);
            announcer.announce(chunks, start + 10s);
            CHECK(announcer.listener_count() == 2);
            announcer.announce(chunks, start + 10s + 500ms);
            THEN("the listeners are removed")
            {
                CHECK(announcer.listener_count() == 0);
            }
        }
        WHEN("a listener's connection is lost")
        {
            announcer.peer_lost(own_hall_peer);
            announcer.announce(chunks, start + 500ms);
            CHECK(sent.size() == 1);
        }
    }
    GIVEN("a neighbour that is not a listener")
    {
        announcer.set_neighbours({own_hall_peer});
        add(0);
        announcer.send_all_held(chunks);
        announcer.announce(chunks, start);
        THEN("every announcement to it lists all held chunks")
        {
            REQUIRE(sent.size() == 2);
            CHECK(sent[0] == sent[1]);
            CHECK(sent[0].second == chunk_list{0});
        }
        AND_WHEN("the version is no longer the target")
        {
            announcer.stop();
            CHECK(announcer.neighbour_count() == 0);
        }
    }
    GIVEN("more peers than the limit of listeners")
    {
        for (int peer = 0; peer < 70; ++peer)
            announcer.add_listener(cj::instance_id(std::to_string(peer)), true,
                                   chunks);
        CHECK(announcer.listener_count() == 64);
    }
}
