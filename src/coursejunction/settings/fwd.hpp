/*! @file
 * @brief Declares the types of the settings module.
 */
#ifndef COURSEJUNCTION_SETTINGS_FWD_HPP
#define COURSEJUNCTION_SETTINGS_FWD_HPP

#include <cstdint>

namespace coursejunction
{

enum class role : std::uint8_t;
struct node_settings;
class ini_file;

} // namespace coursejunction

#endif
