/*! @file
 * @brief Turns messages into frame heads and back with cereal.
 */
#ifndef COURSEJUNCTION_WIRE_CODEC_HPP
#define COURSEJUNCTION_WIRE_CODEC_HPP

#include <string>
#include <string_view>

#include "coursejunction/core/result.hpp"
#include "coursejunction/wire/message.hpp"

namespace coursejunction
{

/*! @brief Returns the head of a message.
 * @tparam Message One of the structs of `message`. */
template <typename Message>
[[nodiscard]] std::string encode(const Message& from);

/*! @brief Reads a head. No length in it is trusted: a run longer than what is
 * left of the head is refused before memory is taken for it.
 * @tparam Message One of the structs of `message`.
 * @return The message, or `refused`. */
template <typename Message>
[[nodiscard]] result<Message> decode(std::string_view head);

} // namespace coursejunction

#endif
