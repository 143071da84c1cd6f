#include "coursejunction/daemon/internal/engine_stager.hpp"

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
        std::make_shared<cj::staging>(fixtures::manifest_of(bytes));
    for (cj::chunk_index at = 0; at < 6; ++at)
        chunks->add(at, bytes.substr(at * fixtures::chunk_bytes,
                                     fixtures::chunk_bytes));
    waiting_engine engine;
    int whole = 0;
    ci::engine_stager<waiting_engine> stager(engine, [&](const cj::digest&)
                                             { ++whole; });
    stager.start(chunks->of().id(), chunks);
    stager.advance();
    stager.advance();
    REQUIRE(engine.manifests.size() == 1);
    CHECK(engine.chunks.empty());

    GIVEN("an engine that does not take the manifest")
    {
        engine.manifests[0](false);
        CHECK(engine.chunks.empty());
        stager.advance();
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
            CHECK(engine.chunks.size() == ci::max_staging_calls);
        }
        for (std::size_t at = 0; at < engine.answers.size(); ++at)
            std::exchange(engine.answers[at], nullptr)(true);
        THEN("it is told once that all are there")
        {
            CHECK(engine.chunks.size() == 6);
            CHECK(stager.staged_count() == 6);
            CHECK(whole == 1);
        }
        AND_WHEN("it lost them")
        {
            stager.restart();
            CHECK(stager.staged_count() == 0);
            stager.advance();
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
            stager.advance();
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
        stager.restart();
        late(true);
        CHECK(stager.staged_count() == 0);
        stager.stop();
        engine.answers[1](true);
        CHECK(stager.staged_count() == 0);
        CHECK(whole == 0);
    }
}
