/*! @file
 * @brief The stored form of a fencing token in the key-value service; pure.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_TOKEN_RECORD_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_TOKEN_RECORD_HPP

#include <cstdlib>
#include <string>

#include "coursejunction/core/types.hpp"

namespace coursejunction::internal
{

/*! @brief A token and the process that acquired it. */
struct token_record
{
    fencing_token token;
    std::string owner;
};

/*! @brief Formats a record as `<token> <owner>`. */
[[nodiscard]] inline std::string format_token(const token_record& record)
{
    return std::to_string(record.token.value()) + " " + record.owner;
}

/*! @brief Parses a record; its token is empty if the text is not valid. */
[[nodiscard]] inline token_record parse_token(const std::string& text)
{
    constexpr int decimal = 10;
    const auto space = text.find(' ');
    if (space == std::string::npos)
        return {};
    return {fencing_token(std::strtoull(text.c_str(), nullptr, decimal)),
            text.substr(space + 1)};
}

} // namespace coursejunction::internal

#endif
