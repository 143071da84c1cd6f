/*! @file
 * @brief Hands the chunks of a version over to an engine.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_ENGINE_HAND_OVER_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_ENGINE_HAND_OVER_HPP

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

/*! @brief Chunks handed over at once. */
inline constexpr std::size_t hand_over_limit = 4;

/*! @brief Hands over first the manifest, then each chunk, a few at once, and
 * says when the engine has all of them.
 * @tparam Engine Has `stage_manifest` and `stage_chunk`, which tell later
 * whether it worked. */
template <typename Engine>
class engine_hand_over
{
public:
    /*! @brief Called once when the engine has every chunk. */
    using whole_callback = std::function<void(const digest&)>;

    engine_hand_over(Engine& to, whole_callback call)
        : engine(to), whole(std::move(call))
    {
    }

    /*! @brief Begins with a version; what it holds already is queued. */
    void begin(const digest& of, std::shared_ptr<const chunk_store> held)
    {
        version = of;
        chunks = std::move(held);
        again();
    }

    /*! @brief Begins anew, after the engine lost what it had. */
    void again()
    {
        reset();
        const auto all = chunks->held_chunks();
        waiting = {all.begin(), all.end()};
    }

    /*! @brief Ends it; answers still to come are ignored. */
    void stop()
    {
        reset();
        waiting.clear();
        chunks.reset();
    }

    /*! @brief Queues a chunk that is held now. */
    void offer(chunk_index chunk) { waiting.push_back(chunk); }

    /*! @brief Hands over what there is room for. */
    void move_on()
    {
        if (!manifest_done)
            return hand_over_manifest();
        while (open < hand_over_limit && !waiting.empty())
        {
            const auto chunk = waiting.front();
            waiting.pop_front();
            ++open;
            engine.stage_chunk(version, chunk, *chunks->find(chunk),
                               [this, chunk, of = serial](bool ok)
                               { handed_over(chunk, of, ok); });
        }
    }

    /*! @brief Returns how many chunks the engine has taken. */
    [[nodiscard]] std::size_t size() const noexcept { return done; }

private:
    void reset()
    {
        ++serial;
        open = 0;
        done = 0;
        manifest_done = false;
        told = false;
    }

    void hand_over_manifest()
    {
        if (open > 0)
            return;
        ++open;
        engine.stage_manifest(version, chunks->get_manifest().text(),
                              [this, of = serial](bool ok)
                              {
                                  if (of != serial)
                                      return;
                                  --open;
                                  manifest_done = ok;
                                  if (ok)
                                      move_on();
                              });
    }

    void handed_over(chunk_index chunk, std::uint64_t of, bool ok)
    {
        if (of != serial)
            return;
        --open;
        if (!ok)
            return waiting.push_back(chunk); // The next tick tries again.
        ++done;
        if (done == chunks->get_manifest().size() && !told)
        {
            told = true;
            return whole(version);
        }
        move_on();
    }

    Engine& engine;
    whole_callback whole;
    digest version;
    std::shared_ptr<const chunk_store> chunks;
    std::deque<chunk_index> waiting;
    std::size_t open{0};
    std::size_t done{0};
    bool manifest_done{false};
    bool told{false};
    std::uint64_t serial{0}; /*!< Of this beginning; tells late answers. */
};

} // namespace coursejunction::internal

#endif
