/*! @file
 * @brief Main function of the daemon, shared with the test build that is faulty
 * on purpose.
 */
#ifndef COURSEJUNCTION_DAEMON_RUN_DAEMON_HPP
#define COURSEJUNCTION_DAEMON_RUN_DAEMON_HPP

#include "coursejunction/daemon/transfer_service.hpp"

namespace coursejunction
{

/*! @brief Version of the package. */
inline constexpr const char* package_version = "0.1.0";

/*! @brief Exit codes of the daemon. */
enum class daemon_exit : int
{
    stopped = 0,           /*!< Stopped as planned, or `--check` passed. */
    ports_unavailable = 1, /*!< The ports could not be opened. */
    invalid_settings = 2   /*!< The command line or the settings are wrong. */
};

/*! @brief Reads the command line and the settings, then runs until stopped.
 * @param filter Modifies chunks before they are sent; empty in releases.
 * @return A `daemon_exit` code. */
[[nodiscard]] int run_daemon(int argc, char** argv, chunk_filter filter = {});

} // namespace coursejunction

#endif
