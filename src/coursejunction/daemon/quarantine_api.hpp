/*! @file
 * @brief Shows and lifts quarantines over HTTP.
 */
#ifndef COURSEJUNCTION_DAEMON_QUARANTINE_API_HPP
#define COURSEJUNCTION_DAEMON_QUARANTINE_API_HPP

#include <functional>

#include "coursejunction/core/request_content.hpp"
#include "coursejunction/net/http_server.hpp"
#include "coursejunction/run/crash_ledger.hpp"

namespace coursejunction
{

/*! @brief Path of the list; an item has its content after a slash. */
inline constexpr const char* quarantine_path = "/v1/quarantine";

/*! @brief Ends a quarantine; returns whether there was one. */
using lift_callback = std::function<bool(const request_content&)>;

/*! @brief Answers `GET` with the requests that are quarantined, on trial or
 * doubted (an array of `content`, `standing`, `ends` and `left_ms`), and
 * `DELETE` of an item by lifting it: 200, 404 where there is none, 400 for what
 * is no content.
 */
void handle_quarantine_request(const http_request& from, http_reply& reply,
                               const crash_ledger& ledger,
                               const lift_callback& lift, time_point now);

} // namespace coursejunction

#endif
