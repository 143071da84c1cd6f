/*! @file
 * @brief Lists and lifts quarantines of requests over HTTP.
 */
#ifndef COURSEJUNCTION_DAEMON_QUARANTINE_API_HPP
#define COURSEJUNCTION_DAEMON_QUARANTINE_API_HPP

#include <functional>
#include <vector>

#include "coursejunction/core/request_content.hpp"
#include "coursejunction/net/http_server.hpp"
#include "coursejunction/run/crash_ledger.hpp"

namespace coursejunction
{

/*! @brief Path of the list; the path of an item adds a slash and the hash of
 * its content. */
inline constexpr const char* quarantine_path = "/v1/quarantine";

/*! @brief Ledgers whose records are listed, those of requests and of parts of
 * prompts. */
using crash_ledgers = std::vector<std::reference_wrapper<const crash_ledger>>;

/*! @brief Lifts a quarantine; returns whether there was one. */
using lift_callback = std::function<bool(const request_content&)>;

/*! @brief Responds to `GET` of the list with the requests and the parts of
 * prompts that are quarantined, on trial or suspect (an array of `content`,
 * `subject`, `standing`, `ends` and `left_ms`). `DELETE` of an item lifts its
 * quarantine: 200, 404 if there is none, 400 if the path holds no content hash.
 */
void handle_quarantine_request(const http_request& from, http_reply& reply,
                               const crash_ledgers& ledgers,
                               const lift_callback& lift, time_point now);

} // namespace coursejunction

#endif
