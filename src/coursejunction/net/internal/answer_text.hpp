/*! @file
 * @brief Serializes HTTP/1.1 responses; performs no I/O.
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

/*! @brief Ends a chunked body. */
inline constexpr const char* last_chunk = "0\r\n\r\n";

/*! @brief Returns the HTTP status for a request that cannot be parsed. */
[[nodiscard]] int refusal_status(const boost::system::error_code& fault);

/*! @brief Returns the serialized head of a response.
 * @param version 10 or 11, for HTTP/1.0 or HTTP/1.1.
 * @param length Length of the body; empty if not known.
 * @param close Whether the connection closes after the response. */
[[nodiscard]] std::string answer_head(int status, const header_list& headers,
                                      unsigned version,
                                      std::optional<std::size_t> length,
                                      bool close);

/*! @brief Returns the bytes framed as one chunk of a chunked body. */
[[nodiscard]] std::string chunk_text(std::string_view bytes);

} // namespace coursejunction::internal

#endif
