/*! @file
 * @brief The command-line tool's way to the resource interface.
 */
#ifndef COURSEJUNCTION_CLI_API_CLIENT_HPP
#define COURSEJUNCTION_CLI_API_CLIENT_HPP

#include <string>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Exit codes of `coursejunctionctl`, for scripts. */
enum class cli_exit : int
{
    done = 0,
    failed = 1,      /*!< The answer makes no sense. */
    usage = 2,       /*!< The command line or the input is wrong. */
    not_found = 3,   /*!< The named thing does not exist. */
    conflict = 4,    /*!< Another operator was first. */
    unavailable = 5, /*!< Nobody answers; nothing was changed. */
    unknown = 6,     /*!< The change may or may not take effect. */
    timed_out = 7    /*!< The wait for convergence was over first. */
};

/*! @brief An answer of the interface. */
struct api_answer
{
    cli_exit code{cli_exit::failed};
    int status{0};
    std::string body;
    std::string message;

    [[nodiscard]] bool ok() const { return code == cli_exit::done; }
};

/*! @brief Calls one entry. */
class api_client
{
public:
    /*! @param entry Base URL of an entry.
     * @param secret The operators' token. */
    api_client(std::string entry, std::string secret);

    /*! @brief Makes one call and waits for its answer. */
    [[nodiscard]] api_answer call(const std::string& method,
                                  const std::string& path,
                                  const std::string& body = {},
                                  milliseconds timeout = default_timeout) const;

private:
    static constexpr milliseconds default_timeout{10'000};

    std::string base;
    std::string token;
};

} // namespace coursejunction

#endif
