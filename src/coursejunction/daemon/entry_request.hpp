/*! @file
 * @brief A caller's request as its HTTP head and body say it.
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

/*! @brief What a caller asks an entry for. */
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
    milliseconds timeout{0}; /*!< Until the deadline. */
};

/*! @brief Reads a request; its body is moved out.
 * @param otherwise Deadline when the caller names none.
 * @return The request, or `invalid` with the header or field that is wrong. */
[[nodiscard]] result<entry_request> parse_entry_request(http_request& from,
                                                        milliseconds otherwise);

} // namespace coursejunction

#endif
