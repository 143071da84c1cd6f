/*! @file
 * @brief Encodes messages as frame heads and decodes them, using cereal.
 */
#ifndef COURSEJUNCTION_WIRE_CODEC_HPP
#define COURSEJUNCTION_WIRE_CODEC_HPP

#include <string>
#include <string_view>

#include "coursejunction/core/result.hpp"
#include "coursejunction/wire/message.hpp"

namespace coursejunction
{

/*! @brief Encodes a message as a frame head.
 * @tparam Message One of the structs of `message`. */
template <typename Message>
[[nodiscard]] std::string encode(const Message& from);

/*! @brief Decodes a frame head. Lengths in it are not trusted: a string or list
 * that is longer than the rest of the head is refused before memory is
 * allocated for it.
 * @tparam Message One of the structs of `message`.
 * @return The message, or `refused` if the head is malformed. */
template <typename Message>
[[nodiscard]] result<Message> decode(std::string_view head);

} // namespace coursejunction

#endif
