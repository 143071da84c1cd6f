/*! @file
 * @brief Determines which sidecar gets a chunk first. Does no I/O.
 */
#ifndef COURSEJUNCTION_TRANSFER_UPLOAD_PRIORITY_HPP
#define COURSEJUNCTION_TRANSFER_UPLOAD_PRIORITY_HPP

#include <cstdint>
#include <limits>
#include <string_view>

#include "coursejunction/core/rendezvous.hpp"

namespace coursejunction
{

/*! @brief Priority of an upload; lower values are sent first. */
enum class upload_priority : std::uint8_t
{
    urgent, /*!< Another hall waits for its first copy. */
    early,  /*!< For the half of a hall that closes first. */
    late    /*!< For the other half. */
};

/*! @brief Returns the priority of uploads to a sidecar. Sidecars close one
 * after another to load a version, in the order of their rendezvous weights
 * for it, and those that close first need it first. If all received it at the
 * same moment, near the deadline of the version, all would have to close
 * together. */
[[nodiscard]] inline upload_priority
upload_priority_of(std::string_view version, std::string_view sidecar)
{
    const auto weight = rendezvous_weight(version, sidecar);
    constexpr auto half = std::numeric_limits<std::uint64_t>::max() / 2;
    return weight > half ? upload_priority::early : upload_priority::late;
}

} // namespace coursejunction

#endif
