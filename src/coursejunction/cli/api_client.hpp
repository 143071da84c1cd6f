/*! @file
 * @brief HTTP client of the operators' API, for the command-line tool.
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
    failed = 1,      /*!< Another error, or a malformed response. */
    usage = 2,       /*!< The command line or the input is wrong. */
    not_found = 3,   /*!< The named resource does not exist. */
    conflict = 4,    /*!< Another operator changed it first. */
    unavailable = 5, /*!< The entry is unavailable; nothing was changed. */
    unknown = 6,     /*!< The change may or may not take effect. */
    timed_out = 7    /*!< Not converged within the timeout. */
};

/*! @brief Response of the API, or why there is none. */
struct api_response
{
    cli_exit code{cli_exit::failed};
    int status{0}; /*!< HTTP status; 0 without a response. */
    std::string body;
    std::string message; /*!< Error message, empty on success. */

    [[nodiscard]] bool ok() const { return code == cli_exit::done; }
};

/*! @brief Calls the API of one entry. */
class api_client
{
public:
    /*! @param entry_url Base URL of an entry.
     * @param operator_token Bearer token of the API. */
    api_client(std::string entry_url, std::string operator_token);

    /*! @brief Makes one call and waits for the response. */
    [[nodiscard]] api_response
    call(const std::string& method, const std::string& path,
         const std::string& body = {},
         milliseconds timeout = default_timeout) const;

    /*! @brief Makes a GET call, and repeats it for up to `max_unavailable`
     * while the entry answers 503: an entry that has just started answers it
     * until it has read its configuration. */
    [[nodiscard]] api_response read(const std::string& path) const;

private:
    static constexpr milliseconds default_timeout{10'000};
    /*! @brief Longer than a failed first read of the configuration and its
     * repetitions take while the key-value service is healthy. */
    static constexpr milliseconds max_unavailable{5'000};
    static constexpr milliseconds retry_interval{100};

    std::string base_url;
    std::string token;
};

} // namespace coursejunction

#endif
