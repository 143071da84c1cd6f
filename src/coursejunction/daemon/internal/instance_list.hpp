/*! @file
 * @brief Reads the platform's list of instances; pure.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_INSTANCE_LIST_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_INSTANCE_LIST_HPP

#include <optional>
#include <string_view>
#include <vector>

#include "coursejunction/member/member_table.hpp"

namespace coursejunction::internal
{

/*! @brief Reads a list; entries that name no instance or address are left
 * out.
 * @return The members, or nothing when the text is no list. */
[[nodiscard]] std::optional<std::vector<member>>
parse_instance_list(std::string_view text);

} // namespace coursejunction::internal

#endif
