/*! @file
 * @brief Structured logging of state changes and decisions on requests.
 */
#ifndef COURSEJUNCTION_CORE_LOG_HPP
#define COURSEJUNCTION_CORE_LOG_HPP

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace coursejunction::log
{

/*! @brief Name and value of a log field. */
using field = std::pair<std::string_view, std::string>;

/*! @brief Rate limit of `decision`, in lines per second; further lines are
 * dropped and counted. An entry handles about 60 requests per second and logs
 * three lines for each. */
inline constexpr double decisions_per_second = 250;

/*! @brief Rate limit of `problem`, in lines per second. It is separate, so that
 * lines about successful requests never displace those about failed ones. */
inline constexpr double problems_per_second = 250;

/*! @brief Starts logging to standard output, one JSON object per line. A
 * background thread writes the lines; if the reader stops reading, lines are
 * dropped and the process is not blocked.
 * @param instance Id that is written to each line.
 * @param level One of `debug`, `info`, `warn`, `error`, `off`. */
void open(std::string_view instance, std::string_view level);

/*! @brief Logs a change of state at level `info`.
 * @param event Name of the event in snake_case.
 * @param fields Named values. */
void state(std::string_view event, std::initializer_list<field> fields = {});

/*! @brief Logs a change of state that an operator should look at, at level
 * `warn`. */
void warning(std::string_view event, std::initializer_list<field> fields = {});

/*! @brief Logs a decision on a request at level `info`; rate-limited. */
void decision(std::string_view event, std::initializer_list<field> fields = {});

/*! @brief Logs at level `warn` that a request fails, is refused or is resent;
 * rate-limited separately from `decision`. */
void problem(std::string_view event, std::initializer_list<field> fields = {});

} // namespace coursejunction::log

#endif
