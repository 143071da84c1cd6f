/*! @file
 * @brief Structured log lines for changes of state.
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

/*! @brief Opens the log: one JSON object a line on standard error.
 * @param instance Written into each line.
 * @param level One of `debug`, `info`, `warn`, `error`, `off`. */
void open(std::string_view instance, std::string_view level);

/*! @brief Writes a change of state.
 * @param event Name of the change in snake_case.
 * @param fields Named values. */
void state(std::string_view event, std::initializer_list<field> fields = {});

/*! @brief Writes a change of state that an operator should look at. */
void warning(std::string_view event, std::initializer_list<field> fields = {});

} // namespace coursejunction::log

#endif
