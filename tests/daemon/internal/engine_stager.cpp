#include "coursejunction/daemon/internal/engine_stager.hpp"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "transfer/fixtures.hpp"

namespace cj = coursejunction;
namespace ci = coursejunction::internal;

namespace
{

/*! @brief Records staging calls; the test calls their callbacks. */
struct recording_engine
{
    using callback = std::function<void(bool)>;

    void stage_manifest(const cj::digest&, const std::string&, callback done)
    {
        manifest_callbacks.push_back(std::move(done));
    }

    void stage_chunk(const cj::digest&, cj::chunk_index chunk,
                     const std::string&, callback done)
    {
        chunks.push_back(chunk);
        chunk_callbacks.push_back(std::move(done));
    }

    std::vector<callback> manifest_callbacks;
    std::vector<cj::chunk_index> chunks;
    std::vector<callback> chunk_callbacks;
};

} // namespace

SCENARIO("a version is staged as the manifest, then every chunk", "[daemon]")
{
    const auto bytes = fixtures::model_bytes(6);
    const auto chunks =
        std::make_shared<cj::chunk_store>(fixtures::manifest_of(bytes));
    for (cj::chunk_index at = 0; at < 6; ++at)
        chunks->add(at, bytes.substr(at * fixtures::chunk_bytes,
                                     fixtures::chunk_bytes));
    recording_engine engine;
    int completed = 0;
    ci::engine_stager<recording_engine> stager(engine, [&](const cj::digest&)
                                               { ++completed; });
    stager.start(chunks->get_manifest().id(), chunks);
    stager.advance();
    stager.advance();
    REQUIRE(engine.manifest_callbacks.size() == 1);
    CHECK(engine.chunks.empty());

    GIVEN("an engine that rejects the manifest")
    {
        engine.manifest_callbacks[0](false);
        CHECK(engine.chunks.empty());
        stager.advance();
        THEN("the next advance stages it again")
        {
            CHECK(engine.manifest_callbacks.size() == 2);
        }
    }
    GIVEN("an engine that accepts everything")
    {
        engine.manifest_callbacks[0](true);
        THEN("the number of calls in progress is limited")
        {
            CHECK(engine.chunks.size() == ci::max_staging_calls);
        }
        for (std::size_t at = 0; at < engine.chunk_callbacks.size(); ++at)
            std::exchange(engine.chunk_callbacks[at], nullptr)(true);
        THEN("completion is reported once")
        {
            CHECK(engine.chunks.size() == 6);
            CHECK(stager.staged_count() == 6);
            CHECK(completed == 1);
        }
        AND_WHEN("the engine lost what was staged")
        {
            stager.restart();
            CHECK(stager.staged_count() == 0);
            stager.advance();
            THEN("staging starts with the manifest again")
            {
                CHECK(engine.manifest_callbacks.size() == 2);
            }
        }
    }
    GIVEN("an engine that rejects a chunk")
    {
        engine.manifest_callbacks[0](true);
        engine.chunk_callbacks[0](false);
        THEN("the other chunks are staged first, then that one")
        {
            CHECK(engine.chunks.size() == 4);
            stager.advance();
            CHECK(engine.chunks.size() == 5);
            engine.chunk_callbacks[1](true);
            engine.chunk_callbacks[2](true);
            CHECK(engine.chunks.back() == engine.chunks.front());
        }
    }
    GIVEN("responses that arrive after a restart or a stop are ignored")
    {
        engine.manifest_callbacks[0](true);
        const auto late = engine.chunk_callbacks[0];
        stager.restart();
        late(true);
        CHECK(stager.staged_count() == 0);
        stager.stop();
        engine.chunk_callbacks[1](true);
        CHECK(stager.staged_count() == 0);
        CHECK(completed == 0);
    }
}
