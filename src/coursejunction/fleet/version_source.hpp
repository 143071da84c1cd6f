/*! @file
 * @brief A source of the newest published version of a model in addition to the
 * platform's store: the origin of the model weights.
 */
#ifndef COURSEJUNCTION_FLEET_VERSION_SOURCE_HPP
#define COURSEJUNCTION_FLEET_VERSION_SOURCE_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "coursejunction/core/result.hpp"

namespace coursejunction
{

/*! @brief The newest version of a model that a source offers. */
struct offered_version
{
    std::uint64_t version{0};
    std::size_t chunks{0};
    std::size_t chunk_bytes{0};
    std::size_t answer_bytes{0}; /*!< Size of the answer itself. */
};

/*! @brief Queries the source at an address. `done` is called once, on the
 * loop's thread, with the newest version, `refused` for an answer that cannot
 * be parsed, or `unavailable`. */
template <typename Source>
concept Version_source = requires(
    Source& source, const std::string& address, const std::string& model,
    std::function<void(result<offered_version>)> done)
{
    source.newest(address, model, done);
};

} // namespace coursejunction

#endif
