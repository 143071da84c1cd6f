/*! @file
 * @brief Declares the types of the core module.
 */
#ifndef COURSEJUNCTION_CORE_FWD_HPP
#define COURSEJUNCTION_CORE_FWD_HPP

#include <cstdint>

namespace coursejunction
{

template <typename Tag, typename Value>
class strong;

struct error;
enum class error_kind : std::uint8_t;
class digest;
class request_content;
class shared_text;
class token_bucket;
class link_pacer;
class backoff;

} // namespace coursejunction

#endif
