/*! @file
 * @brief Declares the types of the run module.
 */
#ifndef COURSEJUNCTION_RUN_FWD_HPP
#define COURSEJUNCTION_RUN_FWD_HPP

#include <cstdint>

namespace coursejunction
{

enum class admission : std::uint8_t;
class request_content;
class run_registry;
class retry_budget;
class retry_window;

} // namespace coursejunction

#endif
