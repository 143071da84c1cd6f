/*! @file
 * @brief Errors as return values.
 */
#ifndef COURSEJUNCTION_CORE_RESULT_HPP
#define COURSEJUNCTION_CORE_RESULT_HPP

#include <cstdint>
#include <string>

#include <boost/outcome.hpp>

#include "coursejunction/core/fwd.hpp"

namespace coursejunction
{

/*! @brief Kinds of failure that callers handle differently. */
enum class error_kind : std::uint8_t
{
    invalid,     /*!< The input is invalid; the same input fails again. */
    not_found,   /*!< The requested object does not exist. */
    conflict,    /*!< A concurrent writer was first. */
    unavailable, /*!< An external system did not respond and did nothing. */
    unknown,     /*!< An external system may or may not have acted. */
    refused      /*!< The request or the received data was rejected. */
};

/*! @brief A failure with a human-readable message. */
struct error
{
    error_kind kind;
    std::string message;
};

/*! @brief A value or an error. */
template <typename Value>
using result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<Value, error>;

/*! @brief Makes a failed result. */
[[nodiscard]] inline auto failure(error_kind kind, std::string message)
{
    return BOOST_OUTCOME_V2_NAMESPACE::failure(error{kind, std::move(message)});
}

} // namespace coursejunction

#endif
