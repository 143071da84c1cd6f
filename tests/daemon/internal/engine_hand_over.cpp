#include "coursejunction/daemon/internal/engine_hand_over.hpp"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "transfer/fixtures.hpp"

namespace cj = coursejunction;
namespace ci = coursejunction::internal;

namespace
{

/*! @brief Keeps what is handed over, until the test answers. */
struct waiting_engine
{
    using answer = std::function<void(bool)>;

    void stage_manifest(const cj::digest&, const std::string&, answer done)
    {
        manifests.push_back(std::move(done));
    }

    void stage_chunk(const cj::digest&, cj::chunk_index chunk,
                     const std::string&, answer done)
    {
        chunks.push_back(chunk);
        answers.push_back(std::move(done));
    }

    std::vector<answer> manifests;
    std::vector<cj::chunk_index> chunks;
    std::vector<answer> answers;
};

} // namespace

SCENARIO("an engine gets the manifest, then every chunk", "[daemon]")
{
    const auto bytes = fixtures::model_bytes(6);
    const auto chunks =
        std::make_shared<cj::chunk_store>(fixtures::manifest_of(bytes));
    for (cj::chunk_index at = 0; at < 6; ++at)
        chunks->add(at, bytes.substr(at * fixtures::chunk_bytes,
                                     fixtures::chunk_bytes));
    waiting_engine engine;
    int whole = 0;
    ci::engine_hand_over<waiting_engine> hand_over(
        engine, [&](const cj::digest&) { ++whole; });
    hand_over.begin(chunks->get_manifest().id(), chunks);
    hand_over.move_on();
    hand_over.move_on();
    REQUIRE(engine.manifests.size() == 1);
    CHECK(engine.chunks.empty());

    GIVEN("an engine that does not take the manifest")
    {
        engine.manifests[0](false);
        CHECK(engine.chunks.empty());
        hand_over.move_on();
        THEN("it is offered again")
        {
            CHECK(engine.manifests.size() == 2);
        }
    }
    GIVEN("an engine that takes all")
    {
        engine.manifests[0](true);
        THEN("few are under way at once")
        {
            CHECK(engine.chunks.size() == ci::hand_over_limit);
        }
        for (std::size_t at = 0; at < engine.answers.size(); ++at)
            std::exchange(engine.answers[at], nullptr)(true);
        THEN("it is told once that all are there")
        {
            CHECK(engine.chunks.size() == 6);
            CHECK(hand_over.size() == 6);
            CHECK(whole == 1);
        }
        AND_WHEN("it lost them")
        {
            hand_over.again();
            CHECK(hand_over.size() == 0);
            hand_over.move_on();
            THEN("it begins with the manifest")
            {
                CHECK(engine.manifests.size() == 2);
            }
        }
    }
    GIVEN("an engine that refuses a chunk")
    {
        engine.manifests[0](true);
        engine.answers[0](false);
        THEN("the next turn offers others, then that one")
        {
            CHECK(engine.chunks.size() == 4);
            hand_over.move_on();
            CHECK(engine.chunks.size() == 5);
            engine.answers[1](true);
            engine.answers[2](true);
            CHECK(engine.chunks.back() == engine.chunks.front());
        }
    }
    GIVEN("answers that come after a new beginning")
    {
        engine.manifests[0](true);
        const auto late = engine.answers[0];
        hand_over.again();
        late(true);
        CHECK(hand_over.size() == 0);
        hand_over.stop();
        engine.answers[1](true);
        CHECK(hand_over.size() == 0);
        CHECK(whole == 0);
    }
}
