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

/*! @brief Options and arguments of the command line. */
struct cli_options
{
    std::string entry;    /*!< Base URL of an entry. */
    std::string token;    /*!< Bearer token of the API. */
    std::string file;     /*!< Path of a deployment in JSON, of `apply`. */
    std::string name;     /*!< Deployment, write or quarantined content. */
    std::string revision; /*!< Decimal; empty when not given. */
    bool json{false};     /*!< Print JSON instead of tables. */
    bool wait{false};     /*!< Wait until all replicas serve. */
    bool follow{false};   /*!< Go on printing changes or progress. */
    milliseconds timeout{600'000}; /*!< Of the wait for convergence. */
};

/*! @brief Returns the part of the help text that lists commands and exit
 * codes. */
[[nodiscard]] std::string command_help();

/*! @brief Runs a command.
 * @param command Its name, such as `apply` or `status`.
 * @param out Receives the results.
 * @param err Receives error messages and progress.
 * @return The exit code of the tool. */
[[nodiscard]] cli_exit run_command(const std::string& command,
                                   const cli_options& options,
                                   std::ostream& out, std::ostream& err);

} // namespace coursejunction

#endif
