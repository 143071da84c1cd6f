/*! @file
 * @brief Declares the types of the wire module.
 */
#ifndef COURSEJUNCTION_WIRE_FWD_HPP
#define COURSEJUNCTION_WIRE_FWD_HPP

#include <cstdint>

namespace coursejunction
{

enum class frame_type : std::uint8_t;
struct frame;
class frame_sealer;
class frame_opener;

} // namespace coursejunction

#endif
