#include "coursejunction/daemon/internal/have_announcer.hpp"

#include <utility>

#include <catch2/catch.hpp>

#include "transfer/fixtures.hpp"

namespace cj = coursejunction;
namespace ci = coursejunction::internal;
using namespace std::chrono_literals;
using chunk_list = std::vector<cj::chunk_index>;

SCENARIO("peers hear of new chunks, those of other halls more slowly",
         "[daemon]")
{
    std::vector<std::pair<cj::instance_id, chunk_list>> sent;
    ci::have_announcer announcer(
        [&](const cj::instance_id& to, chunk_list chunks)
        { sent.emplace_back(to, std::move(chunks)); });
    const auto bytes = fixtures::model_bytes(3);
    cj::chunk_store chunks(fixtures::manifest_of(bytes));
    const auto add = [&](cj::chunk_index at)
    {
        chunks.add(at, bytes.substr(at * fixtures::chunk_bytes,
                                    fixtures::chunk_bytes));
        announcer.added(at);
    };
    const cj::instance_id near("near");
    const cj::instance_id far("far");
    const cj::time_point start{100s};

    GIVEN("a listener of each hall, after a first round")
    {
        announcer.asked(start);
        announcer.listen(near, true, chunks);
        announcer.listen(far, false, chunks);
        announcer.listen(far, false, chunks);
        CHECK(sent.size() == 2);
        announcer.tell(chunks, start);
        sent.clear();

        WHEN("a chunk comes and a batch is due")
        {
            add(1);
            announcer.tell(chunks, start + 99ms);
            CHECK(sent.empty());
            announcer.tell(chunks, start + 100ms);
            THEN("only the own hall hears of it")
            {
                REQUIRE(sent.size() == 1);
                CHECK(sent[0].first == near);
                CHECK(sent[0].second == chunk_list{1});
            }
            AND_WHEN("another comes and a sign of life is due")
            {
                add(2);
                sent.clear();
                announcer.tell(chunks, start + 500ms);
                THEN("the other hall hears of both, the own of the last")
                {
                    REQUIRE(sent.size() == 2);
                    CHECK(sent[0].first == far);
                    CHECK(sent[0].second == chunk_list{1, 2});
                    CHECK(sent[1].second == chunk_list{2});
                }
            }
        }
        WHEN("all is held and nobody has asked for long")
        {
            for (const cj::chunk_index at : {0, 1, 2})
                add(at);
            announcer.tell(chunks, start + 10s);
            CHECK(announcer.listener_count() == 2);
            announcer.tell(chunks, start + 10s + 500ms);
            THEN("it is told no more")
            {
                CHECK(announcer.listener_count() == 0);
            }
        }
        WHEN("one is lost")
        {
            announcer.peer_lost(near);
            announcer.tell(chunks, start + 500ms);
            CHECK(sent.size() == 1);
        }
    }
    GIVEN("a neighbour that does not listen")
    {
        announcer.neighbours({near});
        add(0);
        announcer.greet(chunks);
        announcer.tell(chunks, start);
        THEN("it is greeted again with everything")
        {
            REQUIRE(sent.size() == 2);
            CHECK(sent[0] == sent[1]);
            CHECK(sent[0].second == chunk_list{0});
        }
        AND_WHEN("the version is no longer wanted")
        {
            announcer.stop();
            CHECK(announcer.neighbour_count() == 0);
        }
    }
    GIVEN("more peers than are told")
    {
        for (int at = 0; at < 70; ++at)
            announcer.listen(cj::instance_id(std::to_string(at)), true, chunks);
        CHECK(announcer.listener_count() == 64);
    }
}
