/*! @file
 * @brief Which of the sides that wait for a chunk gets one first; pure.
 */
#ifndef COURSEJUNCTION_TRANSFER_UPLOAD_PRIORITY_HPP
#define COURSEJUNCTION_TRANSFER_UPLOAD_PRIORITY_HPP

#include <cstdint>
#include <limits>
#include <string_view>

#include "coursejunction/core/rendezvous.hpp"

namespace coursejunction
{

/*! @brief Place of an upload among those that wait. */
enum class upload_priority : std::uint8_t
{
    urgent, /*!< Another hall waits for its first copy. */
    early,  /*!< For the half of a hall that closes first. */
    late    /*!< For the other half. */
};

/*! @brief Returns the place of a side's uploads. Sides close one after another
 * to load a version, in the order of their weights under its name; those that
 * close first need it first. If all got it at the same moment, near the end of
 * the time that a version has, all would have to close together. */
[[nodiscard]] inline upload_priority
upload_priority_of(std::string_view version, std::string_view side)
{
    const auto weight = rendezvous_weight(version, side);
    constexpr auto half = std::numeric_limits<std::uint64_t>::max() / 2;
    return weight > half ? upload_priority::early : upload_priority::late;
}

} // namespace coursejunction

#endif
