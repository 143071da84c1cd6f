/*! @file
 * @brief Declares the types of the resource module.
 */
#ifndef COURSEJUNCTION_RESOURCE_FWD_HPP
#define COURSEJUNCTION_RESOURCE_FWD_HPP

#include <cstdint>

namespace coursejunction
{

enum class rollout_objective : std::uint8_t;
struct placement;
struct deployment;
struct configuration_change;
class configuration;

} // namespace coursejunction

#endif
