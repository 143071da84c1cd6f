/*! @file
 * @brief Stages the chunks of a version in an engine.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_ENGINE_STAGER_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_ENGINE_STAGER_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <utility>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/transfer/chunk_store.hpp"

namespace coursejunction::internal
{

/*! @brief Maximum number of staging calls in progress at the same time. */
inline constexpr std::size_t max_staging_calls = 4;

/*! @brief Stages a version in the engine: first the manifest, then the chunks,
 * a few at the same time. A call that fails is repeated by a later `advance`.
 * @tparam Engine Has `stage_manifest` and `stage_chunk`, which call back with
 * whether they succeeded. */
template <typename Engine>
class engine_stager
{
public:
    /*! @brief Called once when the engine has every chunk. */
    using staged_callback = std::function<void(const digest&)>;

    engine_stager(Engine& to, staged_callback call)
        : engine(to), on_staged(std::move(call))
    {
    }

    /*! @brief Starts staging a version; the chunks already held are queued. */
    void start(const digest& of, std::shared_ptr<const chunk_store> held)
    {
        version = of;
        chunks = std::move(held);
        restart();
    }

    /*! @brief Starts from the beginning, after the engine lost what was staged.
     */
    void restart()
    {
        reset();
        const auto all = chunks->held_chunks();
        queued = {all.begin(), all.end()};
    }

    /*! @brief Stops staging; late responses are ignored. */
    void stop()
    {
        reset();
        queued.clear();
        chunks.reset();
    }

    /*! @brief Queues a chunk that has become available. */
    void enqueue(chunk_index chunk) { queued.push_back(chunk); }

    /*! @brief Starts as many calls as the limit allows. */
    void advance()
    {
        if (!manifest_staged)
            return stage_manifest_once();
        while (in_progress < max_staging_calls && !queued.empty())
        {
            const auto chunk = queued.front();
            queued.pop_front();
            ++in_progress;
            engine.stage_chunk(
                version, chunk, *chunks->find(chunk),
                [this, chunk, call_generation = generation](bool ok)
                { chunk_done(chunk, call_generation, ok); });
        }
    }

    /*! @brief Returns the number of chunks that the engine has accepted. */
    [[nodiscard]] std::size_t staged_count() const noexcept
    {
        return staged_chunk_count;
    }

private:
    void reset()
    {
        ++generation;
        in_progress = 0;
        staged_chunk_count = 0;
        manifest_staged = false;
        staged_reported = false;
    }

    void stage_manifest_once()
    {
        if (in_progress > 0)
            return;
        ++in_progress;
        engine.stage_manifest(version, chunks->get_manifest().text(),
                              [this, call_generation = generation](bool ok)
                              {
                                  if (call_generation != generation)
                                      return;
                                  --in_progress;
                                  manifest_staged = ok;
                                  if (ok)
                                      advance();
                              });
    }

    void chunk_done(chunk_index chunk, std::uint64_t call_generation, bool ok)
    {
        if (call_generation != generation)
            return;
        --in_progress;
        if (!ok)
            return queued.push_back(chunk); // The next `advance` retries.
        ++staged_chunk_count;
        if (staged_chunk_count == chunks->get_manifest().size() &&
            !staged_reported)
        {
            staged_reported = true;
            return on_staged(version);
        }
        advance();
    }

    Engine& engine;
    staged_callback on_staged;
    digest version;
    std::shared_ptr<const chunk_store> chunks;
    std::deque<chunk_index> queued;
    std::size_t in_progress{0};
    std::size_t staged_chunk_count{0};
    bool manifest_staged{false};
    bool staged_reported{false};
    /*! @brief Incremented by each start, to recognise late responses. */
    std::uint64_t generation{0};
};

} // namespace coursejunction::internal

#endif
