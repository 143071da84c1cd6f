/*! @file
 * @brief Forward declarations of the rollout module.
 */
#ifndef COURSEJUNCTION_ROLLOUT_FWD_HPP
#define COURSEJUNCTION_ROLLOUT_FWD_HPP

#include <cstdint>

namespace coursejunction
{

enum class replica_phase : std::uint8_t;
enum class replica_action : std::uint8_t;
enum class report_order : std::uint8_t;
struct replica_target;
struct upstream_candidate;
class replica;
class permit_table;
class fence;

} // namespace coursejunction

#endif
