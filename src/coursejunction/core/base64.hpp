/*! @file
 * @brief Base64 encoding of RFC 4648, with padding; performs no I/O.
 */
#ifndef COURSEJUNCTION_CORE_BASE64_HPP
#define COURSEJUNCTION_CORE_BASE64_HPP

#include <string>
#include <string_view>

#include "coursejunction/core/result.hpp"

namespace coursejunction
{

[[nodiscard]] std::string to_base64(std::string_view bytes);

/*! @brief Decodes the output of `to_base64`.
 * @return The bytes, or `refused` if the text is not valid base64. */
[[nodiscard]] result<std::string> from_base64(std::string_view text);

} // namespace coursejunction

#endif
