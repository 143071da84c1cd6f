/*! @file
 * @brief Interfaces of the upstream on the same instance and of the origin of
 * weights, as a sidecar uses them.
 */
#ifndef COURSEJUNCTION_ROLLOUT_UPSTREAM_ENGINE_HPP
#define COURSEJUNCTION_ROLLOUT_UPSTREAM_ENGINE_HPP

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "coursejunction/core/result.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/transfer/manifest.hpp"

namespace coursejunction
{

/*! @brief An upstream's report of its state. */
struct engine_report
{
    incarnation life; /*!< Empty if the upstream reports none. */
    std::string model;
    /*! @brief Of the weights in all layers; 0 if a layer is missing or
     * differs. */
    std::uint64_t version{0};
    std::uint64_t sequence{0}; /*!< Load commands accepted since its start. */
    bool loading{false};       /*!< A load command is in progress. */
    std::uint32_t running{0};  /*!< Requests in progress. */
    std::uint32_t waiting{0};  /*!< Requests in its queue. */
    std::uint64_t memory_used{0}; /*!< KV cache in use. */
    std::uint64_t memory_size{0}; /*!< KV cache, in the same unit. */
    double pace{1};               /*!< How many times slower than nominal. */
};

/*! @brief Outcome of a load command. */
enum class load_outcome : std::uint8_t
{
    accepted,        /*!< Loading has begun. */
    already_applied, /*!< The upstream already serves the version. */
    conflict,        /*!< Another command was accepted since the report. */
    refused,         /*!< It was rejected, or certainly not received. */
    unknown          /*!< No response; it may have been accepted. */
};

/*! @brief What reading back all staged chunks of a version found. */
enum class staged_result : std::uint8_t
{
    intact,
    corrupt,   /*!< A chunk is missing or does not match the manifest. */
    unreadable /*!< The upstream did not respond. */
};

/*! @brief What a load command does with requests in progress. */
enum class load_method : std::uint8_t
{
    drain, /*!< They finish first; new ones are not accepted. */
    abort  /*!< They are aborted; entries resume them elsewhere. */
};

/*! @brief A version of a model. */
struct model_version
{
    std::string model;
    std::uint64_t version{0};

    /*! @brief Returns the rendezvous key by which sidecars are ranked for this
     * version. */
    [[nodiscard]] std::string rank_key() const
    {
        return model + std::to_string(version);
    }

    friend bool operator==(const model_version&,
                           const model_version&) = default;
};

/*! @brief Calls of the upstream on the same instance. `report` reads its state,
 * `staged` lists the chunks in its staging area, `staged_chunk` reads one back
 * and `stage` writes one. `load` sends a load command, which the upstream
 * refuses unless `sequence` is that of its latest report. It also refuses to
 * load the version that it holds; `unload` makes it give its layers of that
 * version up. Every callback is called once, on the thread of the event loop.
 */
template <typename Engine>
concept Staging_engine = requires(
    Engine& engine, const std::string& model, chunk_index chunk,
    std::string bytes, const model_version& version_id, std::uint64_t sequence,
    std::function<void(result<engine_report>)> on_report,
    std::function<void(result<std::vector<chunk_index>>)> on_list,
    std::function<void(result<std::string>)> on_bytes,
    std::function<void(bool)> on_stored,
    std::function<void(load_outcome)> on_outcome)
{
    engine.report(on_report);
    engine.staged(model, on_list);
    engine.staged_chunk(model, chunk, on_bytes);
    engine.stage(model, chunk, bytes, on_stored);
    engine.load(version_id, sequence, load_method::drain, on_outcome);
    engine.unload(version_id, sequence, on_outcome);
};

/*! @brief Calls of the origin of weights at an address. `chunks` fetches the
 * manifest of a version and `chunk` one chunk. Every callback is called once,
 * on the thread of the event loop. */
template <typename Origin>
concept Weight_origin = requires(
    Origin& origin, const std::string& address, const model_version& version_id,
    chunk_index chunk, std::function<void(result<manifest>)> on_list,
    std::function<void(result<std::string>)> on_bytes)
{
    origin.chunks(address, version_id, on_list);
    origin.chunk(address, version_id, chunk, on_bytes);
};

} // namespace coursejunction

#endif
