/*! @file
 * @brief A source that tells which version of a model was named last, beside
 * the platform's store.
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

/*! @brief The newest version that a source can give. */
struct offered_version
{
    std::uint64_t version{0};
    std::size_t chunks{0};
    std::size_t chunk_bytes{0};
    std::size_t answer_bytes{0}; /*!< What it cost to learn this. */
};

/*! @brief Asks the source at an address; answers come on the loop's thread,
 * once: the version, `refused` for an answer that cannot be read, or
 * `unavailable`. */
template <typename Source>
concept Version_source = requires(
    Source& source, const std::string& address, const std::string& model,
    std::function<void(result<offered_version>)> done)
{
    source.newest(address, model, done);
};

} // namespace coursejunction

#endif
