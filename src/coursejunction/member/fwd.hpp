/*! @file
 * @brief Declares the types of the member module.
 */
#ifndef COURSEJUNCTION_MEMBER_FWD_HPP
#define COURSEJUNCTION_MEMBER_FWD_HPP

namespace coursejunction
{

struct member;
struct heartbeat_sample;
class member_table;

} // namespace coursejunction

#endif
