/*! @file
 * @brief Bytes of an HTTP/1.1 answer; pure.
 */
#ifndef COURSEJUNCTION_NET_INTERNAL_ANSWER_TEXT_HPP
#define COURSEJUNCTION_NET_INTERNAL_ANSWER_TEXT_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <boost/system/error_code.hpp>

#include "coursejunction/net/header_list.hpp"

namespace coursejunction::internal
{

/*! @brief Ends a body that was sent in chunks. */
inline constexpr const char* last_chunk = "0\r\n\r\n";

/*! @brief Returns the status for input that cannot be read. */
[[nodiscard]] int refusal_status(const boost::system::error_code& fault);

/*! @brief Returns the bytes of a head.
 * @param version 10 or 11, for HTTP/1.0 or HTTP/1.1.
 * @param length Of the body; nothing when it is not known.
 * @param close Whether the connection closes after the answer. */
[[nodiscard]] std::string answer_head(int status, const header_list& headers,
                                      unsigned version,
                                      std::optional<std::size_t> length,
                                      bool close);

/*! @brief Returns bytes as one chunk of a body. */
[[nodiscard]] std::string chunk_text(std::string_view bytes);

} // namespace coursejunction::internal

#endif
