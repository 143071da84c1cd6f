/*! @file
 * @brief Structured log lines: changes of state and decisions on requests.
 */
#ifndef COURSEJUNCTION_CORE_LOG_HPP
#define COURSEJUNCTION_CORE_LOG_HPP

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace coursejunction::log
{

/*! @brief One named value of a log line. */
using field = std::pair<std::string_view, std::string>;

/*! @brief Lines about requests that succeed, a second; more are dropped and
 * counted. An entry sees some 60 requests a second with three lines each. */
inline constexpr double decisions_per_second = 250;

/*! @brief Lines about requests that failed or were refused, a second; they
 * have an allowance of their own, so that success never crowds them out. */
inline constexpr double problems_per_second = 250;

/*! @brief Opens the log: one JSON object a line on standard output. Lines are
 * written by a thread of their own; when the reader stops reading, lines are
 * dropped and the process goes on.
 * @param instance Written into each line.
 * @param level One of `debug`, `info`, `warn`, `error`, `off`. */
void open(std::string_view instance, std::string_view level);

/*! @brief Writes a change of state.
 * @param event Name of the change in snake_case.
 * @param fields Named values. */
void state(std::string_view event, std::initializer_list<field> fields = {});

/*! @brief Writes a change of state that an operator should look at. */
void warning(std::string_view event, std::initializer_list<field> fields = {});

/*! @brief Writes a decision that touches a request; bounded. */
void decision(std::string_view event, std::initializer_list<field> fields = {});

/*! @brief Writes a decision by which a request fails, is refused or is sent
 * again; bounded apart from `decision`. */
void problem(std::string_view event, std::initializer_list<field> fields = {});

} // namespace coursejunction::log

#endif
