/*! @file
 * @brief What the key-value service holds of a fencing token; pure.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_TOKEN_RECORD_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_TOKEN_RECORD_HPP

#include <cstdlib>
#include <string>

#include "coursejunction/core/types.hpp"

namespace coursejunction::internal
{

/*! @brief A token and the process that took it. */
struct token_record
{
    fencing_token token;
    std::string owner;
};

/*! @brief Writes a record. */
[[nodiscard]] inline std::string format_token(const token_record& from)
{
    return std::to_string(from.token.value()) + " " + from.owner;
}

/*! @brief Reads a record; it is empty when the text is none. */
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
