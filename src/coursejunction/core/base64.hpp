/*! @file
 * @brief Bytes as text, in the alphabet of RFC 4648 with padding; pure.
 */
#ifndef COURSEJUNCTION_CORE_BASE64_HPP
#define COURSEJUNCTION_CORE_BASE64_HPP

#include <string>
#include <string_view>

#include "coursejunction/core/result.hpp"

namespace coursejunction
{

[[nodiscard]] std::string to_base64(std::string_view bytes);

/*! @brief Reads what `to_base64` makes.
 * @return The bytes, or `refused`. */
[[nodiscard]] result<std::string> from_base64(std::string_view text);

} // namespace coursejunction

#endif
