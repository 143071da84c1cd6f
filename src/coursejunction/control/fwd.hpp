/*! @file
 * @brief Declares the types of the control module.
 */
#ifndef COURSEJUNCTION_CONTROL_FWD_HPP
#define COURSEJUNCTION_CONTROL_FWD_HPP

#include <cstdint>

namespace coursejunction
{

class configuration_view;
struct stored_value;
enum class swap_outcome : std::uint8_t;
struct write_result;
template <typename Store>
class configuration_writer;

} // namespace coursejunction

#endif
