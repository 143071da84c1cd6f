/*! @file
 * @brief What the head of a valid response may contain (RFC 9110, RFC 9112);
 * for the parsers that accept more.
 */
#ifndef COURSEJUNCTION_NET_INTERNAL_RESPONSE_HEAD_HPP
#define COURSEJUNCTION_NET_INTERNAL_RESPONSE_HEAD_HPP

#include <algorithm>
#include <string_view>

namespace coursejunction::internal
{

/*! @brief Returns whether a status is that of a final response (RFC 9110
 * section 15). 101 is none: no call asks for another protocol. */
[[nodiscard]] constexpr bool is_final_status(int status)
{
    constexpr int first = 200;
    constexpr int last = 599;
    return status >= first && status <= last;
}

/*! @brief Returns whether a character may occur in the name of a field (RFC
 * 9110 section 5.6.2). */
[[nodiscard]] constexpr bool is_token_character(char character)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return (character >= '0' && character <= '9') ||
           (character >= 'A' && character <= 'Z') ||
           (character >= 'a' && character <= 'z') ||
           symbols.find(character) != std::string_view::npos;
}

/*! @brief Returns whether a character may occur in the value of a field (RFC
 * 9110 section 5.5). */
[[nodiscard]] constexpr bool is_value_character(char character)
{
    const auto code = static_cast<unsigned char>(character);
    constexpr unsigned char last_control = 0x1f;
    constexpr unsigned char erase = 0x7f;
    return character == '\t' || (code > last_control && code != erase);
}

/*! @brief Returns whether a line of a head, with its end, is a field. One that
 * continues the line before it is not (RFC 9112 section 5.2). */
[[nodiscard]] constexpr bool is_field_line(std::string_view line)
{
    constexpr std::string_view line_end = "\r\n";
    if (!line.ends_with(line_end))
        return false;
    line.remove_suffix(line_end.size());
    const auto colon = line.find(':');
    if (colon == 0 || colon == std::string_view::npos)
        return false;
    const auto name = line.substr(0, colon);
    const auto value = line.substr(colon + 1);
    return std::all_of(name.begin(), name.end(), is_token_character) &&
           std::all_of(value.begin(), value.end(), is_value_character);
}

/*! @brief Returns whether a transfer coding is one that a call can decode: no
 * other than `chunked` was offered (RFC 9112 section 7). */
[[nodiscard]] constexpr bool is_chunked(std::string_view coding)
{
    constexpr std::string_view chunked = "chunked";
    constexpr char to_lower = 'a' - 'A';
    return std::equal(coding.begin(), coding.end(), chunked.begin(),
                      chunked.end(),
                      [](char given, char wanted) {
                          return given == wanted || given + to_lower == wanted;
                      });
}

} // namespace coursejunction::internal

#endif
