/*! @file
 * @brief The commands of `coursejunctionctl`.
 */
#ifndef COURSEJUNCTION_CLI_COMMANDS_HPP
#define COURSEJUNCTION_CLI_COMMANDS_HPP

#include <iosfwd>
#include <string>
#include <vector>

#include "coursejunction/cli/api_client.hpp"

namespace coursejunction
{

/*! @brief What stands on the command line. */
struct cli_options
{
    std::string entry;
    std::string token;
    std::string file;
    std::string name;
    std::string revision;
    bool json{false};
    bool wait{false};
    bool follow{false};
    milliseconds timeout{600'000};
};

/*! @brief Returns one line a command, for the help text. */
[[nodiscard]] std::string command_help();

/*! @brief Runs a command.
 * @param command Its name, as `apply` or `status`.
 * @param out Where the answer goes.
 * @param err Where faults and progress go. */
[[nodiscard]] cli_exit run_command(const std::string& command,
                                   const cli_options& options,
                                   std::ostream& out, std::ostream& err);

} // namespace coursejunction

#endif
