/*! @file
 * @brief Texts of requests and responses of the HTTP server; performs no I/O.
 */
#ifndef COURSEJUNCTION_NET_INTERNAL_HTTP_TEXT_HPP
#define COURSEJUNCTION_NET_INTERNAL_HTTP_TEXT_HPP

#include <string>
#include <string_view>

#include "coursejunction/net/http_server.hpp"

namespace coursejunction::internal
{

/*! @brief Returns a text with its ASCII letters in lower case. */
[[nodiscard]] std::string to_lower(std::string text);

/*! @brief Decodes `%XX` and `+` in a query value. */
[[nodiscard]] std::string percent_decoded(const std::string& text);

/*! @brief Returns a response's head without its framing and its last, empty
 * line. */
[[nodiscard]] std::string head_text(int status, std::string_view content_type,
                                    const header_map& headers);

} // namespace coursejunction::internal

#endif
