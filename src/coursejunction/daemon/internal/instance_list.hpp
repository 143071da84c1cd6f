/*! @file
 * @brief Parses the platform's list of instances; pure.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_INSTANCE_LIST_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_INSTANCE_LIST_HPP

#include <optional>
#include <string_view>
#include <vector>

#include "coursejunction/member/member_table.hpp"

namespace coursejunction::internal
{

/*! @brief Parses a list. Items without an id or a peer address are left out.
 * @return The members, or nothing if the text is not a JSON array. */
[[nodiscard]] std::optional<std::vector<member>>
parse_instance_list(std::string_view text);

} // namespace coursejunction::internal

#endif
