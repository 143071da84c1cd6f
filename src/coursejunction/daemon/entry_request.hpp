/*! @file
 * @brief Parses a caller's request from its HTTP headers and body.
 */
#ifndef COURSEJUNCTION_DAEMON_ENTRY_REQUEST_HPP
#define COURSEJUNCTION_DAEMON_ENTRY_REQUEST_HPP

#include <cstdint>
#include <string>

#include "coursejunction/core/result.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/net/http_server.hpp"
#include "coursejunction/route/upstream_table.hpp"

namespace coursejunction
{

/*! @brief A caller's request to an entry. */
struct entry_request
{
    request_id id;
    organisation_id organisation;
    route_request route;
    std::string path; /*!< Path at the upstream. */
    std::string body;
    std::int32_t priority{0};
    bool not_repeatable{false};
    bool streamed{false};
    milliseconds timeout{0}; /*!< From arrival to the deadline. */
};

/*! @brief Parses a request, moving out its body.
 * @param default_timeout Used when the caller sets no deadline.
 * @return The request, or `invalid` with a message that names the header or
 * field at fault. */
[[nodiscard]] result<entry_request>
parse_entry_request(http_request& from, milliseconds default_timeout);

} // namespace coursejunction

#endif
