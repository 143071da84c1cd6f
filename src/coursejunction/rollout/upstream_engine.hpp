/*! @file
 * @brief What a side needs of the upstream beside it and of the origin.
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

/*! @brief What an upstream tells of itself. */
struct engine_report
{
    incarnation life;
    std::string model;
    std::uint64_t version{0};  /*!< Whole weights; 0 while any layer lacks. */
    std::uint64_t sequence{0}; /*!< Orders taken since its start. */
    bool loading{false};       /*!< An order is under way. */
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    std::uint64_t memory_used{0};
    std::uint64_t memory_size{0};
    double pace{1};
};

/*! @brief What became of an order to load. */
enum class load_outcome : std::uint8_t
{
    accepted,        /*!< It is under way. */
    already_applied, /*!< It holds already. */
    conflict,        /*!< The upstream's state was another one. */
    refused,         /*!< It will not be taken as it is. */
    unknown          /*!< No answer came; it may have been taken. */
};

/*! @brief What an order does with requests that run. */
enum class load_method : std::uint8_t
{
    drain, /*!< They finish first; nothing new is taken meanwhile. */
    abort  /*!< They are cut off; entries resume them elsewhere. */
};

/*! @brief A version of a model. */
struct model_version
{
    std::string model;
    std::uint64_t version{0};

    /*! @brief Returns the name by which sides are ranked for this version. */
    [[nodiscard]] std::string rank_key() const
    {
        return model + std::to_string(version);
    }

    friend bool operator==(const model_version&,
                           const model_version&) = default;
};

/*! @brief Calls of the upstream on the same instance; every callback comes on
 * the loop's thread, once. */
template <typename Engine>
concept Staging_engine = requires(
    Engine& engine, const std::string& model, chunk_index chunk,
    std::string bytes, const model_version& what, std::uint64_t sequence,
    std::function<void(result<engine_report>)> reported,
    std::function<void(result<std::vector<chunk_index>>)> listed,
    std::function<void(result<std::string>)> got, std::function<void(bool)> put,
    std::function<void(load_outcome)> ordered)
{
    engine.report(reported);
    engine.staged(model, listed);
    engine.staged_chunk(model, chunk, got);
    engine.stage(model, chunk, bytes, put);
    engine.load(what, sequence, load_method::drain, ordered);
};

/*! @brief Calls of the origin of weights at an address. */
template <typename Origin>
concept Weight_origin = requires(Origin& origin, const std::string& address,
                                 const model_version& what, chunk_index chunk,
                                 std::function<void(result<manifest>)> listed,
                                 std::function<void(result<std::string>)> got)
{
    origin.chunks(address, what, listed);
    origin.chunk(address, what, chunk, got);
};

} // namespace coursejunction

#endif
