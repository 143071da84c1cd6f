/*! @file
 * @brief Declares the types of the cli module.
 */
#ifndef COURSEJUNCTION_CLI_FWD_HPP
#define COURSEJUNCTION_CLI_FWD_HPP

namespace coursejunction
{

struct cli_options;
class api_client;
class rollout_progress;
enum class cli_exit : int;

} // namespace coursejunction

#endif
