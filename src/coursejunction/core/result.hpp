/*! @file
 * @brief Outcomes as values.
 */
#ifndef COURSEJUNCTION_CORE_RESULT_HPP
#define COURSEJUNCTION_CORE_RESULT_HPP

#include <cstdint>
#include <string>

#include <boost/outcome.hpp>

#include "coursejunction/core/fwd.hpp"

namespace coursejunction
{

/*! @brief Kinds of failure a caller can act on. */
enum class error_kind : std::uint8_t
{
    invalid,     /*!< Input is wrong; the same input fails again. */
    not_found,   /*!< The named thing does not exist. */
    conflict,    /*!< Another writer was first. */
    unavailable, /*!< An outside system did not answer; nothing was done. */
    unknown,     /*!< An outside system may or may not have acted. */
    refused      /*!< An outside system said no. */
};

/*! @brief A failure, with a line for people. */
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
